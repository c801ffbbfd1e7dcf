package admission_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
)

const (
	linkTick       = 10 * time.Millisecond
	linkReports    = 100 * time.Millisecond
	linkStart      = 2 * second
	linkEnd        = 12 * second
	linkWave       = 6 * second
	linkUpstreams  = 16 // of each region
	linkMbps       = 4.0
	linkTokens     = 6 // in an event
	linkHeader     = 500
	linkMaxPrompt  = 16_000 // bytes
	linkMaxOutput  = 300    // tokens
	linkMaxRequest = linkHeader + linkMaxPrompt
	linkUsable     = linkMbps * 1e6 / 8 / 2
)

// linkDomains lists the failure domains of the replay, by region.
var linkDomains = []string{"a1", "b1", "a2", "b2"}

func linkLocation(domain string) admission.Location {
	regions := map[string]string{}
	for _, name := range linkDomains {
		regions[name] = name[:1]
	}
	return admission.Location{Domain: domain, Regions: regions}
}

// linkRequest is a request of the replay, and what became of it.
type linkRequest struct {
	request *admission.Request
	region  string
	at      *linkInstance
	// attempts counts those that reached an upstream, ends the final results.
	attempts, ends           int
	upstream                 string
	crosses, hasOutput       bool
	placedAt, firstAt, endAt time.Duration
}

type linkInstance struct {
	pool   *admission.Pool
	link   *admission.RegionLink
	domain string
}

// crossing is a request that was placed in another region.
type crossing struct {
	at          time.Duration
	from        string
	sent        bool
	body, reply float64
}

// linkReplay replays waves of demand that are out of phase between two regions.
type linkReplay struct {
	*GomegaWithT
	instances []*linkInstance
	// placers are the instances that get requests, with their weights as parts of 1.
	placers map[string][]*linkInstance
	// excess is the sum of what a request of each instance may exceed its bucket by.
	excess    float64
	weights   map[string][]float64
	random    *rand.Rand
	requests  map[uint64]*linkRequest
	running   []*linkRequest
	crossings []crossing
	// cutFrom and cutTo are when the regions do not reach each other.
	cutFrom, cutTo time.Duration
	decisions      []string
	// answeredAtHome counts the answers from the request's own region by whole seconds.
	answeredAtHome map[int]int
	answered       int
}

// newLinkReplay returns a replay with the given number of instances. With relays, the
// first instance of each failure domain places nine tenths of the requests.
func newLinkReplay(t *testing.T, instances int, relays bool, mbps float64) *linkReplay {
	t.Helper()
	s := &linkReplay{GomegaWithT: NewWithT(t), placers: map[string][]*linkInstance{}, weights: map[string][]float64{},
		random: rand.New(rand.NewPCG(7, 11)), requests: map[uint64]*linkRequest{}, answeredAtHome: map[int]int{}}
	domains := min(instances, len(linkDomains))
	sizes := map[string]int{}
	for i := range instances {
		sizes[linkDomains[i%domains]]++
	}
	for i := range instances {
		domain := linkDomains[i%domains]
		in := &linkInstance{domain: domain, link: admission.NewRegionLink(0, mbps)}
		in.pool = admission.NewPool(admission.Service{Name: "llm", Engine: true, Slots: slots, TokensPerEvent: linkTokens}, linkLocation(domain), admission.DefaultTuning(), rand.New(rand.NewPCG(uint64(i), 3)))
		in.pool.SetRegionLink(in.link)
		in.link.SetPart(0, admission.LinkPart{Domains: domains, Instances: sizes[domain], HasRelay: relays, IsRelay: i < domains})
		for n := range 2 * linkUpstreams {
			at := linkDomains[n%domains]
			in.pool.SetUpstream(admission.UpstreamInfo{ID: fmt.Sprintf("%s-e%d", at, n), Service: "llm", Address: fmt.Sprint("addr", n), Domain: at, Slots: slots})
		}
		s.instances = append(s.instances, in)
		part := 1 / float64(domains) / float64(sizes[domain])
		if relays {
			part = 0.9 / float64(domains)
			if i >= domains {
				part = 0.1 / float64(domains) / float64(sizes[domain]-1)
			}
		}
		s.excess += max(0, linkMaxRequest-part*linkUsable)
		weight := 1.0
		if relays && i < domains && sizes[domain] > 1 {
			weight = 9 * float64(sizes[domain]-1)
		}
		s.placers[domain[:1]] = append(s.placers[domain[:1]], in)
		s.weights[domain[:1]] = append(s.weights[domain[:1]], weight)
	}
	return s
}

