package bench

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// observation is the service time per output token of a completed request, and
// the virtual time at which the request completed.
type observation struct {
	engine          string
	at              time.Duration
	secondsPerToken float64
}

// slowDetector processes an observation of an upstream and reports whether the upstream
// is slow. The observation is given as the deviation from the usual service time in
// standard deviations of its logarithm, and as the ratio to the usual service time.
type slowDetector func(stdDevs, ratio float64) bool

// minOutputTokens is the number of output tokens from which the time per token
// is observed. In shorter outputs, a single step that also prefills another
// request dominates the mean.
const minOutputTokens = 16

// minStdDev is the lower bound of the standard deviation that observations are
// compared with. It avoids false alarms for engines with little variance.
const minStdDev = 0.1

// detectorSpec is a detector under comparison, with fixed parameters.
type detectorSpec struct {
	name        string
	newDetector func() slowDetector
}

// detectorSpecs returns the detectors under comparison: a threshold for single
// observations, a threshold for the moving average of ratios, and the control
// chart.
func detectorSpecs() []detectorSpec {
	var specs []detectorSpec
	for _, threshold := range []float64{2, 3, 4} {
		specs = append(specs, detectorSpec{fmt.Sprintf("threshold %.0f", threshold), func() slowDetector {
			return func(_, ratio float64) bool { return ratio > threshold }
		}})
	}
	for _, window := range []int{5, 10, 20} {
		for _, threshold := range []float64{1.5, 2, 3} {
			specs = append(specs, detectorSpec{fmt.Sprintf("average of %d > %.1f", window, threshold), func() slowDetector {
				return newMovingAverage(window, threshold)
			}})
		}
	}
	for _, weight := range []float64{0.1, 0.2, 0.4} {
		for _, limit := range []float64{4, 6, 8} {
			specs = append(specs, detectorSpec{fmt.Sprintf("chart lambda %.1f L %.0f", weight, limit), func() slowDetector {
				return newControlChart(weight, limit)
			}})
		}
	}
	return specs
}

// newControlChart returns an exponentially weighted moving average (EWMA) control
// chart with an upper limit only: Z_i = lambda*Y_i + (1-lambda)*Z_(i-1), which
// signals above L*sqrt(lambda/(2-lambda))*sigma. Z starts at half of the limit,
// for a fast initial response.
func newControlChart(lambda, limitWidth float64) slowDetector {
	controlLimit := limitWidth * math.Sqrt(lambda/(2-lambda))
	z := controlLimit / 2
	return func(stdDevs, _ float64) bool {
		z = max(0, lambda*stdDevs+(1-lambda)*z)
		return z > controlLimit
	}
}

func newMovingAverage(window int, threshold float64) slowDetector {
	var recent []float64
	return func(_, ratio float64) bool {
		recent = append(recent, ratio)
		if len(recent) > window {
			recent = recent[1:]
		}
		sum := 0.0
		for _, value := range recent {
			sum += value
		}
		return len(recent) == window && sum/float64(window) > threshold
	}
}

// collectObservations runs a simulation in which one engine slows down by the
// given factor after half of the arrivals. It returns the observations in order
// of time, and the name of that engine.
func collectObservations(config RunConfig, slowdown float64) ([]observation, string, error) {
	s, err := newSimulation(config)
	if err != nil {
		return nil, "", err
	}
	slowEngine := s.engines[len(hardwareGenerations)-1]
	if slowdown > 1 {
		s.loop.scheduleAt(ArrivalDuration/2, func() { slowEngine.slowdown = slowdown })
	}
	var observations []observation
	s.onCompleted = func(engine string, result sched.Result) {
		if decode := result.Total - result.FirstToken; result.OutputTokens >= minOutputTokens && decode > 0 {
			observations = append(observations, observation{engine, s.loop.now, decode.Seconds() / float64(result.OutputTokens-1)})
		}
	}
	s.loop.run(func() bool { return s.openRequests == 0 && s.loop.now > ArrivalDuration })
	return observations, slowEngine.name, nil
}

