package delegation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/delegation"
)

const ms = time.Millisecond

// pair is a relay and one follower, between which a test passes messages.
type pair struct {
	*GomegaWithT
	follower  *delegation.Follower
	relay     *delegation.Relay
	nextKey   uint64
	sequence  uint64
	submitted []*admission.Request
	removed   []delegation.Cancellation
	// highestReceived is the highest sequence number of a report that the relay has handled.
	highestReceived uint64
}

func newPair(t *testing.T) *pair {
	p := &pair{GomegaWithT: NewWithT(t), follower: delegation.NewFollower()}
	p.relay = delegation.NewRelay(func() uint64 { p.nextKey++; return 1000 + p.nextKey })
	p.Expect(p.follower.SetRelay("relay")).To(BeEmpty())
	p.reply(0)
	return p
}

func (p *pair) submit(now time.Duration, key uint64) {
	p.follower.Submit(now, &admission.Request{Key: key, Service: "llm"})
}

// report sends a report of the follower to the relay.
func (p *pair) report(now time.Duration) { p.relayReceives(now, p.newReport(now)) }

func (p *pair) newReport(now time.Duration) delegation.FollowerReport {
	p.sequence++
	report := delegation.FollowerReport{Follower: "f", StartTime: 1, Sequence: p.sequence, Waiting: p.follower.Waiting(now, p.sequence)}
	_, report.DecisionSeen = p.follower.Seen()
	return report
}

func (p *pair) relayReceives(now time.Duration, report delegation.FollowerReport) {
	submitted, removed := p.relay.HandleReport(now, report)
	p.submitted, p.removed = append(p.submitted, submitted...), append(p.removed, removed...)
}

// reply sends a reply of the relay to the follower and returns what it decides.
func (p *pair) reply(now time.Duration) []delegation.Decided {
	seen, decisions := p.relay.Reply(now, "f")
	return p.follower.HandleReply(now, "relay", 7, seen, decisions)
}

// place decides on the n-th request that was submitted to the relay.
func (p *pair) place(n int) {
	p.Expect(p.relay.Decide(admission.Decision{Key: p.submitted[n].Key, Action: admission.Place, Upstream: admission.UpstreamInfo{ID: "e1"}})).To(BeTrue())
}

func TestRelayPlacesRequestOfFollower(t *testing.T) {
	p := newPair(t)
	p.Expect(p.follower.Ready(ms)).To(BeTrue())
	p.submit(ms, 5)
	p.Expect(p.follower.ReportDue(ms)).To(BeTrue(), "a new request is reported at once")
	p.report(ms)
	p.Expect(p.follower.ReportDue(ms)).To(BeFalse())
	p.Expect(p.submitted).To(HaveLen(1))
	p.Expect(p.submitted[0].Delegated).To(BeTrue())
	p.Expect(p.relay.Due(ms)).To(Equal([]string{"f"}), "the report is confirmed at once")
	p.Expect(p.reply(ms)).To(BeEmpty())
	p.Expect(p.follower.TakeBack(80*ms)).To(BeEmpty(), "the request is confirmed")
	p.place(0)
	decided := p.reply(90 * ms)
	p.Expect(decided).To(HaveLen(1))
	p.Expect(decided[0].Key).To(Equal(uint64(5)))
	p.Expect(decided[0].Upstream.ID).To(Equal("e1"))
	p.report(91 * ms)
	p.Expect(p.removed).To(Equal([]delegation.Cancellation{{Service: "llm", RelayKey: p.submitted[0].Key, Upstream: "e1"}}), "the follower reports the load itself now")
	p.Expect(p.follower.WaitingCount()).To(BeZero())
	p.Expect(p.relay.Waiting()).To(BeZero())
}

