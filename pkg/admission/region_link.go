package admission

import (
	"slices"
	"time"
)

// Load pattern of the link between regions: waves of demand that are out of phase send the
// work of a busy region to an idle one. Each instance sees idle upstreams there, and all of
// them together may send more than the link carries, which delays answers, reports and the
// store as well. Each instance therefore has a fixed part of the link, which needs no
// message and holds while instances or regions do not reach each other.

const (
	// usableLinkPart is the part of the link for the requests of all regions; the rest is
	// for other traffic.
	usableLinkPart = 0.5
	// linkBurst is the time for which unused capacity accumulates. All buckets that are full
	// at once add as much as the usable part in a second, so that the link can carry both.
	linkBurst = time.Second
	// relayLinkPart is what a relay has of the part of its failure domain. The other
	// instances place requests only while the relay does not.
	relayLinkPart = 0.9
	// Below lowLinkLevel, as a part of a full bucket, the penalty for another region rises,
	// up to maxLinkPenaltyFactor times itself at an empty one.
	lowLinkLevel         = 0.5
	maxLinkPenaltyFactor = 4.0
	// linkHeaderBytes is the size of the headers of a request or of its answer,
	// linkEventBytes that of an event besides its text, and linkTokenBytes that of the text
	// of a token.
	linkHeaderBytes = 500
	linkEventBytes  = 200
	linkTokenBytes  = 4
)

const bytesPerMbit = 1e6 / 8

// outRegionLink is the reason of Pool.noRoom for upstreams in other regions.
const outRegionLink = "this instance's part of the link between regions is used up"

// LinkPart describes the instance for which a part of the link is determined.
type LinkPart struct {
	// Domains is the number of failure domains of all regions. A direction of the link
	// carries the prompts of one region's requests and the answers to the other's.
	Domains int
	// Instances is the number of instances of the failure domain, this one included.
	Instances int
	// HasRelay is true if a relay places the requests of the failure domain, and IsRelay if
	// it is this instance.
	HasRelay, IsRelay bool
}

// fraction returns the part of what the requests of all instances may use.
func (l LinkPart) fraction() float64 {
	domain := 1 / float64(max(1, l.Domains))
	switch {
	case !l.HasRelay:
		return domain / float64(max(1, l.Instances))
	case l.IsRelay:
		return domain * relayLinkPart
	default:
		return domain * (1 - relayLinkPart) / float64(max(1, l.Instances-1))
	}
}

// RegionLink bounds the bytes of the requests that an instance places at upstreams in other
// regions, with one token bucket for all services. A nil RegionLink has no bound.
type RegionLink struct {
	// usable is what the requests of all instances may use, and rate what this one may, in
	// bytes per second.
	usable, rate float64
	// level is the content of the bucket in bytes, as of updated. It is negative after a
	// request that is larger than the bucket.
	level   float64
	updated time.Duration
	counts  LinkCounts
}

// LinkCounts are counts of the requests that a RegionLink has decided on.
type LinkCounts struct {
	// PlacedBytes is the size of the requests placed in other regions.
	PlacedBytes int64
	// Kept is the number of requests for which the bucket held too little, at least for
	// some time.
	Kept int64
}

// NewRegionLink returns the bound of a link with the given capacity in each direction, or
// nil if that is 0. The bucket is empty, and is not filled before SetPart.
func NewRegionLink(now time.Duration, mbps float64) *RegionLink {
	if mbps <= 0 {
		return nil
	}
	return &RegionLink{usable: mbps * bytesPerMbit * usableLinkPart, updated: now}
}

// SetPart sets the part of this instance. What the bucket holds stays, up to its new size.
func (l *RegionLink) SetPart(now time.Duration, part LinkPart) {
	if l == nil {
		return
	}
	l.advance(now)
	l.rate = l.usable * part.fraction()
	l.level = min(l.level, l.burst())
}

