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

// EngineClient reads the state of engines and sends them orders.
type EngineClient interface {
	Load(ctx context.Context, address string) (upstream.Load, error)
	GiveOrder(ctx context.Context, address string, order upstream.Order) error
}

// ManagerConfig configures a Manager.
type ManagerConfig struct {
	// Domain is the failure domain whose engines are managed.
	Domain string
	Lease  *Lease
	Source conf.Source
	// IsCandidate reports whether this instance should try to acquire the lease,
	// so that not all members of the failure domain poll it. Nil means always.
	IsCandidate func() bool
	// Refresh updates the configuration to the current state of the platform.
	Refresh func(ctx context.Context) error
	Engines EngineClient
	Clock   clockwork.Clock
	Log     logr.Logger
	// RoundInterval is the time between two reconciliation rounds.
	RoundInterval time.Duration
	// CallTimeout limits a call to the platform or to an engine.
	CallTimeout time.Duration
	// MaxReadsPerRound limits the engines whose state is read in one round; the
	// next round continues with the others. A read is 378 bytes, so 100 engines
	// every few seconds would exceed the instance's budget of 5 KB/s. Zero
	// means no limit.
	MaxReadsPerRound int
	// MaxOrdersPerRound limits the orders in one round, because the weight
	// store from which engines load models is rate-limited.
	MaxOrdersPerRound int
}

// Manager compares what each engine of a failure domain has loaded with its
// record while it holds the lease, and sends an order to each engine that
// differs.
//
// An order contains the whole desired state of an engine. A late order of a
// former holder is therefore overwritten completely when the current holder
// next reads the engine's state, also on engines that do not check the fencing
// number.
type Manager struct {
	config ManagerConfig
	// refreshedForFence is the fencing number of the last term in which Refresh
	// succeeded.
	refreshedForFence uint64
	// nextEngine, modulo the number of engines, is the position of the engine
	// with which the next round begins.
	nextEngine int
}

// NewManager returns a manager. Run starts its rounds.
func NewManager(config ManagerConfig) *Manager {
	return &Manager{config: config}
}

// Run runs a reconciliation round every RoundInterval until ctx ends, then
// releases the lease.
func (m *Manager) Run(ctx context.Context) {
	ticker := m.config.Clock.NewTicker(m.config.RoundInterval)
	defer ticker.Stop()
	for {
		m.RunOnce(ctx)
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

// RunOnce renews the lease and, if it is held, reconciles up to
// MaxReadsPerRound engines.
func (m *Manager) RunOnce(ctx context.Context) {
	if !m.isCandidate() || !m.renew(ctx) {
		return
	}
	if !m.refresh(ctx) {
		return
	}
	snapshot := m.config.Source.Snapshot()
	names := m.engineNames(snapshot)
	reads := len(names)
	if m.config.MaxReadsPerRound > 0 {
		reads = min(reads, m.config.MaxReadsPerRound)
	}
	budget := m.config.MaxOrdersPerRound
	for ; reads > 0 && budget > 0; reads-- {
		name := names[m.nextEngine%len(names)]
		m.nextEngine++
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

// refresh updates the configuration once per term: a new holder may have an
// older one than the previous holder, and must not send orders based on older
// records.
func (m *Manager) refresh(ctx context.Context) bool {
	if m.refreshedForFence == m.config.Lease.Fence() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.CallTimeout)
	defer cancel()
	fence := m.config.Lease.Fence()
	if err := m.config.Refresh(ctx); err != nil {
		m.config.Log.Info("no orders before the configuration is current", "domain", m.config.Domain, "err", err.Error())
		return false
	}
	m.refreshedForFence = fence
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

// reconcile sends an order if the engine's state differs from its record, and
// reports whether it sent one.
func (m *Manager) reconcile(ctx context.Context, snapshot *conf.Snapshot, up *record.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, m.config.CallTimeout)
	defer cancel()
	load, err := m.config.Engines.Load(ctx, up.Address)
	if err != nil || load.Leaving {
		return false
	}
	desired := desiredState(snapshot, up)
	if matchesDesired(load, desired) {
		return false
	}
	if !m.config.Lease.Held() {
		return false
	}
	desired.Fence = m.config.Lease.Fence()
	err = m.config.Engines.GiveOrder(ctx, up.Address, desired)
	m.config.Log.Info("order given", "upstream", up.Name, "models", desired.Models, "role", desired.Role,
		"fence", desired.Fence, "reason", "engine state differs from its record", "accepted", err == nil)
	return true
}

// desiredState returns the state that the records specify for an engine.
func desiredState(snapshot *conf.Snapshot, up *record.Upstream) upstream.Order {
	order := upstream.Order{Role: up.Role}
	if snapshot.WithdrawnUpstreams[up.Name] {
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

// matchesDesired reports whether the engine is in the desired state. If its
// record has no role, any role matches.
func matchesDesired(load upstream.Load, desired upstream.Order) bool {
	loaded := slices.Clone(load.LoadedModels)
	sort.Strings(loaded)
	sameRole := desired.Role == "" || load.Role == desired.Role
	return sameRole && slices.Equal(loaded, desired.Models)
}
