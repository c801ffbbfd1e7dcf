package gateway

import (
	"context"
	"math"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/quota"
)

// report tells the peers what has changed, or that this instance lives.
func (c *control) report(now time.Duration) {
	since := now - c.reported
	if since < reportPause || (!c.changed && since < idleTick) {
		return
	}
	targets := c.peers.Targets(now)
	c.reported, c.changed = now, false
	if len(targets) == 0 {
		return
	}
	content, err := loadshare.Encode(c.buildReport(now))
	if err != nil {
		c.g.log.Error(err, "report cannot be encoded")
		return
	}
	for _, target := range targets {
		if err := c.g.socket.Send(content, target); err != nil {
			c.g.metrics.reportsUnsent.Inc(1)
			c.g.log.V(1).Info("report not sent", "peer", target.String(), "error", err.Error())
		}
	}
	c.g.metrics.reportsSent.Inc(int64(len(targets)))
	c.g.metrics.reportBytes.Inc(int64(len(targets) * len(content)))
}

func (c *control) buildReport(now time.Duration) loadshare.Report {
	c.sequence++
	report := loadshare.Report{
		Instance: c.g.settings.Instance.Name, Boot: c.g.boot, Sequence: c.sequence,
		Address: c.g.socket.LocalAddress(), Leaving: c.g.leaving.Load(), Cold: c.teams.Cold(now),
		Strikes: c.strikes.recent(now),
	}
	loads := map[string]admission.Load{}
	for _, pool := range c.pools {
		pool.OwnLoad(loads)
	}
	for id, load := range loads {
		report.Upstreams = append(report.Upstreams, loadshare.UpstreamUse{
			Upstream: loadshare.ShortHash(id), InFlight: clampTo[uint16](load.InFlight),
			AwaitedTokens: clampTo[uint32](load.AwaitedTokens),
			SpeedPercent:  clampTo[uint16](int(load.Speed * percent)), Samples: clampTo[uint8](int(load.Samples)),
		})
	}
	for team, used := range c.teams.Used(now) {
		report.Teams = append(report.Teams, loadshare.TeamUse{Team: loadshare.ShortHash(team), Used: clampTo[uint32](int(math.Ceil(used)))})
	}
	return report
}

const percent = 100

func clampTo[T uint8 | uint16 | uint32](n int) T {
	return T(min(uint64(max(0, n)), uint64(^T(0))))
}

// peerReport is a report that another instance has sent.
type peerReport struct{ report loadshare.Report }

func (m peerReport) apply(c *control) {
	now := c.g.now()
	current, regained, err := c.peers.Heard(now, m.report)
	if err != nil {
		c.g.log.Info("report ignored", "peer", m.report.Instance, "error", err.Error())
		return
	}
	if !current {
		return
	}
	if regained {
		c.changed = true
		c.g.log.Info("peer heard", "peer", m.report.Instance, "address", m.report.Address, "boot", m.report.Boot)
	}
	loads := make(map[string]admission.Load, len(m.report.Upstreams))
	for _, use := range m.report.Upstreams {
		loads[c.upstreamNames[use.Upstream]] = admission.Load{
			InFlight: int(use.InFlight), AwaitedTokens: int(use.AwaitedTokens),
			Speed: float64(use.SpeedPercent) / percent, Samples: float64(use.Samples),
		}
	}
	for _, pool := range c.pools {
		pool.SetPeerLoad(now, m.report.Instance, loads)
	}
	used := make(map[string]float64, len(m.report.Teams))
	for _, use := range m.report.Teams {
		used[c.teamNames[use.Team]] = float64(use.Used)
	}
	c.teams.Report(now, m.report.Instance, quota.Use{Boot: m.report.Boot, Cold: m.report.Cold, Used: used})
	for _, s := range m.report.Strikes {
		c.strikes.learn(now, m.report.Instance, s)
	}
}

// peerRecord is an instance that the store names.
type peerRecord struct {
	name   string
	record InstanceRecord
}

func (m peerRecord) apply(c *control) {
	now := c.g.now()
	added, err := c.peers.Add(now, m.name, m.record.PeerAddress)
	if err != nil {
		c.g.log.Info("instance record ignored", "peer", m.name, "error", err.Error())
		return
	}
	if added {
		c.teams.Known(now, m.name)
		c.changed = true
		c.g.log.Info("peer known", "peer", m.name, "address", m.record.PeerAddress)
	}
}

// Times of the registration in the store.
const (
	// registerEvery is the pause between two readings of the instance list.
	// Peers usually learn of each other by reports; the list is for those that
	// started while others were out of reach.
	registerEvery = 15 * time.Second
	registerRetry = time.Second
	storeTimeout  = 2 * time.Second
)

// register writes this instance's record and reads those of the others.
func (g *Gateway) register(ctx context.Context) {
	written := false
	for ctx.Err() == nil {
		pause := registerEvery
		if err := g.registerOnce(ctx, !written); err != nil {
			g.log.Info("instance list not exchanged", "error", err.Error())
			pause = registerRetry
		} else {
			written = true
		}
		select {
		case <-ctx.Done():
		case <-g.clock.After(pause):
		}
	}
}

func (g *Gateway) registerOnce(ctx context.Context, write bool) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if write {
		record := InstanceRecord{PeerAddress: g.socket.LocalAddress(), Domain: g.settings.Instance.Domain}
		if err := g.store.Put(ctx, g.kinds.Instances, g.settings.Instance.Name, record); err != nil {
			return err
		}
	}
	listing, err := g.store.List(ctx, g.kinds.Instances, !write)
	if err != nil {
		return err
	}
	for _, object := range listing.Objects {
		record, err := g.records.Instance(object.Spec)
		if err != nil {
			g.log.Info("instance record ignored", "peer", object.Name, "error", err.Error())
			continue
		}
		g.tell(peerRecord{name: object.Name, record: record})
	}
	return nil
}
