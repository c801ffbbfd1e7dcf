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

// Parameters of the exponentially decaying samples of the histograms.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

// instanceMetrics are the counters, gauges and histograms of an instance.
type instanceMetrics struct {
	registry           metrics.Registry
	requests           metrics.Counter
	answered           metrics.Counter
	retries            metrics.Counter
	retriesDenied      metrics.Counter
	quotaRefused       metrics.Counter
	upstreamRejections metrics.Counter
	// refusalsUnstated counts the failures of upstreams whose status callers take as a promise
	// that the request has not run, though the upstream did not state it.
	refusalsUnstated  metrics.Counter
	answersUnsent     metrics.Counter
	connectionsOpened metrics.Counter
	// connectionsBroken counts the connections that broke while an upstream ran a request.
	connectionsBroken metrics.Counter
	peersLost         metrics.Counter
	reportsSent       metrics.Counter
	reportsUnsent     metrics.Counter
	reportBytes       metrics.Counter
	reportsMalformed  metrics.Counter
	// poisonRefused counts the requests that were refused since such requests crash
	// upstreams, and poisonBlocked the blocks of fingerprints.
	poisonRefused metrics.Counter
	poisonBlocked metrics.Counter
	// upstreamsLeaving counts the processes of upstreams that have said that they leave, and
	// quietTimes the answers that asked for no requests.
	upstreamsLeaving metrics.Counter
	quietTimes       metrics.Counter
	// earlierReports counts the entries of upstreams that were not used, since the upstream
	// has made a later report.
	earlierReports metrics.Counter
	// lateRefused counts the requests that were refused since the instance stops before they
	// can be expected to end.
	lateRefused metrics.Counter
	// rolloutTrials counts the requests selected for a version on trial, rolloutsSucceeded and
	// rolloutsRolledBack the roll-outs that this instance has ended, and rolloutWritesFailed
	// the stages that it could not write.
	rolloutTrials       metrics.Counter
	rolloutsSucceeded   metrics.Counter
	rolloutsRolledBack  metrics.Counter
	rolloutWritesFailed metrics.Counter
	// heldAtStart counts the requests that were served although they arrived before the
	// configuration had been read.
	heldAtStart metrics.Counter
	// storeReturns counts the returns of the store from an older copy.
	storeReturns metrics.Counter
	// bodiesRefused counts the requests that were refused since the bodies in progress used
	// all of the memory for them.
	bodiesRefused metrics.Counter
	// limitMoves counts the changes of the learned limits of upstreams.
	limitMoves metrics.Counter
	// regionBytesPlaced counts the bytes of requests placed in other regions, and
	// regionRequestsKept the requests for which too little of the link was left. Both are 0
	// if the link has no bound.
	regionBytesPlaced  metrics.Counter
	regionRequestsKept metrics.Counter
	// upstreamsEjected is the number of upstreams that get no requests for failed answers.
	upstreamsEjected metrics.Gauge
	// tiersBeyondRoom, tiersBelowFloor and teamsOverShare are those of admission.Competition,
	// over all services.
	tiersBeyondRoom, tiersBelowFloor, teamsOverShare metrics.Gauge
	// panics counts the unexpected errors that were contained.
	panics metrics.Counter
	// placementsTakenBack counts the requests that the relay did not decide in time.
	placementsTakenBack metrics.Counter
	configVersion       metrics.Gauge
	// poisonFingerprints is the number of fingerprints that are blocked or on trial.
	poisonFingerprints metrics.Gauge
	waitMs             metrics.Histogram
	firstOutputMs      metrics.Histogram
	totalMs            metrics.Histogram
}

func newInstanceMetrics(registry metrics.Registry) *instanceMetrics {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, registry) }
	histogram := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(name, registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return &instanceMetrics{
		registry: registry, requests: counter("requests.received"), answered: counter("requests.answered"),
		retries: counter("requests.repeated"), retriesDenied: counter("retries.denied"),
		quotaRefused: counter("quota.refused"), upstreamRejections: counter("upstreams.rejected"), refusalsUnstated: counter("upstreams.refusals_unstated"),
		answersUnsent: counter("answers.lost"), connectionsOpened: counter("connections.opened"), connectionsBroken: counter("connections.broken"),
		peersLost: counter("peers.lost"), reportsSent: counter("reports.sent"),
		reportsUnsent: counter("reports.unsent"), reportBytes: counter("reports.bytes"), reportsMalformed: counter("reports.malformed"), placementsTakenBack: counter("placements.taken_back"), panics: counter("panics.contained"),
		storeReturns:  counter("store.returns"),
		poisonRefused: counter("poison.refused"), poisonBlocked: counter("poison.blocked"),
		lateRefused: counter("stops.refused"), heldAtStart: counter("requests.held_at_start"), bodiesRefused: counter("bodies.refused"),
		rolloutTrials: counter("rollouts.trial_requests"), rolloutsSucceeded: counter("rollouts.succeeded"),
		rolloutsRolledBack: counter("rollouts.rolled_back"), rolloutWritesFailed: counter("rollouts.unwritten"),
		upstreamsEjected:  metrics.NewRegisteredGauge("upstreams.ejected", registry),
		tiersBeyondRoom:   metrics.NewRegisteredGauge("tiers.beyond_room", registry),
		tiersBelowFloor:   metrics.NewRegisteredGauge("tiers.below_floor", registry),
		teamsOverShare:    metrics.NewRegisteredGauge("teams.over_share", registry),
		limitMoves:        counter("limits.moved"),
		regionBytesPlaced: counter("region_link.bytes_placed"), regionRequestsKept: counter("region_link.requests_kept"),
		upstreamsLeaving: counter("upstreams.leaving"), quietTimes: counter("upstreams.quiet"),
		earlierReports:     counter("upstreams.earlier_reports"),
		poisonFingerprints: metrics.NewRegisteredGauge("poison.fingerprints", registry),
		configVersion:      metrics.NewRegisteredGauge("config.version", registry),
		waitMs:             histogram("wait.ms"), firstOutputMs: histogram("first_output.ms"), totalMs: histogram("total.ms"),
	}
}

func (m *instanceMetrics) observeMs(histogram metrics.Histogram, d time.Duration) {
	histogram.Update(d.Milliseconds())
}

// failedCounter returns the counter of failed requests of an error kind. The kinds
// are a closed list, which bounds the number of counters.
func (m *instanceMetrics) failedCounter(kind errkind.Kind) metrics.Counter {
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
		fmt.Sprintf("rosemarywing_requests_held %d", g.inFlight.Load()),
		fmt.Sprintf("rosemarywing_bodies_held_bytes %d", g.bodyMemoryBytes-g.bodyMemory.FreeBytes()),
		fmt.Sprintf("rosemarywing_bodies_budget_bytes %d", g.bodyMemoryBytes),
		fmt.Sprintf("rosemarywing_config_age_ms %d", g.configAge().Milliseconds()),
		fmt.Sprintf("rosemarywing_instances_known %d", g.instanceCount.Load()),
		fmt.Sprintf("rosemarywing_log_lines_omitted %d", g.requestLog.omitted.Load()))
	if limits := g.upstreamLimits.Load(); limits != nil {
		for upstream, limit := range *limits {
			lines = append(lines, fmt.Sprintf("rosemarywing_upstream_limit{upstream=%q} %d", upstream, limit))
		}
	}
	sort.Strings(lines)
	// An error means that the client has disconnected.
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}
