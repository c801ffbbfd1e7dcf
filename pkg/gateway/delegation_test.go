package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// largeDomain is more than the number of instances that report to each other directly.
const largeDomain = 18

// sendFromAll sends a request to each instance and expects that all are answered.
func (c *testCluster) sendFromAll() {
	c.t.Helper()
	var senders sync.WaitGroup
	for n, in := range c.instances {
		senders.Go(func() {
			got := c.send(context.Background(), in, "/once/x", func(r *http.Request) { r.Header.Set("Request-Id", fmt.Sprint("req-", n)) })
			if got.err != nil || got.status != http.StatusOK {
				c.t.Errorf("instance %d: status %d, error %v", n, got.status, got.err)
			}
		})
	}
	senders.Wait()
}

// Failure domain of many instances, whose relay shuts down. Guards against instances that
// place requests by their own view while the relay is there, and against requests that
// wait for a relay that is gone.
func TestRelayPlacesRequestsOfLargeDomain(t *testing.T) {
	c := newTestCluster(t, largeDomain)
	for i := range 3 {
		c.startUpstream(fmt.Sprint("u", i), func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(5 * time.Millisecond)
			answerWith("ok")(w, r)
		})
	}
	decidedBy := func(relay, instance string) func() bool {
		return func() bool {
			c.sendFromAll()
			return c.logged("answered", fmt.Sprintf("%q:%q", "decided_by", relay), fmt.Sprintf("%q:%q", "instance", instance))
		}
	}
	c.Eventually(decidedBy("edge-0", "edge-17"), eventuallyTimeout).Should(BeTrue())
	relay := c.instances[0]
	relay.stop()
	c.Expect(<-relay.done).To(Succeed())
	c.instances = c.instances[1:]
	c.Eventually(decidedBy("edge-1", "edge-17"), eventuallyTimeout).Should(BeTrue())
}
