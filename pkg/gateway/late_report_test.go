package gateway_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/standin/objectstore"
)

// report returns what a process of the upstream writes to the store.
func (b *fakeUpstream) report(incarnation, sequence int, state string) map[string]any {
	return map[string]any{
		"service": "desk", "address": strings.TrimPrefix(b.server.URL, "http://"), "zone": "north",
		"slots": b.slots, "state": state, "born": incarnation, "sequence": sequence,
	}
}

// writeReport writes a report of an upstream to the store.
func (c *testCluster) writeReport(upstream *fakeUpstream, incarnation, sequence int, state string) {
	c.store.Put("servers", upstream.id, upstream.report(incarnation, sequence, state))
}

// awaitReport waits until all instances have read a report.
func (c *testCluster) awaitReport(id string, incarnation, sequence int) {
	c.t.Helper()
	for i := range c.instances {
		c.Eventually(func() bool {
			return c.logged(fmt.Sprintf(`"instance":"edge-%d"`, i), fmt.Sprintf(`"upstream":%q`, id), fmt.Sprintf(`"incarnation":%d,"sequence":%d,`, incarnation, sequence))
		}, eventuallyTimeout).Should(BeTrue(), "instance %d, incarnation %d, sequence %d", i, incarnation, sequence)
	}
}

// expectUnused sends a request to each instance and expects that it is refused.
func (c *testCluster) expectUnused(upstream *fakeUpstream) {
	c.t.Helper()
	reached := len(upstream.requests())
	for _, in := range c.instances {
		got := c.send(context.Background(), in, "/once/", func(r *http.Request) { r.Header.Set("Deadline-Ms", "300") })
		c.Expect(got.err).NotTo(HaveOccurred())
		c.Expect(got.status).To(Equal(http.StatusTooManyRequests))
	}
	c.Expect(upstream.requests()).To(HaveLen(reached))
}

// Failure: a report of an upstream was held up on its way to the store and takes effect
// after the one that says that the upstream leaves. Guards against requests to an upstream
// that is brought back into use by it, whichever way the record reaches an instance.
func TestLateReportDoesNotBringLeavingUpstreamBack(t *testing.T) {
	const incarnation, held, leaving = 5, 8, 9
	late := func(c *testCluster, u *fakeUpstream) { c.writeReport(u, incarnation, held, "ready") }
	for name, test := range map[string]struct {
		instances  int
		takeEffect func(c *testCluster, u *fakeUpstream)
	}{
		"watched": {1, late},
		// Followers copy the records of the relay.
		"in a large failure domain": {18, late},
		"after the record was removed": {1, func(c *testCluster, u *fakeUpstream) {
			c.store.Delete("servers", u.id)
			c.Eventually(func() bool { return c.logged("upstream removed", u.id) }, eventuallyTimeout).Should(BeTrue())
			late(c, u)
		}},
		"after the record was malformed": {1, func(c *testCluster, u *fakeUpstream) {
			c.store.Put("servers", u.id, map[string]any{"service": 7})
			c.Eventually(func() bool { return c.logged("upstream entry ignored", u.id) }, eventuallyTimeout).Should(BeTrue())
			late(c, u)
		}},
		"listed after an outage that lost the history": {2, func(c *testCluster, u *fakeUpstream) {
			c.store.SetFaults(objectstore.Faults{Status: http.StatusServiceUnavailable})
			late(c, u)
			c.store.Compact()
			c.store.SetFaults(objectstore.Faults{})
		}},
		"as a new record after an outage": {2, func(c *testCluster, u *fakeUpstream) {
			c.store.SetFaults(objectstore.Faults{Status: http.StatusServiceUnavailable})
			c.store.Delete("servers", u.id)
			late(c, u)
			c.store.SetFaults(objectstore.Faults{})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, test.instances)
			upstream := cluster.startUpstream("u1", answerWith("x"))
			cluster.writeReport(upstream, incarnation, leaving, "draining")
			cluster.awaitReport("u1", incarnation, leaving)
			test.takeEffect(cluster, upstream)
			cluster.awaitReport("u1", incarnation, held)
			cluster.expectUnused(upstream)
			// The next process under the ID is used.
			cluster.writeReport(upstream, incarnation+1, 1, "ready")
			cluster.awaitReport("u1", incarnation+1, 1)
			for _, in := range cluster.instances {
				cluster.Expect(cluster.send(context.Background(), in, "/once/", nil).status).To(Equal(http.StatusOK))
			}
		})
	}
}