func (s *linkReplay) cut(now time.Duration) bool { return now >= s.cutFrom && now < s.cutTo }

// rate is the demand of a region in requests a second: twice what its upstreams can take at
// the peak, and a twentieth of that in the trough.
func (s *linkReplay) rate(now time.Duration, region string) float64 {
	phase := 2 * math.Pi * float64(now) / float64(linkWave)
	if region == "b" {
		phase += math.Pi
	}
	const capacityPerSecond = linkUpstreams * slots / 0.62
	return capacityPerSecond * (1.05 + 0.95*math.Sin(phase))
}

func (s *linkReplay) draw(region string) *linkInstance {
	total := 0.0
	for _, weight := range s.weights[region] {
		total += weight
	}
	x := s.random.Float64() * total
	for i, weight := range s.weights[region] {
		if x -= weight; x < 0 {
			return s.placers[region][i]
		}
	}
	return s.placers[region][0]
}

func (s *linkReplay) arrive(now time.Duration) {
	for _, region := range []string{"a", "b"} {
		expected := s.rate(now, region) * linkTick.Seconds()
		for count := int(expected + s.random.Float64()); count > 0; count-- {
			key := uint64(len(s.requests) + 1)
			body := 1000 + s.random.IntN(linkMaxPrompt-1000)
			r := &linkRequest{region: region, at: s.draw(region), request: &admission.Request{
				Key: key, Service: "llm", Tier: 1, PromptBytes: body, PromptTokens: body / 4, OutputTokens: 50 + s.random.IntN(linkMaxOutput-50),
				Arrived: now, SoftDeadline: now + second, Deadline: now + 10*second,
			}}
			s.requests[key] = r
			r.at.pool.Submit(r.request)
		}
	}
}

func (s *linkReplay) schedule(now time.Duration) {
	for i, in := range s.instances {
		for _, d := range in.pool.Schedule(now) {
			s.decisions = append(s.decisions, fmt.Sprint(now, i, d.Key, d.Action, d.Upstream.ID, d.RetryAfter))
			r := s.requests[d.Key]
			if r.at != in {
				s.Expect(r.at).To(BeIdenticalTo(in))
			}
			if d.Action != admission.Place {
				r.ends++
				continue
			}
			r.upstream, r.crosses, r.placedAt = d.Upstream.ID, d.Upstream.Domain[:1] != r.region, now
			if r.crosses {
				reply := float64(linkHeader + (r.request.OutputTokens+linkTokens-1)/linkTokens*200 + r.request.OutputTokens*4)
				s.crossings = append(s.crossings, crossing{at: now, from: r.region, sent: !s.cut(now), body: float64(linkHeader + r.request.PromptBytes), reply: reply})
			}
			if r.crosses && s.cut(now) {
				// No connection, so that no byte was sent.
				in.pool.Finish(now, r.upstream, d.Key, admission.Result{Outcome: admission.Unreachable})
				r.request.ExcludedUpstreams = append(r.request.ExcludedUpstreams, r.upstream)
				in.pool.Submit(r.request)
				continue
			}
			r.attempts++
			first := time.Duration(15+r.request.PromptTokens/55) * time.Millisecond
			r.hasOutput, r.firstAt = false, now+first
			r.endAt = r.firstAt + time.Duration(r.request.OutputTokens)*3300*time.Microsecond
			s.running = append(s.running, r)
		}
	}
}

// progress ends requests, also those whose connection the cut breaks. These may have run
// and are not sent again.
func (s *linkReplay) progress(now time.Duration) {
	kept := s.running[:0]
	for _, r := range s.running {
		key := r.request.Key
		if !r.hasOutput && now >= r.firstAt {
			r.hasOutput = true
			r.at.pool.RecordFirstOutput(r.upstream, key)
		}
		switch {
		case r.crosses && s.cut(now):
			r.ends++
			r.at.pool.Finish(now, r.upstream, key, admission.Result{Outcome: admission.Broken})
		case now >= r.endAt:
			r.ends++
			s.answered++
			if !r.crosses {
				s.answeredAtHome[int(now/second)]++
			}
			r.at.pool.Finish(now, r.upstream, key, admission.Result{Outcome: admission.Answered, EventInterval: linkTokens * 3300 * time.Microsecond, TotalTime: r.endAt - r.placedAt})
		default:
			kept = append(kept, r)
		}
	}
	s.running = kept
}

