package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/rollout"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
)

// stepRollouts lets this instance advance the roll-outs if it reads the store for the
// others. The condition of the write fences it if another instance does the same.
func (c *controlLoop) stepRollouts(now time.Duration) {
	if !c.rollouts.running() {
		return
	}
	c.observeInstances(now)
	if c.peers.SyncSourceAddress() != "" || c.g.stop.Load() != nil {
		c.rollouts.readerSince = now
		return
	}
	for _, state := range c.rollouts.states {
		if state.writing || now < state.writeAfter || now-state.steppedAt < rolloutStepInterval {
			continue
		}
		if state.position.Era < c.g.store.Era() {
			// The order was not read in the present era of the store.
			continue
		}
		if state.lost() {
			state.steppedAt = now
			c.writeRollout(now, state, rollout.Step{Stage: state.progress.Stage, Share: state.progress.Share, Reason: "the store has lost the stage"})
			continue
		}
		if state.progress.Stage.Final() {
			continue
		}
		state.steppedAt = now
		elapsed := state.elapsed(c.g, now)
		if state.leader == nil {
			state.leader = rollout.NewLeader(state.order, c.rollouts.limits, state.progress, elapsed)
		}
		if step, due := state.leader.Next(c.observeRollout(now, state, elapsed)); due {
			c.writeRollout(now, state, step)
		} else if state.progress.OrderID == "" {
			c.writeRollout(now, state, rollout.Step{Stage: rollout.Waiting, Reason: "the order is new"})
		}
	}
}

// running reports whether a roll-out may have to be advanced or its stage written again.
func (r *rollouts) running() bool {
	for _, state := range r.states {
		if !state.progress.Stage.Final() || state.lost() {
			return true
		}
	}
	return false
}

// observeInstances records how many instances have recent reports, while a roll-out runs. Each
// instance does so, since it may have to continue the roll-out.
func (c *controlLoop) observeInstances(now time.Duration) {
	r := c.rollouts
	if now-r.observedAt < rolloutStepInterval {
		return
	}
	if now-r.observedAt > maxObservationGap {
		r.completeness, r.readerSince = rollout.Completeness{}, now
	}
	r.observedAt = now
	reachable, unreachable := c.quotas.InstanceCounts(now)
	r.complete, r.minority = r.completeness.Observe(now, reachable, unreachable)
}

// lost reports whether the store no longer holds the stage in force. The operator may have
// read it there.
func (s *rolloutState) lost() bool {
	return s.progress.OrderID != "" && (s.recorded.OrderID == "" || s.recorded.Before(s.progress))
}

func (c *controlLoop) observeRollout(now time.Duration, state *rolloutState, elapsed time.Duration) rollout.Observation {
	pool := c.pool(state.order.Service)
	o := rollout.Observation{
		Elapsed: elapsed, IncumbentInFlight: pool.IncumbentInFlight(), Evidence: state.pooledEvidence(true),
		Complete: c.rollouts.complete, Minority: c.rollouts.minority,
		ReaderFor: now - c.rollouts.readerSince, StageFor: now - state.inForceSince, RampLoad: state.rampLoadUntil(now),
	}
	o.CandidateSlots, o.IncumbentSlots = pool.VersionSlots()
	return o
}

// writeRollout records a step without waiting for the store. A version that was found to
// be faulty gets no more requests of this instance from now on.
func (c *controlLoop) writeRollout(now time.Duration, state *rolloutState, step rollout.Step) {
	g := c.g
	next := rollout.Progress{
		OrderID: state.order.ID, Version: state.order.Version, Stage: step.Stage, Share: step.Share,
		StartedUnixMs: state.progress.StartedUnixMs, Holder: g.settings.Instance.Name, Epoch: state.progress.Epoch,
	}
	if next.StartedUnixMs == 0 {
		next.StartedUnixMs = g.clock.Now().Add(-state.elapsed(g, now)).UnixMilli()
	}
	if state.progress.Holder != next.Holder {
		next.Epoch++
	}
	next.Epoch = max(next.Epoch, state.recorded.Epoch)
	g.log.Info("roll-out decision", "service", state.order.Service, "version", state.order.Version, "stage", step.Stage.String(), "share", step.Share, "reason", step.Reason,
		"elapsed_ms", state.elapsed(g, now).Milliseconds(), "epoch", next.Epoch, "results", state.pooledEvidence(true).Results(true))
	if step.Stage == rollout.RolledBack {
		c.pool(state.order.Service).SetVersionRule(admission.VersionRule{Candidate: state.order.Version, Strict: true, Faulty: c.rollouts.faulty[state.order.Service]})
	}
	state.writing = true
	service, condition, again := state.order.Service, state.position, state.lost()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		written, err := g.store.PutStatus(ctx, g.objectKinds.Rollouts, service, g.rolloutCodec.RolloutStatus(next), condition)
		g.enqueueContext(context.Background(), rolloutWrittenMsg{state: state, step: step, progress: next, position: written.Position(), again: again, err: err})
	}()
}

// rolloutWrittenMsg is the result of a write of a status.
type rolloutWrittenMsg struct {
	// state is that of the order whose status was written. It is used by the control loop
	// only.
	state    *rolloutState
	step     rollout.Step
	progress rollout.Progress
	position storesync.Position
	// again is true if the store had lost the stage.
	again bool
	err   error
}

func (m rolloutWrittenMsg) apply(c *controlLoop) {
	state, service := m.state, m.state.order.Service
	if c.rollouts.states[service] != state {
		// The order was withdrawn or replaced, possibly by an equal one.
		return
	}
	now := c.g.now()
	state.writing = false
	if m.err != nil {
		c.g.metrics.rolloutWritesFailed.Inc(1)
		c.g.log.Info("roll-out stage not written", "service", service, "stage", m.step.Stage.String(), "conflict", errors.Is(m.err, storesync.ErrConflict), "error", m.err.Error())
		state.writeAfter = now + rolloutWriteRetry
		conflict := errors.Is(m.err, storesync.ErrConflict) && state.position.Before(m.position)
		if conflict || errors.Is(m.err, storesync.ErrEraChanged) {
			// The copy of the orders delivers what is written instead.
			state.leader = nil
		}
		return
	}
	if state.position.Before(m.position) {
		state.position, state.recorded = m.position, m.progress
	}
	// An acknowledged stage is in force also if the store has lost it meanwhile, since the
	// operator may have read it. It is then written again.
	if state.leader != nil {
		state.leader.Written(m.step, state.elapsed(c.g, now))
	}
	c.setProgress(now, state, m.progress)
	if m.again {
		return
	}
	switch m.step.Stage {
	case rollout.Succeeded:
		c.g.metrics.rolloutsSucceeded.Inc(1)
	case rollout.RolledBack:
		c.g.metrics.rolloutsRolledBack.Inc(1)
	}
}
