package failure_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/standin/engine"
	"github.com/rosemarywing/rosemarywing/internal/standin/platform"
	"github.com/rosemarywing/rosemarywing/internal/standin/service"
	"github.com/rosemarywing/rosemarywing/internal/testbed"
	platformapi "github.com/rosemarywing/rosemarywing/pkg/platform"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// configStatus is the response to GET /status/config.
type configStatus struct {
	Usable        bool            `json:"usable"`
	Digest        json.RawMessage `json:"digest"`
	NewestVersion uint64          `json:"newestVersion"`
}

func readConfigStatus(e *testbed.Entry) configStatus {
	var status configStatus
	if err := testbed.GetJSON(e.AdminURL()+"/status/config", &status); err != nil {
		return configStatus{}
	}
	return status
}

// waitForConfigVersion waits until each entry applies the configuration version or a
// newer one.
func waitForConfigVersion(version uint64, entries ...*testbed.Entry) {
	GinkgoHelper()
	for _, e := range entries {
		Eventually(func() uint64 { return readConfigStatus(e).NewestVersion }, waitTimeout).Should(BeNumerically(">=", version), e.ID)
	}
}

// newestVersion returns the version of the newest configuration record. The version
// counter of the platform's store also counts writes of leases and claims.
func newestVersion(c *testbed.Cluster) uint64 {
	GinkgoHelper()
	var list struct{ Objects []struct{ Version uint64 } }
	kinds := "kind=Tier&kind=Team&kind=Model&kind=Upstream&kind=Withdrawal"
	Expect(testbed.GetJSON(c.PlatformURL()+"/objects?"+kinds, &list)).To(Succeed())
	newest := uint64(0)
	for _, object := range list.Objects {
		newest = max(newest, object.Version)
	}
	return newest
}

func withdraw(c *testbed.Cluster, name string, withdrawal record.Withdrawal) {
	GinkgoHelper()
	Expect(c.ApplyRecord(record.SchemaV2, record.KindWithdrawal, name, withdrawal)).To(Succeed())
}

// roundsWithoutTraffic is the number of rounds after which an upstream that received
// nothing counts as excluded. A round sends one request through each of three entries,
// so chance alone would have to pass the upstream over 30 times.
const roundsWithoutTraffic = 10

// roleSettleTime is twice the interval at which an instance re-evaluates its roles.
const roleSettleTime = 2 * time.Second

var leavingFaults = engine.Faults{Leaving: true}

func leavingInstance(name, domain string) platformapi.ListedInstance {
	return platformapi.ListedInstance{Name: name, Domain: domain, Role: "upstream", Leaving: true}
}

