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
	// statusPoll is the resolution of a spread.
	statusPoll = 2 * time.Millisecond
	// spreadLimit ends the wait for one change. It is several times the 5 s in
	// which a change must be in effect.
	spreadLimit = 20 * time.Second
	// betweenChanges lets a change settle before the next.
	betweenChanges = 500 * time.Millisecond
	burst          = 100
	// joined is the time in which members of a domain find each other.
	joined = 3 * time.Second
)

// Spread is the time from the accepted write of a change until every instance
// shows its version, in milliseconds.
type Spread struct {
	Name      string  `json:"name"`
	Instances int     `json:"instances"`
	Teams     int     `json:"teams"`
	Changes   int     `json:"changes"`
	MedianMs  float64 `json:"medianMs"`
	WorstMs   float64 `json:"worstMs"`
	// Late counts the changes that an instance did not show within the limit.
	Late int `json:"late"`
	// BurstMs is from the last write of the burst, BurstWriteMs the time that
	// the writes took.
	BurstMs      float64 `json:"burstMs"`
	BurstWriteMs float64 `json:"burstWriteMs"`
}

// MeasureSpread measures single changes and a burst.
func MeasureSpread(ctx context.Context, c *testbed.Cluster, name string, teams, changes int) (Spread, error) {
	s := Spread{Name: name, Instances: len(c.Entries), Teams: teams, Changes: changes}
	client := newClient()
	var took []float64
	for i := range changes {
		version, err := change(ctx, client, c, i)
		if err != nil {
			return s, err
		}
		elapsed, shown := untilShown(client, c, version)
		if !shown {
			s.Late++
		}
		took = append(took, milliseconds(elapsed))
		if err := wait(ctx, betweenChanges); err != nil {
			return s, err
		}
	}
	s.MedianMs, s.WorstMs = Quantile(took, 0.5), Quantile(took, 1)
	return s, s.burst(ctx, client, c)
}

func (s *Spread) burst(ctx context.Context, client *http.Client, c *testbed.Cluster) error {
	began := time.Now()
	var last uint64
	for i := range burst {
		version, err := change(ctx, client, c, s.Changes+i)
		if err != nil {
			return err
		}
		last = version
	}
	s.BurstWriteMs = milliseconds(time.Since(began))
	elapsed, shown := untilShown(client, c, last)
	if !shown {
		s.Late++
	}
	s.BurstMs = milliseconds(elapsed)
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// untilShown waits until every instance shows the version, and reports whether
// all did within the limit.
func untilShown(client *http.Client, c *testbed.Cluster, version uint64) (time.Duration, bool) {
	began := time.Now()
	var group sync.WaitGroup
	shown := make([]bool, len(c.Entries))
	for i, e := range c.Entries {
		group.Go(func() {
			for time.Since(began) < spreadLimit {
				if shown[i] = shows(client, e, version); shown[i] {
					return
				}
				time.Sleep(statusPoll)
			}
		})
	}
	group.Wait()
	elapsed := time.Since(began)
	for _, ok := range shown {
		if !ok {
			return elapsed, false
		}
	}
	return elapsed, true
}

func shows(client *http.Client, e *testbed.Entry, version uint64) bool {
	var status struct {
		NewestVersion uint64 `json:"newestVersion"`
	}
	return getJSON(client, e.Admin()+"/status/config", &status) == nil && status.NewestVersion >= version
}

// watcherKey and watchers are the key and the number by which the instances of
// a domain choose who watches the platform, as in pkg/instance.
const (
	watcherKey = "role/watcher"
	watchers   = 2
)

// Watchers returns the entries that watch the platform once all are members.
// Their counters do not tell: an instance that has just started knows no other
// member and watches as well.
func Watchers(c *testbed.Cluster) []*testbed.Entry {
	var members []member.Member
	for _, e := range c.Entries {
		members = append(members, member.Member{ID: e.ID})
	}
	owners := member.RendezvousOrder(members, watcherKey)
	var found []*testbed.Entry
	for _, owner := range owners[:min(watchers, len(owners))] {
		for _, e := range c.Entries {
			if e.ID == owner.ID {
				found = append(found, e)
			}
		}
	}
	return found
}

// Joining is the time until an instance that starts in a running domain is
// ready and until it has answered a request, in milliseconds.
type Joining struct {
	Teams  int `json:"teams"`
	Starts int `json:"starts"`
	// Ready and Served include the start of the process.
	ReadyMedianMs  float64 `json:"readyMedianMs"`
	ReadyWorstMs   float64 `json:"readyWorstMs"`
	ServedMedianMs float64 `json:"servedMedianMs"`
	ServedWorstMs  float64 `json:"servedWorstMs"`
}

// MeasureJoining kills the last entry and starts it again, several times.
func MeasureJoining(ctx context.Context, c *testbed.Cluster, teams, starts int) (Joining, error) {
	j := Joining{Teams: teams, Starts: starts}
	e := c.Entries[len(c.Entries)-1]
	client := newClient()
	var ready, served []float64
	for i := range starts {
		e.Kill()
		began := time.Now()
		if err := c.StartEntry(e); err != nil {
			return j, err
		}
		for testbed.GetJSON(e.Admin()+"/readyz", nil) != nil {
			if time.Since(began) > spreadLimit {
				return j, fmt.Errorf("%s is not ready: %s", e.ID, e.Output())
			}
			time.Sleep(statusPoll)
		}
		ready = append(ready, milliseconds(time.Since(began)))
		header := map[string]string{"Rosemarywing-Team": team}
		for post(ctx, client, e.Callers(), header, chatBody(model(0), i, 1, false)) != nil {
			if time.Since(began) > spreadLimit {
				return j, fmt.Errorf("%s does not serve: %s", e.ID, e.Output())
			}
			time.Sleep(statusPoll)
		}
		served = append(served, milliseconds(time.Since(began)))
		if err := wait(ctx, joined); err != nil {
			return j, err
		}
	}
	j.ReadyMedianMs, j.ReadyWorstMs = Quantile(ready, 0.5), Quantile(ready, 1)
	j.ServedMedianMs, j.ServedWorstMs = Quantile(served, 0.5), Quantile(served, 1)
	return j, nil
}
