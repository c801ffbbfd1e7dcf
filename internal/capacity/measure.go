package capacity

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

// Costs are the resources that one instance uses, per second unless stated otherwise.
type Costs struct {
	// Cores is the CPU time in seconds per second.
	Cores float64 `json:"core"`
	// ResidentBytes is the resident memory at the end of the measurement.
	ResidentBytes float64 `json:"residentBytes"`
	// PeerSentBytes and PeerReceivedBytes count bytes exchanged with other instances,
	// including framing.
	PeerSentBytes     float64 `json:"peerSentBytes"`
	PeerReceivedBytes float64 `json:"peerReceivedBytes"`
	// PlatformBytes counts bytes to and from the platform.
	PlatformBytes float64 `json:"platformBytes"`
}

// Point is the result of one measurement.
type Point struct {
	Scenario Scenario `json:"shape"`
	Seconds  float64  `json:"seconds"`
	// Mean is the mean over the instances, Max the maximum of each value.
	Mean Costs `json:"mean"`
	Max  Costs `json:"max"`
	// Counters are the messages and bytes of each kind, per instance and second.
	Counters map[string]float64 `json:"counters"`
	// Calls are the platform calls of each kind per second, of the whole deployment.
	Calls map[string]float64 `json:"calls"`
	// UpstreamBytes counts bytes to and from all engines, per second.
	UpstreamBytes float64 `json:"upstreamBytes"`
	Requests      int64   `json:"requests"`
	Failed        int64   `json:"failed"`
	Changes       int64   `json:"changes"`
}

// instanceTotals holds the totals of an instance since the start of its process.
type instanceTotals struct {
	cpuTime       time.Duration
	residentBytes int64
	platformBytes int64
	counters      map[string]float64
}

// snapshot holds the totals of a deployment at one time.
type snapshot struct {
	at            time.Time
	instances     []instanceTotals
	platformCalls map[string]float64
	upstreamBytes int64
}

// Measure starts a deployment with its load, waits for the settle time, measures for
// the duration and stops the deployment.
func Measure(ctx context.Context, bin, dir string, scenario Scenario, settle, duration time.Duration) (Point, error) {
	c, err := Start(bin, dir, scenario)
	if err != nil {
		return Point{}, err
	}
	defer c.Stop()
	workCtx, stop := context.WithCancel(ctx)
	defer stop()
	work := startWorkload(workCtx, c, scenario)
	if err := sleep(ctx, settle); err != nil {
		return Point{}, err
	}
	before, err := takeSnapshot(c)
	if err != nil {
		return Point{}, err
	}
	sent, failed, changes := work.counts()
	if err := sleep(ctx, duration); err != nil {
		return Point{}, err
	}
	after, err := takeSnapshot(c)
	if err != nil {
		return Point{}, err
	}
	point := ratesBetween(before, after)
	point.Scenario = scenario
	point.Requests, point.Failed, point.Changes = work.counts()
	point.Requests -= sent
	point.Failed -= failed
	point.Changes -= changes
	stop()
	work.wait()
	return point, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func takeSnapshot(c *testbed.Cluster) (snapshot, error) {
	snap := snapshot{at: time.Now(), platformCalls: map[string]float64{}}
	for _, e := range c.Entries {
		totals, err := readInstanceTotals(e)
		if err != nil {
			return snap, fmt.Errorf("%s: %w", e.ID, err)
		}
		snap.instances = append(snap.instances, totals)
	}
	for _, u := range c.Upstreams {
		toServer, toClient := u.Link.ForwardedBytes()
		snap.upstreamBytes += toServer + toClient
	}
	return snap, testbed.GetJSON(c.PlatformURL()+"/admin/calls", &snap.platformCalls)
}

func readInstanceTotals(e *testbed.Entry) (instanceTotals, error) {
	var totals instanceTotals
	var err error
	if totals.cpuTime, err = e.CPUTime(); err != nil {
		return totals, err
	}
	if totals.residentBytes, err = e.ResidentBytes(); err != nil {
		return totals, err
	}
	toServer, toClient := e.PlatformLink.ForwardedBytes()
	totals.platformBytes = toServer + toClient
	totals.counters, err = fetchCounters(e.AdminURL() + "/metrics")
	return totals, err
}

func fetchCounters(url string) (map[string]float64, error) {
	response, err := http.Get(url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.New(response.Status)
	}
	return parseCounters(response.Body)
}

// parseCounters reads lines of a name and a value, separated by the last space of a
// line: names may contain spaces.
func parseCounters(body io.Reader) (map[string]float64, error) {
	values := map[string]float64{}
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		separator := strings.LastIndexByte(lines.Text(), ' ')
		if separator < 0 {
			return nil, fmt.Errorf("metrics line %q has no value", lines.Text())
		}
		value, err := strconv.ParseFloat(lines.Text()[separator+1:], 64)
		if err != nil {
			return nil, err
		}
		values[lines.Text()[:separator]] = value
	}
	return values, lines.Err()
}

// ratesBetween returns the rates between two snapshots.
func ratesBetween(before, after snapshot) Point {
	seconds := after.at.Sub(before.at).Seconds()
	point := Point{Seconds: seconds, Counters: map[string]float64{}, Calls: map[string]float64{}}
	instanceCount := float64(len(after.instances))
	for i, current := range after.instances {
		previous := before.instances[i]
		rate := func(name string) float64 { return (current.counters[name] - previous.counters[name]) / seconds }
		costs := Costs{
			Cores:             (current.cpuTime - previous.cpuTime).Seconds() / seconds,
			ResidentBytes:     float64(current.residentBytes),
			PeerSentBytes:     rate("peer.sent.wire.bytes"),
			PeerReceivedBytes: rate("peer.received.wire.bytes"),
			PlatformBytes:     float64(current.platformBytes-previous.platformBytes) / seconds,
		}
		point.addInstance(costs, instanceCount)
		for name := range current.counters {
			if strings.HasPrefix(name, "peer.") || strings.HasPrefix(name, "platform.") {
				point.Counters[name] += rate(name) / instanceCount
			}
		}
	}
	for name, calls := range after.platformCalls {
		point.Calls[name] = (calls - before.platformCalls[name]) / seconds
	}
	point.UpstreamBytes = float64(after.upstreamBytes-before.upstreamBytes) / seconds
	return point
}

func (p *Point) addInstance(costs Costs, instanceCount float64) {
	for _, pair := range []struct {
		mean, max *float64
		value     float64
	}{
		{&p.Mean.Cores, &p.Max.Cores, costs.Cores},
		{&p.Mean.ResidentBytes, &p.Max.ResidentBytes, costs.ResidentBytes},
		{&p.Mean.PeerSentBytes, &p.Max.PeerSentBytes, costs.PeerSentBytes},
		{&p.Mean.PeerReceivedBytes, &p.Max.PeerReceivedBytes, costs.PeerReceivedBytes},
		{&p.Mean.PlatformBytes, &p.Max.PlatformBytes, costs.PlatformBytes},
	} {
		*pair.mean += pair.value / instanceCount
		*pair.max = max(*pair.max, pair.value)
	}
}
