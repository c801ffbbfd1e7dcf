package loadshare_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
)

func report(name, domain string, coveredInstances uint16, startTime int64, sequence uint64) loadshare.Report {
	return loadshare.Report{CPUPercent: 40, Instance: name, Domain: domain, CoveredInstances: coveredInstances, StartTime: startTime, Sequence: sequence, Address: "127.0.0.1:" + map[string]string{"a": "7001", "b": "7002", "c": "7003", "z": "7009"}[name]}
}

func handleReport(g *GomegaWithT, p *loadshare.Peers, now time.Duration, r loadshare.Report) (current, recovered bool) {
	current, recovered, err := p.HandleReport(now, r)
	g.Expect(err).NotTo(HaveOccurred())
	return current, recovered
}

func TestReportEncodeDecodeRoundTrip(t *testing.T) {
	g := NewWithT(t)
	sent := report("a", "north", 3, 5, 6)
	sent.Upstreams = []loadshare.UpstreamLoad{{Upstream: 7, InFlight: 8, PendingPrefillTokens: 9000, SpeedPercent: 280, Samples: 4}}
	sent.Demands = []loadshare.Demand{{Service: 3, Requests: 20}}
	sent.Teams = []loadshare.TeamUsage{{Team: 1, Used: 1 << 31}}
	sent.Suspicions = []loadshare.Suspicion{{Service: 7, Hash: 1 << 63, Shared: true, Epoch: 2, AgeMs: 30, Crashes: []loadshare.Crash{{Process: 9, AgeMs: 40}}, Blocks: 1, BlockMs: 20_000}}
	content, err := loadshare.Encode(sent)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := loadshare.Decode(content)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(sent))
	for _, bad := range [][]byte{nil, {0}, []byte("hello"), content[:len(content)/2]} {
		_, err := loadshare.Decode(bad)
		g.Expect(err).To(HaveOccurred())
	}
}

// Guards against a late datagram replacing a newer one, and against a report of a
// peer's previous process.
func TestStaleReportsAreRejected(t *testing.T) {
	g := NewWithT(t)
	p := loadshare.NewPeers("b", "north", 40, 5)
	for _, c := range []struct {
		startTime int64
		sequence  uint64
		current   bool
	}{{1, 5, true}, {1, 5, false}, {1, 4, false}, {2, 1, true}, {1, 9, false}, {2, 2, true}} {
		current, _ := handleReport(g, p, time.Second, report("a", "north", 0, c.startTime, c.sequence))
		g.Expect(current).To(Equal(c.current), "%+v", c)
	}
	current, _ := handleReport(g, p, time.Second, report("b", "north", 0, 9, 9))
	g.Expect(current).To(BeFalse(), "a report from the instance itself")
}

// Failure: an instance starts again with a clock that was set back, so that its start time is
// before that of its previous process. Guards against ignoring all its reports, and against
// taking a late report of the previous process for one of the next.
func TestReportsOfPeerWhoseClockWasSetBackAreUsed(t *testing.T) {
	for name, test := range map[string]struct {
		domain  string
		covered uint16
	}{"of the own failure domain": {"north", 0}, "relay of another failure domain": {"south", 3}} {
		g := NewWithT(t)
		p := loadshare.NewPeers("b", "north", 40, 5)
		next := func(now time.Duration, startTime int64, sequence uint64) (current, recovered bool) {
			p.MarkUnreachable(now)
			return handleReport(g, p, now, report("z", test.domain, test.covered, startTime, sequence))
		}
		next(time.Second, 900, 40)
		current, _ := next(1200*time.Millisecond, 500, 1)
		g.Expect(current).To(BeFalse(), "%s: the previous process has just sent a report", name)
		current, recovered := next(2*time.Second, 500, 3)
		g.Expect([]bool{current, recovered}).To(Equal([]bool{true, true}), name)
		current, _ = next(2*time.Second, 500, 2)
		g.Expect(current).To(BeFalse(), "%s: late", name)
		current, _ = next(2100*time.Millisecond, 500, 4)
		g.Expect(current).To(BeTrue(), name)
	}
}

// Failure: the relay of a large failure domain starts again with a clock that was set back.
// Guards against followers that never take its replies.
func TestRepliesOfRelayWhoseClockWasSetBackAreUsed(t *testing.T) {
	g := NewWithT(t)
	p := loadshare.NewPeers("b", "north", 40, 5)
	reply := func(now time.Duration, startTime int64, sequence uint64) bool {
		p.MarkUnreachable(now)
		current, _, err := p.HandleReply(now, &loadshare.Reply{Instance: "a", Domain: "north", Address: "127.0.0.1:7001", StartTime: startTime, Sequence: sequence}, nil)
		g.Expect(err).NotTo(HaveOccurred())
		return current
	}
	g.Expect(reply(time.Second, 900, 40)).To(BeTrue())
	g.Expect(reply(1200*time.Millisecond, 500, 1)).To(BeFalse())
	g.Expect(reply(2*time.Second, 500, 3)).To(BeTrue())
	g.Expect(reply(2*time.Second, 500, 2)).To(BeFalse())
}

