package bench

import "time"

// ArrivalDuration is the time during which requests arrive. A run continues until all
// requests have ended.
const ArrivalDuration = 120 * time.Second

// scenario describes the load and the faults of a run.
type scenario struct {
	name string
	// loadFactor is the offered load relative to the capacity of the engines.
	loadFactor float64
	teamShares []float64
	// lowTierLoad is the offered load of the lowest tier, relative to the capacity,
	// in the middle third of the run. Zero means no change.
	lowTierLoad float64
	// singleModel makes all requests use the same model, which all engines serve.
	singleModel bool
	// longRequestFactor multiplies the rate of the classes without short prompts.
	// Zero means no change.
	longRequestFactor float64
	// reportDelay is the age of load reports when they reach the scheduler.
	reportDelay         time.Duration
	reportInterval      time.Duration
	meanCacheEventDelay time.Duration
	// slowEngine slows an engine down by a factor of 5 after a quarter of the run.
	slowEngine bool
	// loseDomain crashes every second engine after a third of the run.
	loseDomain bool
}

// Timing of load reports and cache events in normal operation.
const (
	defaultReportInterval  = time.Second
	defaultReportDelay     = time.Second
	defaultCacheEventDelay = 2 * time.Second
	// cacheEventLoss is the probability that a cache event is lost.
	cacheEventLoss = 0.1
)

// Scenarios returns the names of all scenarios.
func Scenarios() []string {
	names := make([]string, len(scenarios))
	for i := range scenarios {
		names[i] = scenarios[i].name
	}
	return names
}

var scenarios = []scenario{
	{name: "steady", loadFactor: 0.6},
	{name: "burst", loadFactor: 0.6, lowTierLoad: 3},
	{name: "slow-engine", loadFactor: 0.6, slowEngine: true},
	{name: "domain-lost", loadFactor: 0.6, loseDomain: true},
	{name: "stale-reports", loadFactor: 0.6, reportDelay: 10 * time.Second, reportInterval: 5 * time.Second, meanCacheEventDelay: 20 * time.Second},
	// The second large team sends ten times its share.
	{name: "greedy-team", loadFactor: 0.6, teamShares: []float64{0.35, 3.5, 0.12, 0.10, 0.08}},
	{name: "long-reads", loadFactor: 0.6, singleModel: true, longRequestFactor: 3},
}

func (s *scenario) withDefaults() scenario {
	result := *s
	if result.teamShares == nil {
		result.teamShares = teamShares
	}
	if result.reportInterval == 0 {
		result.reportInterval = defaultReportInterval
		result.reportDelay = defaultReportDelay
		result.meanCacheEventDelay = defaultCacheEventDelay
	}
	return result
}

// engineSeconds estimates the share of the time of an average engine with a full
// batch that an average request of the class takes. It assumes that half of the
// shared prefix is cached.
func (c *requestClass) engineSeconds() float64 {
	prefillRate, decodeRate := 0.0, 0.0
	for _, g := range hardwareGenerations {
		prefillRate += g[0] / float64(len(hardwareGenerations))
		decodeRate += g[1] / float64(len(hardwareGenerations))
	}
	prefillTokens := meanLength(c.prefixTokens)/2 + meanLength(c.suffixTokens)
	stepSeconds := (1 + stepSlowdownPerRequest*maxBatchRequests) / decodeRate
	return prefillTokens/prefillRate + meanLength(c.outputTokens)*stepSeconds/maxBatchRequests
}

// meanLength returns the mean of the log-uniform distribution, by numerical
// integration.
func meanLength(lengths tokenRange) float64 {
	const steps = 64
	sum := 0.0
	for i := range steps {
		sum += float64(logUniform((float64(i)+0.5)/steps, lengths))
	}
	return sum / steps
}

// arrivals generates the arrivals of the scenario. Their rate follows from the
// estimated engine time of the request classes and the load factor.
func (s *scenario) arrivals(w *workload, seed uint64) []arrival {
	totalCost, lowTierCost := 0.0, 0.0
	for i := range w.classes {
		cost := w.classes[i].relativeRate * w.classes[i].engineSeconds()
		totalCost += cost
		if w.classes[i].tier == tierLow {
			lowTierCost += cost
		}
	}
	rateScale := s.loadFactor * float64(w.engineCount) / totalCost
	var phases []ratePhase
	if s.lowTierLoad > 0 {
		factor := s.lowTierLoad * float64(w.engineCount) / (rateScale * lowTierCost)
		phases = append(phases, ratePhase{tierLow, ArrivalDuration / 3, 2 * ArrivalDuration / 3, factor})
	}
	totalShare := 0.0
	for _, share := range s.teamShares {
		totalShare += share
	}
	// Team shares with a sum above 1, as in the scenario greedy-team, raise the total
	// rate.
	return drawArrivals(w, rateScale*totalShare, ArrivalDuration, phases, s.teamShares, seed)
}

// applyTo returns a copy of the workload with the changes of the scenario.
func (s *scenario) applyTo(w workload) workload {
	classes := append([]requestClass(nil), w.classes...)
	for i := range classes {
		if s.longRequestFactor > 0 && !classes[i].shortPrompt {
			classes[i].relativeRate *= s.longRequestFactor
		}
		if s.singleModel {
			classes[i].model = w.models[0]
		}
	}
	w.classes = classes
	if s.singleModel {
		w.models = w.models[:1]
	}
	return w
}
