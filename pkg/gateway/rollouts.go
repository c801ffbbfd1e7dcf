package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/rollout"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
)

// RolloutCodec decodes and encodes the objects of the store that order a service to move
// to another version.
type RolloutCodec interface {
	// Rollout decodes an order and the progress that its status records. Progress is the
	// zero value if the status is missing, malformed or of another order.
	Rollout(name string, object storesync.Object) (rollout.Order, rollout.Progress, error)
	// RolloutStatus returns the status that records a progress.
	RolloutStatus(progress rollout.Progress) any
}

const (
	// maxRolloutAge is the age of this instance's copy of the orders above which it sends
	// no request to a version on trial, since the version may have been found faulty. It
	// covers the longest way of a copy while the store and the relays work.
	maxRolloutAge = relayMaxCopyAge
	// rolloutStepInterval is the time between two decisions of the holder, and
	// rolloutWriteRetry that until a write without a response is tried again.
	rolloutStepInterval = 100 * time.Millisecond
	rolloutWriteRetry   = 300 * time.Millisecond
	// maxObservationGap is the time without observations of the instances after which it is
	// not known which of them were lost all the while.
	maxObservationGap = 2 * time.Second
	// busyShare is the part of an upstream's slots in use from which on it counts as busy.
	busyShare = 0.75
)

// rolloutState is what this instance knows of the roll-out of one service.
type rolloutState struct {
	order rollout.Order
	// progress is in force, and recorded is what the status of the object holds. The store
	// may lose stages that are in force; they are written again.
	progress, recorded rollout.Progress
	// position is that of the object, under the condition of which its status is written.
	position storesync.Position
	// inForceSince is the time since which the stage and the share of progress are known here,
	// and rampLoad the sum of rollout.Observation up to then.
	inForceSince, rampLoad time.Duration
	// seenAt is when the order was first seen here, and seenNew is true if no holder had
	// recorded anything about it by then.
	seenAt   time.Duration
	seenNew  bool
	selector *rollout.Selector
	// own holds the results of this instance's requests, and reported those that other
	// instances or the relays of other failure domains have reported, by peer.
	own      rollout.Evidence
	reported map[string]rollout.Evidence
	// leader decides while this instance reads the store for the others; nil otherwise.
	leader    *rollout.Leader
	steppedAt time.Duration
	writing   bool
	// writeAfter is the time before which no write is tried.
	writeAfter time.Duration
}

// rollouts holds the roll-outs of all services, by service.
type rollouts struct {
	enabled bool
	limits  rollout.Limits
	states  map[string]*rolloutState
	// currentAt is the last time at which the copy of the orders was known to be current,
	// and position the position of the store that it shows.
	currentAt time.Duration
	position  storesync.Position
	// completeness and what it says about the instances at observedAt.
	completeness       rollout.Completeness
	complete, minority bool
	observedAt         time.Duration
	// readerSince is the time since which this instance reads the store for the others.
	readerSince time.Duration
	// holdUntil is the time until which upstreams of versions that were not used before are
	// held back, whatever is known of the orders.
	holdUntil time.Duration
	// former holds, by order ID, the roll-outs that were replaced until holdUntil. The
	// replacing order may be an older one, and the replaced one be written again.
	former map[string]*rolloutState
	// versionsInUse holds the versions of each service whose upstreams have been used.
	// Upstreams of others are held back until the orders that precede them are known.
	versionsInUse map[string]map[string]bool
	held          map[string]heldUpstream
	// faulty holds, by service, the versions that were rolled back and not ordered again. As
	// long as their upstreams run, they get no requests, whatever has become of the order.
	faulty map[string][]string
}

// heldUpstream is the record of an upstream that is held back.
type heldUpstream struct {
	info     admission.UpstreamInfo
	position storesync.Position
}

func newRollouts(limits rollout.Limits) *rollouts {
	return &rollouts{
		enabled: limits.ExposureShare > 0, limits: limits, states: map[string]*rolloutState{},
		versionsInUse: map[string]map[string]bool{}, held: map[string]heldUpstream{}, former: map[string]*rolloutState{}, faulty: map[string][]string{},
	}
}