// An instance announces its stop and starts again with a clock that was set back. Guards
// against waiting until it counts as unreachable.
func TestReportsOfStoppedPeerWhoseClockWasSetBackAreUsedAtOnce(t *testing.T) {
	g := NewWithT(t)
	p := loadshare.NewPeers("b", "north", 40, 5)
	stopped := report("a", "north", 0, 900, 40)
	stopped.Stopped = true
	handleReport(g, p, time.Second, stopped)
	current, _ := handleReport(g, p, time.Second, report("a", "north", 0, 900, 39))
	g.Expect(current).To(BeFalse())
	current, _ = handleReport(g, p, time.Second, report("a", "north", 0, 500, 1))
	g.Expect(current).To(BeTrue())
}

// Failure: the relay crashes or shuts down. Guards against a failure domain in which
// no instance reads the store and whose load the other failure domains do not see.
func TestNextInstanceBecomesRelayWhenRelayIsLost(t *testing.T) {
	g := NewWithT(t)
	p := loadshare.NewPeers("b", "north", 40, 5)
	g.Expect(p.RelayAddress()).To(BeEmpty())
	handleReport(g, p, time.Second, report("a", "north", 0, 1, 1))
	handleReport(g, p, time.Second, report("c", "north", 0, 1, 1))
	g.Expect(p.RelayAddress()).To(Equal("127.0.0.1:7001"))
	g.Expect(p.ReachableCount()).To(Equal(3))
	g.Expect(p.MarkUnreachable(3 * time.Second)).To(Equal([]string{"a", "c"}))
	g.Expect(p.RelayAddress()).To(BeEmpty())
	g.Expect(p.ReachableCount()).To(Equal(1))
	_, recovered := handleReport(g, p, 3*time.Second, report("a", "north", 0, 1, 2))
	g.Expect(recovered).To(BeTrue())
	leaving := report("a", "north", 0, 1, 3)
	leaving.Leaving = true
	handleReport(g, p, 3*time.Second, leaving)
	g.Expect(p.RelayAddress()).To(BeEmpty())
}

// Guards against sending summaries to all instances of another failure domain, and
// against never probing an unreachable failure domain again.
func TestSummariesTargetRemoteRelay(t *testing.T) {
	g := NewWithT(t)
	p := loadshare.NewPeers("b", "north", 40, 5)
	for name, address := range map[string]string{"x": "127.0.0.1:8001", "y": "127.0.0.1:8002", "z": "127.0.0.1:7009"} {
		_, err := p.Add(0, name, loadshare.PeerInfo{Domain: "south", Address: address})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(p.RemoteTargets()).To(HaveLen(2))
	handleReport(g, p, time.Second, report("z", "south", 3, 1, 1))
	g.Expect(p.RemoteTargets()).To(HaveLen(1))
	g.Expect(p.RemoteTargets()[0].Port).To(Equal(7009))
	g.Expect(p.MarkUnreachable(5 * time.Second)).To(Equal([]string{loadshare.DomainKey("south")}))
	g.Expect(p.RemoteTargets()).To(HaveLen(2))
	g.Expect(p.KnownCount()).To(Equal(4))
	g.Expect(p.KnownInDomain("south")).To(Equal(3))
}

func TestUnreachablePeersAreProbedThenForgotten(t *testing.T) {
	g := NewWithT(t)
	p := loadshare.NewPeers("b", "north", 40, 5)
	handleReport(g, p, 0, report("a", "north", 0, 1, 1))
	g.Expect(p.LocalTargets(time.Millisecond)).To(HaveLen(1))
	p.MarkUnreachable(time.Second)
	g.Expect(p.LocalTargets(time.Second)).To(BeEmpty())
	g.Expect(p.LocalTargets(1100 * time.Millisecond)).To(HaveLen(1))
	g.Expect(p.LocalTargets(5 * time.Minute)).To(BeEmpty())
	g.Expect(p.KnownCount()).To(Equal(1))
	g.Expect(p.IsLocalPeer(&net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 7001})).To(BeFalse())
}

func FuzzDecode(f *testing.F) {
	content, err := loadshare.Encode(report("a", "north", 3, 5, 6))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Fuzz(func(t *testing.T, content []byte) {
		if r, err := loadshare.Decode(content); err == nil && r.Instance == "" {
			t.Error("decoded a report without an instance")
		}
	})
}

