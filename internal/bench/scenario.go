package bench

import "time"

// Duration is the length of a run, without the time to drain.
const Duration = 120 * time.Second

// scenario is what happens during a run.
type scenario struct {
	name string
	// load is the offered work relative to the capacity of the engines.
	load   float64
	shares []float64
	// burst is the work of the lowest tier relative to the capacity during the
	// middle third.
	burst float64
	// oneModel makes all engines serve all requests.
	oneModel bool
	// longReads multiplies the rate of the classes that are not short.
	longReads  float64
	reportLag  time.Duration
	reportGap  time.Duration
	cacheLag   time.Duration
	slowEngine bool
	loseDomain bool
}

// Lags of load reports and cache events in ordinary operation.
const (
	ordinaryReportGap = time.Second
	ordinaryReportLag = time.Second
	ordinaryCacheLag  = 2 * time.Second
	// cacheEventLoss is the share of cache events that are lost.
	cacheEventLoss = 0.1
)

// Scenarios lists the names of the scenarios.
func Scenarios() []string {
	names := make([]string, len(scenarios))
	for i := range scenarios {
		names[i] = scenarios[i].name
	}
	return names
}

var scenarios = []scenario{
	{name: "steady", load: 0.6},
	{name: "burst", load: 0.6, burst: 3},
	{name: "slow-engine", load: 0.6, slowEngine: true},
	{name: "domain-lost", load: 0.6, loseDomain: true},
	{name: "stale-reports", load: 0.6, reportLag: 10 * time.Second, reportGap: 5 * time.Second, cacheLag: 20 * time.Second},
	// The second large team sends ten times its share.
	{name: "greedy-team", load: 0.6, shares: []float64{0.35, 3.5, 0.12, 0.10, 0.08}},
	{name: "long-reads", load: 0.6, oneModel: true, longReads: 3},
}

func (s *scenario) withDefaults() scenario {
	out := *s
	if out.shares == nil {
		out.shares = teamShares
	}
	if out.reportGap == 0 {
		out.reportGap = ordinaryReportGap
		out.reportLag = ordinaryReportLag
		out.cacheLag = ordinaryCacheLag
	}
	return out
}

// cost estimates the engine time of an average request of the class, in
// seconds on an average engine with a full batch. Half of the shared prefixes
// are assumed to be cached.
func (c *requestClass) cost() float64 {
	prefill, decode := 0.0, 0.0
	for _, g := range generations {
		prefill += g[0] / float64(len(generations))
		decode += g[1] / float64(len(generations))
	}
	tokens := meanLength(c.prefix)/2 + meanLength(c.tail)
	step := (1 + batchSlowdown*maxBatch) / decode
	return tokens/prefill + meanLength(c.output)*step/maxBatch
}

// meanLength is the mean of the logarithmic uniform distribution.
func meanLength(s span) float64 {
	const steps = 64
	sum := 0.0
	for i := range steps {
		sum += float64(logUniform((float64(i)+0.5)/steps, s))
	}
	return sum / steps
}

// arrivalsOf generates the arrivals of a scenario.
func (s *scenario) arrivalsOf(w *workload, seed uint64) []arrival {
	demand, low := 0.0, 0.0
	for i := range w.classes {
		cost := w.classes[i].rate * w.classes[i].cost()
		demand += cost
		if w.classes[i].tier == tierLow {
			low += cost
		}
	}
	rate := s.load * float64(w.engines) / demand
	var phases []phase
	if s.burst > 0 {
		factor := s.burst * float64(w.engines) / (rate * low)
		phases = append(phases, phase{tierLow, Duration / 3, 2 * Duration / 3, factor})
	}
	total := 0.0
	for _, share := range s.shares {
		total += share
	}
	// The extra requests of a greedy team come on top of the others.
	return generate(w, rate*total, Duration, phases, s.shares, seed)
}

// shape returns the workload as the scenario changes it.
func (s *scenario) shape(w workload) workload {
	classes := append([]requestClass(nil), w.classes...)
	for i := range classes {
		if s.longReads > 0 && !classes[i].short {
			classes[i].rate *= s.longReads
		}
		if s.oneModel {
			classes[i].model = w.models[0]
		}
	}
	w.classes = classes
	if s.oneModel {
		w.models = w.models[:1]
	}
	return w
}
