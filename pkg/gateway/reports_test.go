package gateway

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/poison"
	"github.com/rosemarywing/rosemarywing/pkg/quota"
	"github.com/rosemarywing/rosemarywing/pkg/traffic"
)

// Load pattern: with 87 instances and 140 upstreams, full reports are so large that
// they can be sent only every 150 ms. Guards against delaying small changes until
// the next full report, in which time all instances choose the same upstreams.
func TestPartialReportContainsOnlyChanges(t *testing.T) {
	g := NewWithT(t)
	var state reportState
	loads := func(inFlight0, inFlight1 int) map[string]admission.Load {
		all := map[string]admission.Load{"idle": {Speed: 1, Samples: 3}}
		for id, inFlight := range map[string]int{"e0": inFlight0, "e1": inFlight1} {
			if inFlight > 0 {
				all[id] = admission.Load{InFlight: inFlight}
			}
		}
		return all
	}
	loadsSent, usesSent, partial := state.delta(time.Second, loads(1, 2), map[string]float64{"desk": 5, "lab": 6})
	g.Expect(partial).To(BeFalse())
	g.Expect(loadsSent).To(HaveLen(3))
	g.Expect(usesSent).To(HaveLen(2))

	loadsSent, usesSent, partial = state.delta(time.Second+localReportInterval, loads(0, 2), map[string]float64{"desk": 7, "lab": 6})
	g.Expect(partial).To(BeTrue())
	g.Expect(loadsSent).To(Equal(map[string]admission.Load{"e0": {}}), "an upstream without requests left is reported")
	g.Expect(usesSent).To(Equal(map[string]float64{"desk": 7}))

	loadsSent, _, _ = state.delta(time.Second+2*localReportInterval, loads(0, 2), map[string]float64{"desk": 7, "lab": 6})
	g.Expect(loadsSent).To(BeEmpty())

	loadsSent, _, partial = state.delta(time.Second+fullReportInterval, loads(0, 2), nil)
	g.Expect(partial).To(BeFalse())
	g.Expect(loadsSent).To(HaveLen(2))
}

// newTestControlLoop returns the control loop of instance a without starting its
// goroutines.
func newTestControlLoop(t *testing.T, now *time.Duration, firstStart bool) *controlLoop {
	settings := defaultSettings()
	settings.Instance = InstanceSettings{Name: "a", Domain: "north", FirstStart: firstStart}
	settings.Listen.Peers = "127.0.0.1:0"
	instance, err := New(Options{Settings: settings, Log: logr.Discard(), Clock: clockwork.NewFakeClock(), Now: func() time.Duration { return *now }})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = instance.socket.Close() })
	return instance.control
}

// Failure: an instance restarts, and the only peer that knows the quota usage stops
// before the restarted one has read the configuration, without which it cannot
// resolve the team hashes in reports. Guards against treating the peer's report as
// one without any usage (soak test seeds 601 and 604).
func TestQuotaUsageReportedBeforeFirstConfigCounts(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	c := newTestControlLoop(t, &now, false)
	c.applyQuotaUsage(now, "b", 1, loadshare.Report{Instance: "b", StartTime: 1, Domain: "north", UsageSource: uint8(quota.SourceObserved),
		Teams: []loadshare.TeamUsage{{Team: loadshare.ShortHash("desk"), Total: 700}}})
	known := make(chan bool, 1)
	totalUsageKnownMsg{reply: known}.apply(c)
	g.Expect(<-known).To(BeTrue(), "the usage record in the store need not be read")
	c.quotas.MarkStopped(now, "b")
	c.setConfig(traffic.Config{Version: 1, Teams: []traffic.Team{{Name: "desk"}}}, 1, now)
	now += time.Second
	verdict := c.quotas.Charge(now, "desk", quota.Limit{PerSecond: 100}, 1)
	g.Expect(verdict.Used).To(Equal(700.0))
}

// Failure: one of two instances of a failure domain restarts. Guards against
// reporting on behalf of the domain before the other instance is known: peers took
// that for a restart of both, and counted all their quota usage twice.
func TestNoRemoteReportBeforePeersAreKnown(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	c := newTestControlLoop(t, &now, true)
	_, err := c.peers.Add(now, "z", loadshare.PeerInfo{Domain: "south", Address: "127.0.0.1:9"})
	g.Expect(err).NotTo(HaveOccurred())
	c.sendDueReports(now)
	g.Expect(c.localReports.sentAt).To(Equal(now))
	g.Expect(c.remoteReports.sentAt).To(BeZero())
	peerListReadMsg{}.apply(c)
	now += remoteReportDelay
	c.sendDueReports(now)
	g.Expect(c.remoteReports.sentAt).To(Equal(now))
}

// An upstream crashes, is back at once under the same ID, and crashes again, three times
// within two seconds. Guards against counting that as one crash, because a process that has
// just started has no load and is chosen again.
func TestCrashesOfRestartedUpstreamAreDistinct(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	c := newTestControlLoop(t, &now, true)
	part := poison.Trait{Fingerprint: poison.Fingerprint{Service: loadshare.ShortHash("desk"), Hash: 1, Shared: true}, Name: "part"}
	for incarnation := range int64(3) {
		crashMsg{process: admission.Process{ID: "u1", Incarnation: incarnation}, traits: []poison.Trait{part}}.apply(c)
		answerMsg{service: "desk"}.apply(c)
		now += 500 * time.Millisecond
	}
	reply := make(chan poison.Verdict, 1)
	admitMsg{traits: []poison.Trait{part}, reply: reply}.apply(c)
	g.Expect((<-reply).Blocked).To(BeTrue())
}

// An upstream crashes while it runs requests, and then a request with the same part of the
// prompt is answered. Guards against telling the other instances, which may refuse such
// requests, of the answer with the next periodic report only.
func TestAnswerAfterACrashIsReportedAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	c := newTestControlLoop(t, &now, true)
	part := poison.Trait{Fingerprint: poison.Fingerprint{Service: loadshare.ShortHash("desk"), Hash: 1, Shared: true}, Name: "part"}
	crashMsg{process: admission.Process{ID: "u1", Incarnation: 1}, traits: []poison.Trait{part}}.apply(c)
	g.Expect(c.localReports.changed).To(BeTrue())
	c.localReports.changed, c.remoteReports.changed = false, false
	answerMsg{service: "desk", traits: []poison.Trait{part}}.apply(c)
	g.Expect(c.localReports.changed).To(BeTrue())
	g.Expect(c.remoteReports.changed).To(BeTrue())
	c.localReports.changed = false
	answerMsg{service: "desk", traits: []poison.Trait{part}}.apply(c)
	g.Expect(c.localReports.changed).To(BeFalse(), "an answer that tells nothing new is not reported")
}