// Guards against each failure domain reading the store itself, and against relays
// that copy from each other.
func TestRelayFollowsHighestRankedReachableFailureDomain(t *testing.T) {
	g := NewWithT(t)
	p := loadshare.NewPeers("b", "north", 40, 5)
	g.Expect(p.SyncSourceAddress()).To(BeEmpty())
	g.Expect(p.IsHighestRanked()).To(BeTrue())
	handleReport(g, p, 0, loadshare.Report{Instance: "z", StartTime: 1, Sequence: 1, Address: "127.0.0.1:9", Domain: "south", CoveredInstances: 2})
	g.Expect(p.SyncSourceAddress()).To(BeEmpty(), "failure domains of lower rank are not followed")
	g.Expect(p.IsHighestRanked()).To(BeTrue())
	_, err := p.Add(0, "x", loadshare.PeerInfo{Domain: "east", Address: "127.0.0.1:6"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.IsHighestRanked()).To(BeFalse(), "an instance not heard from yet may rank higher")
	handleReport(g, p, 0, loadshare.Report{Instance: "y", StartTime: 1, Sequence: 1, Address: "127.0.0.1:8", Domain: "east", CoveredInstances: 2})
	g.Expect(p.SyncSourceAddress()).To(Equal("127.0.0.1:8"))
	handleReport(g, p, 0, loadshare.Report{Instance: "a", StartTime: 1, Sequence: 1, CPUPercent: 40, Address: "127.0.0.1:7", Domain: "north"})
	g.Expect(p.SyncSourceAddress()).To(Equal("127.0.0.1:7"), "the local relay has precedence")
	// Failure: the instances of higher rank cannot read the store.
	handleReport(g, p, 0, loadshare.Report{Instance: "a", StartTime: 1, Sequence: 2, CPUPercent: 40, Address: "127.0.0.1:7", Domain: "north", StoreFailing: true})
	g.Expect(p.RelayAddress()).To(BeEmpty())
	handleReport(g, p, 0, loadshare.Report{Instance: "y", StartTime: 1, Sequence: 2, Address: "127.0.0.1:8", Domain: "east", CoveredInstances: 2, StoreFailing: true})
	g.Expect(p.SyncSourceAddress()).To(BeEmpty())
	g.Expect(p.SetOwnState(true, false)).To(BeTrue())
	g.Expect(p.SyncSourceAddress()).To(Equal("127.0.0.1:7"), "the first by name if none can read the store")
	g.Expect(p.SetOwnState(false, false)).To(BeTrue())
	p.MarkUnreachable(time.Second)
	g.Expect(p.SyncSourceAddress()).To(BeEmpty(), "unreachable instances are not followed")
}

// Failure: the relay restarts. Guards against an instance that sends summaries for
// its failure domain without knowing the quota usage from before its start, while
// another instance knows it.
func TestRelayIsInstanceWithUsageHistory(t *testing.T) {
	g := NewWithT(t)
	p := loadshare.NewPeers("b", "north", 40, 5)
	withoutUsageHistory := report("a", "north", 0, 1, 1)
	withoutUsageHistory.WithoutUsageHistory = 1
	handleReport(g, p, 0, withoutUsageHistory)
	g.Expect(p.RelayAddress()).To(BeEmpty())
	p.SetOwnState(false, true)
	g.Expect(p.RelayAddress()).To(Equal("127.0.0.1:7001"), "the first by name if all lack the usage history")
	stopped := report("a", "north", 0, 1, 2)
	stopped.Stopped = true
	handleReport(g, p, 0, stopped)
	g.Expect(p.RelayAddress()).To(BeEmpty())
	g.Expect(p.ExpectedCount(0, time.Minute)).To(Equal(1))
}

// Failure: instances restart one after the other within the quota window. Guards
// against the newest instance becoming the relay: it knows neither what its own
// previous process used nor what the other instances used (soak test: seeds 601 and
// 604).
func TestRelayIsOldestInstanceWithoutUsageHistory(t *testing.T) {
	g := NewWithT(t)
	const second = int64(time.Second)
	p := loadshare.NewPeers("b", "north", 40, 3*second)
	p.SetOwnState(true, true)
	newer := report("a", "north", 0, 5*second, 1)
	newer.WithoutUsageHistory = 1
	handleReport(g, p, 0, newer)
	g.Expect(p.RelayAddress()).To(BeEmpty(), "the older start outranks store access")
	older := report("c", "north", 0, 2*second, 1)
	older.WithoutUsageHistory = 1
	handleReport(g, p, 0, older)
	g.Expect(p.RelayAddress()).To(Equal("127.0.0.1:7003"))
}

// Load pattern: instances limited to 0.2 to 0.8 of a core. Guards against the
// instance with the lowest limit sending the summaries and serving the store copies
// for all.
func TestRelayIsInstanceWithHighestCPUShare(t *testing.T) {
	g := NewWithT(t)
	p := loadshare.NewPeers("b", "north", 40, 5)
	low := report("a", "north", 0, 1, 1)
	low.CPUPercent = 19
	handleReport(g, p, 0, low)
	g.Expect(p.RelayAddress()).To(BeEmpty())
	high := report("c", "north", 0, 1, 1)
	high.CPUPercent = 80
	handleReport(g, p, 0, high)
	g.Expect(p.RelayAddress()).To(Equal("127.0.0.1:7003"))
}
