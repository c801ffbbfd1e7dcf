package workload_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/workload"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

func named(t *testing.T, name string) workload.Profile {
	t.Helper()
	profile, err := workload.Named(name)
	if err != nil {
		t.Fatal(err)
	}
	return profile
}

// Guards against workloads that depend on anything but profile, seed and
// options, and against ones that lack the properties that make them hard:
// bursts, lengths that differ a hundredfold, two large teams, shared prefixes.
func TestWorkloads(t *testing.T) {
	for _, name := range []string{"flottakert", "kifaru"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			profile := named(t, name)
			options := workload.Options{Seed: 7, Duration: 10 * time.Minute}
			arrivals := workload.Generate(profile, options)
			g.Expect(workload.Generate(profile, options)).To(Equal(arrivals))
			options.Seed = 8
			g.Expect(workload.Generate(profile, options)).NotTo(Equal(arrivals))

			teams := map[string]int{}
			prefixes := map[string]int{}
			perSecond := map[int]int{}
			shortest, longest := 1<<30, 0
			for index, a := range arrivals {
				g.Expect(a.Index).To(Equal(index))
				g.Expect((a.Model == "") != (a.Service == "")).To(BeTrue())
				teams[a.Team]++
				perSecond[int(a.At.Seconds())]++
				if a.Model == "" {
					continue
				}
				prefixes[a.PrefixID]++
				shortest = min(shortest, a.PromptTokens)
				longest = max(longest, a.PromptTokens)
			}
			g.Expect(slices.IsSortedFunc(arrivals, func(a, b workload.Arrival) int { return int(a.At - b.At) })).To(BeTrue())
			g.Expect(longest).To(BeNumerically(">=", 100*shortest))
			shares := []int{}
			for _, count := range teams {
				shares = append(shares, count)
			}
			slices.Sort(shares)
			g.Expect(shares).To(HaveLen(5))
			g.Expect(shares[3]).To(BeNumerically(">", 2*shares[2]), "two large teams")
			g.Expect(len(prefixes)).To(BeNumerically("<", len(arrivals)/5))
			busiest := 0
			for _, count := range perSecond {
				busiest = max(busiest, count)
			}
			g.Expect(busiest).To(BeNumerically(">", 2*len(arrivals)/600), "bursts")
		})
	}
}

// Guards against wrong arrival rates. The bound is five standard deviations of
// the Poisson count outside bursts.
func TestRate(t *testing.T) {
	g := NewWithT(t)
	profile := named(t, "kifaru")
	for index := range profile.Tiers {
		profile.Tiers[index].BurstFactor = 0
	}
	arrivals := workload.Generate(profile, workload.Options{Seed: 1, Duration: 1000 * time.Second, Rate: 2})
	g.Expect(len(arrivals)).To(BeNumerically("~", 28000, 5*168))
}

// Guards against prompts whose shared prefix does not give shared prefix
// hashes, and against tails that give them by accident.
func TestPromptsSharePrefixes(t *testing.T) {
	g := NewWithT(t)
	arrivals := workload.Generate(named(t, "kifaru"), workload.Options{Seed: 1, Duration: time.Minute})
	byPrefix := map[string][]uint64{}
	compared := 0
	for _, a := range arrivals {
		if a.Class != "survey" {
			continue
		}
		text := upstream.PromptText(a.Messages())
		g.Expect(len(text) / upstream.BytesPerToken).To(BeNumerically("~", a.PromptTokens, 10))
		hashes := upstream.PrefixHashes(text)
		other, ok := byPrefix[a.PrefixID]
		byPrefix[a.PrefixID] = hashes
		if !ok {
			continue
		}
		shared := a.PrefixTokens * upstream.BytesPerToken / upstream.PrefixBlockBytes
		g.Expect(hashes[:shared]).To(Equal(other[:shared]))
		g.Expect(hashes[len(hashes)-1]).NotTo(Equal(other[len(other)-1]))
		compared++
	}
	g.Expect(compared).To(BeNumerically(">", 20))
}
