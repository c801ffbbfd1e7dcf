package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// Sizes of the samples behind the histograms.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

// gauges are the counters and histograms of an instance. Times are in
// milliseconds.
type gauges struct {
	registry      metrics.Registry
	requests      metrics.Counter
	served        metrics.Counter
	repeats       metrics.Counter
	retriesDenied metrics.Counter
	quotaRefused  metrics.Counter
	rejected      metrics.Counter
	answersLost   metrics.Counter
	connections   metrics.Counter
	peersLost     metrics.Counter
	reportsSent   metrics.Counter
	reportsUnsent metrics.Counter
	reportBytes   metrics.Counter
	reportsBad    metrics.Counter
	configVersion metrics.Gauge
	wait          metrics.Histogram
	first         metrics.Histogram
	total         metrics.Histogram
}

func newGauges(registry metrics.Registry) *gauges {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, registry) }
	histogram := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(name, registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return &gauges{
		registry: registry, requests: counter("requests.received"), served: counter("requests.answered"),
		repeats: counter("requests.repeated"), retriesDenied: counter("retries.denied"),
		quotaRefused: counter("quota.refused"), rejected: counter("upstreams.rejected"),
		answersLost: counter("answers.lost"), connections: counter("connections.opened"),
		peersLost: counter("peers.lost"), reportsSent: counter("reports.sent"),
		reportsUnsent: counter("reports.unsent"), reportBytes: counter("reports.bytes"), reportsBad: counter("reports.malformed"),
		configVersion: metrics.NewRegisteredGauge("config.version", registry),
		wait:          histogram("wait.ms"), first: histogram("first_output.ms"), total: histogram("total.ms"),
	}
}

func (m *gauges) observe(histogram metrics.Histogram, d time.Duration) {
	histogram.Update(d.Milliseconds())
}

// failed counts requests by error kind, of which there is a closed list.
func (m *gauges) failed(kind errkind.Kind) metrics.Counter {
	return metrics.GetOrRegisterCounter("requests.failed."+string(kind), m.registry)
}

// serveMetrics writes all metrics as text, one per line.
func (g *Gateway) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	g.metrics.registry.Each(func(name string, metric any) {
		name = "rosemarywing_" + strings.ReplaceAll(name, ".", "_")
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Histogram:
			for _, quantile := range []float64{0.5, 0.95, 0.99} {
				lines = append(lines, fmt.Sprintf("%s{quantile=%q} %.0f", name, fmt.Sprint(quantile), m.Percentile(quantile)))
			}
			lines = append(lines, fmt.Sprintf("%s_count %d", name, m.Count()))
		}
	})
	lines = append(lines,
		fmt.Sprintf("rosemarywing_requests_held %d", g.held.Load()),
		fmt.Sprintf("rosemarywing_config_age_ms %d", g.configAge().Milliseconds()),
		fmt.Sprintf("rosemarywing_instances_known %d", g.instances.Load()),
		fmt.Sprintf("rosemarywing_log_lines_omitted %d", g.decide.omitted.Load()))
	sort.Strings(lines)
	// A reader that leaves early needs no answer.
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}