// fleetLoad is the sum of the loads and demands of instances.
type fleetLoad struct {
	loads  map[string]admission.Load
	demand int
}

// add adds the load of an instance, or takes it out with sign -1.
func (f *fleetLoad) add(other fleetLoad, sign int) {
	f.demand += sign * other.demand
	for id, load := range other.loads {
		sum := f.loads[id]
		speed := sum.Speed*sum.Samples + float64(sign)*load.Speed*load.Samples
		sum.InFlight, sum.PendingPrefillTokens = sum.InFlight+sign*load.InFlight, sum.PendingPrefillTokens+sign*load.PendingPrefillTokens
		sum.Samples = max(0, sum.Samples+float64(sign)*load.Samples)
		sum.Speed = 0
		if sum.Samples > 0 {
			sum.Speed = speed / sum.Samples
		}
		f.loads[id] = sum
	}
}

// report tells each instance the sums of the others in its region and in the other one,
// which it knows as one peer each.
func (s *linkReplay) report(now time.Duration) {
	sums := map[string]*fleetLoad{"a": {loads: map[string]admission.Load{}}, "b": {loads: map[string]admission.Load{}}}
	own := make([]fleetLoad, len(s.instances))
	for i, in := range s.instances {
		own[i] = fleetLoad{loads: map[string]admission.Load{}, demand: in.pool.Demand(false)}
		in.pool.CollectLoads(now, own[i].loads, admission.OwnLoad)
		sums[in.domain[:1]].add(own[i], 1)
	}
	for i, in := range s.instances {
		for region, sum := range sums {
			others := fleetLoad{loads: maps.Clone(sum.loads), demand: sum.demand}
			if region == in.domain[:1] {
				others.add(own[i], -1)
			} else if s.cut(now) {
				continue
			}
			in.pool.SetPeer(now, region, admission.PeerState{Loads: others.loads, Demand: others.demand})
		}
	}
}

func (s *linkReplay) run() {
	for now := linkStart; now < linkEnd; now += linkTick {
		s.arrive(now)
		s.progress(now)
		if now%linkReports == 0 {
			s.report(now)
		}
		s.schedule(now)
	}
	// All requests end.
	for now := linkEnd; now < linkEnd+12*second; now += 10 * linkTick {
		s.progress(now)
		s.schedule(now)
	}
	for key, r := range s.requests {
		if r.ends != 1 || r.attempts > 1 {
			s.Expect(r.ends).To(Equal(1), "request %d", key)
			s.Expect(r.attempts).To(BeNumerically("<=", 1), "request %d was sent twice", key)
		}
	}
}

// inDirection returns the bytes of a request in the direction that begins in a region.
func inDirection(c crossing, region string) float64 {
	if c.from == region {
		return c.body
	}
	return c.reply
}

// ofRegion returns the larger size of a request if it is of a region.
func ofRegion(c crossing, region string) float64 {
	if c.from == region {
		return max(c.body, c.reply)
	}
	return 0
}

// mostBytes returns the most bytes within a period, for the region for which they are more.
func (s *linkReplay) mostBytes(period time.Duration, bytes func(crossing, string) float64) float64 {
	most := 0.0
	for _, region := range []string{"a", "b"} {
		sum, oldest := 0.0, 0
		size := func(c crossing) float64 { return bytes(c, region) }
		for _, c := range s.crossings {
			sum += size(c)
			for ; c.at-s.crossings[oldest].at >= period; oldest++ {
				sum -= size(s.crossings[oldest])
			}
			most = max(most, sum)
		}
	}
	return most
}

