package traffic

import (
	"crypto/sha256"
	"sort"
	"strings"
)

// Table is an index of one configuration.
type Table struct {
	config       Config
	routesByHost map[string][]*Route
	services     map[string]*Service
	// teamsByKey is keyed by digests of the teams' API keys, so that the
	// time of a lookup does not reveal how much of a guessed key is correct.
	teamsByKey map[[sha256.Size]byte]*Team
}

// NewTable indexes a configuration.
func NewTable(config Config) *Table {
	t := &Table{
		config:       config,
		routesByHost: make(map[string][]*Route),
		services:     make(map[string]*Service, len(config.Services)),
		teamsByKey:   make(map[[sha256.Size]byte]*Team),
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		t.routesByHost[host] = append(t.routesByHost[host], route)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.Teams {
		for _, key := range config.Teams[i].Keys {
			t.teamsByKey[sha256.Sum256([]byte(key))] = &config.Teams[i]
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.config.Limits }

// Teams returns all teams; they must not be changed.
func (t *Table) Teams() []Team { return t.config.Teams }

// Services returns all services; they must not be changed.
func (t *Table) Services() []Service { return t.config.Services }

// Match returns the route of the host with the longest prefix of path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.routesByHost[strings.ToLower(withoutPort(host))] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		return host[:i]
	}
	return host
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Route returns the route with the given name, or nil.
func (t *Table) Route(name string) *Route {
	for i := range t.config.Routes {
		if t.config.Routes[i].Name == name {
			return &t.config.Routes[i]
		}
	}
	return nil
}

// KeysRequired reports whether requests on routes that are not public need a key.
func (t *Table) KeysRequired() bool { return len(t.config.Teams) > 0 }

// TeamByKey returns the team that holds the key, or nil.
func (t *Table) TeamByKey(key string) *Team {
	return t.teamsByKey[sha256.Sum256([]byte(key))]
}

// PickService returns the service for a request, chosen by weight; draw is uniform in
// [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := draw * float64(total)
	for _, target := range r.Targets {
		remaining -= float64(target.Weight)
		if remaining < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
