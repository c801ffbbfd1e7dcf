package gateway

import (
	"errors"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
	"github.com/rosemarywing/rosemarywing/pkg/traffic"
)

// noteStorePosition records the position of a copy. If the store has returned from an older
// copy, what this instance has written may be lost, and is written again. The copies of the
// kinds notice a return one after the other; the first one counts.
func (c *controlLoop) noteStorePosition(update storesync.Update) {
	g, previous := c.g, c.storePosition
	g.store.Observe(update.Era)
	if !previous.Before(update.Position) {
		return
	}
	c.storePosition = update.Position
	if previous.Revision == 0 || update.Era == previous.Era {
		return
	}
	g.metrics.storeReturns.Inc(1)
	g.log.Info("store returned from an older copy", "kind", update.Kind, "old_era", previous.Era, "era", update.Era,
		"old_revision", previous.Revision, "revision", update.Revision)
	c.usagePosition = storesync.Position{}
	c.quotas.ForgetRecorded()
	c.rollouts.holdNewVersions(g.now())
	select {
	case g.storeReturned <- struct{}{}:
	default:
	}
}

// applyConfigUpdate puts a newer configuration in force and records when the one
// in force was last known to be current.
func (c *controlLoop) applyConfigUpdate(update storesync.Update) {
	g := c.g
	for _, object := range update.Changed {
		if object.Name != g.objectKinds.ConfigName {
			continue
		}
		var config traffic.Config
		err := decodeSpec(g, object, func(spec []byte) (err error) {
			config, err = g.recordDecoder.Config(spec)
			return err
		})
		c.configUnreadable = err != nil
		if err != nil {
			g.log.Error(err, "configuration cannot be read; the last one stays in force", "revision", object.Revision)
			continue
		}
		c.setConfig(config, object.Revision, update.AsOf)
	}
	if !c.configUnreadable {
		g.configCurrentAt.Store(int64(update.AsOf))
	}
	if update.Recovered {
		g.log.Info("dependency regained", "dependency", "store", "kind", update.Kind)
	}
}

func (c *controlLoop) setConfig(config traffic.Config, revision uint64, asOf time.Duration) {
	g := c.g
	if current := g.table.Load(); current != nil && config.Version <= current.Version() {
		// An older version could restore a revoked key or a removed route.
		return
	}
	g.table.Store(traffic.NewTable(config))
	for name, pool := range c.pools {
		pool.SetService(c.serviceSpec(name))
	}
	for _, team := range config.Teams {
		c.teamNames[loadshare.ShortHash(team.Name)] = team.Name
	}
	c.applyPendingReports()
	g.metrics.configVersion.Update(int64(config.Version))
	g.log.Info("configuration in force", "version", config.Version, "revision", revision,
		"routes", len(config.Routes), "services", len(config.Services), "teams", len(config.Teams),
		"age_ms", (g.now() - asOf).Milliseconds())
}

// applyUpstreamUpdate applies changed and deleted upstream records.
func (c *controlLoop) applyUpstreamUpdate(update storesync.Update) {
	if update.Recovered {
		c.g.log.Info("dependency regained", "dependency", "store", "kind", update.Kind)
	}
	for _, object := range update.Changed {
		c.setUpstream(object, storesync.Position{Era: update.Era, Revision: object.Revision})
	}
	for _, name := range update.Deleted {
		c.reportOrder.Remove(c.g.now(), name)
		c.removeUpstream(name, "its entry was removed")
	}
	for _, info := range c.reportOrder.Confirm(c.g.now(), update.AsOf) {
		c.g.log.Info("earlier upstream report is used, since no later one has replaced it", "upstream", info.ID, "incarnation", info.Incarnation, "sequence", info.Sequence)
		c.useUpstream(info, storesync.Position{})
	}
}

// decodeSpec decodes a store object. An object whose decoding panics counts as
// malformed, so that others in the same update are applied.
func decodeSpec(g *Gateway, object storesync.Object, decode func(spec []byte) error) error {
	var err error
	return errors.Join(g.contain("store object", func() string { return string(object.Spec) }, func() { err = decode(object.Spec) }), err)
}

// setUpstream adds or replaces an upstream by its record. If the record is malformed, the
// upstream is removed; if the upstream has made a later report, the record changes nothing.
func (c *controlLoop) setUpstream(object storesync.Object, position storesync.Position) {
	var info admission.UpstreamInfo
	err := decodeSpec(c.g, object, func(spec []byte) (err error) {
		info, err = c.g.recordDecoder.Upstream(object.Name, spec)
		return err
	})
	if err != nil {
		c.g.log.Info("upstream entry ignored", "upstream", object.Name, "revision", object.Revision, "error", err.Error())
		c.reportOrder.Remove(c.g.now(), object.Name)
		c.removeUpstream(object.Name, "its entry is malformed")
		return
	}
	if !c.reportOrder.Accept(c.g.now(), info) {
		c.ignoreEarlierReport(info, object.Revision)
		return
	}
	c.useUpstream(info, position)
}

// ignoreEarlierReport records that the entry of an upstream was overwritten by an earlier
// report. If the process is known to leave, the other instances are told, since an instance
// that starts now reads nothing else.
func (c *controlLoop) ignoreEarlierReport(info admission.UpstreamInfo, revision uint64) {
	latest := c.reportOrder.Latest(info.ID)
	c.g.metrics.earlierReports.Inc(1)
	c.g.log.Info("earlier upstream report ignored", "upstream", info.ID, "leaving", info.Leaving, "incarnation", info.Incarnation, "sequence", info.Sequence,
		"revision", revision, "latest_leaving", latest.Leaving, "latest_incarnation", latest.Incarnation, "latest_sequence", latest.Sequence)
	if since, leaves := c.reportOrder.LeavingSince(info.Process()); leaves {
		c.recordLeaving(c.g.now(), since, keyOf(info.Process()), "")
	}
}

// useUpstream adds or replaces an upstream by its latest report.
func (c *controlLoop) useUpstream(info admission.UpstreamInfo, position storesync.Position) {
	if c.rollouts.mustHold(c.g.now(), info, position) {
		c.removeUpstream(info.ID, "orders that precede its version may not be known yet")
		c.holdUpstream(heldUpstream{info: info, position: position})
		return
	}
	c.releaseUpstream(info.ID)
	if oldService, known := c.services[info.ID]; known && oldService != info.Service {
		c.removeUpstream(info.ID, "it now belongs to another service")
	}
	c.services[info.ID], c.upstreams[info.ID] = info.Service, info
	c.upstreamNames[loadshare.ShortHash(info.ID)] = info.ID
	c.pool(info.Service).SetUpstream(info)
	c.applyLeaving(info.Process())
	c.attributeLastWord(info)
	c.g.log.Info("upstream entry", "upstream", info.ID, "service", info.Service, "address", info.Address,
		"domain", info.Domain, "leaving", info.Leaving, "incarnation", info.Incarnation, "sequence", info.Sequence, "revision", position.Revision)
}

func (c *controlLoop) removeUpstream(name, reason string) {
	c.releaseUpstream(name)
	service, known := c.services[name]
	if !known {
		return
	}
	delete(c.services, name)
	delete(c.upstreams, name)
	delete(c.upstreamNames, loadshare.ShortHash(name))
	c.pool(service).RemoveUpstream(name)
	c.g.log.Info("upstream removed", "upstream", name, "service", service, "reason", reason)
}
