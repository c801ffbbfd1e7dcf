package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
)

func (f *fixture) submitFor(now time.Duration, team string, prompt, output int) uint64 {
	f.nextKey++
	f.pool.Submit(&admission.Request{
		Key: f.nextKey, Service: "llm", Team: team, Tier: 1, PromptTokens: prompt, OutputTokens: output,
		Arrived: now, SoftDeadline: now + second, Deadline: now + 15*second,
	})
	return f.nextKey
}

// One of eight teams sends six times its usual number of requests for some seconds, while
// there is room for half of all. Guards against other teams that are served as rarely as
// the one that causes the overload, and against a busy team that gets nothing.
func TestTeamAboveItsShareYields(t *testing.T) {
	const busy, teams, step = "busy", 8, 20 * time.Millisecond
	f := newFixture(t, 20)
	team := map[uint64]string{}
	asked, served := map[string]int{}, map[string]int{}
	running := map[string][]uint64{}
	for now := time.Duration(0); now < 6*second; now += step {
		for i := range teams {
			// None of the teams is always the last to arrive.
			i = (i + int(now/step)) % teams
			name, count := fmt.Sprint("team-", i), 1
			if i == 0 {
				name, count = busy, 6
			}
			for range count {
				team[f.submitFor(now, name, 1000, 100)] = name
				asked[name]++
			}
		}
		for id, keys := range placed(f.pool.Schedule(now)) {
			running[id] = append(running[id], keys...)
			for _, key := range keys {
				served[team[key]]++
			}
		}
		// Each engine ends a request in every third step: six or seven in all.
		for i := range 20 {
			id := fmt.Sprint("e", i)
			if keys := running[id]; len(keys) > 0 && int(now/step)%3 == i%3 {
				f.pool.Finish(now, id, keys[0], admission.Result{Outcome: admission.Answered, EventInterval: 30 * time.Millisecond, TotalTime: second})
				running[id] = keys[1:]
			}
		}
	}
	part := func(name string) float64 { return float64(served[name]) / float64(asked[name]) }
	for i := 1; i < teams; i++ {
		f.Expect(part(fmt.Sprint("team-", i))).To(BeNumerically(">", 0.6))
	}
	f.Expect(part(busy)).To(BeNumerically(">", 0.08))
	f.Expect(part(busy)).To(BeNumerically("<", 0.5))
}

// Guards against counting requests instead of their work: a team with few long requests
// uses more than one with many short ones.
func TestShareCountsEngineTime(t *testing.T) {
	f := newFixture(t, 4)
	for range 4 {
		f.submitFor(0, "long", 20_000, 500)
	}
	for range 12 {
		f.submitFor(0, "short", 100, 10)
	}
	f.Expect(count(placed(f.pool.Schedule(0)))).To(Equal(16))
	loads := map[string]admission.Load{}
	for i := range 4 {
		loads[fmt.Sprint("e", i)] = admission.Load{InFlight: capacity}
	}
	f.pool.SetPeer(0, "peer", admission.PeerState{Loads: loads})
	short := f.submitFor(0, "short", 100, 10)
	f.submitFor(0, "long", 100, 10)
	loads["e0"] = admission.Load{InFlight: 0}
	f.pool.SetPeer(0, "peer", admission.PeerState{Loads: loads})
	f.Expect(f.pool.Schedule(0)[0].Key).To(Equal(short))
}

// Guards against a request that waits on although it can no longer begin in time: its
// caller could have returned earlier.
func TestRequestThatCannotBeginInTimeIsRefused(t *testing.T) {
	f := newFixture(t, 1)
	f.pool.SetPeer(0, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: capacity}}})
	f.submitFor(0, "team", 6000, 300)
	f.Expect(f.pool.Schedule(second / 2)).To(BeEmpty())
	decisions := f.pool.Schedule(second * 9 / 10)
	f.Expect(decisions).To(HaveLen(1))
	f.Expect(decisions[0].Action).To(Equal(admission.Refuse))
}

// One team sends a short request every 5 ms, two others a longer one every 100 ms. Guards
// against forgetting each short request before the next one adds to it, so that the team
// with most of the use has none.
func TestShortRequestsAddUp(t *testing.T) {
	f := newFixture(t, 4)
	now := time.Duration(0)
	for ; now < 2*second; now += 5 * time.Millisecond {
		f.submitFor(now, "short", 100, 10)
		if now%(100*time.Millisecond) == 0 {
			f.submitFor(now, "even", 1000, 50)
			f.submitFor(now, "other", 1000, 50)
		}
		for id, keys := range placed(f.pool.Schedule(now)) {
			for _, key := range keys {
				f.pool.Finish(now, id, key, admission.Result{Outcome: admission.NotSent})
			}
		}
	}
	f.pool.SetPeer(now, "peer", admission.PeerState{Loads: map[string]admission.Load{
		"e0": {InFlight: capacity - 1}, "e1": {InFlight: capacity}, "e2": {InFlight: capacity}, "e3": {InFlight: capacity},
	}})
	for range 3 {
		f.submitFor(now, "short", 100, 10)
	}
	even := f.submitFor(now, "even", 100, 10)
	decisions := f.pool.Schedule(now)
	f.Expect(decisions).To(HaveLen(1))
	f.Expect(decisions[0].Key).To(Equal(even))
}
