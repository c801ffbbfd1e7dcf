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

// settle is the time after the start that is not measured: members join and
// sessions open in it.
const settle = 3 * time.Second

// Values are the costs of one instance, per second where nothing else is said.
type Values struct {
	// Core is the share of one core.
	Core float64 `json:"core"`
	// ResidentBytes is the resident memory at the end.
	ResidentBytes float64 `json:"residentBytes"`
	// PeerSent and PeerReceived are bytes between instances, framing included.
	PeerSent     float64 `json:"peerSentBytes"`
	PeerReceived float64 `json:"peerReceivedBytes"`
	// Platform is bytes to and from the platform.
	Platform float64 `json:"platformBytes"`
}

// Point is the result of one measurement.
type Point struct {
	Shape   Shape   `json:"shape"`
	Seconds float64 `json:"seconds"`
	// Mean is over the instances; Max is the largest of each value.
	Mean Values `json:"mean"`
	Max  Values `json:"max"`
	// Counters are messages and bytes by kind, per instance and second.
	Counters map[string]float64 `json:"counters"`
	// Calls are the platform's calls per second, of the whole deployment.
	Calls map[string]float64 `json:"calls"`
	// UpstreamBytes is bytes to and from one engine per second.
	UpstreamBytes float64 `json:"upstreamBytes"`
	Requests      int64   `json:"requests"`
	Failed        int64   `json:"failed"`
	Changes       int64   `json:"changes"`
}

// reading holds totals since the start of one process.
type reading struct {
	processor time.Duration
	resident  int64
	platform  int64
	counters  map[string]float64
}

type readings struct {
	at        time.Time
	instances []reading
	calls     map[string]float64
	upstreams int64
}

// Measure starts a deployment, lets it settle, measures it and stops it.
func Measure(ctx context.Context, bin, dir string, shape Shape, duration time.Duration) (Point, error) {
	c, err := Start(bin, dir, shape)
	if err != nil {
		return Point{}, err
	}
	defer c.Stop()
	workCtx, stop := context.WithCancel(ctx)
	defer stop()
	work := startWork(workCtx, c, shape)
	if err := wait(ctx, settle); err != nil {
		return Point{}, err
	}
	before, err := read(c)
	if err != nil {
		return Point{}, err
	}
	sent, failed, changed := work.totals()
	if err := wait(ctx, duration); err != nil {
		return Point{}, err
	}
	after, err := read(c)
	if err != nil {
		return Point{}, err
	}
	point := compare(before, after)
	point.Shape = shape
	point.Requests, point.Failed, point.Changes = work.totals()
	point.Requests -= sent
	point.Failed -= failed
	point.Changes -= changed
	stop()
	work.wait()
	return point, nil
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func read(c *testbed.Cluster) (readings, error) {
	out := readings{at: time.Now(), calls: map[string]float64{}}
	for _, e := range c.Entries {
		one, err := readInstance(e)
		if err != nil {
			return out, fmt.Errorf("%s: %w", e.ID, err)
		}
		out.instances = append(out.instances, one)
	}
	for _, u := range c.Upstreams {
		toServer, toClient := u.Link.Carried()
		out.upstreams += toServer + toClient
	}
	return out, testbed.GetJSON(c.PlatformURL()+"/admin/calls", &out.calls)
}

func readInstance(e *testbed.Entry) (reading, error) {
	var one reading
	var err error
	if one.processor, err = e.Usage(); err != nil {
		return one, err
	}
	if one.resident, err = e.ResidentBytes(); err != nil {
		return one, err
	}
	toServer, toClient := e.ToPlatform.Carried()
	one.platform = toServer + toClient
	one.counters, err = counters(e.Admin() + "/metrics")
	return one, err
}

func counters(url string) (map[string]float64, error) {
	answer, err := http.Get(url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, errors.New(answer.Status)
	}
	return parseCounters(answer.Body)
}

// parseCounters reads lines of a name and a value; a name may contain spaces.
func parseCounters(body io.Reader) (map[string]float64, error) {
	out := map[string]float64{}
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		cut := strings.LastIndexByte(lines.Text(), ' ')
		if cut < 0 {
			return nil, fmt.Errorf("metrics line %q has no value", lines.Text())
		}
		value, err := strconv.ParseFloat(lines.Text()[cut+1:], 64)
		if err != nil {
			return nil, err
		}
		out[lines.Text()[:cut]] = value
	}
	return out, lines.Err()
}

// compare returns rates between two readings.
func compare(before, after readings) Point {
	seconds := after.at.Sub(before.at).Seconds()
	point := Point{Seconds: seconds, Counters: map[string]float64{}, Calls: map[string]float64{}}
	count := float64(len(after.instances))
	for i, now := range after.instances {
		old := before.instances[i]
		rate := func(name string) float64 { return (now.counters[name] - old.counters[name]) / seconds }
		v := Values{
			Core:          (now.processor - old.processor).Seconds() / seconds,
			ResidentBytes: float64(now.resident),
			PeerSent:      rate("peer.sent.wire.bytes"),
			PeerReceived:  rate("peer.received.wire.bytes"),
			Platform:      float64(now.platform-old.platform) / seconds,
		}
		point.add(v, count)
		for name := range now.counters {
			if strings.HasPrefix(name, "peer.") || strings.HasPrefix(name, "platform.") {
				point.Counters[name] += rate(name) / count
			}
		}
	}
	for name, calls := range after.calls {
		point.Calls[name] = (calls - before.calls[name]) / seconds
	}
	point.UpstreamBytes = float64(after.upstreams-before.upstreams) / seconds
	return point
}

func (p *Point) add(v Values, count float64) {
	for _, pair := range []struct {
		mean, max *float64
		value     float64
	}{
		{&p.Mean.Core, &p.Max.Core, v.Core},
		{&p.Mean.ResidentBytes, &p.Max.ResidentBytes, v.ResidentBytes},
		{&p.Mean.PeerSent, &p.Max.PeerSent, v.PeerSent},
		{&p.Mean.PeerReceived, &p.Max.PeerReceived, v.PeerReceived},
		{&p.Mean.Platform, &p.Max.Platform, v.Platform},
	} {
		*pair.mean += pair.value / count
		*pair.max = max(*pair.max, pair.value)
	}
}
