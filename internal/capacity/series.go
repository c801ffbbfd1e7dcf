package capacity

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

// Series is a sequence of scenarios that differ in one quantity.
type Series struct {
	Name string
	// Unit is the unit of the quantity that varies; the slopes are per Unit.
	Unit      string
	Scenarios []Scenario
	// Variable returns the quantity that varies, as measured.
	Variable func(p Point) float64
}

// requestRate returns the requests per second and instance.
func requestRate(p Point) float64 {
	return float64(p.Requests) / p.Seconds / float64(p.Scenario.Instances)
}

// AllSeries returns all series. sizes are the numbers of instances in the two series
// that vary that number.
func AllSeries(sizes []int) []Series {
	var idle, loaded []Scenario
	for _, n := range sizes {
		idle = append(idle, Scenario{Instances: n, Engines: 1})
		loaded = append(loaded, Scenario{Instances: n, Engines: 1, Rate: 2 * float64(n), Tokens: 20})
	}
	instances := func(p Point) float64 { return float64(p.Scenario.Instances) }
	return []Series{
		{Name: "instances", Unit: "instance", Scenarios: idle, Variable: instances},
		{Name: "instances-loaded", Unit: "instance", Scenarios: loaded, Variable: instances},
		{Name: "requests", Unit: "request/s", Variable: requestRate, Scenarios: []Scenario{
			{Instances: 6, Engines: 1}, {Instances: 6, Engines: 1, Rate: 12, Tokens: 1},
			{Instances: 6, Engines: 1, Rate: 30, Tokens: 1}, {Instances: 6, Engines: 1, Rate: 60, Tokens: 1}}},
		{Name: "events", Unit: "event/s", Variable: func(p Point) float64 { return requestRate(p) * float64(p.Scenario.Tokens) }, Scenarios: []Scenario{
			{Instances: 6, Engines: 1, Rate: 30, Tokens: 1}, {Instances: 6, Engines: 1, Rate: 30, Tokens: 100},
			{Instances: 6, Engines: 1, Rate: 30, Tokens: 468}}},
		{Name: "keyed", Unit: "request/s", Variable: requestRate, Scenarios: []Scenario{
			{Instances: 6, Engines: 1}, {Instances: 6, Engines: 1, Rate: 30, Tokens: 1, Keyed: true},
			{Instances: 6, Engines: 1, Rate: 60, Tokens: 1, Keyed: true}}},
		{Name: "pools", Unit: "pool", Variable: func(p Point) float64 { return float64(p.Scenario.Engines) }, Scenarios: []Scenario{
			{Instances: 6, Engines: 1}, {Instances: 6, Engines: 6}, {Instances: 6, Engines: 12}}},
		{Name: "sessions", Unit: "pool", Variable: func(p Point) float64 { return float64(p.Scenario.Engines) }, Scenarios: []Scenario{
			{Instances: 6, Engines: 1, Rate: 24, Tokens: 1}, {Instances: 6, Engines: 6, Rate: 24, Tokens: 1},
			{Instances: 6, Engines: 12, Rate: 24, Tokens: 1}}},
		{Name: "upstreams", Unit: "upstream", Variable: func(p Point) float64 { return float64(p.Scenario.Engines) }, Scenarios: []Scenario{
			{Instances: 3, Engines: 1, OnePool: true}, {Instances: 3, Engines: 12, OnePool: true},
			{Instances: 3, Engines: 24, OnePool: true}, {Instances: 3, Engines: 48, OnePool: true}}},
		{Name: "teams", Unit: "team record", Variable: func(p Point) float64 { return float64(p.Scenario.Teams) }, Scenarios: []Scenario{
			{Instances: 3, Engines: 1}, {Instances: 3, Engines: 1, Teams: 2100}, {Instances: 3, Engines: 1, Teams: 6300}}},
		{Name: "changes", Unit: "change/s", Variable: func(p Point) float64 { return float64(p.Changes) / p.Seconds }, Scenarios: []Scenario{
			{Instances: 6, Engines: 1, Teams: 6300}, {Instances: 6, Engines: 1, Teams: 6300, Changes: 0.5},
			{Instances: 6, Engines: 1, Teams: 6300, Changes: 2}}},
	}
}

