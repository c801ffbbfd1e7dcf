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

// span bounds a length in tokens, drawn uniformly on a logarithmic scale.
type span struct{ low, high int }

// requestClass is a kind of requests of a workload.
type requestClass struct {
	name  string
	tier  int
	model string
	// rate is relative to the other classes.
	rate     float64
	prefix   span
	tail     span
	output   span
	prefixes int
	deadline time.Duration
	// short marks the requests whose first token must not wait for long reads.
	short bool
}

// workload is a named mix of requests and the engines that serve it.
type workload struct {
	name    string
	classes []requestClass
	models  []string
	engines int
}

// teamShares are the shares of five teams, two of which are large.
var teamShares = []float64{0.35, 0.35, 0.12, 0.10, 0.08}

// Workloads lists the names of the workloads.
func Workloads() []string { return []string{"flottakert", "kifaru"} }

// workloads hold prompts between 100 and 20,000 tokens.
var workloads = map[string]workload{
	"flottakert": {
		name:    "flottakert",
		engines: 12,
		models:  []string{"assistant", "reader"},
		classes: []requestClass{
			{"answer", tierTop, "assistant", 4, span{256, 512}, span{40, 400}, span{20, 150}, 2, 2 * time.Second, true},
			{"question", tierNormal, "assistant", 4, span{256, 1024}, span{100, 2000}, span{60, 500}, 4, 8 * time.Second, true},
			{"summary", tierNormal, "reader", 0.8, span{2000, 12000}, span{1000, 12000}, span{200, 1200}, 8, 8 * time.Second, false},
			{"status", tierLow, "assistant", 6, span{64, 128}, span{40, 300}, span{12, 60}, 1, 4 * time.Second, true},
		},
	},
	"kifaru": {
		name:    "kifaru",
		engines: 18,
		models:  []string{"planner", "surveyor"},
		classes: []requestClass{
			{"plan", tierTop, "planner", 2, span{1000, 4000}, span{100, 1000}, span{100, 600}, 6, 5 * time.Second, true},
			{"survey", tierNormal, "surveyor", 2, span{4000, 16000}, span{200, 4000}, span{200, 1500}, 12, 15 * time.Second, false},
			{"chat", tierNormal, "planner", 3, span{256, 1024}, span{60, 1500}, span{60, 400}, 4, 15 * time.Second, true},
			{"tag", tierLow, "planner", 6, span{64, 128}, span{40, 300}, span{12, 60}, 1, 6 * time.Second, true},
		},
	},
}

// arrival is one generated request.
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

// phase multiplies the rate of a tier's classes during a part of the run.
type phase struct {
	tier       int
	start, end time.Duration
	factor     float64
}

// generate draws the arrivals: an open loop of Poisson processes, one per
// class, each with a generator of its own.
func generate(w *workload, rate float64, duration time.Duration, phases []phase, shares []float64, seed uint64) []arrival {
	var all []arrival
	for i := range w.classes {
		class := &w.classes[i]
		random := rand.New(rand.NewPCG(seed, xxhash.Sum64String(w.name+"/"+class.name)))
		highest := 1.0
		for _, p := range phases {
			if p.tier == class.tier {
				highest = max(highest, p.factor)
			}
		}
		mean := float64(time.Second) / (rate * class.rate * highest)
		for at := time.Duration(random.ExpFloat64() * mean); at < duration; at += time.Duration(random.ExpFloat64() * mean) {
			// Thinning: a draw at the highest rate is kept in proportion.
			if random.Float64()*highest <= factorAt(phases, class.tier, at) {
				all = append(all, draw(random, w, class, shares, at))
			}
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	for i := range all {
		all[i].index = i
	}
	return all
}

func factorAt(phases []phase, tier int, at time.Duration) float64 {
	for _, p := range phases {
		if p.tier == tier && at >= p.start && at < p.end {
			return p.factor
		}
	}
	return 1
}

func draw(random *rand.Rand, w *workload, class *requestClass, shares []float64, at time.Duration) arrival {
	team := pick(random, shares)
	// Squaring makes low numbers more frequent: the first quarter of the
	// prefixes gets half of the requests.
	square := random.Float64()
	number := int(square * square * float64(class.prefixes))
	id := fmt.Sprintf("%s/%s/%d/%d", w.name, class.name, team, number)
	prefix := logUniform(rand.New(rand.NewPCG(xxhash.Sum64String(id), 0)).Float64(), class.prefix)
	return arrival{
		at:           at,
		class:        class,
		team:         fmt.Sprintf("team-%d", team),
		prefixID:     id,
		prefixTokens: prefix,
		promptTokens: prefix + logUniform(random.Float64(), class.tail),
		outputTokens: logUniform(random.Float64(), class.output),
	}
}

func pick(random *rand.Rand, shares []float64) int {
	total := 0.0
	for _, share := range shares {
		total += share
	}
	left := random.Float64() * total
	for i, share := range shares {
		left -= share
		if left < 0 {
			return i
		}
	}
	return len(shares) - 1
}

func logUniform(draw float64, s span) int {
	return int(math.Round(float64(s.low) * math.Pow(float64(s.high)/float64(s.low), draw)))
}

// Prefix hashes are taken at lengths that grow by a fixed ratio, so that even
// a long prompt has few of them.
const (
	shortestPrefix = 64
	prefixGrowth   = 1.3
)

// prefixHashes returns the hashes and lengths of growing prefixes. The lengths
// up to shared depend on id alone, the others on the request.
func prefixHashes(id string, shared, total, index int) (hashes []uint64, tokens []int) {
	for length := float64(shortestPrefix); int(length) <= total; length *= prefixGrowth {
		owner := id
		if int(length) > shared {
			owner = fmt.Sprintf("%s/%d", id, index)
		}
		hashes = append(hashes, xxhash.Sum64String(fmt.Sprintf("%s:%d", owner, int(length))))
		tokens = append(tokens, int(length))
	}
	return hashes, tokens
}
