package capacity

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

// Series is a row of deployments that differ in one count.
type Series struct {
	Name   string
	Per    string
	Shapes []Shape
	// X returns the count that varies.
	X func(p Point) float64
}

// requestRate is the requests per second and instance.
func requestRate(p Point) float64 {
	return float64(p.Requests) / p.Seconds / float64(p.Shape.Instances)
}

// AllSeries returns the series; sizes are the numbers of instances of the
// series over instances.
func AllSeries(sizes []int) []Series {
	var idle, loaded []Shape
	for _, n := range sizes {
		idle = append(idle, Shape{Instances: n, Engines: 1})
		loaded = append(loaded, Shape{Instances: n, Engines: 1, Rate: 2 * float64(n), Tokens: 20})
	}
	instances := func(p Point) float64 { return float64(p.Shape.Instances) }
	return []Series{
		{Name: "instances", Per: "instance", Shapes: idle, X: instances},
		{Name: "instances-loaded", Per: "instance", Shapes: loaded, X: instances},
		{Name: "requests", Per: "request/s", X: requestRate, Shapes: []Shape{
			{Instances: 6, Engines: 1}, {Instances: 6, Engines: 1, Rate: 12, Tokens: 1},
			{Instances: 6, Engines: 1, Rate: 30, Tokens: 1}, {Instances: 6, Engines: 1, Rate: 60, Tokens: 1}}},
		{Name: "events", Per: "event/s", X: func(p Point) float64 { return requestRate(p) * float64(p.Shape.Tokens) }, Shapes: []Shape{
			{Instances: 6, Engines: 1, Rate: 30, Tokens: 1}, {Instances: 6, Engines: 1, Rate: 30, Tokens: 100},
			{Instances: 6, Engines: 1, Rate: 30, Tokens: 468}}},
		{Name: "keyed", Per: "request/s", X: requestRate, Shapes: []Shape{
			{Instances: 6, Engines: 1}, {Instances: 6, Engines: 1, Rate: 30, Tokens: 1, Keyed: true},
			{Instances: 6, Engines: 1, Rate: 60, Tokens: 1, Keyed: true}}},
		{Name: "pools", Per: "pool", X: func(p Point) float64 { return float64(p.Shape.Engines) }, Shapes: []Shape{
			{Instances: 6, Engines: 1}, {Instances: 6, Engines: 6}, {Instances: 6, Engines: 12}}},
		{Name: "sessions", Per: "pool", X: func(p Point) float64 { return float64(p.Shape.Engines) }, Shapes: []Shape{
			{Instances: 6, Engines: 1, Rate: 24, Tokens: 1}, {Instances: 6, Engines: 6, Rate: 24, Tokens: 1},
			{Instances: 6, Engines: 12, Rate: 24, Tokens: 1}}},
		{Name: "upstreams", Per: "upstream", X: func(p Point) float64 { return float64(p.Shape.Engines) }, Shapes: []Shape{
			{Instances: 3, Engines: 1, OnePool: true}, {Instances: 3, Engines: 12, OnePool: true},
			{Instances: 3, Engines: 24, OnePool: true}, {Instances: 3, Engines: 48, OnePool: true}}},
		{Name: "teams", Per: "team record", X: func(p Point) float64 { return float64(p.Shape.Teams) }, Shapes: []Shape{
			{Instances: 3, Engines: 1}, {Instances: 3, Engines: 1, Teams: 2100}, {Instances: 3, Engines: 1, Teams: 6300}}},
		{Name: "changes", Per: "change/s", X: func(p Point) float64 { return float64(p.Changes) / p.Seconds }, Shapes: []Shape{
			{Instances: 6, Engines: 1, Teams: 6300}, {Instances: 6, Engines: 1, Teams: 6300, Changes: 0.5},
			{Instances: 6, Engines: 1, Teams: 6300, Changes: 2}}},
	}
}

// Fits are the slopes of a series, by value.
type Fits struct {
	Series string          `json:"series"`
	Per    string          `json:"per"`
	Points []Point         `json:"points"`
	X      []float64       `json:"x"`
	Lines  map[string]Line `json:"lines"`
}

// Run measures every shape of the series the given number of times.
func (s Series) Run(ctx context.Context, bin, dir string, duration time.Duration, runs int) (Fits, error) {
	fits := Fits{Series: s.Name, Per: s.Per, Lines: map[string]Line{}}
	for range runs {
		for _, shape := range s.Shapes {
			point, err := Measure(ctx, bin, dir, shape, duration)
			if err != nil {
				return fits, fmt.Errorf("series %s, %+v: %w", s.Name, shape, err)
			}
			fits.Points = append(fits.Points, point)
			fits.X = append(fits.X, s.X(point))
		}
	}
	fits.fit()
	return fits, nil
}

func (f *Fits) fit() {
	y := map[string][]float64{}
	for i, point := range f.Points {
		for name, value := range point.named() {
			if y[name] == nil {
				y[name] = make([]float64, len(f.Points))
			}
			y[name][i] = value
		}
	}
	for name, values := range y {
		f.Lines[name] = Fit(f.X, values)
	}
}

// named returns the values of a point that are fitted.
func (p Point) named() map[string]float64 {
	out := map[string]float64{
		"core": p.Mean.Core, "core (max)": p.Max.Core,
		"resident MB": p.Mean.ResidentBytes / 1e6, "resident MB (max)": p.Max.ResidentBytes / 1e6,
		"peer sent B/s": p.Mean.PeerSent, "peer sent B/s (max)": p.Max.PeerSent,
		"peer received B/s": p.Mean.PeerReceived, "peer received B/s (max)": p.Max.PeerReceived,
		"platform B/s": p.Mean.Platform, "platform B/s (max)": p.Max.Platform,
		"upstream B/s (total)": p.UpstreamBytes,
	}
	for name, value := range p.Counters {
		out[name] = value
	}
	for name, value := range p.Calls {
		out["calls/s "+name+" (total)"] = value
	}
	return out
}

// WriteTable writes the points and the fitted lines.
func (f Fits) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(out, "\nseries %s\n", f.Series)
	_, _ = fmt.Fprintf(w, "x\tinst\tcore\tcore max\tMB\tMB max\tsent B/s\tmax\trecv B/s\tmax\tplatform B/s\tmax\trequests\tfailed\t\n")
	for i, p := range f.Points {
		_, _ = fmt.Fprintf(w, "%.2f\t%d\t%.4f\t%.4f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%d\t\n", f.X[i], p.Shape.Instances,
			p.Mean.Core, p.Max.Core, p.Mean.ResidentBytes/1e6, p.Max.ResidentBytes/1e6,
			p.Mean.PeerSent, p.Max.PeerSent, p.Mean.PeerReceived, p.Max.PeerReceived,
			p.Mean.Platform, p.Max.Platform, p.Requests, p.Failed)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	w = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "value\tbase\tper %s\tresidual\t\n", f.Per)
	for _, name := range sortedKeys(f.Lines) {
		line := f.Lines[name]
		_, _ = fmt.Fprintf(w, "%s\t%.5g\t%.4g\t%.3g\t\n", name, line.Base, line.Slope, line.Residual)
	}
	return w.Flush()
}

// cut holds back all traffic between the entries and the platform.
func cut(entries []*testbed.Entry, how testbed.Cut) {
	for _, e := range entries {
		e.ToPlatform.Set(how)
	}
}