// Waves of demand that are out of phase between two regions with one link, over 2 to 40
// instances. Guards against instances that each stay within a bound and fill the link
// together, against regions that each use all of what both may, and against a bound that
// lets nothing cross.
func TestWavesStayWithinTheRegionLink(t *testing.T) {
	for _, test := range []struct {
		instances int
		relays    bool
	}{{2, false}, {8, false}, {40, false}, {8, true}, {40, true}} {
		t.Run(fmt.Sprintf("%d instances, relays %v", test.instances, test.relays), func(t *testing.T) {
			t.Parallel()
			unbounded := newLinkReplay(t, test.instances, test.relays, 0)
			unbounded.run()
			s := newLinkReplay(t, test.instances, test.relays, linkMbps)
			s.run()
			for _, period := range []time.Duration{second, 2 * second, 5 * second, linkEnd - linkStart} {
				bound := linkUsable * (period + second).Seconds()
				s.Expect(s.mostBytes(period, inDirection)).To(BeNumerically("<=", bound+s.excess), "both regions, within %v", period)
				s.Expect(s.mostBytes(period, ofRegion)).To(BeNumerically("<=", bound/2+s.excess/2), "one region, within %v", period)
			}
			whole := linkEnd - linkStart
			s.Expect(unbounded.mostBytes(whole, ofRegion)).To(BeNumerically(">", linkUsable/2*(whole+second).Seconds()+s.excess/2), "the bound binds")
			s.Expect(s.mostBytes(whole, ofRegion)).To(BeNumerically(">", linkUsable*whole.Seconds()/6), "the link is used")
			var counts admission.LinkCounts
			for _, in := range s.instances {
				taken := in.link.TakeCounts()
				counts.PlacedBytes, counts.Kept = counts.PlacedBytes+taken.PlacedBytes, counts.Kept+taken.Kept
			}
			charged := 0.0
			for _, c := range s.crossings {
				charged += max(c.body, c.reply)
			}
			s.Expect(float64(counts.PlacedBytes)).To(Equal(charged))
			s.Expect(counts.Kept).To(BeNumerically(">", 0))
			t.Logf("%d requests, answered %d, without a bound %d; MB in the busier direction %.2f, without a bound %.2f; most in a second %.2f, without a bound %.2f, usable %.2f; kept %d",
				len(s.requests), s.answered, unbounded.answered, s.mostBytes(whole, inDirection)/1e6, unbounded.mostBytes(whole, inDirection)/1e6, s.mostBytes(second, inDirection)/1e6, unbounded.mostBytes(second, inDirection)/1e6, linkUsable/1e6, counts.Kept)
		})
	}
}

// The regions are cut off from each other for three seconds of the waves. Guards against
// requests that wait for the other region, against one that is sent again although it may
// have run, and against work that does not return after the cut.
func TestRegionCutOffUnderLoad(t *testing.T) {
	for _, test := range []struct {
		mbps   float64
		relays bool
	}{{0, false}, {linkMbps, false}, {linkMbps, true}} {
		t.Run(fmt.Sprintf("%v Mbit/s, relays %v", test.mbps, test.relays), func(t *testing.T) {
			t.Parallel()
			const instances = 8
			whole := newLinkReplay(t, instances, test.relays, test.mbps)
			whole.run()
			s := newLinkReplay(t, instances, test.relays, test.mbps)
			s.cutFrom, s.cutTo = 5*second, 8*second
			// run checks that nothing is sent twice and that each request ends once.
			s.run()
			attempts, returned := 0, time.Duration(0)
			for _, c := range s.crossings {
				switch {
				case !c.sent:
					attempts++
				case c.at >= s.cutTo && returned == 0:
					returned = c.at
				}
			}
			// An instance tries each upstream of the other region after growing pauses, of
			// which five begin within three seconds.
			s.Expect(attempts).To(BeNumerically(">", 0))
			s.Expect(attempts).To(BeNumerically("<=", instances*linkUpstreams*6))
			s.Expect(returned).NotTo(BeZero())
			s.Expect(returned - s.cutTo).To(BeNumerically("<", 3*second))
			for _, at := range []int{6, 7} {
				s.Expect(float64(s.answeredAtHome[at])).To(BeNumerically(">", 0.9*float64(whole.answeredAtHome[at])), "answered at home in second %d", at)
			}
			sentAfter, wholeAfter := 0.0, 0.0
			for _, c := range s.crossings {
				if c.at >= s.cutTo+2*second {
					sentAfter++
				}
			}
			for _, c := range whole.crossings {
				if c.at >= s.cutTo+2*second {
					wholeAfter++
				}
			}
			s.Expect(sentAfter).To(BeNumerically(">", wholeAfter/2), "from two seconds after the cut on")
			t.Logf("%d attempts during the cut, first crossing %v after it, later crossings %.0f, without a cut %.0f; answered %d, without a cut %d; at home in the cut %d and %d, without it %d and %d",
				attempts, returned-s.cutTo, sentAfter, wholeAfter, s.answered, whole.answered, s.answeredAtHome[6], s.answeredAtHome[7], whole.answeredAtHome[6], whole.answeredAtHome[7])
		})
	}
}