// mustHold reports whether an upstream is held back, since an order that precedes its
// record may not be known yet.
func (r *rollouts) mustHold(now time.Duration, info admission.UpstreamInfo, position storesync.Position) bool {
	if !r.enabled {
		return false
	}
	if r.versionsInUse[info.Service] == nil {
		r.versionsInUse[info.Service] = map[string]bool{}
	}
	inUse := r.versionsInUse[info.Service]
	inUse[info.Version] = inUse[info.Version] || now >= r.holdUntil && !r.position.Before(position)
	return !inUse[info.Version]
}

// holdUpstream keeps the record of an upstream that may not be used yet.
func (c *controlLoop) holdUpstream(held heldUpstream) {
	c.rollouts.held[held.info.ID] = held
	c.setHeldVersions(held.info.Service)
}

// releaseUpstream forgets the record of an upstream that is held back.
func (c *controlLoop) releaseUpstream(id string) {
	if held, known := c.rollouts.held[id]; known {
		delete(c.rollouts.held, id)
		c.setHeldVersions(held.info.Service)
	}
}

func (c *controlLoop) setHeldVersions(service string) {
	var versions []string
	for _, held := range c.rollouts.held {
		if held.info.Service == service && !slices.Contains(versions, held.info.Version) {
			versions = append(versions, held.info.Version)
		}
	}
	c.pool(service).SetHeldVersions(versions)
}

// holdNewVersions holds upstreams of versions that were not used before back for a while,
// since the store has lost the orders that may precede their records.
func (r *rollouts) holdNewVersions(now time.Duration) { r.holdUntil = now + orderReturnGrace }

// keepFormer keeps a roll-out that is replaced shortly after a return of the store.
func (r *rollouts) keepFormer(now time.Duration, state *rolloutState) {
	if state != nil && now < r.holdUntil {
		r.former[state.order.ID] = state
	}
}

// takeFormer returns a roll-out that was replaced shortly after a return of the store, or
// nil. An order that is given anew later starts anew.
func (r *rollouts) takeFormer(now time.Duration, orderID string) *rolloutState {
	if now >= r.holdUntil {
		clear(r.former)
	}
	state := r.former[orderID]
	if state != nil {
		delete(r.former, orderID)
		state.writing, state.leader = false, nil
	}
	return state
}

// applyRolloutUpdate applies changed and withdrawn orders.
func (c *controlLoop) applyRolloutUpdate(update storesync.Update) {
	now := c.g.now()
	for _, object := range update.Changed {
		c.setRollout(now, object, storesync.Position{Era: update.Era, Revision: object.Revision})
	}
	for _, name := range update.Deleted {
		if state := c.rollouts.states[name]; state != nil {
			delete(c.rollouts.states, name)
			c.pool(name).SetVersionRule(admission.VersionRule{Faulty: c.rollouts.faulty[name]})
			c.g.log.Info("roll-out withdrawn", "service", name, "version", state.order.Version, "stage", state.progress.Stage.String())
		}
	}
	c.rollouts.currentAt = update.AsOf
	if c.rollouts.position.Before(update.Position) {
		c.rollouts.position = update.Position
	}
	c.g.rolloutsKnown.Store(true)
	for id, held := range c.rollouts.held {
		if !c.rollouts.mustHold(now, held.info, held.position) {
			c.releaseUpstream(id)
			c.useUpstream(held.info, held.position)
		}
	}
}

