package gateway

import (
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
)

// updateRegionLink determines this instance's part of the link between regions, by whom it
// places requests for, and counts what has been placed.
func (c *controlLoop) updateRegionLink(now time.Duration) {
	if c.regionLink == nil {
		return
	}
	c.regionLink.SetPart(now, admission.LinkPart{
		Domains: len(c.g.settings.Regions), Instances: c.peers.ExpectedCount(now, peerExpiry),
		HasRelay: c.peers.Large(), IsRelay: c.follower.Relay() == "",
	})
	counts := c.regionLink.TakeCounts()
	c.g.metrics.regionBytesPlaced.Inc(counts.PlacedBytes)
	c.g.metrics.regionRequestsKept.Inc(counts.Kept)
}