// detectionResult is the result of a detector in one run: the number of engines
// wrongly reported as slow, and the time from the slowdown to its detection.
type detectionResult struct {
	falseAlarms int
	detected    bool
	delay       time.Duration
}

// evaluate runs one detector per engine over the observations. Observations
// that are reported as slow do not change the usual service time of the engine.
func (d detectorSpec) evaluate(observations []observation, slowEngine string, slowSince time.Duration) detectionResult {
	statsByEngine := map[string]*sched.ServiceTimeStats{}
	detectors := map[string]slowDetector{}
	falselyReported := map[string]bool{}
	var result detectionResult
	var poolTrend sched.PoolTrend
	for _, o := range observations {
		if detectors[o.engine] == nil {
			statsByEngine[o.engine] = &sched.ServiceTimeStats{}
			detectors[o.engine] = d.newDetector()
		}
		stats := statsByEngine[o.engine]
		reportedSlow := false
		if stats.Ready() {
			logRatio := poolTrend.Detrend(stats.LogRatio(o.secondsPerToken))
			reportedSlow = detectors[o.engine](logRatio/max(minStdDev, stats.StdDev()), math.Exp(logRatio))
		}
		isSlow := o.engine == slowEngine && o.at >= slowSince
		switch {
		case reportedSlow && isSlow && !result.detected:
			result.detected = true
			result.delay = o.at - slowSince
		case reportedSlow && !isSlow && !falselyReported[o.engine]:
			falselyReported[o.engine] = true
			result.falseAlarms++
		}
		if !reportedSlow {
			stats.Add(o.secondsPerToken)
		}
	}
	return result
}

// detectorCase is a scenario and a slowdown factor of one engine; a factor of 1 means
// no slowdown.
type detectorCase struct {
	scenario string
	slowdown float64
}

var detectorCases = []detectorCase{{"steady", 5}, {"steady", 2}, {"burst", 1}, {"greedy-team", 1}}

// CompareDetectors prints, for each detector and case over both workloads, the
// number of engines wrongly reported as slow per run, the number of detected
// slowdowns, and the median and longest detection delay.
func CompareDetectors(out io.Writer, seeds int) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "detector\tcase\tfalse alarms per run\tdetected\tmedian delay s\tlongest delay s")
	for _, c := range detectorCases {
		resultsBySpec := map[string][]detectionResult{}
		for _, workloadName := range Workloads() {
			for seed := 1; seed <= seeds; seed++ {
				observations, slowEngine, err := collectObservations(RunConfig{c.scenario, workloadName, sched.PolicyRosemarywing, uint64(seed), 0}, c.slowdown)
				if err != nil {
					return err
				}
				slowSince := ArrivalDuration / 2
				if c.slowdown == 1 {
					slowEngine = ""
				}
				for _, spec := range detectorSpecs() {
					resultsBySpec[spec.name] = append(resultsBySpec[spec.name], spec.evaluate(observations, slowEngine, slowSince))
				}
			}
		}
		for _, spec := range detectorSpecs() {
			writeDetectionResults(table, spec.name, c, resultsBySpec[spec.name])
		}
	}
	return table.Flush()
}

func writeDetectionResults(out io.Writer, name string, c detectorCase, results []detectionResult) {
	falseAlarms := 0
	var delays []time.Duration
	for _, result := range results {
		falseAlarms += result.falseAlarms
		if result.detected {
			delays = append(delays, result.delay)
		}
	}
	slices.Sort(delays)
	detectionColumns := "-\t-\t-"
	if len(delays) > 0 {
		detectionColumns = fmt.Sprintf("%d of %d\t%.1f\t%.1f", len(delays), len(results), delays[len(delays)/2].Seconds(), delays[len(delays)-1].Seconds())
	}
	_, _ = fmt.Fprintf(out, "%s\t%s, slowdown %.0f\t%.2f\t%s\n", name, c.scenario, c.slowdown, float64(falseAlarms)/float64(len(results)), detectionColumns)
}
