package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
)

// askForQuiet places one request at the only usable upstream and has it turned away with a
// quiet time.
func (f *fixture) askForQuiet(now, quiet time.Duration) {
	key := f.submit(now, 1, 100)
	for upstream := range placed(f.pool.Schedule(now)) {
		f.pool.Finish(now, upstream, key, admission.Result{Outcome: admission.Rejected, QuietTime: quiet})
	}
}

// An upstream asks for a quiet time. Guards against requests within it, and against a
// burst at its end.
func TestQuietUpstreamGetsNoRequests(t *testing.T) {
	f := newFixture(t, 1)
	f.askForQuiet(0, 700*time.Millisecond)
	f.Expect(f.pool.Barred(100 * time.Millisecond)).To(Equal([]string{"e0"}))
	for range 5 {
		f.submit(100*time.Millisecond, 1, 100)
	}
	for now := 100 * time.Millisecond; now < 700*time.Millisecond; now += 50 * time.Millisecond {
		f.Expect(f.pool.Schedule(now)).To(BeEmpty(), "the requests can still be served in time")
	}
	_, adopted := f.pool.Adopt(300*time.Millisecond, "e0", &admission.Request{Key: 99, PromptTokens: 100}, 0)
	f.Expect(adopted).To(BeFalse(), "a decision of the relay")
	f.Expect(count(placed(f.pool.Schedule(800*time.Millisecond)))).To(Equal(1), "one request at a time until one is answered")
}

// All upstreams ask for quiet, one of them for an hour. Guards against callers that wait in
// vain, and against a Retry-After at which nothing has changed.
func TestAllQuietRefusesWithTheTimeOfTheFirstEnd(t *testing.T) {
	f := newFixture(t, 1)
	f.askForQuiet(0, time.Hour)
	f.submit(time.Minute, 1, 100)
	decisions := f.pool.Schedule(time.Minute)
	f.Expect(decisions).To(HaveLen(1))
	f.Expect(decisions[0].Action).To(Equal(admission.Refuse))
	f.Expect(decisions[0].Reason).To(ContainSubstring("asked for no requests"))
	f.Expect(decisions[0].RetryAfter).To(BeNumerically("~", 59*time.Minute, time.Second))
	f.pool.SetUpstream(admission.UpstreamInfo{ID: "e1", Service: "llm", Address: "a1", Domain: "north", Slots: 8})
	f.submit(2*time.Minute, 1, 100)
	f.Expect(placed(f.pool.Schedule(2 * time.Minute))).To(HaveKey("e1"))
}

// The quiet time is for the instance that was told. Guards against a relay that sends none
// of the others' requests there.
func TestQuietTimeDoesNotConcernDelegatedRequests(t *testing.T) {
	f := newFixture(t, 1)
	f.askForQuiet(0, time.Minute)
	now := 5 * second
	f.pool.Submit(&admission.Request{Key: 77, Service: "llm", Delegated: true, PromptTokens: 10, Arrived: now, SoftDeadline: now + second, Deadline: now + 15*second})
	f.Expect(placed(f.pool.Schedule(now))).To(HaveKey("e0"))
}

// A process starts again under the ID of one that was quiet, or that leaves. Guards against
// holding it back, and against a stale record that takes the word of the old one back.
func TestWordOfTheUpstreamHoldsForItsProcess(t *testing.T) {
	f := newFixture(t, 0)
	record := admission.UpstreamInfo{ID: "e0", Service: "llm", Address: "a0", Domain: "north", Slots: 8, Incarnation: 1}
	f.pool.SetUpstream(record)
	f.Expect(f.pool.SetLeaving(admission.Process{ID: "e0", Incarnation: 2})).To(BeFalse(), "another process")
	f.Expect(f.pool.SetLeaving(record.Process())).To(BeTrue())
	f.pool.SetUpstream(record)
	f.submit(0, 1, 100)
	f.Expect(f.pool.Schedule(0)).To(BeEmpty(), "the record still says ready")
	_, adopted := f.pool.Adopt(0, "e0", &admission.Request{Key: 99, PromptTokens: 100}, 0)
	f.Expect(adopted).To(BeFalse())
	record.Incarnation = 2
	f.pool.SetUpstream(record)
	f.Expect(placed(f.pool.Schedule(0))).To(HaveKey("e0"))
	f.pool.Finish(0, "e0", f.nextKey, admission.Result{Outcome: admission.Rejected, QuietTime: time.Hour})
	record.Incarnation = 3
	f.pool.SetUpstream(record)
	f.submit(second, 1, 100)
	f.Expect(placed(f.pool.Schedule(second))).To(HaveKey("e0"))
}

