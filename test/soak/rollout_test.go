package soak_test

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/standin/objectstore"
	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

// rolloutLayout is a deployment in which a service moves to as many other upstreams.
var rolloutLayout = layout{instances: instanceCount, upstreams: 8, candidates: 4, slots: 6, leaveNotice: 0.5, stopGrace: 4, routeTimeout: 5 * time.Second}

const (
	incumbentVersion = "v1"
	candidateVersion = "v2"
	// exposureShare is the part of the requests that a faulty version may get, and
	// exposureSlack a number of requests that it may get in addition.
	exposureShare = 0.1
	exposureSlack = 50
	// A faulty version gets no request faultyLimit after its failure number faultyLimitFailures.
	faultyLimit         = 5 * time.Second
	faultyLimitFailures = 50
	// storeAwayExcuse is the time after an outage of the store in which the status of an
	// order that has ended need not be final yet.
	storeAwayExcuse = 3 * time.Second
	// afterRollout is the time after the end of an order, or of the upstreams that it
	// replaces, in which requests are still sent. It exceeds faultyLimit.
	afterRollout = 6 * time.Second
)

// interval is a time in which a fault acted on an instance, or on the store.
type interval struct {
	instance int
	from, to time.Time
}

// rolloutRecord is what is known of a roll-out. Its fields are guarded by deployment.mu.
type rolloutRecord struct {
	faulty             bool
	orderedAt, endedAt time.Time
	// total and candidate count the requests to all upstreams and to those of the candidate
	// between the order and its end.
	total, candidate int
	// candidateStarts and failures hold the times of all requests that reached the candidate,
	// and of those that failed.
	candidateStarts, failures []time.Time
	kills                     []interval
	storeAwayUntil            time.Time
}

func (l layout) rolloutSettings() string {
	if l.candidates == 0 {
		return ""
	}
	return fmt.Sprintf("exposure_share = %g\n", exposureShare)
}

func (d *deployment) isCandidate(upstream int) bool {
	return upstream >= d.layout.upstreams-d.layout.candidates
}

func (d *deployment) versionOf(upstream int) string {
	if d.isCandidate(upstream) {
		return candidateVersion
	}
	return incumbentVersion
}

// fails reports whether a faulty version fails a request: half of them by their IDs.
func (r *rolloutRecord) fails(version, id string) bool {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, id)
	return version == candidateVersion && r != nil && r.faulty && hash.Sum32()>>8%2 == 0
}

// count counts a request that an upstream of a version starts to run. The caller holds
// deployment.mu.
func (r *rolloutRecord) count(version, id string) {
	if r == nil || r.orderedAt.IsZero() {
		return
	}
	now := time.Now()
	inTime := now.Before(r.endedAt)
	if inTime {
		r.total++
	}
	if version != candidateVersion {
		return
	}
	r.candidateStarts = append(r.candidateStarts, now)
	if inTime {
		r.candidate++
	}
	if r.fails(version, id) {
		r.failures = append(r.failures, now)
	}
}

// lost returns why a request counts as lost during a roll-out to a sound version; empty if it
// does not.
func (r *rolloutRecord) lost(request clientRequest, instance int) string {
	answered := request.err == nil && (request.status < http.StatusInternalServerError || request.status == http.StatusServiceUnavailable)
	if r == nil || r.faulty || answered || brokenAnswerTo(request.id) != "" {
		return ""
	}
	for _, kill := range r.kills {
		if kill.instance == instance && request.sentAt.Before(kill.to) && request.endedAt.After(kill.from) {
			return ""
		}
	}
	return fmt.Sprintf("lost, sent %s after the order through edge-%d", request.sentAt.Sub(r.orderedAt), instance)
}

// check returns how a faulty version got more than it may.
func (r *rolloutRecord) check() (failures []string) {
	if !r.faulty {
		return nil
	}
	if limit := int(exposureShare*float64(r.total)) + exposureSlack; r.candidate > limit {
		failures = append(failures, fmt.Sprintf("the faulty version got %d of %d requests; the limit is %d", r.candidate, r.total, limit))
	}
	if len(r.failures) < faultyLimitFailures {
		return failures
	}
	slices.SortFunc(r.failures, time.Time.Compare)
	known := r.failures[faultyLimitFailures-1]
	for _, start := range r.candidateStarts {
		if start.Sub(known) > faultyLimit {
			failures = append(failures, fmt.Sprintf("the faulty version got a request %s after its failure number %d", start.Sub(known), faultyLimitFailures))
		}
	}
	return failures
}

