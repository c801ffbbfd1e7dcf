package workload_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/workload"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

func mustProfile(t *testing.T, name string) workload.Profile {
	t.Helper()
	profile, err := workload.ProfileByName(name)
	if err != nil {
		t.Fatal(err)
	}
	return profile
}

// Guards against workloads that depend on anything but profile, seed and
// options, and against workloads without bursts, prompt lengths that differ by
// a factor of 100, two large teams, or shared prefixes.
func TestGenerateIsReproducibleAndUneven(t *testing.T) {
	for _, name := range []string{"flottakert", "kifaru"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			profile := mustProfile(t, name)
			options := workload.Options{Seed: 7, Duration: 10 * time.Minute}
			arrivals := workload.Generate(profile, options)
			g.Expect(workload.Generate(profile, options)).To(Equal(arrivals))
			options.Seed = 8
			g.Expect(workload.Generate(profile, options)).NotTo(Equal(arrivals))

			requestsPerTeam := map[string]int{}
			requestsPerPrefix := map[string]int{}
			arrivalsPerSecond := map[int]int{}
			shortest, longest := 1<<30, 0
			for index, a := range arrivals {
				g.Expect(a.Index).To(Equal(index))
				g.Expect((a.Model == "") != (a.Service == "")).To(BeTrue())
				requestsPerTeam[a.Team]++
				arrivalsPerSecond[int(a.At.Seconds())]++
				if a.Model == "" {
					continue
				}
				requestsPerPrefix[a.PrefixID]++
				shortest = min(shortest, a.PromptTokens)
				longest = max(longest, a.PromptTokens)
			}
			g.Expect(slices.IsSortedFunc(arrivals, func(a, b workload.Arrival) int { return int(a.At - b.At) })).To(BeTrue())
			g.Expect(longest).To(BeNumerically(">=", 100*shortest))
			teamCounts := []int{}
			for _, count := range requestsPerTeam {
				teamCounts = append(teamCounts, count)
			}
			slices.Sort(teamCounts)
			g.Expect(teamCounts).To(HaveLen(5))
			g.Expect(teamCounts[3]).To(BeNumerically(">", 2*teamCounts[2]), "two large teams")
			g.Expect(len(requestsPerPrefix)).To(BeNumerically("<", len(arrivals)/5))
			busiest := 0
			for _, count := range arrivalsPerSecond {
				busiest = max(busiest, count)
			}
			g.Expect(busiest).To(BeNumerically(">", 2*len(arrivals)/600), "bursts")
		})
	}
}

// Guards against wrong arrival rates. The tolerance is five standard deviations
// of the Poisson count without bursts.
func TestArrivalRateMatchesProfile(t *testing.T) {
	g := NewWithT(t)
	profile := mustProfile(t, "kifaru")
	for index := range profile.Tiers {
		profile.Tiers[index].BurstFactor = 0
	}
	arrivals := workload.Generate(profile, workload.Options{Seed: 1, Duration: 1000 * time.Second, RateFactor: 2})
	g.Expect(len(arrivals)).To(BeNumerically("~", 28000, 5*168))
}

// Guards against prompts whose shared prefix does not produce equal prefix hashes, and
// against different suffixes that produce equal hashes.
func TestPromptsOfOnePrefixShareLeadingBlocksOnly(t *testing.T) {
	g := NewWithT(t)
	arrivals := workload.Generate(mustProfile(t, "kifaru"), workload.Options{Seed: 1, Duration: time.Minute})
	hashesByPrefix := map[string][]uint64{}
	compared := 0
	for _, a := range arrivals {
		if a.Class != "survey" {
			continue
		}
		text := upstream.PromptText(a.Messages())
		g.Expect(len(text) / upstream.BytesPerToken).To(BeNumerically("~", a.PromptTokens, 10))
		hashes := upstream.PrefixHashes(text)
		other, ok := hashesByPrefix[a.PrefixID]
		hashesByPrefix[a.PrefixID] = hashes
		if !ok {
			continue
		}
		sharedBlocks := a.PrefixTokens * upstream.BytesPerToken / upstream.PrefixBlockBytes
		g.Expect(hashes[:sharedBlocks]).To(Equal(other[:sharedBlocks]))
		g.Expect(hashes[len(hashes)-1]).NotTo(Equal(other[len(other)-1]))
		compared++
	}
	g.Expect(compared).To(BeNumerically(">", 20))
}
