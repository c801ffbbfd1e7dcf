package loadshare_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
)

func report(name, domain string, members uint16, boot int64, sequence uint64) loadshare.Report {
	return loadshare.Report{Power: 40, Instance: name, Domain: domain, Members: members, Boot: boot, Sequence: sequence, Address: "127.0.0.1:" + map[string]string{"a": "7001", "b": "7002", "c": "7003", "z": "7009"}[name]}
}

func handleReport(g *GomegaWithT, p *loadshare.Peers, now time.Duration, r loadshare.Report) (current, recovered bool) {
	current, recovered, err := p.Heard(now, r)
	g.Expect(err).NotTo(HaveOccurred())
	return current, recovered
}

func TestReportEncodeDecodeRoundTrip(t *testing.T) {
	g := NewWithT(t)
	sent := report("a", "north", 3, 5, 6)
	sent.Upstreams = []loadshare.UpstreamUse{{Upstream: 7, InFlight: 8, AwaitedTokens: 9000, SpeedPercent: 280, Samples: 4}}
	sent.Demands = []loadshare.Demand{{Service: 3, Places: 20}}
	sent.Teams = []loadshare.TeamUse{{Team: 1, Used: 1 << 31}}
	sent.Strikes = []loadshare.Strike{{Fingerprint: 1 << 63, Count: 2}}
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
		boot     int64
		sequence uint64
		current  bool
	}{{1, 5, true}, {1, 5, false}, {1, 4, false}, {2, 1, true}, {1, 9, false}, {2, 2, true}} {
		current, _ := handleReport(g, p, time.Second, report("a", "north", 0, c.boot, c.sequence))
		g.Expect(current).To(Equal(c.current), "%+v", c)
	}
	current, _ := handleReport(g, p, time.Second, report("b", "north", 0, 9, 9))
	g.Expect(current).To(BeFalse(), "a report from the instance itself")
}

// Failure: the relay crashes. Guards against a failure domain in which no instance
// reads the store and whose load the other failure domains do not see.
func TestRelayIsFirstReachableInstanceByName(t *testing.T) {
	g := NewWithT(t)
	p := loadshare.NewPeers("b", "north", 40, 5)
	g.Expect(p.Relay()).To(BeEmpty())
	handleReport(g, p, time.Second, report("a", "north", 0, 1, 1))
	handleReport(g, p, time.Second, report("c", "north", 0, 1, 1))
	g.Expect(p.Relay()).To(Equal("127.0.0.1:7001"))
	g.Expect(p.Live()).To(Equal(3))
	g.Expect(p.Silent(3 * time.Second)).To(Equal([]string{"a", "c"}))
	g.Expect(p.Relay()).To(BeEmpty())
	g.Expect(p.Live()).To(Equal(1))
	_, regained := handleReport(g, p, 3*time.Second, report("a", "north", 0, 1, 2))
	g.Expect(regained).To(BeTrue())
	leaving := report("a", "north", 0, 1, 3)
	leaving.Leaving = true
	handleReport(g, p, 3*time.Second, leaving)
	g.Expect(p.Relay()).To(BeEmpty())
}

