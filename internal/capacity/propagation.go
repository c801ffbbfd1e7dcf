package capacity

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/testbed"
	"github.com/rosemarywing/rosemarywing/pkg/member"
)

const (
	// pollInterval is the resolution of the measured times.
	pollInterval = 2 * time.Millisecond
	// waitLimit bounds the wait for a change, a start or a first response. It is
	// several times the 5 s within which a change must be in effect.
	waitLimit = 20 * time.Second
	// changeInterval is the pause between changes, so that they do not overlap.
	changeInterval = 500 * time.Millisecond
	burstChanges   = 100
	// membershipSettleTime is enough for the members of a domain to discover each other.
	membershipSettleTime = 3 * time.Second
)

// Propagation is the time in milliseconds from the accepted write of a configuration
// change until every instance reports its version.
type Propagation struct {
	Name      string  `json:"name"`
	Instances int     `json:"instances"`
	Teams     int     `json:"teams"`
	Changes   int     `json:"changes"`
	MedianMs  float64 `json:"medianMs"`
	WorstMs   float64 `json:"worstMs"`
	// Late counts the single changes and bursts that some instance did not report
	// within waitLimit.
	Late int `json:"late"`
	// BurstMs is the time from the last write of the burst until every instance reports
	// its version, BurstWriteMs the duration of all writes of the burst.
	BurstMs      float64 `json:"burstMs"`
	BurstWriteMs float64 `json:"burstWriteMs"`
}

// MeasurePropagation measures single changes, then a burst of changes.
func MeasurePropagation(ctx context.Context, c *testbed.Cluster, name string, teams, changes int) (Propagation, error) {
	propagation := Propagation{Name: name, Instances: len(c.Entries), Teams: teams, Changes: changes}
	client := newClient()
	var times []float64
	for i := range changes {
		version, err := writeTeamRecord(ctx, client, c, i)
		if err != nil {
			return propagation, err
		}
		elapsed, reached := waitForVersion(client, c, version)
		if !reached {
			propagation.Late++
		}
		times = append(times, milliseconds(elapsed))
		if err := sleep(ctx, changeInterval); err != nil {
			return propagation, err
		}
	}
	propagation.MedianMs, propagation.WorstMs = Quantile(times, 0.5), Quantile(times, 1)
	return propagation, propagation.measureBurst(ctx, client, c)
}

func (p *Propagation) measureBurst(ctx context.Context, client *http.Client, c *testbed.Cluster) error {
	start := time.Now()
	var last uint64
	for i := range burstChanges {
		version, err := writeTeamRecord(ctx, client, c, p.Changes+i)
		if err != nil {
			return err
		}
		last = version
	}
	p.BurstWriteMs = milliseconds(time.Since(start))
	elapsed, reached := waitForVersion(client, c, last)
	if !reached {
		p.Late++
	}
	p.BurstMs = milliseconds(elapsed)
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// waitForVersion waits until every instance reports the version or a newer one. It
// returns the elapsed time, and false if waitLimit passed.
func waitForVersion(client *http.Client, c *testbed.Cluster, version uint64) (time.Duration, bool) {
	start := time.Now()
	var group sync.WaitGroup
	reached := make([]bool, len(c.Entries))
	for i, e := range c.Entries {
		group.Go(func() {
			for time.Since(start) < waitLimit {
				if reached[i] = hasVersion(client, e, version); reached[i] {
					return
				}
				time.Sleep(pollInterval)
			}
		})
	}
	group.Wait()
	elapsed := time.Since(start)
	for _, ok := range reached {
		if !ok {
			return elapsed, false
		}
	}
	return elapsed, true
}

func hasVersion(client *http.Client, e *testbed.Entry, version uint64) bool {
	var status struct {
		NewestVersion uint64 `json:"newestVersion"`
	}
	return getJSON(client, e.AdminURL()+"/status/config", &status) == nil && status.NewestVersion >= version
}

// The instances of a domain are ordered by rendezvous hashing with watcherKey, and the
// first watcherCount of them watch the platform. The values are those of pkg/instance.
const (
	watcherKey   = "role/watcher"
	watcherCount = 2
)

// Watchers returns the entries that watch the platform once all have joined. It
// computes them, because the counters of an entry do not show whether it will keep
// watching: an instance that has just started knows no other member and also watches.
func Watchers(c *testbed.Cluster) []*testbed.Entry {
	var members []member.Member
	for _, e := range c.Entries {
		members = append(members, member.Member{ID: e.ID})
	}
	ranked := member.RendezvousOrder(members, watcherKey)
	var watchers []*testbed.Entry
	for _, watcher := range ranked[:min(watcherCount, len(ranked))] {
		for _, e := range c.Entries {
			if e.ID == watcher.ID {
				watchers = append(watchers, e)
			}
		}
	}
	return watchers
}

// Startup is the time in milliseconds from the start of an instance in a running
// domain until it is ready, and until it has answered its first request.
type Startup struct {
	Teams  int `json:"teams"`
	Starts int `json:"starts"`
	// The times include the start of the process.
	ReadyMedianMs  float64 `json:"readyMedianMs"`
	ReadyWorstMs   float64 `json:"readyWorstMs"`
	ServedMedianMs float64 `json:"servedMedianMs"`
	ServedWorstMs  float64 `json:"servedWorstMs"`
}

// MeasureStartup kills and restarts the last entry the given number of times.
func MeasureStartup(ctx context.Context, c *testbed.Cluster, teams, starts int) (Startup, error) {
	startup := Startup{Teams: teams, Starts: starts}
	e := c.Entries[len(c.Entries)-1]
	client := newClient()
	var ready, served []float64
	for i := range starts {
		e.Kill()
		start := time.Now()
		if err := c.StartEntry(e); err != nil {
			return startup, err
		}
		for testbed.GetJSON(e.AdminURL()+"/readyz", nil) != nil {
			if time.Since(start) > waitLimit {
				return startup, fmt.Errorf("%s is not ready: %s", e.ID, e.Output())
			}
			time.Sleep(pollInterval)
		}
		ready = append(ready, milliseconds(time.Since(start)))
		header := map[string]string{"Rosemarywing-Team": senderTeam}
		for post(ctx, client, e.CallersURL(), header, chatBody(modelName(0), i, 1, false)) != nil {
			if time.Since(start) > waitLimit {
				return startup, fmt.Errorf("%s does not answer requests: %s", e.ID, e.Output())
			}
			time.Sleep(pollInterval)
		}
		served = append(served, milliseconds(time.Since(start)))
		if err := sleep(ctx, membershipSettleTime); err != nil {
			return startup, err
		}
	}
	startup.ReadyMedianMs, startup.ReadyWorstMs = Quantile(ready, 0.5), Quantile(ready, 1)
	startup.ServedMedianMs, startup.ServedWorstMs = Quantile(served, 0.5), Quantile(served, 1)
	return startup, nil
}
