package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Priorities of the tiers, in all workloads.
const (
	tierLow    = 1
	tierNormal = 2
	tierTop    = 3
)

// tokenRange holds the bounds of a log-uniformly distributed number of tokens.
type tokenRange struct{ min, max int }

// requestClass describes requests with the same tier, model and size distribution.
type requestClass struct {
	name  string
	tier  int
	model string
	// relativeRate is the arrival rate relative to the other classes.
	relativeRate float64
	prefixTokens tokenRange
	suffixTokens tokenRange
	outputTokens tokenRange
	prefixCount  int
	// firstTokenTimeout is the time from arrival within which the first token is due.
	firstTokenTimeout time.Duration
	// shortPrompt marks the classes whose time to first token is also reported
	// apart, to show whether long prompts delay them.
	shortPrompt bool
}

// workload is a named mix of request classes, and the engines that serve it.
type workload struct {
	name        string
	classes     []requestClass
	models      []string
	engineCount int
}

// teamShares holds the shares of five teams in the requests. The first two teams
// are large.
var teamShares = []float64{0.35, 0.35, 0.12, 0.10, 0.08}

// Workloads returns the names of all workloads.
func Workloads() []string { return []string{"flottakert", "kifaru"} }

// workloads holds the workloads by name. Prompts have 100 to 20,000 tokens.
var workloads = map[string]workload{
	"flottakert": {
		name:        "flottakert",
		engineCount: 12,
		models:      []string{"assistant", "reader"},
		classes: []requestClass{
			{"answer", tierTop, "assistant", 4, tokenRange{256, 512}, tokenRange{40, 400}, tokenRange{20, 150}, 2, 2 * time.Second, true},
			{"question", tierNormal, "assistant", 4, tokenRange{256, 1024}, tokenRange{100, 2000}, tokenRange{60, 500}, 4, 8 * time.Second, true},
			{"summary", tierNormal, "reader", 0.8, tokenRange{2000, 12000}, tokenRange{1000, 12000}, tokenRange{200, 1200}, 8, 8 * time.Second, false},
			{"status", tierLow, "assistant", 6, tokenRange{64, 128}, tokenRange{40, 300}, tokenRange{12, 60}, 1, 4 * time.Second, true},
		},
	},
	"kifaru": {
		name:        "kifaru",
		engineCount: 18,
		models:      []string{"planner", "surveyor"},
		classes: []requestClass{
			{"plan", tierTop, "planner", 2, tokenRange{1000, 4000}, tokenRange{100, 1000}, tokenRange{100, 600}, 6, 5 * time.Second, true},
			{"survey", tierNormal, "surveyor", 2, tokenRange{4000, 16000}, tokenRange{200, 4000}, tokenRange{200, 1500}, 12, 15 * time.Second, false},
			{"chat", tierNormal, "planner", 3, tokenRange{256, 1024}, tokenRange{60, 1500}, tokenRange{60, 400}, 4, 15 * time.Second, true},
			{"tag", tierLow, "planner", 6, tokenRange{64, 128}, tokenRange{40, 300}, tokenRange{12, 60}, 1, 6 * time.Second, true},
		},
	},
}

// arrival is a generated request; at is its arrival time in virtual time.
type arrival struct {
	index        int
	at           time.Duration
	class        *requestClass
	team         string
	prefixID     string
	prefixTokens int
	promptTokens int
	outputTokens int
}

// ratePhase multiplies the arrival rates of a tier by factor from start to end.
type ratePhase struct {
	tier       int
	start, end time.Duration
	factor     float64
}

// drawArrivals draws open-loop arrivals from one Poisson process per class, each
// with its own random generator. The requests per second of a class are rateScale
// times its relative rate.
func drawArrivals(w *workload, rateScale float64, duration time.Duration, phases []ratePhase, shares []float64, seed uint64) []arrival {
	var arrivals []arrival
	for i := range w.classes {
		class := &w.classes[i]
		random := rand.New(rand.NewPCG(seed, xxhash.Sum64String(w.name+"/"+class.name)))
		peakFactor := 1.0
		for _, p := range phases {
			if p.tier == class.tier {
				peakFactor = max(peakFactor, p.factor)
			}
		}
		meanInterval := float64(time.Second) / (rateScale * class.relativeRate * peakFactor)
		for at := time.Duration(random.ExpFloat64() * meanInterval); at < duration; at += time.Duration(random.ExpFloat64() * meanInterval) {
			// Thinning: of the arrivals drawn at the peak rate, keep the fraction
			// (current rate / peak rate).
			if random.Float64()*peakFactor <= rateFactorAt(phases, class.tier, at) {
				arrivals = append(arrivals, drawArrival(random, w, class, shares, at))
			}
		}
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].at < arrivals[j].at })
	for i := range arrivals {
		arrivals[i].index = i
	}
	return arrivals
}

func rateFactorAt(phases []ratePhase, tier int, at time.Duration) float64 {
	for _, p := range phases {
		if p.tier == tier && at >= p.start && at < p.end {
			return p.factor
		}
	}
	return 1
}

func drawArrival(random *rand.Rand, w *workload, class *requestClass, shares []float64, at time.Duration) arrival {
	team := drawTeam(random, shares)
	// Squaring a uniform draw skews it towards low numbers: the first quarter of
	// the prefixes gets half of the requests.
	uniform := random.Float64()
	prefixNumber := int(uniform * uniform * float64(class.prefixCount))
	prefixID := fmt.Sprintf("%s/%s/%d/%d", w.name, class.name, team, prefixNumber)
	prefixTokens := logUniform(rand.New(rand.NewPCG(xxhash.Sum64String(prefixID), 0)).Float64(), class.prefixTokens)
	return arrival{
		at:           at,
		class:        class,
		team:         fmt.Sprintf("team-%d", team),
		prefixID:     prefixID,
		prefixTokens: prefixTokens,
		promptTokens: prefixTokens + logUniform(random.Float64(), class.suffixTokens),
		outputTokens: logUniform(random.Float64(), class.outputTokens),
	}
}

// drawTeam returns the index of a team, drawn in proportion to the shares.
func drawTeam(random *rand.Rand, shares []float64) int {
	total := 0.0
	for _, share := range shares {
		total += share
	}
	remaining := random.Float64() * total
	for i, share := range shares {
		remaining -= share
		if remaining < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// logUniform maps a uniform draw from [0, 1) to a log-uniformly distributed length.
func logUniform(uniform float64, lengths tokenRange) int {
	return int(math.Round(float64(lengths.min) * math.Pow(float64(lengths.max)/float64(lengths.min), uniform)))
}

// Prompt prefixes are hashed at lengths in tokens that grow by a fixed ratio, so
// that even a long prompt has few hashes.
const (
	minPrefixTokens   = 64
	prefixLengthRatio = 1.3
)

// prefixHashes returns the hashes and lengths of the prefixes of a prompt. Hashes of
// prefixes of up to sharedTokens depend on prefixID alone, hashes of longer prefixes
// also on the request.
func prefixHashes(prefixID string, sharedTokens, promptTokens, requestIndex int) (hashes []uint64, lengths []int) {
	for length := float64(minPrefixTokens); int(length) <= promptTokens; length *= prefixLengthRatio {
		key := prefixID
		if int(length) > sharedTokens {
			key = fmt.Sprintf("%s/%d", prefixID, requestIndex)
		}
		hashes = append(hashes, xxhash.Sum64String(fmt.Sprintf("%s:%d", key, int(length))))
		lengths = append(lengths, int(length))
	}
	return hashes, lengths
}