// Guards against sending summaries to all instances of another failure domain, and
// against never probing an unreachable failure domain again.
func TestSummariesTargetRemoteRelay(t *testing.T) {
	g := NewWithT(t)
	p := loadshare.NewPeers("b", "north", 40, 5)
	for name, address := range map[string]string{"x": "127.0.0.1:8001", "y": "127.0.0.1:8002", "z": "127.0.0.1:7009"} {
		_, err := p.Add(0, name, loadshare.Place{Domain: "south", Address: address})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(p.Far()).To(HaveLen(2))
	handleReport(g, p, time.Second, report("z", "south", 3, 1, 1))
	g.Expect(p.Far()).To(HaveLen(1))
	g.Expect(p.Far()[0].Port).To(Equal(7009))
	g.Expect(p.Silent(5 * time.Second)).To(Equal([]string{loadshare.DomainPeer("south")}))
	g.Expect(p.Far()).To(HaveLen(2))
	g.Expect(p.Count()).To(Equal(4))
	g.Expect(p.Known("south")).To(Equal(3))
}

func TestUnreachablePeersAreProbedThenForgotten(t *testing.T) {
	g := NewWithT(t)
	p := loadshare.NewPeers("b", "north", 40, 5)
	handleReport(g, p, 0, report("a", "north", 0, 1, 1))
	g.Expect(p.Near(time.Millisecond)).To(HaveLen(1))
	p.Silent(time.Second)
	g.Expect(p.Near(time.Second)).To(BeEmpty())
	g.Expect(p.Near(1100 * time.Millisecond)).To(HaveLen(1))
	g.Expect(p.Near(5 * time.Minute)).To(BeEmpty())
	g.Expect(p.Count()).To(Equal(1))
	g.Expect(p.IsNear(&net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 7001})).To(BeFalse())
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
func TestRelayFollowsFirstReachableFailureDomain(t *testing.T) {
	g := NewWithT(t)
	p := loadshare.NewPeers("b", "north", 40, 5)
	g.Expect(p.Lead()).To(BeEmpty())
	g.Expect(p.IsFirst()).To(BeTrue())
	handleReport(g, p, 0, loadshare.Report{Instance: "z", Boot: 1, Sequence: 1, Address: "127.0.0.1:9", Domain: "south", Members: 2})
	g.Expect(p.Lead()).To(BeEmpty(), "failure domains of lower rank are not followed")
	g.Expect(p.IsFirst()).To(BeTrue())
	_, err := p.Add(0, "x", loadshare.Place{Domain: "east", Address: "127.0.0.1:6"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.IsFirst()).To(BeFalse(), "an instance not heard from yet may rank higher")
	handleReport(g, p, 0, loadshare.Report{Instance: "y", Boot: 1, Sequence: 1, Address: "127.0.0.1:8", Domain: "east", Members: 2})
	g.Expect(p.Lead()).To(Equal("127.0.0.1:8"))
	handleReport(g, p, 0, loadshare.Report{Instance: "a", Boot: 1, Sequence: 1, Power: 40, Address: "127.0.0.1:7", Domain: "north"})
	g.Expect(p.Lead()).To(Equal("127.0.0.1:7"), "the local relay has precedence")
	// Failure: the instances of higher rank cannot read the store.
	handleReport(g, p, 0, loadshare.Report{Instance: "a", Boot: 1, Sequence: 2, Power: 40, Address: "127.0.0.1:7", Domain: "north", Failing: true})
	g.Expect(p.Relay()).To(BeEmpty())
	handleReport(g, p, 0, loadshare.Report{Instance: "y", Boot: 1, Sequence: 2, Address: "127.0.0.1:8", Domain: "east", Members: 2, Failing: true})
	g.Expect(p.Lead()).To(BeEmpty())
	g.Expect(p.SetState(true, false)).To(BeTrue())
	g.Expect(p.Lead()).To(Equal("127.0.0.1:7"), "the first by name if none can read the store")
	g.Expect(p.SetState(false, false)).To(BeTrue())
	p.Silent(time.Second)
	g.Expect(p.Lead()).To(BeEmpty(), "unreachable instances are not followed")
}

// Failure: the relay restarts. Guards against an instance that sends summaries for
// its failure domain without knowing the quota usage from before its start.
func TestInstanceWithoutUsageHistoryIsNotRelay(t *testing.T) {
	g := NewWithT(t)
	p := loadshare.NewPeers("b", "north", 40, 5)
	cold := report("a", "north", 0, 1, 1)
	cold.Cold = 1
	handleReport(g, p, 0, cold)
	g.Expect(p.Relay()).To(BeEmpty())
	p.SetState(false, true)
	g.Expect(p.Relay()).To(Equal("127.0.0.1:7001"), "the first by name if all lack the usage history")
	ended := report("a", "north", 0, 1, 2)
	ended.Ended = true
	handleReport(g, p, 0, ended)
	g.Expect(p.Relay()).To(BeEmpty())
	g.Expect(p.Expected(0, time.Minute)).To(Equal(1))
}

// Failure: instances restart one after the other within the quota window. Guards
// against the newest one becoming the relay: it knows neither the usage of its own
// previous process nor that of the others (soak: seeds 601 and 604).
func TestRelayIsOldestInstanceWithoutUsageHistory(t *testing.T) {
	g := NewWithT(t)
	const second = int64(time.Second)
	p := loadshare.NewPeers("b", "north", 40, 3*second)
	p.SetState(true, true)
	newer := report("a", "north", 0, 5*second, 1)
	newer.Cold = 1
	handleReport(g, p, 0, newer)
	g.Expect(p.Relay()).To(BeEmpty(), "the older start outranks store access")
	older := report("c", "north", 0, 2*second, 1)
	older.Cold = 1
	handleReport(g, p, 0, older)
	g.Expect(p.Relay()).To(Equal("127.0.0.1:7003"))
}

// Load pattern: instances limited to 0.2 to 0.8 of a core. Guards against the
// smallest one sending the summaries and serving the store copies for all.
func TestRelayIsInstanceWithHighestCPUShare(t *testing.T) {
	g := NewWithT(t)
	p := loadshare.NewPeers("b", "north", 40, 5)
	low := report("a", "north", 0, 1, 1)
	low.Power = 19
	handleReport(g, p, 0, low)
	g.Expect(p.Relay()).To(BeEmpty())
	high := report("c", "north", 0, 1, 1)
	high.Power = 80
	handleReport(g, p, 0, high)
	g.Expect(p.Relay()).To(Equal("127.0.0.1:7003"))
}