var _ = Describe("Leaving upstreams", Label("G6"), func() {
	// Guards against new requests to an upstream that reports that it is leaving,
	// while the platform is unavailable and its instance list is stale.
	It("sends nothing to a leaving engine during a platform outage", func() {
		c := startCluster(testbed.ClusterSpec{Domains: []string{"north"}, EntriesPerDomain: 3, Engines: []testbed.UpstreamSpec{
			engineSpec("engine-1", "north", "--speed", "0"), engineSpec("engine-2", "north", "--speed", "0"),
		}})
		leaving, staying := c.Upstreams["engine-1"], c.Upstreams["engine-2"]
		setPlatformFaults(c, platform.Faults{Outage: platform.OutageClose, FreezeInstances: true})
		setEngineFaults(leaving, engine.Faults{Leaving: true})
		send := func() {
			for _, e := range c.Entries {
				result := chatRequest("question", 2, false).sendAndRead(e)
				Expect(result.status).To(Equal(http.StatusOK), result.String())
			}
		}
		// Entries read the load report once a second, and a grant is valid for two
		// seconds, so some requests may still reach the leaving engine.
		Eventually(func() int {
			before := receivedRequests(leaving)
			for range roundsWithoutTraffic {
				send()
			}
			return receivedRequests(leaving) - before
		}, waitTimeout).Should(BeZero())
		before, stayingBefore := receivedRequests(leaving), receivedRequests(staying)
		for range 5 {
			send()
		}
		Expect(receivedRequests(leaving)).To(Equal(before))
		Expect(receivedRequests(staying)).To(Equal(stayingBefore + 5*len(c.Entries)))
	})

	// Guards against new requests to an upstream that only the platform's list
	// shows as leaving: plain services do not report their state.
	It("sends nothing to a service that the platform lists as leaving", func() {
		c := startCluster(testbed.ClusterSpec{Domains: []string{"north"}, EntriesPerDomain: 3, Services: []testbed.UpstreamSpec{
			serviceSpec("booking-1", "north"), serviceSpec("booking-2", "north"),
		}})
		leaving := c.Upstreams["booking-1"]
		Expect(c.RegisterInstance(leavingInstance("booking-1", "north"))).To(Succeed())
		sent := 0
		send := func() {
			for _, e := range c.Entries {
				sent++
				result := bookingRequest(fmt.Sprintf("slot-%d", sent)).sendAndRead(e)
				Expect(result.status).To(BeNumerically("<", 300), result.String())
			}
		}
		received := func() int { return len(serviceLog(leaving).Calls) }
		Eventually(func() int {
			before := received()
			for range roundsWithoutTraffic {
				send()
			}
			return received() - before
		}, waitTimeout).Should(BeZero())
		before := received()
		for range 5 {
			send()
		}
		Expect(received()).To(Equal(before))
	})

	// Guards against an instance that still sends requests to the upstreams of a
	// withdrawn batch.
	It("withdraws a batch of upstreams in one write", func() {
		first, second := engineSpec("engine-1", "north", "--speed", "0"), engineSpec("engine-2", "north", "--speed", "0")
		first.Record.Batch, second.Record.Batch = "b1", "b1"
		c := startCluster(testbed.ClusterSpec{Domains: []string{"north"}, EntriesPerDomain: 3, Engines: []testbed.UpstreamSpec{
			first, second, engineSpec("engine-3", "north", "--speed", "0"),
		}})
		withdraw(c, "recall", record.Withdrawal{Batch: "b1", Reason: "test"})
		waitForConfigVersion(newestVersion(c), c.Entries...)
		before := receivedRequests(c.Upstreams["engine-1"], c.Upstreams["engine-2"])
		for i := range 12 {
			result := chatRequest(fmt.Sprintf("question %d", i), 2, false).sendAndRead(c.Entries[i%3])
			Expect(result.status).To(Equal(http.StatusOK), result.String())
		}
		Expect(receivedRequests(c.Upstreams["engine-1"], c.Upstreams["engine-2"])).To(Equal(before))
	})
})