// Failure: a message in either direction is lost. Guards against requests that wait for a
// decision that was made, and against requests that are submitted twice.
func TestLostMessagesAreRepeated(t *testing.T) {
	p := newPair(t)
	p.submit(0, 5)
	_ = p.newReport(0) // lost
	p.Expect(p.follower.ReportDue(10 * ms)).To(BeFalse())
	p.Expect(p.follower.ReportDue(20 * ms)).To(BeTrue())
	p.report(20 * ms)
	p.place(0)
	p.relay.Reply(21*ms, "f") // lost
	p.Expect(p.relay.Due(30 * ms)).To(BeEmpty())
	p.Expect(p.follower.ReportDue(40 * ms)).To(BeTrue())
	p.report(40 * ms)
	p.Expect(p.submitted).To(HaveLen(1))
	p.Expect(p.relay.Due(40 * ms)).To(Equal([]string{"f"}))
	p.Expect(p.reply(41 * ms)).To(HaveLen(1))
	p.Expect(p.reply(42*ms)).To(BeEmpty(), "the same decision once more")
}

// Failure: the relay is killed, suspended or overloaded. Guards against requests that wait
// for it, and against a second placement when its decision arrives late.
func TestFollowerDecidesItselfWhenRelayIsSilent(t *testing.T) {
	p := newPair(t)
	p.submit(0, 5)
	p.report(0)
	p.place(0)
	p.Expect(p.follower.TakeBack(60 * ms)).To(BeEmpty())
	taken := p.follower.TakeBack(61 * ms)
	p.Expect(taken).To(HaveLen(1))
	p.Expect(taken[0].Key).To(Equal(uint64(5)))
	p.Expect(p.follower.Ready(62*ms)).To(BeFalse(), "until the relay replies again")
	p.Expect(p.reply(100*ms)).To(BeEmpty(), "the late decision is not carried out")
	p.Expect(p.follower.Ready(101 * ms)).To(BeTrue())
	p.report(101 * ms)
	p.Expect(p.removed).To(HaveLen(1), "its grant no longer counts")

	p.submit(110*ms, 6)
	p.report(110 * ms)
	p.Expect(p.reply(111 * ms)).To(BeEmpty())
	p.Expect(p.follower.TakeBack(200 * ms)).To(BeEmpty())
	p.Expect(p.follower.TakeBack(272*ms)).To(HaveLen(1), "a confirmed request, when the replies stop")
}

func TestCancelledRequestLeavesRelay(t *testing.T) {
	p := newPair(t)
	p.submit(0, 5)
	p.report(0)
	p.Expect(p.follower.Cancel(5)).To(BeTrue())
	p.Expect(p.follower.Cancel(5)).To(BeFalse())
	p.report(5 * ms)
	p.Expect(p.removed).To(Equal([]delegation.Cancellation{{Service: "llm", RelayKey: p.submitted[0].Key}}))
	p.Expect(p.relay.Decide(admission.Decision{Key: p.submitted[0].Key})).To(BeFalse())
}

// Failure: the follower is killed, with or without a new process in its place, or another
// relay takes over. Guards against requests that the relay keeps for ever.
func TestRelayDropsRequestsOfLostFollower(t *testing.T) {
	p := newPair(t)
	p.submit(0, 5)
	p.submit(0, 6)
	p.report(0)
	p.place(1)
	p.Expect(p.relay.Expire(600 * ms)).To(BeEmpty())
	p.Expect(p.relay.Expire(601 * ms)).To(ConsistOf(
		delegation.Cancellation{Service: "llm", RelayKey: p.submitted[0].Key},
		delegation.Cancellation{Service: "llm", RelayKey: p.submitted[1].Key, Upstream: "e1"}))
	p.report(700 * ms)
	p.Expect(p.submitted).To(HaveLen(4))
	p.relayReceives(701*ms, delegation.FollowerReport{Follower: "f", StartTime: 2, Sequence: 1})
	p.Expect(p.removed).To(HaveLen(2), "a new process has none of them")
	p.Expect(p.follower.SetRelay("other")).To(HaveLen(2))
	p.Expect(p.follower.HandleReply(702*ms, "relay", 7, 99, nil)).To(BeEmpty(), "the former relay")
	p.Expect(p.follower.Ready(702 * ms)).To(BeFalse())
	p.Expect(p.relay.Drop("f")).To(BeEmpty())
	p.Expect(p.relay.Followers()).To(BeEmpty())
}

