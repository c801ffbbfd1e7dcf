package capacity

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestFit guards against intercept and slope being interchanged, and against a
// division by zero when all points have the same x.
func TestFit(t *testing.T) {
	for _, c := range []struct {
		name string
		x, y []float64
		want LinearFit
	}{
		{"no points", nil, nil, LinearFit{}},
		{"one point", []float64{3}, []float64{7}, LinearFit{Intercept: 7}},
		{"same x", []float64{2, 2}, []float64{1, 3}, LinearFit{Intercept: 2, Residual: 1}},
		{"exact line", []float64{3, 6, 12}, []float64{7, 13, 25}, LinearFit{Intercept: 1, Slope: 2}},
		{"points off the line", []float64{0, 0, 2, 2}, []float64{0, 2, 4, 6}, LinearFit{Intercept: 1, Slope: 2, Residual: 1}},
		{"lengths differ", []float64{1, 2}, []float64{1}, LinearFit{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			line := Fit(c.x, c.y)
			g.Expect(line.Intercept).To(BeNumerically("~", c.want.Intercept, 1e-9))
			g.Expect(line.Slope).To(BeNumerically("~", c.want.Slope, 1e-9))
			g.Expect(line.Residual).To(BeNumerically("~", c.want.Residual, 1e-9))
		})
	}
}

// TestQuantile guards against an index outside the values and against a median
// that depends on their order.
func TestQuantile(t *testing.T) {
	for _, c := range []struct {
		values []float64
		q      float64
		want   float64
	}{
		{nil, 0.5, 0},
		{[]float64{4}, 0.99, 4},
		{[]float64{3, 1, 2}, 0.5, 2},
		{[]float64{3, 1, 2}, 0, 1},
		{[]float64{3, 1, 2}, 1, 3},
	} {
		NewWithT(t).Expect(Quantile(c.values, c.q)).To(Equal(c.want))
	}
}

// TestParseCounters guards against names with spaces in labels being split at the
// wrong place, and against malformed lines being read as zeros.
func TestParseCounters(t *testing.T) {
	g := NewWithT(t)
	counters, err := parseCounters(strings.NewReader("peer.sent.Ping.bytes 12\nname{tier=\"a b\"} 3\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(counters).To(Equal(map[string]float64{"peer.sent.Ping.bytes": 12, "name{tier=\"a b\"}": 3}))
	for _, malformed := range []string{"novalue\n", "name text\n"} {
		_, err := parseCounters(strings.NewReader(malformed))
		g.Expect(err).To(HaveOccurred(), malformed)
	}
}

// TestRatesBetween guards against rates that are not divided by the time between
// the snapshots or by the number of instances, and against means reported as
// maxima.
func TestRatesBetween(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	instance := func(cpuTime time.Duration, sent float64) instanceTotals {
		return instanceTotals{cpuTime: cpuTime, residentBytes: 100, counters: map[string]float64{"peer.sent.wire.bytes": sent}}
	}
	before := snapshot{at: start, instances: []instanceTotals{instance(0, 0), instance(0, 10)}, platformCalls: map[string]float64{"get": 2}}
	after := snapshot{
		at: start.Add(10 * time.Second), platformCalls: map[string]float64{"get": 12}, upstreamBytes: 50,
		instances: []instanceTotals{instance(time.Second, 100), instance(3*time.Second, 310)},
	}
	point := ratesBetween(before, after)
	g.Expect(point.Seconds).To(Equal(10.0))
	g.Expect(point.Mean.Cores).To(BeNumerically("~", 0.2, 1e-9))
	g.Expect(point.Max.Cores).To(BeNumerically("~", 0.3, 1e-9))
	g.Expect(point.Mean.PeerSentBytes).To(BeNumerically("~", 20, 1e-9))
	g.Expect(point.Max.PeerSentBytes).To(BeNumerically("~", 30, 1e-9))
	g.Expect(point.Counters["peer.sent.wire.bytes"]).To(BeNumerically("~", 20, 1e-9))
	g.Expect(point.Calls["get"]).To(BeNumerically("~", 1, 1e-9))
	g.Expect(point.UpstreamBytes).To(BeNumerically("~", 5, 1e-9))
}
