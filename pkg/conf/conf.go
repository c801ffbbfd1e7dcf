// Package conf holds the configuration of an instance. A Cache merges
// configuration objects by version and publishes immutable snapshots; a Syncer
// keeps the cache up to date from the platform and from other instances.
package conf

import (
	"slices"

	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// Key names one configuration object.
type Key struct {
	Kind record.Kind
	Name string
}

// Object is one configuration object as the platform stores it.
type Object struct {
	Key Key
	// Version is set by the platform and increases across all objects.
	Version uint64
	// Deleted marks a tombstone.
	Deleted bool
	// Body is the JSON of a record.Envelope; empty in a tombstone.
	Body []byte
}

// Snapshot is an immutable view of the configuration in force.
// Readers must not modify what it holds.
type Snapshot struct {
	// Digest is a hash over the keys and versions of all objects that exist.
	Digest uint64
	// NewestVersion is the highest object version merged.
	NewestVersion uint64
	// Usable is false until the whole configuration has been read from the
	// platform or from a peer whose configuration is usable.
	Usable bool

	Tiers     map[string]*record.Tier
	Teams     map[string]*record.Team
	Models    map[string]*record.Model
	Upstreams map[string]*record.Upstream
	// WithdrawnUpstreams holds the upstreams that a withdrawal selects by name
	// or batch.
	WithdrawnUpstreams map[string]bool
	// WithdrawnVersions holds withdrawn model versions, as model@version.
	WithdrawnVersions map[string]bool
	// TeamByKey maps the hex SHA-256 sum of an API key to its team.
	TeamByKey map[string]*record.Team
	// Pools maps pool names to pools.
	Pools map[string]*Pool
	// PoolByUpstream maps an upstream to the name of its pool.
	PoolByUpstream map[string]string

	// withdrawals maps names to withdrawals. The withdrawn sets of the next
	// snapshot are computed from this map and its changes.
	withdrawals map[string]*record.Withdrawal
}

// Pool is a set of upstreams in one failure domain that are connected through
// shared models, or that provide one service.
type Pool struct {
	// Name is the failure domain, a slash, and the first of the sorted targets
	// without its prefix. A service with the name of a model of the domain keeps
	// the prefix.
	Name   string
	Domain string
	// Upstreams are the names of the upstreams, sorted.
	Upstreams []string
	// Targets are the models ("model:NAME") and services ("service:NAME") served.
	Targets []string
}

// Serves reports whether the pool serves a target.
func (p *Pool) Serves(target string) bool { return slices.Contains(p.Targets, target) }

// IsServable reports whether the upstream may get new requests for the model
// version. An empty version checks the upstream only.
func (s *Snapshot) IsServable(upstream, modelVersion string) bool {
	if s.Upstreams[upstream] == nil || s.WithdrawnUpstreams[upstream] {
		return false
	}
	return modelVersion == "" || !s.WithdrawnVersions[modelVersion]
}

// Source provides the configuration in force. Implementations are safe for
// concurrent use.
type Source interface {
	Snapshot() *Snapshot
	// Changed returns a channel that is closed when the next snapshot is published.
	Changed() <-chan struct{}
}
