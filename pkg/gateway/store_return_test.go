package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/standin/objectstore"
	"github.com/rosemarywing/rosemarywing/pkg/rollout"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
	"github.com/rosemarywing/rosemarywing/platform"
)

// returnStore takes the store back to a snapshot, and waits until all running instances have
// noticed it.
func (c *testCluster) returnStore(snapshot objectstore.Snapshot, era int) {
	c.store.Return(snapshot)
	for i := range c.instances {
		c.Eventually(func() bool {
			return c.logged("store returned from an older copy", fmt.Sprintf(`"era":%d,`, era), fmt.Sprintf(`"instance":"edge-%d"`, i))
		}, eventuallyTimeout).Should(BeTrue())
	}
}

// metrics returns the metrics of an instance as text.
func (c *testCluster) metrics(in *instance) string {
	response, err := http.Get("http://" + in.admin + "/metrics")
	c.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	c.Expect(err).NotTo(HaveOccurred())
	return string(body)
}

// Failure: the store returns twice from copies with older configurations, and the operator
// writes its later ones again at revisions that were given out before. Guards against a
// configuration that goes back, at the relay or at its follower, and against a later one that
// is ignored because of its revision.
func TestConfigurationDoesNotGoBackWhenTheStoreReturns(t *testing.T) {
	cluster := newTestCluster(t, 2)
	cluster.startUpstream("u1", answerWith("x"))
	inForce := func() {
		for i := range cluster.instances {
			cluster.Eventually(func() bool {
				return cluster.logged("configuration in force", fmt.Sprintf(`"version":%d,`, cluster.version), fmt.Sprintf(`"instance":"edge-%d"`, i))
			}, eventuallyTimeout).Should(BeTrue())
		}
	}
	served := func(key string, status int) {
		for _, in := range cluster.instances {
			got := cluster.send(context.Background(), in, "/once/", func(r *http.Request) { r.Header.Set("Authorization", "Token "+key) })
			cluster.Expect(got.status).To(Equal(status), key)
		}
	}
	keys := func(keys ...string) {
		cluster.config["tenants"] = []map[string]any{{"name": "team-a", "api_keys": keys, "priority": 1}}
		cluster.publish()
	}
	snapshot := cluster.store.Snapshot()
	for range 3 {
		keys("key-a", "key-b")
	}
	keys("key-b")
	inForce()
	served("key-a", http.StatusUnauthorized)
	for era := 2; era <= 3; era++ {
		cluster.returnStore(snapshot, era)
		served("key-a", http.StatusUnauthorized)
		served("key-b", http.StatusOK)
		// A version between those of the store and the one in force.
		cluster.store.Put("config", "main", map[string]any{"version": 2, "routes": cluster.config["routes"], "services": cluster.config["services"], "limits": cluster.config["limits"],
			"tenants": []map[string]any{{"name": "team-a", "api_keys": []string{"key-a"}, "priority": 1}}})
		keys("key-b", fmt.Sprintf("key-%d", era))
		inForce()
		served(fmt.Sprintf("key-%d", era), http.StatusOK)
		served("key-a", http.StatusUnauthorized)
	}
	cluster.Expect(cluster.metrics(cluster.instances[0])).To(ContainSubstring("rosemarywing_store_returns 2\n"))
}

// Failure: the store returns from a copy without the records of an instance. Guards against
// instances that are not found by those that start later, and against quotas that are granted
// again after a restart of all instances.
func TestOwnRecordsAreWrittenAgainWhenTheStoreReturns(t *testing.T) {
	cluster := newTestCluster(t, 0)
	cluster.config["tenants"] = []map[string]any{{"name": "team-a", "api_keys": []string{"key-a"}, "unit": "token_count", "rate_per_s": 1000, "burst": 0, "plain_tokens": 1}}
	cluster.publish()
	snapshot := cluster.store.Snapshot()
	in := cluster.startInstance("edge-0")
	cluster.startUpstream("u1", answerWith("x"))
	got := cluster.send(context.Background(), in, "/once/", func(r *http.Request) { r.Header.Set("Token-Usage", "6000,0") })
	cluster.Expect(got.status).To(Equal(http.StatusOK))
	usage := func() float64 { return cluster.recordedUsage("north", "team-a") }
	cluster.Eventually(usage, eventuallyTimeout).Should(BeNumerically(">=", 6000))
	cluster.returnStore(snapshot, 2)
	cluster.Eventually(usage, eventuallyTimeout).Should(BeNumerically(">=", 6000))
	cluster.Eventually(func() []string { return cluster.store.Names(platform.KindInstances) }, eventuallyTimeout).Should(Equal([]string{"edge-0"}))
}

