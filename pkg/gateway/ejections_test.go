package gateway_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// One of three upstreams fails each request, and the others are full. Guards against instances
// that each have to find that out, and against an ejection that an operator cannot see.
func TestEjectionIsSharedAndLogged(t *testing.T) {
	cluster := newTestCluster(t, 2)
	failed := cluster.startUpstream("failing", failing)
	for _, id := range []string{"u1", "u2"} {
		cluster.startUpstreamWithSlots(id, 1, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(w, "sound")
		})
	}
	stop := cluster.load(cluster.instances[0])
	ejectedAt := func(instance string) func() bool {
		return func() bool {
			return cluster.logged("upstream ejected for failed answers", `"upstream":"failing"`, instance)
		}
	}
	cluster.Eventually(ejectedAt(`"instance":"edge-0"`), eventuallyTimeout).Should(BeTrue())
	cluster.Eventually(ejectedAt(`"instance":"edge-1"`), eventuallyTimeout).Should(BeTrue())
	counts := stop()
	total := 0
	for _, count := range counts {
		total += count
	}
	cluster.Expect(counts[http.StatusInternalServerError]).To(BeNumerically("<", max(20, total/4)), "%v", counts)
	cluster.Expect(failed.requests()).NotTo(BeEmpty())
}
