package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
)

// burstKind is a kind of request in a burst.
type burstKind struct {
	tier, prompt, output, perSecond int
	target, slotTime                time.Duration
}

// playBurst sends the kinds at their rates to engines that need the slot time of a kind for
// each request, and returns the part of each kind that was placed within half of its target.
func playBurst(f *fixture, engines int, kinds []burstKind, length time.Duration) []float64 {
	const step = 5 * time.Millisecond
	type running struct {
		key uint64
		end time.Duration
	}
	at := map[string][]running{}
	kindOf, arrived := map[uint64]int{}, map[uint64]time.Duration{}
	asked, inTime := make([]int, len(kinds)), make([]int, len(kinds))
	due := make([]float64, len(kinds))
	for now := time.Duration(0); now < length; now += step {
		for i := range engines {
			id := fmt.Sprint("e", i)
			kept := at[id][:0]
			for _, r := range at[id] {
				if now >= r.end {
					f.pool.Finish(now, id, r.key, admission.Result{Outcome: admission.Answered, EventInterval: 22 * time.Millisecond, TotalTime: kinds[kindOf[r.key]].slotTime})
					continue
				}
				kept = append(kept, r)
			}
			at[id] = kept
		}
		for i, kind := range kinds {
			for due[i] += float64(kind.perSecond) * step.Seconds(); due[i] >= 1; due[i]-- {
				f.nextKey++
				f.pool.Submit(&admission.Request{
					Key: f.nextKey, Service: "llm", Team: fmt.Sprint(f.nextKey % 8), Tier: kind.tier, PromptTokens: kind.prompt, OutputTokens: kind.output,
					Arrived: now, SoftDeadline: now + kind.target, Deadline: now + 12*second,
				})
				kindOf[f.nextKey], arrived[f.nextKey] = i, now
				asked[i]++
			}
		}
		for _, d := range f.pool.Schedule(now) {
			if d.Action != admission.Place {
				continue
			}
			kind := kinds[kindOf[d.Key]]
			start := now
			if over := len(at[d.Upstream.ID]) + 1 - slots; over > 0 {
				// The request waits for the first slot that becomes free.
				start = at[d.Upstream.ID][0].end
				for _, r := range at[d.Upstream.ID] {
					start = min(start, r.end)
				}
			}
			at[d.Upstream.ID] = append(at[d.Upstream.ID], running{d.Key, start + kind.slotTime})
			if start-arrived[d.Key] <= kind.target/2 {
				inTime[kindOf[d.Key]]++
			}
		}
	}
	parts := make([]float64, len(kinds))
	for i := range kinds {
		parts[i] = float64(inTime[i]) / float64(asked[i])
	}
	return parts
}

// In a burst, requests of three tiers need a quarter more slots than there are. The long ones
// of the highest tier alone need two thirds.
var burst = []burstKind{
	{tier: 0, prompt: 6610, output: 378, perSecond: 70, target: 600 * time.Millisecond, slotTime: 1500 * time.Millisecond},
	{tier: 1, prompt: 628, output: 288, perSecond: 64, target: 800 * time.Millisecond, slotTime: 1200 * time.Millisecond},
	{tier: 2, prompt: 1800, output: 27, perSecond: 150, target: 1200 * time.Millisecond, slotTime: 130 * time.Millisecond},
}

const burstEngines = 20

// Guards against shorter requests of lower tiers that take the place beyond the slots at
// each engine, where a long one could not begin in time, so that there is never a free slot
// when a long one is tried.
func TestLongUrgentRequestsAreServedInBurst(t *testing.T) {
	f := newFixture(t, burstEngines)
	results := playBurst(f, burstEngines, burst, 8*second)
	t.Log(results)
	f.Expect(results[0]).To(BeNumerically(">", 0.95))
}

// The highest tier alone needs all slots. Guards against a lowest tier that is served less than
// a quarter as often as all requests.
func TestLowestTierHasFloorInBurst(t *testing.T) {
	f := newFixture(t, burstEngines)
	kinds := slices.Clone(burst)
	kinds[0].perSecond = 105
	results := playBurst(f, burstEngines, kinds, 8*second)
	served, asked := 0.0, 0.0
	for i, kind := range kinds {
		asked += float64(kind.perSecond)
		served += results[i] * float64(kind.perSecond)
	}
	f.Expect(results[2]).To(BeNumerically(">", 0.25*served/asked))
	f.Expect(results[0]).To(BeNumerically(">", 0.7))
}

// Guards against a state that an operator cannot see, and against one that stays after the
// burst.
func TestCompetitionIsStated(t *testing.T) {
	f := newFixture(t, burstEngines)
	f.Expect(f.pool.Competition(0)).To(Equal(admission.Competition{}))
	playBurst(f, burstEngines, burst, 4*second)
	f.Expect(f.pool.Competition(4 * second).TiersBeyondRoom).To(ContainElement(2))
	f.Expect(f.pool.Competition(4 * second).TiersBeyondRoom).NotTo(ContainElement(0))
	f.Expect(f.pool.Competition(10 * second).TiersBeyondRoom).To(BeEmpty())
}