// Load pattern: an overloaded upstream asks 48 or 300 instances for two seconds of quiet,
// each with requests for it. The rule: two requests of an instance at most arrive from
// half a second after the word to the end of the time.
func TestInstancesReturnOneByOneAfterQuietTime(t *testing.T) {
	const quiet = 2 * second
	for _, instances := range []int{48, 300} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			g := NewWithT(t)
			first := map[time.Duration]int{}
			within := 0
			for i := range instances {
				pool := admission.NewPool(admission.Service{Name: "llm", Engine: true, Slots: 8}, location, admission.DefaultTuning(), rand.New(rand.NewPCG(uint64(i), 7)))
				pool.SetUpstream(admission.UpstreamInfo{ID: "e0", Service: "llm", Address: "a0", Domain: "north", Slots: 8})
				f := &fixture{GomegaWithT: g, pool: pool}
				f.askForQuiet(0, quiet)
				returned := false
				for now := 10 * time.Millisecond; now < 2*quiet; now += 10 * time.Millisecond {
					key := f.submit(now, 1, 100)
					for range placed(pool.Schedule(now)) {
						if now > 500*time.Millisecond && now < quiet {
							within++
						}
						if now >= quiet && !returned {
							first[now/(50*time.Millisecond)]++
							returned = true
						}
						pool.Finish(now, "e0", key, admission.Result{Outcome: admission.Rejected})
					}
				}
			}
			g.Expect(within).To(BeZero())
			g.Expect(len(first)).To(BeNumerically(">=", 4), "the returns are spread over 0.2 s: %v", first)
		})
	}
}

// Failure: the record of an upstream that has asked for a quiet time vanishes and returns,
// since its path to the store was cut, or names another address. Guards against requests
// within the quiet time, and against a quiet time of the next process.
func TestQuietTimeOutlastsTheRecord(t *testing.T) {
	record := admission.UpstreamInfo{ID: "e0", Service: "llm", Address: "a0", Domain: "north", Slots: 8, Incarnation: 1, Sequence: 4}
	const quiet, inTime, after = 20 * time.Second, 12 * time.Second, 21 * time.Second
	for name, test := range map[string]struct {
		returns func(f *fixture)
		held    bool
	}{
		"removed and back": {func(f *fixture) {
			f.pool.RemoveUpstream("e0")
			f.pool.SetUpstream(record)
		}, true},
		"removed and back twice": {func(f *fixture) {
			for range 2 {
				f.pool.RemoveUpstream("e0")
				f.pool.SetUpstream(record)
			}
		}, true},
		"another address": {func(f *fixture) {
			record := record
			record.Address = "b0"
			f.pool.SetUpstream(record)
		}, true},
		"next process": {func(f *fixture) {
			record := record
			record.Incarnation = 2
			f.pool.RemoveUpstream("e0")
			f.pool.SetUpstream(record)
		}, false},
	} {
		f := newFixture(t, 0)
		f.pool.SetUpstream(record)
		f.askForQuiet(0, quiet)
		test.returns(f)
		f.submit(inTime, 1, 100)
		f.Expect(placed(f.pool.Schedule(inTime))).To(HaveLen(map[bool]int{true: 0, false: 1}[test.held]), name)
		f.submit(after, 1, 100)
		f.submit(after, 1, 100)
		if test.held {
			f.Expect(count(placed(f.pool.Schedule(after)))).To(Equal(1), "%s: one request at a time until one is answered", name)
		}
	}
}

// Failure: the answer by which an upstream asks for a quiet time arrives while the upstream
// has no record. Guards against forgetting it.
func TestQuietTimeIsKeptWithoutARecord(t *testing.T) {
	f := newFixture(t, 0)
	record := admission.UpstreamInfo{ID: "e0", Service: "llm", Address: "a0", Domain: "north", Slots: 8, Incarnation: 1}
	f.pool.SetUpstream(record)
	key := f.submit(0, 1, 100)
	f.Expect(placed(f.pool.Schedule(0))).To(HaveKey("e0"))
	f.pool.RemoveUpstream("e0")
	f.pool.Finish(second, "e0", key, admission.Result{Outcome: admission.Rejected, QuietTime: 20 * second, Process: record.Process()})
	f.pool.SetUpstream(record)
	f.submit(2*second, 1, 100)
	f.Expect(placed(f.pool.Schedule(2 * second))).To(BeEmpty())
}