var _ = Describe("Graceful shutdown", Label("G7"), func() {
	// Guards against a shutdown that cuts a running stream, refuses waiting
	// requests with a run state other than not_run, or exits with an error.
	It("completes requests in flight, refuses waiting ones and exits with status 0", func() {
		c := startCluster(testbed.ClusterSpec{Domains: []string{"north"}, EntriesPerDomain: 2,
			Engines:  []testbed.UpstreamSpec{engineSpec("engine-1", "north", "--speed", "4")},
			Services: []testbed.UpstreamSpec{serviceSpec("booking-1", "north")},
		})
		booking := c.Upstreams["booking-1"]
		setServiceFaults(booking, service.Faults{Mode: service.Late, DelayMs: 3000})
		leaving := c.Entries[0]
		s := openStream(context.Background(), leaving, chatRequest("question", streamTokens, true))
		Expect(s.readEvent()).To(BeTrue())
		slots := serviceSpec("", "").Record.MaxRequests
		results := make(chan callResult, slots+1)
		for i := range slots {
			go func() { results <- bookingRequest(fmt.Sprintf("running-%d", i)).sendAndRead(leaving) }()
		}
		Eventually(func() int { return len(serviceLog(booking).Calls) }, waitTimeout).Should(Equal(slots))
		id := issueRequestID(leaving)
		waiting := make(chan callResult, 1)
		sendAndAwaitInProgress(bookingRequest("waiting").withHeader("Idempotency-Key", id), leaving, waiting)
		leaving.Terminate()
		Eventually(func() error { return testbed.GetJSON(leaving.AdminURL()+"/readyz", nil) }, waitTimeout).Should(HaveOccurred())
		refused := <-waiting
		Expect(refused.runState).To(Equal("not_run"), refused.String())
		for range slots {
			result := <-results
			Expect(result.status).To(BeNumerically("<", 300), result.String())
		}
		s.readAll()
		Expect(s.complete).To(BeTrue(), s.errorEvent)
		code, err := leaving.Wait(waitTimeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(BeZero(), leaving.Output())
		Expect(executionCount("waiting", booking)).To(BeZero())
	})
})

var _ = Describe("Configuration", Label("G8"), func() {
	// Guards against a configuration change that the platform accepted, but that does
	// not reach an instance after watches failed, or after the instance was suspended
	// or cut off from the platform.
	DescribeTable("reaches every instance",
		func(injectFault func(*testbed.Cluster), clearFault func(*testbed.Cluster)) {
			c, _ := startEngineCluster("--speed", "0")
			injectFault(c)
			for i := range 5 {
				Expect(c.ApplyRecord(record.SchemaV2, record.KindTier, fmt.Sprintf("tier-%d", i), record.Tier{Priority: 1, DeadlineMs: 1000})).To(Succeed())
			}
			version := newestVersion(c)
			clearFault(c)
			waitForConfigVersion(version, c.Entries...)
			for _, e := range c.Entries {
				for i := range 5 {
					// An entry without the record refuses requests of the tier.
					Eventually(func() int {
						return chatRequest("question", 1, false).withHeader("Rosemarywing-Tier", fmt.Sprintf("tier-%d", i)).sendAndRead(e).status
					}, waitTimeout).Should(Equal(http.StatusOK), e.ID)
				}
			}
			want := readConfigStatus(c.Entries[0]).Digest
			for _, e := range c.Entries {
				Eventually(func() string { return string(readConfigStatus(e).Digest) }, waitTimeout).Should(Equal(string(want)), e.ID)
			}
		},
		Entry("without a fault", func(*testbed.Cluster) {}, func(*testbed.Cluster) {}),
		Entry("with watches that skip events", func(c *testbed.Cluster) { setPlatformFaults(c, platform.Faults{SkipEvents: 3}) },
			func(c *testbed.Cluster) { setPlatformFaults(c, platform.Faults{}) }),
		Entry("with watches that break", func(c *testbed.Cluster) { setPlatformFaults(c, platform.Faults{EndWatches: true}) },
			func(c *testbed.Cluster) { setPlatformFaults(c, platform.Faults{}) }),
		Entry("with one instance cut off from the platform but not from its peers", func(c *testbed.Cluster) { c.Entries[0].PlatformLink.SetCut(testbed.CutBoth) },
			func(*testbed.Cluster) {}),
		Entry("with one instance that receives nothing from the platform", func(c *testbed.Cluster) { c.Entries[1].PlatformLink.SetCut(testbed.CutToClient) },
			func(*testbed.Cluster) {}),
		Entry("with two instances suspended during the change", func(c *testbed.Cluster) { c.Entries[0].Suspend(); c.Entries[1].Suspend() },
			func(c *testbed.Cluster) { c.Entries[0].Resume(); c.Entries[1].Resume() }),
	)

	// Guards against a configuration change that is not read because both watchers, the
	// two instances that watch the platform for their domain, are cut off from the
	// platform while a third instance is not. The test cuts off each pair of instances
	// in turn, because it does not know which two are the watchers.
	It("reaches every instance although both watchers are cut off from the platform", func() {
		c, _ := startEngineCluster("--speed", "0")
		// An instance acts as a watcher until it has joined its domain and re-evaluated
		// its roles; the test is only valid once two watchers remain.
		time.Sleep(roleSettleTime)
		for first := range c.Entries {
			second := (first + 1) % len(c.Entries)
			c.Entries[first].PlatformLink.SetCut(testbed.CutBoth)
			c.Entries[second].PlatformLink.SetCut(testbed.CutBoth)
			name := fmt.Sprintf("pair-%d", first)
			Expect(c.ApplyRecord(record.SchemaV2, record.KindTier, name, record.Tier{Priority: 1, DeadlineMs: 1000})).To(Succeed())
			waitForConfigVersion(newestVersion(c), c.Entries...)
			c.Entries[first].PlatformLink.SetCut(testbed.CutNone)
			c.Entries[second].PlatformLink.SetCut(testbed.CutNone)
		}
	})

	// Guards against an instance that starts during a platform outage and serves
	// nothing or stale configuration, and against one that serves without any
	// configuration.
	It("is read from peers by an instance that starts during an outage", func() {
		c, _ := startEngineCluster("--speed", "0")
		withdraw(c, "recall", record.Withdrawal{Upstreams: []string{"engine-1"}})
		version := newestVersion(c)
		waitForConfigVersion(version, c.Entries...)
		setPlatformFaults(c, platform.Faults{Outage: platform.OutageClose})
		restarted := c.Entries[2]
		restarted.Kill()
		Expect(c.StartEntry(restarted)).To(Succeed())
		waitForConfigVersion(version, restarted)
		result := chatRequest("question", 2, false).sendAndRead(restarted)
		Expect(result.errorKind).To(Equal("no_upstream"), result.String())
		// Without peers and platform it has no configuration and refuses requests.
		for _, e := range c.Entries {
			e.Kill()
		}
		Expect(c.StartEntry(restarted)).To(Succeed())
		isolated := chatRequest("question", 2, false).sendAndRead(restarted)
		Expect(isolated.errorKind).To(Equal("not_ready"), isolated.String())
		Expect(isolated.runState).To(Equal("not_run"))
	})
})

var _ = Describe("Requests that crash upstreams", Label("G9"), func() {
	// Guards against a request that crashes one engine after another when its caller
	// resends it under new identities, and against refusing other requests that ran on
	// the crashed engines.
	It("are refused after at most two crashes, and other requests are not", func() {
		const marker = "crash-now"
		var engines []testbed.UpstreamSpec
		for i := range 4 {
			engines = append(engines, engineSpec(fmt.Sprintf("engine-%d", i), "north", "--speed", "4", "--crash-marker", marker))
		}
		c := startCluster(testbed.ClusterSpec{Domains: []string{"north"}, EntriesPerDomain: 3, Engines: engines})
		otherResults := make(chan callResult, 8)
		for i := range cap(otherResults) {
			go func() {
				otherResults <- chatRequest(fmt.Sprintf("harmless %d", i), 40, false).sendAndRead(c.Entries[i%3])
			}()
		}
		var last callResult
		for i := range 8 {
			last = chatRequest("please "+marker, 5, false).sendAndRead(c.Entries[i%3])
		}
		crashed := 0
		for _, u := range c.Upstreams {
			if _, err := u.Wait(time.Millisecond); err == nil {
				crashed++
			}
		}
		Expect(crashed).To(BeNumerically(">=", 1), "no engine crashed, so the test checks nothing")
		Expect(crashed).To(BeNumerically("<=", 2))
		Expect(last.errorKind).To(Equal("poison_request"), last.String())
		Expect(last.runState).To(Equal("not_run"))
		for i := range cap(otherResults) {
			result := <-otherResults
			Expect(result.errorKind).NotTo(Equal("poison_request"), result.String())
			again := chatRequest(fmt.Sprintf("harmless %d", i), 2, false).sendAndRead(c.Entries[0])
			Expect(again.status).To(Equal(http.StatusOK), again.String())
		}
	})
})

var _ = Describe("Tier order", Label("G2"), func() {
	// Guards against a request of a higher tier that is refused for capacity while
	// one of a lower tier is admitted, across all instances of a domain.
	It("refuses no request of the highest tier while a lower one is admitted", func() {
		spec := engineSpec("engine-1", "north", "--speed", "2", "--max-running", "4")
		spec.Record.MaxRequests = 4
		c := startCluster(testbed.ClusterSpec{Domains: []string{"north"}, EntriesPerDomain: 3, Engines: []testbed.UpstreamSpec{spec}})
		type outcome struct {
			tier string
			callResult
		}
		const low, high = 400, 40
		outcomes := make(chan outcome, low+high)
		send := func(i int, tier string) {
			result := chatRequest(fmt.Sprintf("%s %d", tier, i), 20, false).withHeader("Rosemarywing-Tier", tier).
				withHeader("Rosemarywing-Timeout-Ms", "8000").sendAndRead(c.Entries[i%3])
			outcomes <- outcome{tier, result}
		}
		for i := range low {
			go send(i, "low")
		}
		for i := range high {
			go send(i, "high")
		}
		refused := map[string]int{}
		for range low + high {
			o := <-outcomes
			if o.status != http.StatusOK {
				refused[o.tier]++
				Expect(o.tier).To(Equal("low"), o.String())
			}
		}
		Expect(refused["low"]).To(BeNumerically(">", 0), "no request was refused, so the test checks nothing")
	})
})

var _ = Describe("Death of a scheduler", Label("G1", "G2", "G11"), func() {
	// Guards against requests that are lost or run twice when the instance that
	// schedules their pool dies during a platform outage.
	It("moves the pool to another instance, and requests at other entries run once", func() {
		c, upstream := startEngineCluster("--speed", "4")
		setPlatformFaults(c, platform.Faults{Outage: platform.OutageClose})
		const perEntry = 8
		results := make(chan callResult, 3*perEntry)
		killed := c.Entries[1]
		for i := range 2 * perEntry {
			e := c.Entries[(i%2)*2]
			go func() { results <- chatRequest(fmt.Sprintf("question %d", i), 40, false).sendAndRead(e) }()
		}
		Eventually(func() int { return receivedRequests(upstream) }, waitTimeout).Should(BeNumerically(">", 0))
		killed.Kill()
		for range 2 * perEntry {
			result := <-results
			Expect(result.status).To(Equal(http.StatusOK), result.String())
		}
		for _, r := range engineLog(upstream).Requests {
			Expect(r.Receipts).To(Equal(1), r.RequestID)
		}
	})
})
