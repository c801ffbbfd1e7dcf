package service_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/standin/service"
)

// Guards against a fault that does not show, and against executions that are
// not counted: the checkers of "at most once" rely on the counts.
func TestFaultsAndCounts(t *testing.T) {
	cases := []struct {
		mode     service.Mode
		status   int
		failed   bool
		executed int
	}{
		{service.None, http.StatusOK, false, 1},
		{service.ResetBefore, 0, true, 0},
		{service.ResetAfter, 0, true, 1},
		{service.Redirect307, http.StatusTemporaryRedirect, false, 0},
		{service.Redirect308, http.StatusPermanentRedirect, false, 0},
		{service.WrongID, http.StatusOK, false, 1},
		{service.CutBody, http.StatusOK, true, 1},
	}
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, c := range cases {
		t.Run(string(c.mode), func(t *testing.T) {
			g := NewWithT(t)
			standin := service.New(clockwork.NewFakeClock())
			standin.SetFaults(service.Faults{Mode: c.mode, WrongRequestID: "other", Times: 1})
			server := httptest.NewServer(standin.Handler())
			defer server.Close()
			request, _ := http.NewRequest(http.MethodPost, server.URL+"/locks/7", strings.NewReader(`{"key":"buggy 7"}`))
			request.Header.Set("X-Request-Id", "r1")
			response, err := client.Do(request)
			status := 0
			if err == nil {
				status = response.StatusCode
				_, err = io.ReadAll(response.Body)
				response.Body.Close()
			}
			g.Expect(status).To(Equal(c.status))
			g.Expect(err != nil).To(Equal(c.failed))
			log := standin.Log()
			g.Expect(log.Calls).To(HaveLen(1))
			g.Expect(log.ByRequestID["r1"]).To(Equal(c.executed))
			g.Expect(log.ByKey["buggy 7"]).To(Equal(c.executed))
		})
	}
}