// recordStage writes a stage of the roll-out to the store, as a holder does that has decided
// it, and waits until all instances have it in force.
func (c *testCluster) recordStage(stage rollout.Stage, share float64) {
	store, codec := platform.NewStore(c.storeAddress), platform.RolloutCodec{}
	c.Eventually(func() error {
		object, _ := c.store.Get(platform.KindRollouts, "desk")
		order, progress, err := codec.Rollout("desk", storesync.Object{Name: "desk", Spec: object.Spec, Status: object.Status})
		c.Expect(err).NotTo(HaveOccurred())
		progress.OrderID, progress.Version, progress.Stage, progress.Share = order.ID, order.Version, stage, share
		_, err = store.PutStatus(context.Background(), platform.KindRollouts, "desk", codec.RolloutStatus(progress), storesync.Position{Revision: object.Metadata.Revision})
		return err
	}, eventuallyTimeout).Should(Succeed())
	for i := range c.instances {
		c.Eventually(func() bool {
			return c.logged("roll-out stage", fmt.Sprintf(`"stage":%q`, stage), fmt.Sprintf(`"instance":"edge-%d"`, i))
		}, eventuallyTimeout).Should(BeTrue())
	}
}

// sendToAll sends some requests through each instance, and returns the number of answers by
// body.
func (c *testCluster) sendToAll(prefix string) map[string]int {
	bodies := map[string]int{}
	for n := range 30 {
		got := c.send(c.t.Context(), c.instances[n%len(c.instances)], fmt.Sprintf("/once/%s-%d", prefix, n), nil)
		c.Expect(got.status).To(Equal(http.StatusOK))
		bodies[got.body]++
	}
	return bodies
}

// Failure: the store loses the last stage of a roll-out, which the operator may have read.
// Guards against a stage in force that goes back, and against a holder that goes on at the
// earlier stage in the store, or leaves it there.
func TestLostStageOfARolloutIsWrittenAgain(t *testing.T) {
	for stage, answeredBy := range map[rollout.Stage]string{rollout.RolledBack: "v1", rollout.Succeeded: "v2"} {
		t.Run(stage.String(), func(t *testing.T) {
			cluster := newRolloutCluster(t, 2)
			cluster.order("v2", time.Hour)
			for i := range 2 {
				cluster.startVersion(fmt.Sprintf("new-%d", i), "v2", answerWith("v2"))
			}
			cluster.Eventually(func() string { return cluster.rolloutStatus().Progress.Stage }, eventuallyTimeout).Should(Equal("trial"))
			snapshot := cluster.store.Snapshot()
			cluster.recordStage(stage, 1)
			cluster.returnStore(snapshot, 2)
			cluster.Expect(cluster.sendToAll("after")).To(Equal(map[string]int{answeredBy: 30}))
			cluster.Eventually(cluster.rolloutState, eventuallyTimeout).Should(Equal(stage.String()))
			cluster.Expect(cluster.logged("roll-out decision", "the store has lost the stage")).To(BeTrue())
			cluster.Expect(cluster.sendToAll("written")).To(Equal(map[string]int{answeredBy: 30}))
		})
	}
}

// Failure: the store loses the order of a roll-out that was rolled back, and the operator and
// the upstreams write theirs again. Guards against requests at the faulty version meanwhile,
// and against a roll-out that starts again.
func TestRolledBackVersionStaysSoWhenTheStoreLosesTheOrder(t *testing.T) {
	cluster := newRolloutCluster(t, 2)
	snapshot := cluster.store.Snapshot()
	cluster.order("v2", time.Hour)
	cluster.startVersion("new-0", "v2", failing)
	cluster.Eventually(func() string { return cluster.rolloutStatus().Progress.Stage }, eventuallyTimeout).Should(Equal("trial"))
	cluster.recordStage(rollout.RolledBack, 0)
	cluster.returnStore(snapshot, 2)
	onlyV1 := map[string]int{"v1": 30}
	cluster.Expect(cluster.sendToAll("lost")).To(Equal(onlyV1))
	cluster.startVersion("new-1", "v2", failing)
	cluster.Expect(cluster.sendToAll("upstream-again")).To(Equal(onlyV1))
	cluster.order("v2", time.Hour)
	cluster.Eventually(cluster.rolloutState, eventuallyTimeout).Should(Equal("rolled_back"))
	cluster.Expect(cluster.sendToAll("order-again")).To(Equal(onlyV1))
}
