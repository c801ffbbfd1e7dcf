package capacity

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestFit guards against slopes that mix up base and slope, and against a
// division by zero when all points share one count.
func TestFit(t *testing.T) {
	for _, c := range []struct {
		name string
		x, y []float64
		want Line
	}{
		{"no points", nil, nil, Line{}},
		{"one point", []float64{3}, []float64{7}, Line{Base: 7}},
		{"same count", []float64{2, 2}, []float64{1, 3}, Line{Base: 2, Residual: 1}},
		{"exact line", []float64{3, 6, 12}, []float64{7, 13, 25}, Line{Base: 1, Slope: 2}},
		{"noise", []float64{0, 0, 2, 2}, []float64{0, 2, 4, 6}, Line{Base: 1, Slope: 2, Residual: 1}},
		{"lengths differ", []float64{1, 2}, []float64{1}, Line{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			line := Fit(c.x, c.y)
			g.Expect(line.Base).To(BeNumerically("~", c.want.Base, 1e-9))
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

// TestParseCounters guards against metric names with labels being cut at the
// wrong place, and against a damaged page being taken for zeros.
func TestParseCounters(t *testing.T) {
	g := NewWithT(t)
	found, err := parseCounters(strings.NewReader("peer.sent.Ping.bytes 12\nname{tier=\"a b\"} 3\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(Equal(map[string]float64{"peer.sent.Ping.bytes": 12, "name{tier=\"a b\"}": 3}))
	for _, damaged := range []string{"novalue\n", "name text\n"} {
		_, err := parseCounters(strings.NewReader(damaged))
		g.Expect(err).To(HaveOccurred(), damaged)
	}
}

// TestCompare guards against rates that are not divided by the time between
// the readings or by the number of instances, and against a mean in place of
// the largest value.
func TestCompare(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	instance := func(processor time.Duration, sent float64) reading {
		return reading{processor: processor, resident: 100, counters: map[string]float64{"peer.sent.wire.bytes": sent}}
	}
	before := readings{at: start, instances: []reading{instance(0, 0), instance(0, 10)}, calls: map[string]float64{"get": 2}}
	after := readings{
		at: start.Add(10 * time.Second), calls: map[string]float64{"get": 12}, upstreams: 50,
		instances: []reading{instance(time.Second, 100), instance(3*time.Second, 310)},
	}
	point := compare(before, after)
	g.Expect(point.Seconds).To(Equal(10.0))
	g.Expect(point.Mean.Core).To(BeNumerically("~", 0.2, 1e-9))
	g.Expect(point.Max.Core).To(BeNumerically("~", 0.3, 1e-9))
	g.Expect(point.Mean.PeerSent).To(BeNumerically("~", 20, 1e-9))
	g.Expect(point.Max.PeerSent).To(BeNumerically("~", 30, 1e-9))
	g.Expect(point.Counters["peer.sent.wire.bytes"]).To(BeNumerically("~", 20, 1e-9))
	g.Expect(point.Calls["get"]).To(BeNumerically("~", 1, 1e-9))
	g.Expect(point.UpstreamBytes).To(BeNumerically("~", 5, 1e-9))
}
