package gateway

import "time"

// ejectionCheckInterval is the time between two looks at which upstreams are ejected, for
// the log and the metrics.
const ejectionCheckInterval = 250 * time.Millisecond

// ejectionLog holds the upstreams that were ejected at the last look.
type ejectionLog struct {
	checkedAt time.Duration
	ejected   map[string]bool
}

// reportEjections logs which upstreams were ejected since the last look, or are used again,
// and counts them.
func (c *controlLoop) reportEjections(now time.Duration) {
	if now-c.ejections.checkedAt < ejectionCheckInterval {
		return
	}
	c.ejections.checkedAt = now
	current := map[string]bool{}
	for service, pool := range c.pools {
		for _, id := range pool.Ejected(now) {
			current[id] = true
			if !c.ejections.ejected[id] {
				c.g.log.Info("upstream ejected for failed answers", "upstream", id, "service", service)
			}
		}
	}
	for id := range c.ejections.ejected {
		if !current[id] {
			c.g.log.Info("upstream no longer ejected", "upstream", id)
		}
	}
	c.ejections.ejected = current
	c.g.metrics.upstreamsEjected.Update(int64(len(current)))
}
