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

// observation is the service time per output token of a completed request.
type observation struct {
	engine  string
	at      time.Duration
	seconds float64
}

// judge is a detector under comparison: it reports whether the upstream is
// slow after an observation.
type judge func(deviations, ratio float64) bool

// leastOutput is the answer length from which the time per token is observed;
// one step beside a chunk of prefill dominates shorter ones.
const leastOutput = 16

// leastSpread keeps a very regular engine from signalling on noise.
const leastSpread = 0.1

type detector struct {
	name string
	make func() judge
}

// detectors lists the candidates: a threshold on each observation, a moving
// average of ratios against a threshold, and the control chart.
func detectors() []detector {
	var all []detector
	for _, threshold := range []float64{2, 3, 4} {
		all = append(all, detector{fmt.Sprintf("threshold %.0f", threshold), func() judge {
			return func(_, ratio float64) bool { return ratio > threshold }
		}})
	}
	for _, window := range []int{5, 10, 20} {
		for _, threshold := range []float64{1.5, 2, 3} {
			all = append(all, detector{fmt.Sprintf("average of %d > %.1f", window, threshold), func() judge {
				return movingAverage(window, threshold)
			}})
		}
	}
	for _, weight := range []float64{0.1, 0.2, 0.4} {
		for _, limit := range []float64{4, 6, 8} {
			all = append(all, detector{fmt.Sprintf("chart lambda %.1f L %.0f", weight, limit), func() judge {
				return controlChart(weight, limit)
			}})
		}
	}
	return all
}

// controlChart is an exponentially weighted moving average control chart with
// an upper limit only: Z_i = lambda*Y_i + (1-lambda)*Z_(i-1), which signals
// above L*sqrt(lambda/(2-lambda))*sigma. It starts at half of the limit, as a
// fast initial response.
func controlChart(lambda, limit float64) judge {
	bound := limit * math.Sqrt(lambda/(2-lambda))
	z := bound / 2
	return func(deviations, _ float64) bool {
		z = max(0, lambda*deviations+(1-lambda)*z)
		return z > bound
	}
}

func movingAverage(window int, threshold float64) judge {
	var last []float64
	return func(_, ratio float64) bool {
		last = append(last, ratio)
		if len(last) > window {
			last = last[1:]
		}
		sum := 0.0
		for _, value := range last {
			sum += value
		}
		return len(last) == window && sum/float64(window) > threshold
	}
}

// observe makes a run and returns what was observed, in order of time.
func observe(t Task, slowdown float64) ([]observation, string, error) {
	w, err := newWorld(t)
	if err != nil {
		return nil, "", err
	}
	slow := w.engines[len(generations)-1]
	if slowdown > 1 {
		w.loop.at(Duration/2, func() { slow.slowdown = slowdown })
	}
	var seen []observation
	w.completed = func(engine string, result sched.Result) {
		if decode := result.Total - result.FirstToken; result.OutputTokens >= leastOutput && decode > 0 {
			seen = append(seen, observation{engine, w.loop.now, decode.Seconds() / float64(result.OutputTokens-1)})
		}
	}
	w.loop.run(func() bool { return w.open == 0 && w.loop.now > Duration })
	return seen, slow.name, nil
}

// verdict is what a detector made of one run: the engines wrongly called slow,
// and the time from the slowdown to its detection.
type verdict struct {
	falseAlarms int
	detected    bool
	delay       time.Duration
}

func (d detector) review(seen []observation, slow string, since time.Duration) verdict {
	references := map[string]*sched.ServiceTimeStats{}
	judges := map[string]judge{}
	alarmed := map[string]bool{}
	var out verdict
	var common sched.PoolTrend
	for _, o := range seen {
		if judges[o.engine] == nil {
			references[o.engine] = &sched.ServiceTimeStats{}
			judges[o.engine] = d.make()
		}
		reference := references[o.engine]
		signal := false
		if reference.Ready() {
			excess := common.Detrend(reference.LogRatio(o.seconds))
			signal = judges[o.engine](excess/max(leastSpread, reference.StdDev()), math.Exp(excess))
		}
		isSlow := o.engine == slow && o.at >= since
		switch {
		case signal && isSlow && !out.detected:
			out.detected = true
			out.delay = o.at - since
		case signal && !isSlow && !alarmed[o.engine]:
			alarmed[o.engine] = true
			out.falseAlarms++
		}
		if !signal {
			reference.Add(o.seconds)
		}
	}
	return out
}

// detectorCase is a condition under which the detectors are compared.
type detectorCase struct {
	scenario string
	slowdown float64
}

var detectorCases = []detectorCase{{"steady", 5}, {"steady", 2}, {"burst", 1}, {"greedy-team", 1}}

// CompareDetectors prints, for each detector and case over both workloads, the
// engines wrongly called slow per run, the share of detected slowdowns and the
// median delay.
func CompareDetectors(out io.Writer, seeds int) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "detector\tcase\tfalse alarms per run\tdetected\tmedian delay s\tlongest delay s")
	for _, c := range detectorCases {
		verdicts := map[string][]verdict{}
		for _, workloadName := range Workloads() {
			for seed := 1; seed <= seeds; seed++ {
				seen, slow, err := observe(Task{c.scenario, workloadName, sched.PolicyRosemarywing, uint64(seed), 0}, c.slowdown)
				if err != nil {
					return err
				}
				since := Duration / 2
				if c.slowdown == 1 {
					slow = ""
				}
				for _, d := range detectors() {
					verdicts[d.name] = append(verdicts[d.name], d.review(seen, slow, since))
				}
			}
		}
		for _, d := range detectors() {
			writeVerdicts(table, d.name, c, verdicts[d.name])
		}
	}
	return table.Flush()
}

func writeVerdicts(out io.Writer, name string, c detectorCase, verdicts []verdict) {
	alarms := 0
	var delays []time.Duration
	for _, v := range verdicts {
		alarms += v.falseAlarms
		if v.detected {
			delays = append(delays, v.delay)
		}
	}
	slices.Sort(delays)
	found := "-\t-\t-"
	if len(delays) > 0 {
		found = fmt.Sprintf("%d of %d\t%.1f\t%.1f", len(delays), len(verdicts), delays[len(delays)/2].Seconds(), delays[len(delays)-1].Seconds())
	}
	_, _ = fmt.Fprintf(out, "%s\t%s, slowdown %.0f\t%.2f\t%s\n", name, c.scenario, c.slowdown, float64(alarms)/float64(len(verdicts)), found)
}