// TakeCounts returns the counts since the last call.
func (l *RegionLink) TakeCounts() LinkCounts {
	if l == nil {
		return LinkCounts{}
	}
	counts := l.counts
	l.counts = LinkCounts{}
	return counts
}

// burst returns the size of the bucket.
func (l *RegionLink) burst() float64 { return l.rate * linkBurst.Seconds() }

// advance fills the bucket for the time since the last call.
func (l *RegionLink) advance(now time.Duration) {
	if now > l.updated {
		l.level = min(l.level+l.rate*(now-l.updated).Seconds(), l.burst())
		l.updated = now
	}
}

// takes reports whether a request of the given size may cross the link. One that is larger
// than the bucket may while the bucket is full, or it could never cross.
func (l *RegionLink) takes(bytes float64) bool {
	return l.level > 0 && l.level >= min(bytes, l.burst())
}

// penaltyMs returns the penalty for another region, given that at a bucket that is not low.
func (l *RegionLink) penaltyMs(penalty float64) float64 {
	if l == nil {
		return penalty
	}
	shortage := 1.0
	if l.rate > 0 {
		shortage = min(1, max(0, 1-l.level/(lowLinkLevel*l.burst())))
	}
	return penalty * (1 + (maxLinkPenaltyFactor-1)*shortage)
}

// SetRegionLink sets the bound of the link between regions, which all pools of an instance
// share; nil for none.
func (p *Pool) SetRegionLink(link *RegionLink) { p.link = link }

// crossesRegions reports whether a request to the upstream leaves the region.
func (p *Pool) crossesRegions(u *upstream) bool {
	return u.info.Domain != p.location.Domain && p.location.Regions[u.info.Domain] != p.location.Regions[p.location.Domain]
}

// linkBytes returns the bytes that a request moves across the link in one direction: its
// body, or the expected answer if that is larger.
func (p *Pool) linkBytes(r *Request) float64 {
	body := r.PromptBytes
	if body == 0 {
		body = r.PromptTokens * linkTokenBytes
	}
	tokensPerEvent := max(1, p.service.TokensPerEvent)
	events := (r.OutputTokens + tokensPerEvent - 1) / tokensPerEvent
	return float64(linkHeaderBytes + max(body, events*linkEventBytes+r.OutputTokens*linkTokenBytes))
}

// updateLink fills the bucket and determines whether any upstream is in another region, and
// whether none of the requests may cross the link to it. The room in other regions is then no free capacity of this instance.
func (p *Pool) updateLink(now time.Duration, requests []*Request) {
	if p.link == nil {
		return
	}
	p.link.advance(now)
	p.linkNeeded = slices.ContainsFunc(p.sorted, p.crossesRegions)
	p.linkShut = p.linkNeeded && len(requests) > 0 &&
		!slices.ContainsFunc(requests, func(r *Request) bool { return p.link.takes(p.linkBytes(r)) })
}

// hiddenByLink reports whether an upstream counts as no free capacity, since no queued
// request may cross the link.
func (p *Pool) hiddenByLink(u *upstream) bool {
	return p.link != nil && p.linkShut && p.crossesRegions(u)
}

// barredByLink reports whether the request may not cross the link to the upstream now.
func (p *Pool) barredByLink(r *Request, u *upstream) bool {
	return p.link != nil && p.crossesRegions(u) && !p.link.takes(p.linkBytes(r))
}

// noteKept counts a request once if it may not cross the link.
func (p *Pool) noteKept(r *Request) {
	if p.link == nil || !p.linkNeeded || r.keptHome || p.link.takes(p.linkBytes(r)) {
		return
	}
	r.keptHome = true
	p.link.counts.Kept++
}

// chargeLink takes the bytes of a request that is placed at the upstream.
func (p *Pool) chargeLink(r *Request, u *upstream) {
	if p.link == nil || !p.crossesRegions(u) {
		return
	}
	bytes := p.linkBytes(r)
	p.link.level -= bytes
	p.link.counts.PlacedBytes += int64(bytes)
}
