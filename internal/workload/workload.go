// Package workload generates the request arrivals of named workloads. The
// arrivals are a pure function of the profile and the options, which include
// the seed, so that a run can be repeated with the same requests.
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

// Arrival is a request of a workload and the time at which it is sent.
type Arrival struct {
	// Index is the position in the workload, from 0.
	Index int
	// At is the arrival time, counted from the start of the workload.
	At    time.Duration
	Team  string
	Tier  string
	Class string
	// Model is set for chat completions and Service for calls of a plain
	// service. Exactly one of them is set.
	Model   string
	Service string
	// PromptTokens includes PrefixTokens, the length of the leading part that
	// all requests with the same PrefixID share.
	PromptTokens int
	OutputTokens int
	PrefixID     string
	PrefixTokens int
	Stream       bool
	// Deadline is the time limit, counted from At, for the first token of a
	// stream or for a complete answer that is not streamed.
	Deadline time.Duration
}

// Messages returns the messages of a chat completion: a system message with the
// shared prefix, and a user message that is unique to this arrival.
func (a Arrival) Messages() []upstream.Message {
	suffixTokens := a.PromptTokens - a.PrefixTokens
	suffixKey := fmt.Sprintf("%s %d", a.PrefixID, a.Index)
	return []upstream.Message{
		{Role: "system", Content: fillerText(a.PrefixID, a.PrefixTokens)},
		{Role: "user", Content: fillerText(suffixKey, suffixTokens)},
	}
}

// fillerText returns text of the given number of tokens that starts with the
// key, so that texts with different keys differ from the first prefix block on.
func fillerText(key string, tokens int) string {
	byteLength := tokens * upstream.BytesPerToken
	repeated := strings.Repeat(key+" ", byteLength/(len(key)+1)+1)
	return repeated[:byteLength]
}

// Options configures the generation of a workload.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// RateFactor multiplies all arrival rates; zero means one.
	RateFactor float64
	// BurstFactor multiplies the lowest tier's BurstFactor; zero means one.
	BurstFactor float64
}

// Generate returns the arrivals of a profile, sorted by time.
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

// generateClass returns the arrivals of a class. Each class has its own random
// generator, so that a change to one class does not change the other arrivals.
func generateClass(profile Profile, class RequestClass, options Options) []Arrival {
	random := rand.New(rand.NewPCG(options.Seed, hash64(profile.Name+"/"+class.Name)))
	tier := profile.mustFindTier(class.Tier)
	bursts := drawBursts(profile, tier, options)
	var arrivals []Arrival
	for at := drawNextArrival(random, 0, class, bursts, options); at < options.Duration; {
		arrivals = append(arrivals, drawArrival(random, profile, class, tier, at))
		at = drawNextArrival(random, at, class, bursts, options)
	}
	return arrivals
}

// burst is a period in which the arrival rate is multiplied by factor.
type burst struct {
	start, end time.Duration
	factor     float64
}

// drawBursts returns the bursts of a tier, which all classes of the tier share.
func drawBursts(profile Profile, tier Tier, options Options) []burst {
	if tier.BurstFactor == 0 {
		return nil
	}
	factor := tier.BurstFactor
	if tier.Priority == lowestPriority && options.BurstFactor > 0 {
		factor *= options.BurstFactor
	}
	random := rand.New(rand.NewPCG(options.Seed, hash64(profile.Name+"/bursts/"+tier.Name)))
	var bursts []burst
	for previousEnd := time.Duration(0); previousEnd < options.Duration; {
		start := previousEnd + drawExponential(random, tier.BurstInterval)
		end := start + drawExponential(random, tier.BurstDuration)
		bursts = append(bursts, burst{start: start, end: end, factor: factor})
		previousEnd = end
	}
	return bursts
}

func drawExponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

// drawNextArrival draws the next arrival of a Poisson process whose rate is
// constant between the edges of bursts. The process is memoryless, so a draw
// beyond the next edge is repeated from that edge with the new rate.
func drawNextArrival(random *rand.Rand, at time.Duration, class RequestClass, bursts []burst, options Options) time.Duration {
	for {
		factor, edge := rateFactorAt(at, bursts)
		rate := class.RatePerSecond * factor
		if options.RateFactor > 0 {
			rate *= options.RateFactor
		}
		next := at + drawExponential(random, time.Duration(float64(time.Second)/rate))
		if next < edge {
			return next
		}
		if edge >= options.Duration {
			return options.Duration
		}
		at = edge
	}
}

// rateFactorAt returns the rate factor at a time and the time of its next change.
func rateFactorAt(at time.Duration, bursts []burst) (factor float64, edge time.Duration) {
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

func drawArrival(random *rand.Rand, profile Profile, class RequestClass, tier Tier, at time.Duration) Arrival {
	team := drawTeam(random, profile.Teams)
	prefixID := fmt.Sprintf("%s/%s/%s/%d", profile.Name, team, class.Name, drawPrefix(random, class.PrefixCount))
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
	arrival.PrefixTokens = prefixLength(prefixID, class.PrefixTokens)
	arrival.PromptTokens = arrival.PrefixTokens + logUniform(random.Float64(), class.SuffixTokens)
	arrival.OutputTokens = logUniform(random.Float64(), class.OutputTokens)
	return arrival
}

func drawTeam(random *rand.Rand, teams []Team) string {
	total := 0.0
	for _, team := range teams {
		total += team.Share
	}
	remaining := random.Float64() * total
	for _, team := range teams {
		remaining -= team.Share
		if remaining < 0 {
			return team.Name
		}
	}
	return teams[len(teams)-1].Name
}

// drawPrefix returns the number of a prefix, skewed towards low numbers:
// squaring a uniform draw gives half of the requests to the first quarter of
// the prefixes.
func drawPrefix(random *rand.Rand, count int) int {
	uniform := random.Float64()
	return int(uniform * uniform * float64(max(1, count)))
}

// prefixLength depends on the prefix alone, since all requests with the same
// prefix share its text.
func prefixLength(prefixID string, lengths TokenRange) int {
	random := rand.New(rand.NewPCG(hash64(prefixID), 0))
	return logUniform(random.Float64(), lengths)
}

// logUniform maps a uniform draw from [0, 1) to a log-uniformly distributed length.
func logUniform(uniform float64, lengths TokenRange) int {
	if lengths.Min <= 0 {
		return 0
	}
	ratio := float64(lengths.Max) / float64(lengths.Min)
	return int(math.Round(float64(lengths.Min) * math.Pow(ratio, uniform)))
}

func hash64(text string) uint64 {
	hasher := fnv.New64a()
	_, _ = hasher.Write([]byte(text))
	return hasher.Sum64()
}