// SeriesResult holds the measured points of a series and the fit of each value.
type SeriesResult struct {
	Series string  `json:"series"`
	Unit   string  `json:"per"`
	Points []Point `json:"points"`
	// Values holds the quantity that varies, one value per point.
	Values []float64            `json:"x"`
	Fits   map[string]LinearFit `json:"lines"`
}

// Run measures each scenario of the series the given number of times.
func (s Series) Run(ctx context.Context, bin, dir string, settle, duration time.Duration, runs int) (SeriesResult, error) {
	result := SeriesResult{Series: s.Name, Unit: s.Unit, Fits: map[string]LinearFit{}}
	for range runs {
		for _, scenario := range s.Scenarios {
			point, err := Measure(ctx, bin, dir, scenario, settle, duration)
			if err != nil {
				return result, fmt.Errorf("series %s, scenario %+v: %w", s.Name, scenario, err)
			}
			result.Points = append(result.Points, point)
			result.Values = append(result.Values, s.Variable(point))
		}
	}
	result.fitLines()
	return result, nil
}

func (f *SeriesResult) fitLines() {
	y := map[string][]float64{}
	for i, point := range f.Points {
		for name, value := range point.fittedValues() {
			if y[name] == nil {
				y[name] = make([]float64, len(f.Points))
			}
			y[name][i] = value
		}
	}
	for name, values := range y {
		f.Fits[name] = Fit(f.Values, values)
	}
}

// fittedValues returns the values of a point that are fitted, by the name under which
// they are reported.
func (p Point) fittedValues() map[string]float64 {
	values := map[string]float64{
		"core": p.Mean.Cores, "core (max)": p.Max.Cores,
		"resident MB": p.Mean.ResidentBytes / 1e6, "resident MB (max)": p.Max.ResidentBytes / 1e6,
		"peer sent B/s": p.Mean.PeerSentBytes, "peer sent B/s (max)": p.Max.PeerSentBytes,
		"peer received B/s": p.Mean.PeerReceivedBytes, "peer received B/s (max)": p.Max.PeerReceivedBytes,
		"platform B/s": p.Mean.PlatformBytes, "platform B/s (max)": p.Max.PlatformBytes,
		"upstream B/s (total)": p.UpstreamBytes,
	}
	for name, value := range p.Counters {
		values[name] = value
	}
	for name, value := range p.Calls {
		values["calls/s "+name+" (total)"] = value
	}
	return values
}

// WriteTable writes the points and the fitted lines.
func (f SeriesResult) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(out, "\nseries %s\n", f.Series)
	_, _ = fmt.Fprintf(w, "x\tinst\tcore\tcore max\tMB\tMB max\tsent B/s\tmax\trecv B/s\tmax\tplatform B/s\tmax\trequests\tfailed\t\n")
	for i, p := range f.Points {
		_, _ = fmt.Fprintf(w, "%.2f\t%d\t%.4f\t%.4f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%d\t\n", f.Values[i], p.Scenario.Instances,
			p.Mean.Cores, p.Max.Cores, p.Mean.ResidentBytes/1e6, p.Max.ResidentBytes/1e6,
			p.Mean.PeerSentBytes, p.Max.PeerSentBytes, p.Mean.PeerReceivedBytes, p.Max.PeerReceivedBytes,
			p.Mean.PlatformBytes, p.Max.PlatformBytes, p.Requests, p.Failed)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	w = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "value\tintercept\tper %s\tresidual\t\n", f.Unit)
	for _, name := range sortedKeys(f.Fits) {
		line := f.Fits[name]
		_, _ = fmt.Fprintf(w, "%s\t%.5g\t%.4g\t%.3g\t\n", name, line.Intercept, line.Slope, line.Residual)
	}
	return w.Flush()
}

// setPlatformLinks sets which traffic between the entries and the platform is held
// back.
func setPlatformLinks(entries []*testbed.Entry, mode testbed.Cut) {
	for _, e := range entries {
		e.PlatformLink.SetCut(mode)
	}
}
