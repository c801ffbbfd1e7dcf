// Package workload generates the arrivals of the named workloads. A workload
// is a pure function of its profile, the seed and the options, so that the
// load tool and the virtual-time bench see the same requests.
package workload

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// Arrival is one request of a workload.
type Arrival struct {
	// Index is the position in the workload, from 0.
	Index int
	// At is the time since the start of the workload.
	At    time.Duration
	Team  string
	Tier  string
	Class string
	// Model is the model of a chat completion; Service the plain service of a
	// call. Exactly one of them is set.
	Model   string
	Service string
	// PromptTokens include PrefixTokens, the leading part that all requests
	// with the same PrefixID share.
	PromptTokens int
	OutputTokens int
	PrefixID     string
	PrefixTokens int
	Stream       bool
	// Deadline counts from At: to the first token of a stream, to the complete
	// answer otherwise.
	Deadline time.Duration
}

// Messages returns the messages of a chat completion: one with the shared
// prefix, and one that only this arrival has.
func (a Arrival) Messages() []upstream.Message {
	tail := a.PromptTokens - a.PrefixTokens
	own := fmt.Sprintf("%s %d", a.PrefixID, a.Index)
	return []upstream.Message{
		{Role: "system", Content: filler(a.PrefixID, a.PrefixTokens)},
		{Role: "user", Content: filler(own, tail)},
	}
}

// filler returns text of the given number of tokens that starts with the key,
// so that texts with different keys differ from the first block on.
func filler(key string, tokens int) string {
	length := tokens * upstream.BytesPerToken
	repeated := strings.Repeat(key+" ", length/(len(key)+1)+1)
	return repeated[:length]
}

// Options are the variable parts of a workload.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// Rate multiplies all arrival rates; zero means one.
	Rate float64
	// BurstFactor multiplies the factor of the lowest tier's bursts; zero
	// means one.
	BurstFactor float64
}

// Generate returns the arrivals of a profile in order of time.
func Generate(profile Profile, options Options) []Arrival {
	var arrivals []Arrival
	for _, class := range profile.Classes {
		arrivals = append(arrivals, generateClass(profile, class, options)...)
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for index := range arrivals {
		arrivals[index].Index = index
	}
	return arrivals
}

// generateClass draws each class from its own generator, so that a change to
// one class leaves the arrivals of the others as they are.
func generateClass(profile Profile, class Class, options Options) []Arrival {
	random := rand.New(rand.NewPCG(options.Seed, hash(profile.Name+"/"+class.Name)))
	tier := profile.tier(class.Tier)
	bursts := burstsOf(profile, tier, options)
	var arrivals []Arrival
	for at := nextArrival(random, 0, class, bursts, options); at < options.Duration; {
		arrivals = append(arrivals, draw(random, profile, class, tier, at))
		at = nextArrival(random, at, class, bursts, options)
	}
	return arrivals
}

// burst is a period with a higher arrival rate.
type burst struct {
	start, end time.Duration
	factor     float64
}

// burstsOf draws the bursts of a tier; all classes of the tier share them.
func burstsOf(profile Profile, tier Tier, options Options) []burst {
	if tier.BurstFactor == 0 {
		return nil
	}
	factor := tier.BurstFactor
	if tier.Priority == lowestPriority && options.BurstFactor > 0 {
		factor *= options.BurstFactor
	}
	random := rand.New(rand.NewPCG(options.Seed, hash(profile.Name+"/bursts/"+tier.Name)))
	var bursts []burst
	for at := time.Duration(0); at < options.Duration; {
		start := at + exponential(random, tier.BurstEvery)
		end := start + exponential(random, tier.BurstLength)
		bursts = append(bursts, burst{start: start, end: end, factor: factor})
		at = end
	}
	return bursts
}

func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

// nextArrival draws the next arrival of a Poisson process whose rate is
// constant between the edges of bursts. The process has no memory, so the draw
// is repeated from each edge that it would cross.
func nextArrival(random *rand.Rand, at time.Duration, class Class, bursts []burst, options Options) time.Duration {
	for {
		factor, edge := rateAt(at, bursts)
		rate := class.RatePerSecond * factor
		if options.Rate > 0 {
			rate *= options.Rate
		}
		next := at + exponential(random, time.Duration(float64(time.Second)/rate))
		if next < edge {
			return next
		}
		if edge >= options.Duration {
			return options.Duration
		}
		at = edge
	}
}

// rateAt returns the factor of the rate and the time of its next change.
func rateAt(at time.Duration, bursts []burst) (factor float64, edge time.Duration) {
	for _, b := range bursts {
		if at < b.start {
			return 1, b.start
		}
		if at < b.end {
			return b.factor, b.end
		}
	}
	return 1, math.MaxInt64
}

func draw(random *rand.Rand, profile Profile, class Class, tier Tier, at time.Duration) Arrival {
	team := chooseTeam(random, profile.Teams)
	prefixID := fmt.Sprintf("%s/%s/%s/%d", profile.Name, team, class.Name, choosePrefix(random, class.Prefixes))
	arrival := Arrival{
		At:       at,
		Team:     team,
		Tier:     tier.Name,
		Class:    class.Name,
		Model:    class.Model,
		Service:  class.Service,
		Stream:   class.Stream,
		Deadline: tier.Deadline,
	}
	if class.Service != "" {
		return arrival
	}
	arrival.PrefixID = prefixID
	arrival.PrefixTokens = prefixTokens(prefixID, class.Prefix)
	arrival.PromptTokens = arrival.PrefixTokens + logUniform(random.Float64(), class.Prompt)
	arrival.OutputTokens = logUniform(random.Float64(), class.Output)
	return arrival
}

func chooseTeam(random *rand.Rand, teams []Team) string {
	total := 0.0
	for _, team := range teams {
		total += team.Share
	}
	left := random.Float64() * total
	for _, team := range teams {
		left -= team.Share
		if left < 0 {
			return team.Name
		}
	}
	return teams[len(teams)-1].Name
}

// choosePrefix prefers low numbers: squaring a uniform draw gives the first
// quarter of the prefixes half of the requests.
func choosePrefix(random *rand.Rand, count int) int {
	draw := random.Float64()
	return int(draw * draw * float64(max(1, count)))
}

// prefixTokens is a function of the prefix alone, because all requests with
// the prefix share its text.
func prefixTokens(prefixID string, lengths Range) int {
	random := rand.New(rand.NewPCG(hash(prefixID), 0))
	return logUniform(random.Float64(), lengths)
}

func logUniform(draw float64, lengths Range) int {
	if lengths.Low <= 0 {
		return 0
	}
	ratio := float64(lengths.High) / float64(lengths.Low)
	return int(math.Round(float64(lengths.Low) * math.Pow(ratio, draw)))
}

func hash(text string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(text))
	return sum.Sum64()
}
