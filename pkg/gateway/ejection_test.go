package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
)

// A follower in a large failure domain has ejected an upstream, whose answers to others are
// sound. Guards against a relay that leaves the upstream alone by the view of one follower,
// which gets no request to try it with, since the relay places them.
func TestRelayJudgesUpstreamsByAllResults(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	c := limitsTestLoop(t, &now, false)
	for i := 1; i < 4; i++ {
		info := admission.UpstreamInfo{ID: fmt.Sprint("e", i), Service: "llm", Address: fmt.Sprint("127.0.0.1:1", i), Domain: "north", Slots: 16}
		c.upstreams[info.ID], c.services[info.ID], c.upstreamNames[loadshare.ShortHash(info.ID)] = info, info.Service, info.ID
		c.pool("llm").SetUpstream(info)
	}
	sequence := uint64(0)
	report := func(follower int, ejected bool, outcome admission.Outcome) {
		sequence++
		peerReportMsg{datagram: loadshare.Datagram{Report: loadshare.Report{
			Instance: fmt.Sprint("follower-", follower), Domain: "north", StartTime: 1, Sequence: sequence, Address: fmt.Sprintf("127.0.0.1:%d", 2000+follower),
			Upstreams: []loadshare.UpstreamLoad{{Upstream: loadshare.ShortHash("e0"), Ejected: ejected}},
			Results:   []loadshare.UpstreamResult{{Upstream: loadshare.ShortHash("e0"), Outcome: uint8(outcome)}},
		}}}.apply(c)
	}
	for follower := range 20 {
		report(follower, false, admission.Answered)
	}
	g.Expect(c.peers.Large()).To(BeTrue())
	// at places more requests than the other three upstreams take.
	at := func() map[string]int {
		count := map[string]int{}
		for key := range uint64(60) {
			c.pool("llm").Submit(&admission.Request{Key: key, Service: "llm", Arrived: now, SoftDeadline: now + time.Minute, Deadline: now + time.Hour})
		}
		for _, decision := range c.pool("llm").Schedule(now) {
			count[decision.Upstream.ID]++
			c.pool("llm").Finish(now, decision.Upstream.ID, decision.Key, admission.Result{Outcome: admission.NotSent})
		}
		return count
	}
	report(0, true, admission.Failed)
	report(1, false, admission.Answered)
	g.Expect(at()).To(HaveKeyWithValue("e0", BeNumerically(">", 1)))

	for follower := range 3 {
		now += time.Millisecond
		report(follower, false, admission.Failed)
	}
	g.Expect(at()).NotTo(HaveKey("e0"), "all fail, each follower once")
}
