// Package order reconciles the engines of a failure domain with their records:
// it sends them orders that name the models to load and the role to take. One
// instance per failure domain does so. It holds a lease on an object in the
// platform. The object's version at the acquisition of the lease is sent in the
// orders as fencing number, by which engines recognize orders of former holders.
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

// Events and the flag of the lease state chart.
const (
	eventAcquire  chart.Event = "acquire"
	eventAcquired chart.Event = "acquired"
	eventLose     chart.Event = "lose"
	eventRenew    chart.Event = "renew"
	eventRenewed  chart.Event = "renewed"
	eventExpire   chart.Event = "expire"
	eventRelease  chart.Event = "release"
	flagHeld                  = "holds"
)

var leaseEvents = []chart.Event{
	eventAcquire, eventAcquired, eventLose, eventRenew, eventRenewed, eventExpire, eventRelease,
}

// leaseRecord is the content of a lease object.
type leaseRecord struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Attempt distinguishes the writes of one holder, so that a write whose
	// answer was lost can be resolved.
	Attempt uint64 `json:"attempt"`
	// Released is true when the holder released the lease.
	Released bool `json:"released,omitempty"`
}

// Lease is a lease on one object in the platform. It is not safe for concurrent
// use.
//
// Clocks are never compared between instances. Another instance takes the lease
// over only after it has observed the same version for a whole lease duration on
// its own monotonic clock. The holder counts the duration from before the write
// that renewed the lease. So two holders cannot hold valid leases at the same
// time, unless a process stops between its check of the lease and its order.
// The fencing number and reading back the engine's state cover that case.
type Lease struct {
	store    platform.Store
	clock    clockwork.Clock
	name     string
	record   leaseRecord
	duration time.Duration

	state *chart.Machine
	// version is the object version of the last write of this instance, and
	// fence that of the first write of the current term. Both are 0 when the
	// lease is not held.
	version   uint64
	fence     uint64
	expiresAt time.Time

	observedVersion uint64
	observedSince   time.Time
}

// LeaseConfig configures a lease. Holder and Incarnation identify the instance
// that tries to acquire it.
type LeaseConfig struct {
	Store       platform.Store
	Clock       clockwork.Clock
	Name        string
	Holder      string
	Incarnation uint64
	// Duration is the time for which the lease is valid after a renewal.
	Duration time.Duration
}

// NewLease returns a lease that is not held. It fails if the lease state chart
// is not valid.
func NewLease(config LeaseConfig) (*Lease, error) {
	states, err := chart.Load("lease")
	if err != nil {
		return nil, err
	}
	if err := states.Require(leaseEvents, []string{flagHeld}); err != nil {
		return nil, err
	}
	return &Lease{
		state:    states.NewMachine(),
		store:    config.Store,
		clock:    config.Clock,
		name:     config.Name,
		record:   leaseRecord{Holder: config.Holder, Incarnation: config.Incarnation},
		duration: config.Duration,
	}, nil
}

// Held reports whether this instance holds the lease and it has not expired.
func (l *Lease) Held() bool {
	return l.state.HasFlag(flagHeld) && l.clock.Now().Before(l.expiresAt)
}

// Fence returns the fencing number of the current term. It increases with every
// term, because the object versions of the platform increase.
func (l *Lease) Fence() uint64 { return l.fence }

// Renew acquires the lease or extends it. It returns nil when the lease is
// held, an error of kind Conflict when another instance holds it, and one of
// kind PlatformUnavailable when the platform does not answer.
func (l *Lease) Renew(ctx context.Context) error {
	if l.state.HasFlag(flagHeld) && !l.Held() {
		l.clear(eventExpire)
	}
	if l.state.HasFlag(flagHeld) {
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
	if !l.canTakeOver(object) {
		return errkind.New(errkind.Conflict, "lease %s is held by another instance", l.name)
	}
	return l.acquire(ctx, platform.Precondition{Version: object.Version})
}

func (l *Lease) acquire(ctx context.Context, pre platform.Precondition) error {
	l.state.Fire(eventAcquire)
	err := l.write(ctx, pre)
	if err != nil {
		l.clear(eventLose)
	}
	return err
}

// Release releases the lease for good, so that another instance need not wait
// for it to expire.
func (l *Lease) Release(ctx context.Context) error {
	version := l.version
	l.clear(eventRelease)
	if version == 0 {
		return nil
	}
	body := l.record
	body.Released = true
	encoded, err := json.Marshal(body)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "cannot encode lease %s", l.name)
	}
	object := platform.Object{Kind: LeaseKind, Name: l.name, Body: encoded}
	_, err = l.store.Put(ctx, object, platform.Precondition{Version: version})
	return err
}

// canTakeOver reports whether the lease was released, names this incarnation as
// its holder, as after a lost answer to a write or an expiry here, or was not
// renewed for a whole lease duration.
func (l *Lease) canTakeOver(object platform.Object) bool {
	var body leaseRecord
	if err := json.Unmarshal(object.Body, &body); err == nil {
		own := body.Holder == l.record.Holder && body.Incarnation == l.record.Incarnation
		if body.Released || own {
			return true
		}
	}
	now := l.clock.Now()
	if object.Version != l.observedVersion {
		l.observedVersion = object.Version
		l.observedSince = now
		return false
	}
	return now.Sub(l.observedSince) >= l.duration
}

// write stores the lease and, on success, extends its validity.
func (l *Lease) write(ctx context.Context, pre platform.Precondition) error {
	l.record.Attempt++
	encoded, err := json.Marshal(l.record)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "cannot encode lease %s", l.name)
	}
	started := l.clock.Now()
	object := platform.Object{Kind: LeaseKind, Name: l.name, Body: encoded}
	version, err := l.store.Put(ctx, object, pre)
	if errkind.KindOf(err) == errkind.PlatformUnavailable {
		version, err = l.readBack(ctx, err)
	}
	if errkind.KindOf(err) == errkind.Conflict {
		l.clear(eventLose)
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
	l.expiresAt = started.Add(l.duration)
	return nil
}

// readBack resolves a write whose answer was lost. The attempt number
// distinguishes the last write of this instance from earlier ones.
func (l *Lease) readBack(ctx context.Context, cause error) (uint64, error) {
	object, err := l.store.Get(ctx, LeaseKind, l.name)
	if err != nil {
		return 0, cause
	}
	var body leaseRecord
	if err := json.Unmarshal(object.Body, &body); err != nil || body != l.record {
		return 0, cause
	}
	return object.Version, nil
}

// clear fires an event that ends the current term or attempt.
func (l *Lease) clear(event chart.Event) {
	l.state.Fire(event)
	l.version = 0
	l.fence = 0
	l.expiresAt = time.Time{}
}