// setRollout applies an order and its recorded progress.
func (c *controlLoop) setRollout(now time.Duration, object storesync.Object, position storesync.Position) {
	var order rollout.Order
	var progress rollout.Progress
	err := decodeSpec(c.g, object, func([]byte) (err error) {
		order, progress, err = c.g.rolloutCodec.Rollout(object.Name, object)
		return err
	})
	if err != nil {
		c.g.log.Info("roll-out order ignored", "service", object.Name, "revision", object.Revision, "error", err.Error())
		return
	}
	state := c.rollouts.states[order.Service]
	if state == nil || state.order.ID != order.ID || c.rollouts.givenAgain(now, state, object, position) {
		c.rollouts.keepFormer(now, state)
		if state = c.rollouts.takeFormer(now, order.ID); state == nil {
			state = &rolloutState{
				order: order, seenAt: now, seenNew: progress.OrderID == "", selector: rollout.NewSelector(rand.Float64()),
				own: rollout.NewEvidence(), reported: map[string]rollout.Evidence{},
			}
		}
		c.rollouts.states[order.Service] = state
		c.rollouts.setFaulty(order.Service, order.Version, false)
		c.applyVersionRule(state)
		c.g.log.Info("roll-out ordered", "service", order.Service, "version", order.Version, "duration_ms", order.Duration.Milliseconds(), "revision", object.Revision)
	}
	if position.Before(state.position) {
		// The answer to a write of this instance was newer.
		return
	}
	state.position, state.recorded = position, progress
	c.setProgress(now, state, progress)
}

// givenAgain reports whether an object is another one than that of the state, with an equal
// order: it has no status although that of the state had one. A store that has returned from
// an older copy may have lost the status.
func (r *rollouts) givenAgain(now time.Duration, state *rolloutState, object storesync.Object, position storesync.Position) bool {
	return now >= r.holdUntil && state.recorded.OrderID != "" && len(object.Status) == 0 &&
		position.Era == state.position.Era && state.position.Before(position)
}

// setProgress puts the recorded progress of a roll-out in force. A stage that is earlier
// than the one in force is that of a store that has lost the later one.
func (c *controlLoop) setProgress(now time.Duration, state *rolloutState, progress rollout.Progress) {
	if progress.Before(state.progress) {
		c.g.log.Info("earlier stage of the roll-out ignored", "service", state.order.Service, "stage", state.progress.Stage.String(), "share", state.progress.Share, "recorded", progress.Stage.String(), "recorded_share", progress.Share)
		return
	}
	if progress != state.progress {
		c.g.log.Info("roll-out stage", "service", state.order.Service, "version", state.order.Version, "stage", progress.Stage.String(), "share", progress.Share,
			"holder", progress.Holder, "epoch", progress.Epoch, "elapsed_ms", state.elapsed(c.g, now).Milliseconds())
		if state.leader != nil && (progress.Holder != c.g.settings.Instance.Name || !state.leader.IsAt(progress)) {
			// Another holder has advanced it, or a write of this one took effect although
			// its response was lost.
			state.leader = nil
		}
	}
	if progress.Stage != state.progress.Stage || progress.Share != state.progress.Share {
		state.rampLoad, state.inForceSince = state.rampLoadUntil(now), now
	}
	state.progress = progress
	c.applyVersionRule(state)
}

// rampLoadUntil returns the sum of the shares that were in force in the ramp.
func (s *rolloutState) rampLoadUntil(now time.Duration) time.Duration {
	if s.progress.Stage != rollout.Ramp {
		return s.rampLoad
	}
	return s.rampLoad + time.Duration(s.progress.Share*float64(now-s.inForceSince))
}

// setFaulty records whether a version of a service was rolled back.
func (r *rollouts) setFaulty(service, version string, faulty bool) {
	others := slices.DeleteFunc(slices.Clone(r.faulty[service]), func(known string) bool { return known == version })
	if faulty {
		others = append(others, version)
	}
	r.faulty[service] = others
}

func (c *controlLoop) applyVersionRule(state *rolloutState) {
	if state.progress.Stage == rollout.RolledBack {
		c.rollouts.setFaulty(state.order.Service, state.order.Version, true)
	}
	rule := admission.VersionRule{Candidate: state.order.Version, Faulty: c.rollouts.faulty[state.order.Service]}
	switch state.progress.Stage {
	case rollout.Waiting:
	case rollout.Trial:
		rule.Concentrate = true
	case rollout.Ramp:
	case rollout.Full, rollout.Succeeded:
		rule.Moved = true
	case rollout.RolledBack:
		rule.Strict = true
	}
	c.pool(state.order.Service).SetVersionRule(rule)
}

