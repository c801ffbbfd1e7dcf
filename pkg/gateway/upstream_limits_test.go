package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/traffic"
)

// limitsTestLoop returns a control loop that knows one engine with 16 slots.
func limitsTestLoop(t *testing.T, now *time.Duration, learn bool) *controlLoop {
	c := newTestControlLoop(t, now, true)
	c.g.settings.Placement.LearnLimits = learn
	c.setConfig(traffic.Config{Version: 1, Services: []traffic.Service{{Name: "llm", KVCacheTokens: 1, Slots: 16, TokensPerEvent: 1}}}, 1, *now)
	info := admission.UpstreamInfo{ID: "e0", Service: "llm", Address: "127.0.0.1:9", Domain: "north", Slots: 16}
	c.upstreams[info.ID], c.services[info.ID], c.upstreamNames[loadshare.ShortHash(info.ID)] = info, info.Service, info.ID
	c.pool("llm").SetUpstream(info)
	return c
}

func (c *controlLoop) limitOf(id string) int {
	limit := 0
	for _, e := range c.collectLimits(false, "") {
		if e.info.ID == id {
			limit = e.evidence.Limit
		}
	}
	return limit
}

// answerAtLoad lets an answer of one second end while load requests run at e0.
func answerAtLoad(c *controlLoop, now *time.Duration, load int, step time.Duration) {
	for key := range uint64(load) {
		c.pool("llm").Submit(&admission.Request{Key: key, Service: "llm", Arrived: *now, SoftDeadline: *now + time.Minute, Deadline: *now + time.Hour})
	}
	c.pool("llm").Schedule(*now)
	c.pool("llm").Schedule(*now)
	*now += time.Second
	for key := range uint64(load) {
		result := admission.Result{Outcome: admission.NotSent}
		if key == 0 {
			result = admission.Result{Outcome: admission.Answered, EventInterval: step, TotalTime: time.Second}
		}
		c.pool("llm").Finish(*now, "e0", key, result)
	}
}

// Guards against bytes, evidence and limits where the setting is off.
func TestNothingIsReportedOnLimitsUnlessTheyAreLearned(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	c := limitsTestLoop(t, &now, false)
	answerAtLoad(c, &now, 4, 4*time.Millisecond)
	g.Expect(c.buildReport(now, &c.localReports, false).Limits).To(BeNil())
	c.update()
	g.Expect(c.g.upstreamLimits.Load()).To(BeNil())
	c.applyLimits(now, false, loadshare.Report{Instance: "b", Domain: "north", Limits: []loadshare.UpstreamLimit{{Upstream: loadshare.ShortHash("e0"), Limit: 3}}})
	g.Expect(c.pool("llm").TakeLimitMoves()).To(BeEmpty())
}

// Guards against evidence that is lost on its way between instances, reports that repeat
// all of it each time, and a summary that lacks the answers of the peers.
func TestLimitEvidenceIsPooledOverReports(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	sender, receiver := limitsTestLoop(t, &now, true), limitsTestLoop(t, &now, true)
	transfer := func() int {
		report := sender.buildReport(now, &sender.localReports, false)
		report.Instance = "b"
		encoded, err := loadshare.Encode(report)
		g.Expect(err).NotTo(HaveOccurred())
		decoded, err := loadshare.Decode(encoded)
		g.Expect(err).NotTo(HaveOccurred())
		receiver.applyLimits(now, false, decoded)
		cells := 0
		for _, limit := range decoded.Limits {
			cells += len(limit.Cells)
		}
		return cells
	}
	answerAtLoad(sender, &now, 4, 4*time.Millisecond)
	g.Expect(transfer()).To(Equal(1))
	g.Expect(transfer()).To(BeZero(), "too early")
	for range 3 {
		answerAtLoad(sender, &now, 4, 4*time.Millisecond)
	}
	answerAtLoad(sender, &now, 9, 5*time.Millisecond)
	g.Expect(transfer()).To(Equal(2))
	now += time.Second
	g.Expect(transfer()).To(BeZero(), "nothing has changed")
	answers := func(wholeDomain bool) uint32 {
		sum := uint32(0)
		for _, e := range receiver.collectLimits(wholeDomain, "") {
			for _, cell := range e.evidence.Cells {
				sum += cell.Counts.Answers
			}
		}
		return sum
	}
	g.Expect(answers(false)).To(BeZero(), "own answers")
	g.Expect(answers(true)).To(Equal(uint32(4)), "all but those of the first report, which shows where the counts begin")
}

// Guards against instances that each decide on a limit, and against a domain that decides
// on the upstreams of another one.
func TestRelayOfTheUpstreamsDomainDecidesOnItsLimit(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	report := func(domain string, limit uint16) loadshare.Report {
		return loadshare.Report{Instance: "b", Domain: domain, Limits: []loadshare.UpstreamLimit{{Upstream: loadshare.ShortHash("e0"), Limit: limit}, {Upstream: 1, Limit: 2}}}
	}
	c := limitsTestLoop(t, &now, true)
	answerAtLoad(c, &now, 4, 4*time.Millisecond)
	c.applyLimits(now, true, report("south", 5))
	g.Expect(c.limitOf("e0")).To(Equal(17), "another domain")
	g.Expect(c.peers.Relay()).To(Equal("a"))
	c.applyLimits(now, false, report("north", 5))
	g.Expect(c.limitOf("e0")).To(Equal(17), "not the relay")
	info := c.upstreams["e0"]
	info.Domain = "south"
	c.upstreams["e0"] = info
	c.applyLimits(now, true, report("south", 5))
	g.Expect(c.limitOf("e0")).To(Equal(5))

	started := limitsTestLoop(t, &now, true)
	started.applyLimits(now, false, report("north", 5))
	g.Expect(started.limitOf("e0")).To(Equal(5), "an instance without evidence")
	follower := limitsTestLoop(t, &now, true)
	answerAtLoad(follower, &now, 4, 4*time.Millisecond)
	follower.applyLimitView(now, "b", &loadshare.View{Limits: c.limitsForView()})
	g.Expect(follower.limitOf("e0")).To(Equal(5), "a follower of a relay")
}

// Guards against reports that grow with the number of upstreams.
func TestReportsOnLimitsAreBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	c := limitsTestLoop(t, &now, true)
	const upstreams = 200
	for i := range upstreams {
		id := "x" + string(rune('a'+i/26)) + string(rune('a'+i%26))
		info := admission.UpstreamInfo{ID: id, Service: "llm", Domain: "north", Slots: 16}
		c.upstreams[id] = info
		c.pool("llm").SetUpstream(info)
	}
	seen := map[uint32]bool{}
	for range 10 {
		now += limitReportInterval
		limits := c.exportLimits(now, &c.localReports, false)
		g.Expect(len(limits)).To(BeNumerically("<=", maxReportedLimits))
		for _, limit := range limits {
			seen[limit.Upstream] = true
		}
	}
	g.Expect(seen).To(HaveLen(upstreams+1), "all have their turn")
}
