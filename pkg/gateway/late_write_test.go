package gateway_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/standin/objectstore"
	"github.com/rosemarywing/rosemarywing/platform"
)

// recordedUsage returns the quota usage of a team in the store; 0 if there is no record.
func (c *testCluster) recordedUsage(domain, team string) (sum float64) {
	object, found := c.store.Get(platform.KindUsage, domain)
	if !found {
		return 0
	}
	var record struct {
		Used map[string][]float64 `json:"used"`
	}
	c.Expect(json.Unmarshal(object.Spec, &record)).To(Succeed())
	for _, amount := range record.Used[team] {
		sum += amount
	}
	return sum
}

// Failure: a usage record that got no response takes effect late, after a newer one, and all
// instances are killed. Guards against a restart that knows the earlier usage only, and
// grants the difference once more.
func TestLateUsageRecordDoesNotReplaceANewerOne(t *testing.T) {
	cluster := newTestCluster(t, 0)
	cluster.config["tenants"] = []map[string]any{{"name": "team-a", "api_keys": []string{"key-a"}, "unit": "token_count", "rate_per_s": 1000, "burst": 0, "plain_tokens": 1}}
	cluster.publish()
	in := cluster.startInstance("edge-0")
	cluster.startUpstream("u1", answerWith("x"))
	use := func(tokens string) {
		got := cluster.send(context.Background(), in, "/once/", func(r *http.Request) { r.Header.Set("Token-Usage", tokens+",0") })
		cluster.Expect(got.status).To(Equal(http.StatusOK))
	}
	usage := func() float64 { return cluster.recordedUsage("north", "team-a") }
	use("3000")
	cluster.Eventually(usage, eventuallyTimeout).Should(BeNumerically(">=", 3000))
	cluster.store.SetFaults(objectstore.Faults{PostponePuts: true})
	use("1000")
	cluster.Eventually(func() bool { return cluster.logged("writing the quota usage to the store failed") }, eventuallyTimeout).Should(BeTrue())
	cluster.store.SetFaults(objectstore.Faults{})
	use("2000")
	cluster.Eventually(usage, eventuallyTimeout).Should(BeNumerically(">=", 6000))
	in.stop()
	cluster.Expect(<-in.done).To(Succeed())
	in.done <- nil
	before := usage()
	cluster.Expect(cluster.store.ExecutePostponed()).To(BeNumerically(">", 0))
	cluster.Expect(usage()).To(Equal(before))
}

// Failure: the registration of an instance takes effect late, after the instance has started
// again at another address. Guards against instances that start later and look for it at
// the previous address.
func TestLateRegistrationDoesNotReplaceThatOfTheNextProcess(t *testing.T) {
	cluster := newTestCluster(t, 0)
	stop := func(in *instance) {
		in.stop()
		cluster.Expect(<-in.done).To(Succeed())
		in.done <- nil
	}
	registered := func() string {
		object, found := cluster.store.Get(platform.KindInstances, "edge-0")
		cluster.Expect(found).To(BeTrue())
		record, err := platform.RecordDecoder{}.Instance(object.Spec)
		cluster.Expect(err).NotTo(HaveOccurred())
		return record.PeerAddress
	}
	stop(cluster.startInstance("edge-0"))
	first := registered()
	cluster.store.SetFaults(objectstore.Faults{PostponePuts: true})
	second := cluster.startInstance("edge-0")
	cluster.Eventually(func() bool { return cluster.logged("reading the instance list or writing the own record failed") }, eventuallyTimeout).Should(BeTrue())
	stop(second)
	cluster.store.SetFaults(objectstore.Faults{})
	cluster.startInstance("edge-0")
	cluster.Eventually(registered, eventuallyTimeout).ShouldNot(Equal(first))
	last := registered()
	cluster.Expect(cluster.store.ExecutePostponed()).To(BeNumerically(">", 0))
	cluster.Expect(registered()).To(Equal(last))
}