// restoreVersionRules sets what new pools must know about the versions of their upstreams.
func (c *controlLoop) restoreVersionRules() {
	for service, versions := range c.rollouts.faulty {
		c.pool(service).SetVersionRule(admission.VersionRule{Faulty: versions})
	}
	for _, state := range c.rollouts.states {
		c.applyVersionRule(state)
	}
	for _, held := range c.rollouts.held {
		c.setHeldVersions(held.info.Service)
	}
}

// elapsed returns the time since the order was given: since this instance has seen it or, if
// it was recorded before, since a former holder had, by the wall clock. That clock may be
// stepped and is not used otherwise.
func (s *rolloutState) elapsed(g *Gateway, now time.Duration) time.Duration {
	elapsed := now - s.seenAt
	if !s.seenNew && s.progress.StartedUnixMs > 0 {
		byWallClock := g.clock.Now().Sub(time.UnixMilli(s.progress.StartedUnixMs))
		elapsed = max(elapsed, min(byWallClock, s.order.Duration))
	}
	return elapsed
}

// selectTrial reports whether a request goes to the version on trial.
func (c *controlLoop) selectTrial(now time.Duration, request *admission.Request) bool {
	state := c.rollouts.states[request.Service]
	if state == nil || len(request.ExcludedUpstreams) > 0 || now-c.rollouts.currentAt > maxRolloutAge {
		return false
	}
	if stage := state.progress.Stage; stage != rollout.Trial && stage != rollout.Ramp {
		return false
	}
	selected := state.selector.Select()
	if selected {
		c.g.metrics.rolloutTrials.Inc(1)
	}
	return selected
}

// rolloutResultMsg adds a first output or the end of a request to the evidence.
type rolloutResultMsg struct {
	service, version string
	cell             rollout.Cell
	counts           rollout.Counts
	// reached is true in the first message about a request that was sent at sentAt and that
	// an upstream has begun to answer.
	reached bool
	sentAt  time.Duration
}

func (m rolloutResultMsg) apply(c *controlLoop) {
	state := c.rollouts.states[m.service]
	if state == nil {
		return
	}
	period, counted := state.progress.Stage.Period()
	if !counted || slices.Contains(c.rollouts.faulty[m.service], m.version) {
		return
	}
	if m.reached && m.sentAt >= state.seenAt {
		state.selector.Reached(state.progress.Share)
	}
	m.cell.Period = period
	state.own.Add(m.version == state.order.Version, m.cell, m.counts)
	c.markReportsChanged()
}

// recordRollout adds counts to the evidence about the version of a request's upstream, and
// counts the request, once, as one that has reached its service.
func (x *exchange) recordRollout(decision admission.Decision, counts rollout.Counts) {
	if !x.g.rolloutsEnabled() || counts == (rollout.Counts{}) {
		return
	}
	slots := float64(max(1, decision.Upstream.Slots))
	x.g.enqueue(rolloutResultMsg{
		service: x.service, version: decision.Upstream.Version, counts: counts,
		cell:    rollout.Cell{Route: x.route.Name, Busy: float64(decision.InFlight+1) >= busyShare*slots},
		reached: x.reachedService && !x.reachedCounted, sentAt: x.sentAt,
	})
	x.reachedCounted = x.reachedService
}

// rolloutCounts returns what the result of an attempt says about the upstream's version.
func rolloutCounts(result attemptResult) rollout.Counts {
	switch result.outcome {
	case admission.Answered:
		return rollout.Result(false)
	case admission.Failed, admission.Broken:
		return rollout.Result(true)
	}
	if result.err != nil && result.outcome == admission.Cancelled && result.timeToFirstOutput == 0 && result.totalTime > 0 {
		// The time to the first output would have been longer.
		return rollout.FirstOutput(result.totalTime)
	}
	return rollout.Counts{}
}

func (g *Gateway) rolloutsEnabled() bool { return g.settings.Bounds.ExposureShare > 0 }