// Failure: a report of the previous process under an ID takes effect after the first one of
// the next process. Guards against requests to the previous address, and against an upstream
// that is out of use since its predecessor has left.
func TestLateReportOfPreviousProcessIsIgnored(t *testing.T) {
	for _, state := range []string{"ready", "draining"} {
		t.Run(state, func(t *testing.T) {
			cluster := newTestCluster(t, 1)
			previous := cluster.startUpstream("u1", answerWith("previous"))
			next := cluster.startUpstream("u0", answerWith("next"))
			cluster.store.Delete("servers", "u0")
			cluster.Eventually(func() bool { return cluster.logged("upstream removed", "u0") }, eventuallyTimeout).Should(BeTrue())
			next.id = "u1"
			cluster.writeReport(next, 6, 1, "ready")
			cluster.awaitReport("u1", 6, 1)
			cluster.writeReport(previous, 5, 90, state)
			cluster.awaitReport("u1", 5, 90)
			for range 3 {
				got := cluster.post("/once/", nil)
				cluster.Expect(got.status).To(Equal(http.StatusOK))
				cluster.Expect(got.body).To(Equal("next"))
			}
			cluster.Expect(previous.requests()).To(BeEmpty())
			// The next process says that it leaves.
			cluster.writeReport(next, 6, 7, "draining")
			cluster.awaitReport("u1", 6, 7)
			cluster.expectUnused(next)
		})
	}
}

// An instance starts after a late report has taken effect, so that the record is all that
// it reads. Guards against its requests to an upstream of which the others know that it
// leaves.
func TestInstanceThatStartsAfterALateReportLearnsFromOthers(t *testing.T) {
	cluster := newTestCluster(t, 2)
	upstream := cluster.startUpstream("u1", answerWith("x"))
	cluster.writeReport(upstream, 5, 9, "draining")
	cluster.awaitReport("u1", 5, 9)
	cluster.writeReport(upstream, 5, 8, "ready")
	cluster.awaitReport("u1", 5, 8)
	cluster.startInstance("edge-2")
	cluster.awaitReport("u1", 5, 8)
	cluster.Eventually(func() bool {
		return cluster.logged("upstream leaves by its own word", `"instance":"edge-2"`, `"upstream":"u1"`)
	}, eventuallyTimeout).Should(BeTrue())
	cluster.expectUnused(upstream)
}

// Failure: an instance reads the report by which an upstream leaves and a late one in the
// same answer of the store. Guards against applying the last one only.
func TestLateReportInTheSameAnswerIsIgnored(t *testing.T) {
	cluster := newTestCluster(t, 1)
	upstream := cluster.startUpstream("u1", answerWith("x"))
	cluster.writeReport(upstream, 5, 7, "ready")
	cluster.awaitReport("u1", 5, 7)
	cluster.store.PutSeries("servers", "u1", upstream.report(5, 9, "draining"), upstream.report(5, 8, "ready"))
	cluster.awaitReport("u1", 5, 8)
	cluster.expectUnused(upstream)
}

// Failure: a late write of an earlier configuration is read in the same answer as the newest
// one. Guards against an instance that never has the newest one in force.
func TestLateConfigurationInTheSameAnswerIsIgnored(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.startUpstream("u1", answerWith("x"))
	earlier := maps.Clone(cluster.config)
	newer := maps.Clone(cluster.config)
	newer["version"] = cluster.version + 1
	newer["tenants"] = []map[string]any{{"name": "team-a", "api_keys": []string{"key-b"}, "priority": 1}}
	cluster.store.PutSeries("config", "main", newer, earlier)
	cluster.Eventually(func() bool {
		return cluster.logged("configuration in force", fmt.Sprintf(`"version":%d,`, cluster.version+1))
	}, eventuallyTimeout).Should(BeTrue())
	cluster.Expect(cluster.post("/once/", nil).status).To(Equal(http.StatusUnauthorized))
}
