package platform_test

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	standin "github.com/rosemarywing/rosemarywing/internal/standin/platform"
)

// Guards against a watch that sends no progress events while objects of other kinds
// change: clients would take the connection for dead, and list all objects again every
// few seconds.
func TestWatchSendsProgressDespiteOtherKinds(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	server := httptest.NewServer(standin.NewServer(clock))
	defer server.Close()
	defer server.CloseClientConnections()
	watch, err := http.Get(server.URL + "/watch?after=0&kind=Tier")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = watch.Body.Close() }()
	for range 10 {
		clock.Advance(900 * time.Millisecond)
		request, err := http.NewRequest(http.MethodPut, server.URL+"/objects/Claim/a", strings.NewReader("{}"))
		g.Expect(err).NotTo(HaveOccurred())
		answer, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(HaveOccurred())
		_ = answer.Body.Close()
		g.Expect(answer.StatusCode).To(Equal(http.StatusOK))
	}
	line, err := bufio.NewReader(watch.Body).ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(line).To(ContainSubstring("progress"))
}
