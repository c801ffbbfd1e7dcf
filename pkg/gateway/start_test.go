package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/standin/objectstore"
)

// All instances were restarted at once, and requests arrive before they have read their
// configuration. Guards against telling callers to come back a second later although the
// instance can serve them in a moment.
func TestRequestWaitsForConfigurationAtStart(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.startUpstream("u1", answerWith("served"))
	cluster.store.SetFaults(objectstore.Faults{Delay: 100 * time.Millisecond})
	address := reserveAddress(t)
	answers := make(chan answer, 1)
	go func() {
		in := &instance{callers: address}
		got := answer{}
		for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
			if got = cluster.send(t.Context(), in, "/once/early", nil); got.err == nil {
				break
			}
		}
		answers <- got
	}()
	cluster.startInstanceOn("edge-1", address)
	got := <-answers
	cluster.Expect(got.err).NotTo(HaveOccurred())
	cluster.Expect(got.status).To(Equal(http.StatusOK))
	cluster.Expect(got.body).To(Equal("served"))
}

// The store does not answer. Guards against requests that are held until their deadline.
func TestRequestIsRefusedIfConfigurationDoesNotCome(t *testing.T) {
	cluster := newTestCluster(t, 0)
	cluster.store.SetFaults(objectstore.Faults{HoldCalls: true})
	in := cluster.startUnready("edge-0")
	started := time.Now()
	got := cluster.send(t.Context(), in, "/once/early", nil)
	cluster.Expect(got.err).NotTo(HaveOccurred())
	cluster.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	cluster.Expect(time.Since(started)).To(BeNumerically("<", 5*time.Second))
}

// The store answers all calls but those for one kind of object. Guards against an instance
// that is ready before it has read what it needs to place requests: callers that are routed
// to it get 503.
func TestInstanceIsNotReadyBeforeAllKindsAreRead(t *testing.T) {
	for _, kind := range []string{"config", "servers", "rollouts"} {
		t.Run(kind, func(t *testing.T) {
			cluster := newTestCluster(t, 0)
			cluster.exposureShare = 0.1
			cluster.store.SetFaults(objectstore.Faults{HoldKind: kind})
			in := cluster.startUnready("edge-0")
			cluster.Consistently(func() int { return cluster.readyStatus(in) }, "1s").Should(Equal(http.StatusServiceUnavailable))
			cluster.store.SetFaults(objectstore.Faults{})
			cluster.Eventually(func() int { return cluster.readyStatus(in) }, eventuallyTimeout).Should(Equal(http.StatusOK))
			cluster.startUpstream("u1", answerWith("served"))
			cluster.Expect(cluster.post("/once/first", nil).status).To(Equal(http.StatusOK))
		})
	}
}