// Messages are lost, duplicated, delayed and reordered at random. Guards against a request
// that is decided twice or never, and against state that stays at the relay.
func TestEachRequestIsDecidedOnceOnUnreliableNetwork(t *testing.T) {
	for seed := range uint64(300) {
		runUnreliableNetwork(t, rand.New(rand.NewPCG(seed, 9)), seed)
	}
}

// delivery is a message in flight.
type delivery struct {
	at      time.Duration
	deliver func(now time.Duration)
}

func runUnreliableNetwork(t *testing.T, random *rand.Rand, seed uint64) {
	p := newPair(t)
	var inFlight []delivery
	send := func(now time.Duration, deliver func(time.Duration)) {
		for copies := random.IntN(10); copies > 0; copies -= 8 {
			inFlight = append(inFlight, delivery{at: now + time.Duration(random.IntN(40))*ms, deliver: deliver})
		}
	}
	ended := map[uint64]int{}
	queued := map[uint64]bool{}
	grants := map[uint64]bool{}
	remove := func(removed []delegation.Cancellation) {
		for _, r := range removed {
			if r.Upstream == "" {
				delete(queued, r.RelayKey)
			} else {
				delete(grants, r.RelayKey)
			}
		}
	}
	const end = 2 * time.Second
	submittedCount := uint64(0)
	for now := time.Duration(0); now < end; now += ms {
		if now < end/2 && random.IntN(10) == 0 && p.follower.Ready(now) {
			submittedCount++
			p.submit(now, submittedCount)
		}
		for _, request := range p.follower.TakeBack(now) {
			ended[request.Key]++
		}
		if p.follower.ReportDue(now) || now%(30*ms) == 0 {
			report := p.newReport(now)
			send(now, func(now time.Duration) {
				if report.Sequence <= p.lastReceived(report) {
					return // package loadshare drops stale reports
				}
				submitted, removed := p.relay.HandleReport(now, report)
				remove(removed)
				for _, request := range submitted {
					queued[request.Key] = true
				}
			})
		}
		for key := range queued {
			if random.IntN(20) == 0 {
				delete(queued, key)
				grants[key] = true
				p.Expect(p.relay.Decide(admission.Decision{Key: key, Action: admission.Place, Upstream: admission.UpstreamInfo{ID: "e1"}})).To(BeTrue())
			}
		}
		if len(p.relay.Due(now)) > 0 || now%(100*ms) == 0 {
			seen, decisions := p.relay.Reply(now, "f")
			send(now, func(now time.Duration) {
				for _, decided := range p.follower.HandleReply(now, "relay", 7, seen, decisions) {
					ended[decided.Key]++
				}
			})
		}
		kept := inFlight[:0]
		for _, d := range inFlight {
			if d.at <= now {
				d.deliver(now)
			} else {
				kept = append(kept, d)
			}
		}
		inFlight = kept
	}
	p.Expect(ended).To(HaveLen(int(submittedCount)), "seed %d", seed)
	for key, times := range ended {
		p.Expect(times).To(Equal(1), "seed %d, request %d", seed, key)
	}
	p.Expect(queued).To(BeEmpty(), "seed %d", seed)
	p.Expect(grants).To(BeEmpty(), fmt.Sprint("grants that were never released, seed ", seed))
	p.Expect(p.relay.Waiting()).To(BeZero())
}

// lastReceived returns the sequence number of the last report that the relay has handled,
// and records that of the given one.
func (p *pair) lastReceived(report delegation.FollowerReport) uint64 {
	last := p.highestReceived
	p.highestReceived = max(last, report.Sequence)
	return last
}
