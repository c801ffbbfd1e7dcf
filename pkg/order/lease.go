// Package order gives orders to engines: which models to load and which role
// to take. One instance per failure domain does so, under a lease in the
// platform whose version is the fencing number of its orders.
package order

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/pkg/chart"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

// LeaseKind is the kind of the lease objects in the platform.
const LeaseKind = "Lease"

// Events and flag of the lease chart.
const (
	eventAcquire  chart.Event = "acquire"
	eventAcquired chart.Event = "acquired"
	eventLose     chart.Event = "lose"
	eventRenew    chart.Event = "renew"
	eventRenewed  chart.Event = "renewed"
	eventExpire   chart.Event = "expire"
	eventRelease  chart.Event = "release"
	flagHolds                 = "holds"
)

var leaseEvents = []chart.Event{
	eventAcquire, eventAcquired, eventLose, eventRenew, eventRenewed, eventExpire, eventRelease,
}

// leaseBody is the content of a lease object.
type leaseBody struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Attempt tells writes of one holder apart, so that a lost answer can be resolved.
	Attempt uint64 `json:"attempt"`
	// Released is true when the holder gave the lease up.
	Released bool `json:"released,omitempty"`
}

// Lease is a lease on one object of the platform. It is not safe for
// concurrent use.
//
// Clocks are never compared between instances: a contender takes the lease
// over only after it has seen the same version for a whole duration on its own
// monotonic clock, and the holder counts its validity from before the write
// that renewed it. So the validity of two holders cannot overlap unless a
// process stops between its check and its order; the fencing number and the
// read-back of the engine's state cover that case.
type Lease struct {
	store    platform.Store
	clock    clockwork.Clock
	name     string
	self     leaseBody
	duration time.Duration

	state *chart.Machine
	// version is that of our last write, and fence that of the first write of
	// the current term; both are 0 when the lease is not held.
	version    uint64
	fence      uint64
	validUntil time.Time

	seenVersion uint64
	seenSince   time.Time
}

// LeaseConfig names a lease and its contender.
type LeaseConfig struct {
	Store       platform.Store
	Clock       clockwork.Clock
	Name        string
	Holder      string
	Incarnation uint64
	// Duration is the validity after a renewal.
	Duration time.Duration
}

// NewLease returns a lease that is not held. It fails when the lease chart does.
func NewLease(config LeaseConfig) (*Lease, error) {
	states, err := chart.Load("lease")
	if err != nil {
		return nil, err
	}
	if err := states.Require(leaseEvents, []string{flagHolds}); err != nil {
		return nil, err
	}
	return &Lease{
		state:    states.New(),
		store:    config.Store,
		clock:    config.Clock,
		name:     config.Name,
		self:     leaseBody{Holder: config.Holder, Incarnation: config.Incarnation},
		duration: config.Duration,
	}, nil
}

// Held reports whether the lease is valid now.
func (l *Lease) Held() bool {
	return l.state.Is(flagHolds) && l.clock.Now().Before(l.validUntil)
}

// Fence returns the fencing number of the current term. It grows with every
// term, because the platform's versions grow.
func (l *Lease) Fence() uint64 { return l.fence }

// Renew acquires the lease or extends it. It returns nil when the lease is
// held, an error of kind Conflict when another instance holds it, and
// PlatformUnavailable when the platform does not answer.
func (l *Lease) Renew(ctx context.Context) error {
	if l.state.Is(flagHolds) && !l.Held() {
		l.drop(eventExpire)
	}
	if l.state.Is(flagHolds) {
		l.state.Fire(eventRenew)
		return l.write(ctx, platform.Precondition{Version: l.version})
	}
	object, err := l.store.Get(ctx, LeaseKind, l.name)
	if errkind.KindOf(err) == errkind.NotFound {
		return l.acquire(ctx, platform.Precondition{Absent: true})
	}
	if err != nil {
		return err
	}
	if !l.mayTakeOver(object) {
		return errkind.New(errkind.Conflict, "lease %s is held by another instance", l.name)
	}
	return l.acquire(ctx, platform.Precondition{Version: object.Version})
}

func (l *Lease) acquire(ctx context.Context, pre platform.Precondition) error {
	l.state.Fire(eventAcquire)
	err := l.write(ctx, pre)
	if err != nil {
		l.drop(eventLose)
	}
	return err
}

// Release gives the lease up for good, so that another instance need not wait
// for it to expire.
func (l *Lease) Release(ctx context.Context) error {
	version := l.version
	l.drop(eventRelease)
	if version == 0 {
		return nil
	}
	body := l.self
	body.Released = true
	encoded, err := json.Marshal(body)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode lease %s", l.name)
	}
	object := platform.Object{Kind: LeaseKind, Name: l.name, Body: encoded}
	_, err = l.store.Put(ctx, object, platform.Precondition{Version: version})
	return err
}

// mayTakeOver reports whether the lease was released, is our own from a write
// whose answer was lost, or has not been renewed for a whole duration.
func (l *Lease) mayTakeOver(object platform.Object) bool {
	var body leaseBody
	if err := json.Unmarshal(object.Body, &body); err == nil {
		own := body.Holder == l.self.Holder && body.Incarnation == l.self.Incarnation
		if body.Released || own {
			return true
		}
	}
	now := l.clock.Now()
	if object.Version != l.seenVersion {
		l.seenVersion = object.Version
		l.seenSince = now
		return false
	}
	return now.Sub(l.seenSince) >= l.duration
}

func (l *Lease) write(ctx context.Context, pre platform.Precondition) error {
	l.self.Attempt++
	encoded, err := json.Marshal(l.self)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode lease %s", l.name)
	}
	started := l.clock.Now()
	object := platform.Object{Kind: LeaseKind, Name: l.name, Body: encoded}
	version, err := l.store.Put(ctx, object, pre)
	if errkind.KindOf(err) == errkind.PlatformUnavailable {
		version, err = l.readBack(ctx, err)
	}
	if errkind.KindOf(err) == errkind.Conflict {
		l.drop(eventLose)
	}
	if err != nil {
		return err
	}
	if l.state.Fire(eventAcquired) {
		l.fence = version
	} else {
		l.state.Fire(eventRenewed)
	}
	l.version = version
	l.validUntil = started.Add(l.duration)
	return nil
}

// readBack resolves a write whose answer was lost. The attempt number tells
// our last write from an earlier one.
func (l *Lease) readBack(ctx context.Context, cause error) (uint64, error) {
	object, err := l.store.Get(ctx, LeaseKind, l.name)
	if err != nil {
		return 0, cause
	}
	var body leaseBody
	if err := json.Unmarshal(object.Body, &body); err != nil || body != l.self {
		return 0, cause
	}
	return object.Version, nil
}

func (l *Lease) drop(event chart.Event) {
	l.state.Fire(event)
	l.version = 0
	l.fence = 0
	l.validUntil = time.Time{}
}
