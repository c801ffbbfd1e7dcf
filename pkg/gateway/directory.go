package gateway

import (
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
	"github.com/rosemarywing/rosemarywing/pkg/traffic"
)

// updateConfig puts a newer configuration in force, and notes that the one in
// force was current.
func (c *control) updateConfig(update storesync.Update) {
	g := c.g
	readable := true
	for _, object := range update.Objects {
		if object.Name != g.kinds.ConfigName {
			continue
		}
		config, err := g.records.Config(object.Spec)
		if err != nil {
			// The version in force may be too old to show which keys are valid.
			readable = false
			g.log.Error(err, "configuration cannot be read; the last one stays in force", "revision", object.Revision)
			continue
		}
		c.setConfig(config, object.Revision, update.AsOf)
	}
	if readable {
		g.asOf.Store(int64(update.AsOf))
	}
	if update.Regained {
		g.log.Info("dependency regained", "dependency", "store", "kind", update.Kind)
	}
}

func (c *control) setConfig(config traffic.Config, revision uint64, asOf time.Duration) {
	g := c.g
	if current := g.table.Load(); current != nil && config.Version <= current.Version() {
		// Versions only grow; an older one would bring back what was withdrawn.
		return
	}
	g.table.Store(traffic.NewTable(config))
	for name, pool := range c.pools {
		pool.SetService(c.describe(name))
	}
	for _, team := range config.Teams {
		c.teamNames[loadshare.ShortHash(team.Name)] = team.Name
	}
	g.metrics.configVersion.Update(int64(config.Version))
	g.log.Info("configuration in force", "version", config.Version, "revision", revision,
		"routes", len(config.Routes), "services", len(config.Services), "teams", len(config.Teams),
		"age_ms", (g.now() - asOf).Milliseconds())
}

// updateUpstreams follows the upstreams' entries.
func (c *control) updateUpstreams(update storesync.Update) {
	now := c.g.now()
	if update.Regained {
		c.regained = now
		c.g.log.Info("dependency regained", "dependency", "store", "kind", update.Kind)
	}
	seen := make(map[string]bool, len(update.Objects))
	for _, object := range update.Objects {
		seen[object.Name] = c.setUpstream(object)
	}
	for _, name := range update.Deleted {
		c.missing(now, name)
	}
	if !update.Complete {
		return
	}
	for name := range c.services {
		if !seen[name] {
			c.missing(now, name)
		}
	}
}

// setUpstream takes in an entry; it reports whether the entry names an upstream.
func (c *control) setUpstream(object storesync.Object) bool {
	info, err := c.g.records.Upstream(object.Name, object.Spec)
	if err != nil {
		c.g.log.Info("upstream entry ignored", "upstream", object.Name, "revision", object.Revision, "error", err.Error())
		c.remove(object.Name, "its entry is malformed")
		return false
	}
	delete(c.removals, info.ID)
	if old, known := c.services[info.ID]; known && old != info.Service {
		c.remove(info.ID, "it serves another service now")
	}
	c.services[info.ID] = info.Service
	c.upstreamNames[loadshare.ShortHash(info.ID)] = info.ID
	c.pool(info.Service).SetUpstream(info)
	c.g.log.Info("upstream entry", "upstream", info.ID, "service", info.Service, "address", info.Address,
		"domain", info.Domain, "leaving", info.Leaving, "revision", object.Revision)
	return true
}

// missing notes that an upstream has no entry. One that lapsed while the store
// was away may be back soon.
func (c *control) missing(now time.Duration, name string) {
	if _, known := c.services[name]; !known {
		return
	}
	if c.regained > 0 && now-c.regained < returnGrace {
		if _, noted := c.removals[name]; !noted {
			c.removals[name] = c.regained + returnGrace
		}
		return
	}
	c.remove(name, "its entry was removed")
}

func (c *control) removeGone(now time.Duration) {
	for name, at := range c.removals {
		if now >= at {
			c.remove(name, "its entry did not come back after the store's return")
		}
	}
}

func (c *control) remove(name, reason string) {
	delete(c.removals, name)
	service, known := c.services[name]
	if !known {
		return
	}
	delete(c.services, name)
	delete(c.upstreamNames, loadshare.ShortHash(name))
	c.pool(service).RemoveUpstream(name)
	c.g.log.Info("upstream removed", "upstream", name, "service", service, "reason", reason)
}