// Guards against decisions that change although the operator has set no bound, or although
// the link is far from its bound.
func TestLinkWithRoomChangesNoDecision(t *testing.T) {
	g := NewWithT(t)
	g.Expect(admission.NewRegionLink(0, 0)).To(BeNil())
	off, wide := newLinkReplay(t, 8, false, 0), newLinkReplay(t, 8, false, 1e6)
	off.run()
	wide.run()
	g.Expect(off.crossings).NotTo(BeEmpty())
	g.Expect(wide.decisions).To(Equal(off.decisions))
}

// linkFixture returns a pool with an engine in the instance's own region and one in another,
// and a link of which it has the given bytes a second, with a full bucket.
func linkFixture(t *testing.T, bytesPerSecond float64) (*fixture, *admission.RegionLink) {
	t.Helper()
	f := newFixture(t, 1)
	f.pool.SetUpstream(admission.UpstreamInfo{ID: "remote", Service: "llm", Address: "b", Domain: "east", Slots: slots})
	link := admission.NewRegionLink(0, bytesPerSecond*2*8/1e6)
	link.SetPart(0, admission.LinkPart{Domains: 1, Instances: 1})
	f.pool.SetRegionLink(link)
	return f, link
}

func (f *fixture) submitBytes(now time.Duration, body, output int, delegated bool) uint64 {
	f.nextKey++
	f.pool.Submit(&admission.Request{Key: f.nextKey, Service: "llm", PromptBytes: body, PromptTokens: 100, OutputTokens: output, Delegated: delegated,
		Arrived: now, SoftDeadline: now + second, Deadline: now + 15*second})
	return f.nextKey
}

// fullAtHome lets a peer use all slots of the own region.
func (f *fixture) fullAtHome(now time.Duration) {
	f.pool.SetPeer(now, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: capacity}}})
}

// Guards against a bound by bodies only, although answers are longer, and against
// requests of followers that their relay does not count.
func TestLargerDirectionOfARequestCounts(t *testing.T) {
	for name, test := range map[string]struct {
		body, output int
		delegated    bool
		want         int64
	}{
		"long body":   {body: 9000, output: 6, want: 9500},
		"long answer": {body: 1000, output: 120, want: 500 + 20*200 + 120*4},
		"delegated":   {body: 9000, output: 6, delegated: true, want: 9500},
		"no size":     {output: 1, want: 500 + 100*4},
	} {
		t.Run(name, func(t *testing.T) {
			f, link := linkFixture(t, 20_000)
			f.fullAtHome(second)
			f.submitBytes(second, test.body, test.output, test.delegated)
			f.Expect(placed(f.pool.Schedule(second))).To(HaveKey("remote"))
			f.Expect(link.TakeCounts()).To(Equal(admission.LinkCounts{PlacedBytes: test.want}))
			f.Expect(link.TakeCounts()).To(Equal(admission.LinkCounts{}))
		})
	}
}

// Guards against a bucket that lets more pass than it holds, one that a long prompt never
// passes, and one that is not refilled.
func TestLinkBucket(t *testing.T) {
	f, link := linkFixture(t, 10_000)
	f.fullAtHome(second)
	first := f.submitBytes(second, 6000, 1, false)
	f.Expect(placed(f.pool.Schedule(second))["remote"]).To(Equal([]uint64{first}))
	next := f.submitBytes(second, 6000, 1, false)
	f.Expect(f.pool.Schedule(second)).To(BeEmpty(), "3500 bytes are left")
	f.Expect(f.pool.Schedule(second)).To(BeEmpty())
	f.Expect(link.TakeCounts().Kept).To(Equal(int64(1)), "counted once")
	now := second + 310*time.Millisecond
	f.fullAtHome(now)
	f.Expect(placed(f.pool.Schedule(now))["remote"]).To(Equal([]uint64{next}))
	// Longer than the bucket: passes when it is full, and the debt is paid off first.
	now += 900 * time.Millisecond
	f.fullAtHome(now)
	long := f.submitBytes(now, 19_500, 1, false)
	f.Expect(f.pool.Schedule(now)).To(BeEmpty())
	now += 101 * time.Millisecond
	f.fullAtHome(now)
	f.Expect(placed(f.pool.Schedule(now))["remote"]).To(Equal([]uint64{long}))
	for _, wait := range []time.Duration{0, 900 * time.Millisecond, 1040 * time.Millisecond} {
		f.fullAtHome(now + wait)
		f.submitBytes(now+wait, 500, 1, false)
		f.Expect(placed(f.pool.Schedule(now+wait))).To(BeEmpty(), "%v after it", wait)
	}
	f.fullAtHome(now + 1110*time.Millisecond)
	f.Expect(count(placed(f.pool.Schedule(now + 1110*time.Millisecond)))).To(Equal(1))
}

