package order

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// Engines is the part of the engine interface that the manager uses.
type Engines interface {
	Load(ctx context.Context, address string) (upstream.Load, error)
	GiveOrder(ctx context.Context, address string, order upstream.Order) error
}

// Config assembles a manager.
type Config struct {
	// Domain is the failure domain whose engines get orders.
	Domain string
	Lease  *Lease
	Source conf.Source
	// IsCandidate tells whether this instance should try to get the lease, so
	// that not every member of the domain polls it. Nil means always.
	IsCandidate func() bool
	// Refresh brings the configuration up to the platform's current state.
	Refresh func(ctx context.Context) error
	Engines Engines
	Clock   clockwork.Clock
	Log     logr.Logger
	// Period is the time between two rounds.
	Period time.Duration
	// CallTimeout limits a call to the platform or to an engine.
	CallTimeout time.Duration
	// MaxReads limits the engines whose state is read in one round; the next
	// round goes on with the others. A read is 378 bytes, so that 100 engines
	// every few seconds would exceed the instance's budget of 5 KB/s. Zero
	// reads all.
	MaxReads int
	// MaxOrders limits the orders in one round, because the weight store that
	// the engines load from is rate-limited.
	MaxOrders int
}

// Manager compares what each engine of a failure domain has loaded with what
// the records say, and orders the difference, while it holds the lease.
//
// An order names the whole desired state of an engine. An order that a former
// holder sent late is therefore overwritten as a whole when the present holder
// next reads the engine's state back, also on engines that ignore the fencing
// number.
type Manager struct {
	config Config
	// refreshedFence is the term for which Refresh succeeded.
	refreshedFence uint64
	// next is the position of the engine with which the next round begins.
	next int
}

// NewManager returns a manager.
func NewManager(config Config) *Manager {
	return &Manager{config: config}
}

// Run runs a round each period until ctx ends, then releases the lease.
func (m *Manager) Run(ctx context.Context) {
	ticker := m.config.Clock.NewTicker(m.config.Period)
	defer ticker.Stop()
	for {
		m.Round(ctx)
		select {
		case <-ctx.Done():
			m.release(ctx)
			return
		case <-ticker.Chan():
		}
	}
}

func (m *Manager) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.config.CallTimeout)
	defer cancel()
	if err := m.config.Lease.Release(ctx); err != nil {
		m.config.Log.Info("order lease not released", "domain", m.config.Domain, "err", err.Error())
	}
}

// Round renews the lease and, if it is held, reconciles every engine once.
func (m *Manager) Round(ctx context.Context) {
	if !m.isCandidate() || !m.renew(ctx) {
		return
	}
	if !m.refresh(ctx) {
		return
	}
	snapshot := m.config.Source.Snapshot()
	names := m.engineNames(snapshot)
	reads := len(names)
	if m.config.MaxReads > 0 {
		reads = min(reads, m.config.MaxReads)
	}
	budget := m.config.MaxOrders
	for ; reads > 0 && budget > 0; reads-- {
		name := names[m.next%len(names)]
		m.next++
		if m.reconcile(ctx, snapshot, snapshot.Upstreams[name]) {
			budget--
		}
	}
}

func (m *Manager) isCandidate() bool {
	return m.config.IsCandidate == nil || m.config.IsCandidate()
}

func (m *Manager) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, m.config.CallTimeout)
	defer cancel()
	err := m.config.Lease.Renew(ctx)
	if err != nil && errkind.KindOf(err) != errkind.Conflict {
		m.config.Log.Info("order lease not renewed", "domain", m.config.Domain, "err", err.Error())
	}
	return m.config.Lease.Held()
}

// refresh reads the configuration once per term: a new holder may know less
// than the one before, and must not give orders from older records.
func (m *Manager) refresh(ctx context.Context) bool {
	if m.refreshedFence == m.config.Lease.Fence() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.CallTimeout)
	defer cancel()
	fence := m.config.Lease.Fence()
	if err := m.config.Refresh(ctx); err != nil {
		m.config.Log.Info("no orders before the configuration is current", "domain", m.config.Domain, "err", err.Error())
		return false
	}
	m.refreshedFence = fence
	return true
}

func (m *Manager) engineNames(snapshot *conf.Snapshot) []string {
	var names []string
	for name, up := range snapshot.Upstreams {
		if up.Type == record.TypeEngine && up.Domain == m.config.Domain {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// reconcile gives an order if the engine's state differs, and reports whether
// an order was given.
func (m *Manager) reconcile(ctx context.Context, snapshot *conf.Snapshot, up *record.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, m.config.CallTimeout)
	defer cancel()
	load, err := m.config.Engines.Load(ctx, up.Address)
	if err != nil || load.Leaving {
		return false
	}
	wanted := desired(snapshot, up)
	if matches(load, wanted) {
		return false
	}
	if !m.config.Lease.Held() {
		return false
	}
	wanted.Fence = m.config.Lease.Fence()
	err = m.config.Engines.GiveOrder(ctx, up.Address, wanted)
	m.config.Log.Info("order given", "upstream", up.Name, "models", wanted.Models, "role", wanted.Role,
		"fence", wanted.Fence, "reason", "engine state differs from its record", "accepted", err == nil)
	return true
}

// desired returns the state that the records ask of an engine.
func desired(snapshot *conf.Snapshot, up *record.Upstream) upstream.Order {
	order := upstream.Order{Role: up.Role}
	if snapshot.Withdrawn[up.Name] {
		return order
	}
	for _, model := range up.Models {
		if !snapshot.WithdrawnVersions[model] {
			order.Models = append(order.Models, model)
		}
	}
	sort.Strings(order.Models)
	return order
}

// matches reports whether the engine's state is the desired one. A record
// without a role leaves the role to the engine.
func matches(load upstream.Load, wanted upstream.Order) bool {
	loaded := slices.Clone(load.LoadedModels)
	sort.Strings(loaded)
	sameRole := wanted.Role == "" || load.Role == wanted.Role
	return sameRole && slices.Equal(loaded, wanted.Models)
}
