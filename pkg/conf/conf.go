// Package conf keeps the configuration of an instance: the objects that it
// knows, merged by version, and immutable snapshots for the traffic path.
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
	// Version is the platform's version; versions grow over all objects.
	Version uint64
	// Deleted marks a tombstone.
	Deleted bool
	// Body is the JSON of a record.Envelope; empty in a tombstone.
	Body []byte
}

// Snapshot is an immutable view of the configuration in force.
// Readers must not modify what it holds.
type Snapshot struct {
	// Digest identifies the set of objects and their versions.
	Digest uint64
	// NewestVersion is the highest object version applied.
	NewestVersion uint64
	// Usable is false until the configuration came from the platform, or from
	// a peer whose configuration was usable.
	Usable bool

	Tiers     map[string]*record.Tier
	Teams     map[string]*record.Team
	Models    map[string]*record.Model
	Upstreams map[string]*record.Upstream
	// Withdrawn holds the upstreams that a withdrawal names.
	Withdrawn map[string]bool
	// WithdrawnVersions holds withdrawn model versions, as model@version.
	WithdrawnVersions map[string]bool
	// TeamByKey finds a team by the hex SHA-256 sum of an API key.
	TeamByKey map[string]*record.Team
	// Pools holds the pools by name.
	Pools map[string]*Pool
	// PoolOf gives the pool of an upstream.
	PoolOf map[string]string

	// withdrawals holds the withdrawals by name, for the next snapshot.
	withdrawals map[string]*record.Withdrawal
}

// Pool is a set of upstreams of one failure domain that share models, or
// that provide one service.
type Pool struct {
	// Name is the failure domain, a slash, and the first model or service by name.
	Name   string
	Domain string
	// Upstreams are the names of the upstreams, sorted.
	Upstreams []string
	// Targets are the models ("model:NAME") and services ("service:NAME") served.
	Targets []string
}

// Serves reports whether the pool serves a target.
func (p *Pool) Serves(target string) bool { return slices.Contains(p.Targets, target) }

// Servable reports whether configuration allows new work for the given model
// version on the upstream. An empty version asks for the upstream alone.
func (s *Snapshot) Servable(upstream, modelVersion string) bool {
	if s.Upstreams[upstream] == nil || s.Withdrawn[upstream] {
		return false
	}
	return modelVersion == "" || !s.WithdrawnVersions[modelVersion]
}

// Source gives the configuration in force; it is safe for concurrent use.
type Source interface {
	Snapshot() *Snapshot
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