// Failure: a service is ordered to move to a version that is sound or fails half of its
// requests, while instances are killed and the store is silent or loses answers. Guards
// against a faulty version that gets more requests than the settings allow, against an order
// that does not end in time, and against requests that are lost when the upstreams that a
// sound version replaces stop.
func TestRollouts(t *testing.T) {
	dir := t.TempDir()
	if err := testbed.Build("../..", dir, "rosemarywing-gateway"); err != nil {
		t.Fatal(err)
	}
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			d := newDeploymentOf(t, filepath.Join(dir, "rosemarywing-gateway"), rolloutLayout)
			rng := rand.New(rand.NewPCG(seed, 1))
			d.rollout.faulty = rng.IntN(2) == 0
			d.run(seed, func(chan<- clientRequest) { d.rollOut(rng) })
			for _, failure := range d.rollout.check() {
				t.Error(failure)
			}
			t.Logf("faulty: %t, status %q, %d of %d requests at the candidate, %d failures", d.rollout.faulty, d.rolloutState(), d.rollout.candidate, d.rollout.total, len(d.rollout.failures))
			if t.Failed() {
				d.saveLogs(seed)
			}
		})
	}
}

// rollOut orders the service to move, injects faults until the order has ended, and stops the
// upstreams of the version that is not used any more.
func (d *deployment) rollOut(rng *rand.Rand) {
	// The instances have to be ready, and to know the speed of the upstreams.
	time.Sleep(time.Second)
	duration := time.Duration(8+rng.IntN(7)) * time.Second
	d.mu.Lock()
	r := d.rollout
	r.orderedAt = time.Now()
	r.endedAt = r.orderedAt.Add(duration)
	d.mu.Unlock()
	d.store.Put("rollouts", "desk", map[string]any{"service": "desk", "to": candidateVersion, "duration_s": duration.Seconds()})
	for upstream := range d.layout.upstreams {
		if d.isCandidate(upstream) {
			time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
			d.registerUpstream(upstream, "ready")
		}
	}
	var faults sync.WaitGroup
	faults.Go(func() {
		for time.Now().Before(r.endedAt) {
			d.injectRolloutFault(rng)
			time.Sleep(time.Duration(300+rng.IntN(1500)) * time.Millisecond)
		}
	})
	for time.Now().Before(r.endedAt) && d.rolloutState() != "succeeded" {
		time.Sleep(10 * time.Millisecond)
	}
	if d.rolloutState() == "succeeded" {
		d.stopIncumbents()
	}
	time.Sleep(time.Until(r.endedAt))
	d.checkStatus()
	faults.Wait()
	time.Sleep(afterRollout)
}

// injectRolloutFault kills an instance, or lets the store be silent or lose answers.
func (d *deployment) injectRolloutFault(rng *rand.Rand) {
	fault, instance, length := rng.IntN(4), rng.IntN(d.layout.instances), time.Duration(200+rng.IntN(3300))*time.Millisecond
	from := time.Now()
	switch fault {
	case 0:
		d.store.SetFaults(objectstore.Faults{HoldCalls: true})
	case 1:
		d.store.SetFaults(objectstore.Faults{LoseAnswers: true})
	default:
		d.injectFault(faultKill, instance, 0, 0)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.rollout.kills = append(d.rollout.kills, interval{instance: instance, from: from, to: time.Now()})
		return
	}
	d.setStoreAway(from.Add(length))
	time.Sleep(length)
	d.store.SetFaults(objectstore.Faults{})
	d.setStoreAway(time.Now())
}

func (d *deployment) setStoreAway(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rollout.storeAwayUntil = until
}

// rolloutState returns the state that the status of the order shows.
func (d *deployment) rolloutState() string {
	object, _ := d.store.Get("rollouts", "desk")
	var status struct{ State string }
	if len(object.Status) > 0 {
		d.requireNoError(json.Unmarshal(object.Status, &status))
	}
	return status.State
}

// checkStatus checks that the order has ended in time, or soon after an outage of the store.
func (d *deployment) checkStatus() {
	d.mu.Lock()
	deadline := d.rollout.storeAwayUntil.Add(storeAwayExcuse)
	d.mu.Unlock()
	for {
		state := d.rolloutState()
		if state == "succeeded" || state == "rolled_back" {
			return
		}
		if time.Now().After(deadline) {
			d.t.Errorf("the status is %q %s after the end of the order, %s after the last outage of the store", state,
				time.Since(d.rollout.endedAt), time.Since(deadline.Add(-storeAwayExcuse)))
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// stopIncumbents stops the upstreams that were replaced, with what runs there, and removes
// their records.
func (d *deployment) stopIncumbents() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for upstream, link := range d.upstreamLinks {
		if !d.isCandidate(upstream) {
			link.Close()
			d.states[upstream] = ""
			d.store.Delete("servers", fmt.Sprintf("u%d", upstream))
		}
	}
}
