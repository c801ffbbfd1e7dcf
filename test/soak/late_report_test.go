package soak_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

const (
	// recordDrainTime is the time after which a request that a client sends may not reach an
	// upstream whose record has said that it leaves. It is the bound of the platform.
	recordDrainTime = 2500 * time.Millisecond
	// reportInterval is the time between two reports of an upstream.
	reportInterval = 1200 * time.Millisecond
	// maxLateness is how much later than it was sent a report may take effect.
	maxLateness = 6 * time.Second
	// lateReportSteps is the number of steps of a run, and maxStepPause the longest pause
	// between two of them.
	lateReportSteps = 60
	maxStepPause    = 400 * time.Millisecond
)

// reporter is an upstream that writes reports to the store.
type reporter struct {
	d        *deployment
	upstream int

	mu       sync.Mutex
	state    string
	sequence int
	silent   bool
	// stored is the report in the store; nil if there is none.
	stored map[string]any
}

// report returns the next report.
func (r *reporter) report() map[string]any {
	r.sequence++
	report := r.d.upstreamRecord(r.upstream, r.state)
	report["sequence"] = r.sequence
	return report
}

// write executes a report at the store, whose record changes if more than the sequence does.
func (r *reporter) write(report map[string]any) {
	if r.stored != nil && r.stored["state"] == report["state"] && r.stored["born"] == report["born"] {
		return
	}
	r.stored = maps.Clone(report)
	r.d.store.Put("servers", fmt.Sprintf("u%d", r.upstream), report)
}

// do runs a step of the upstream. It holds the locks that report and write need.
func (r *reporter) do(step func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	step()
}

func (r *reporter) leaves() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state != "ready"
}

func (r *reporter) leave() {
	r.state = "draining"
	r.write(r.report())
	r.d.words.drainedAt[r.upstream] = time.Now()
}

// restart replaces the process by the next one under the same ID.
func (r *reporter) restart() {
	r.d.words.drainedAt[r.upstream] = time.Time{}
	r.d.words.born[r.upstream] = time.Now().UnixMilli()
	r.state, r.sequence = "ready", 0
	r.write(r.report())
}

// expire removes the record, as the store does after a silence.
func (r *reporter) expire() {
	r.stored = nil
	r.d.store.Delete("servers", fmt.Sprintf("u%d", r.upstream))
}

// Failure: reports of upstreams take effect late, after those by which the upstreams leave
// or of their next process, while records vanish and return, the store loses its history and
// instances are killed. Guards against requests to an upstream that leaves.
func TestLateReports(t *testing.T) {
	dir := t.TempDir()
	if err := testbed.Build("../..", dir, "rosemarywing-gateway"); err != nil {
		t.Fatal(err)
	}
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			runLateReports(t, filepath.Join(dir, "rosemarywing-gateway"), seed)
		})
	}
}

func runLateReports(t *testing.T, binary string, seed uint64) {
	d := newDeployment(t, binary)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients, reports sync.WaitGroup
	results := make(chan clientRequest, 1<<16)
	for i := range clientCount {
		clients.Go(func() { d.runClient(ctx, i, seed, results) })
	}
	var reporters []*reporter
	for upstream := range upstreamCount {
		r := &reporter{d: d, upstream: upstream, state: "ready"}
		reporters = append(reporters, r)
		reports.Go(func() {
			for ctx.Err() == nil {
				r.do(func() {
					if !r.silent {
						r.write(r.report())
					}
				})
				select {
				case <-ctx.Done():
				case <-time.After(reportInterval):
				}
			}
		})
	}
	d.disturbReports(ctx, &reports, reporters, rand.New(rand.NewPCG(seed, 3)))
	cancel()
	clients.Wait()
	reports.Wait()
	close(results)
	failures := append(d.checkResults(results), d.checkWords()...)
	for _, failure := range failures {
		t.Error(failure)
	}
	if len(failures) > 0 {
		d.saveLogs(seed)
	}
}

// disturbReports runs random steps, with random pauses between them.
func (d *deployment) disturbReports(ctx context.Context, running *sync.WaitGroup, reporters []*reporter, rng *rand.Rand) {
	after := func(pause time.Duration, r *reporter, step func()) {
		running.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
				r.do(step)
			}
		})
	}
	for range lateReportSteps {
		r, pause := reporters[rng.IntN(len(reporters))], time.Duration(rng.Int64N(int64(maxLateness)))
		switch step := rng.IntN(10); {
		case step < 4:
			r.do(func() {
				held := r.report()
				after(pause, r, func() { r.write(held) })
			})
		case step < 6:
			d.leaveOrRestart(r, reporters)
		case step < 8:
			r.do(func() {
				r.silent = true
				r.expire()
			})
			after(min(pause, reportInterval), r, func() {
				r.silent = false
				r.write(r.report())
			})
		case step < 9:
			d.store.Compact()
		default:
			instance := rng.IntN(instanceCount)
			d.recordDisturbance(faultKill, instance, 0)
			d.gateways[instance].Kill()
			d.startGateway(instance)
		}
		time.Sleep(time.Duration(rng.Int64N(int64(maxStepPause))))
	}
}

// leaveOrRestart makes an upstream leave, or start again if it leaves or if half of the
// upstreams do.
func (d *deployment) leaveOrRestart(r *reporter, reporters []*reporter) {
	leaving := 0
	for _, other := range reporters {
		if other.leaves() {
			leaving++
		}
	}
	switch {
	case r.leaves():
		r.do(r.restart)
	case leaving < len(reporters)/2:
		r.do(r.leave)
	}
}