// Guards against a preview that shows a way which the next request does not get, and a
// request that waits for the link although its own region has room.
func TestPreviewNamesTheLink(t *testing.T) {
	f, _ := linkFixture(t, 10_000)
	f.fullAtHome(second)
	f.submitBytes(second, 9000, 1, false)
	f.Expect(count(placed(f.pool.Schedule(second)))).To(Equal(1))
	request := &admission.Request{Service: "llm", PromptBytes: 5000, Arrived: second, SoftDeadline: 2 * second, Deadline: 9 * second}
	preview := f.pool.Preview(second, request)
	f.Expect(preview.Waits).To(BeTrue())
	f.Expect(preview.FreeCapacity).To(BeZero(), "free slots beyond the link are none")
	f.Expect(preview.Reason).To(ContainSubstring("link"))
	outs := map[string]string{}
	for _, c := range preview.Candidates {
		outs[c.Upstream.ID] = c.Out
	}
	f.Expect(outs["remote"]).To(ContainSubstring("link between regions"))
	f.pool.SetPeer(second, "peer", admission.PeerState{})
	f.Expect(f.pool.Preview(second, request).Upstream).To(Equal("e0"))
	f.submitBytes(second, 5000, 1, false)
	f.Expect(placed(f.pool.Schedule(second))).To(HaveKey("e0"))
}

// The own region is slower by some 300 ms. Guards against a penalty that does not follow
// the load of the link.
func TestPenaltyRisesWhileTheLinkIsLow(t *testing.T) {
	penalty := func(body int) float64 {
		f, _ := linkFixture(t, 10_000)
		f.fullAtHome(second)
		if body > 0 {
			f.submitBytes(second, body-500, 1, false)
			f.Expect(count(placed(f.pool.Schedule(second)))).To(Equal(1))
			f.pool.Finish(second, "remote", f.nextKey, admission.Result{Outcome: admission.NotSent})
		}
		f.pool.SetPeer(second, "peer", admission.PeerState{})
		costs := map[string]float64{}
		for _, c := range f.pool.Preview(second, &admission.Request{Service: "llm", PromptBytes: 1, Arrived: second, SoftDeadline: 2 * second, Deadline: 9 * second}).Candidates {
			costs[c.Upstream.ID] = c.CostMs
		}
		return costs["remote"] - costs["e0"]
	}
	f := NewWithT(t)
	f.Expect(penalty(0)).To(BeNumerically("~", 250, 0.01))
	f.Expect(penalty(5000)).To(BeNumerically("~", 250, 0.01))
	f.Expect(penalty(7500)).To(BeNumerically("~", 625, 0.01))
	f.Expect(penalty(10_000)).To(BeNumerically("~", 1000, 0.01))
}

// Guards against traffic within a region that uses up the link.
func TestOtherDomainOfTheRegionNeedsNoLink(t *testing.T) {
	f, link := linkFixture(t, 1)
	f.pool.RemoveUpstream("remote")
	f.pool.SetUpstream(admission.UpstreamInfo{ID: "near", Service: "llm", Address: "c", Domain: "south", Slots: slots})
	f.fullAtHome(second)
	for range 2 {
		f.submitBytes(second, 9000, 1, false)
	}
	f.Expect(placed(f.pool.Schedule(second))["near"]).To(HaveLen(2))
	f.Expect(link.TakeCounts()).To(Equal(admission.LinkCounts{}))
}
