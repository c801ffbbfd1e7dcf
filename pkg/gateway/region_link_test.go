package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/traffic"
)

// linkTestLoop returns a control loop that knows one upstream, in another region, and has a
// link of 8 Mbit/s, of which two failure domains use 250 KB/s each.
func linkTestLoop(t *testing.T, now *time.Duration) *controlLoop {
	c := newTestControlLoop(t, now, true)
	c.g.settings.Regions = map[string]string{"north": "r1", "south": "r2"}
	c.regionLink = admission.NewRegionLink(*now, 8)
	c.setConfig(traffic.Config{Version: 1, Services: []traffic.Service{{Name: "llm", KVCacheTokens: 1, Slots: 100, TokensPerEvent: 1}}}, 1, *now)
	info := admission.UpstreamInfo{ID: "e0", Service: "llm", Address: "127.0.0.1:9", Domain: "south", Slots: 100}
	c.upstreams[info.ID], c.services[info.ID], c.upstreamNames[loadshare.ShortHash(info.ID)] = info, info.Service, info.ID
	c.pool("llm").SetUpstream(info)
	return c
}

// placeAcross returns how many of twenty requests of 20 KB are placed when the bucket has
// been filled.
func (c *controlLoop) placeAcross(now *time.Duration) int {
	c.updateRegionLink(*now)
	*now += 1500 * time.Millisecond
	c.updateRegionLink(*now)
	for key := range uint64(20) {
		c.pool("llm").Submit(&admission.Request{Key: key, Service: "llm", PromptBytes: 19_500, PromptTokens: 1, Arrived: *now, SoftDeadline: *now + time.Minute, Deadline: *now + time.Hour})
	}
	count := 0
	for _, decision := range c.pool("llm").Schedule(*now) {
		if decision.Action == admission.Place {
			count++
			c.pool("llm").Finish(*now, "e0", decision.Key, admission.Result{Outcome: admission.NotSent})
		}
	}
	for key := range uint64(20) {
		c.pool("llm").Dequeue(key)
	}
	c.updateRegionLink(*now)
	return count
}

// Guards against instances that each use the part of their whole failure domain, against
// followers that use as much as their relay, and against metrics that stay at 0.
func TestPartOfTheRegionLinkFollowsThePlacementRole(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	c := linkTestLoop(t, &now)
	g.Expect(c.placeAcross(&now)).To(Equal(12), "250 KB")
	g.Expect(c.g.metrics.regionBytesPlaced.Count()).To(Equal(int64(12 * 20_000)))
	g.Expect(c.g.metrics.regionRequestsKept.Count()).To(Equal(int64(8)))
	addPeers := func(count int) {
		for i := range count {
			_, err := c.peers.Add(now, fmt.Sprint("peer-", i), loadshare.PeerInfo{Domain: "north", Address: "127.0.0.1:9"})
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
	addPeers(1)
	g.Expect(c.placeAcross(&now)).To(Equal(6), "125 KB")
	c.peers.SetRelayFrom(3)
	addPeers(4)
	g.Expect(c.peers.Large()).To(BeTrue())
	g.Expect(c.placeAcross(&now)).To(Equal(11), "225 KB as relay")
	c.follower.SetRelay("peer-0")
	g.Expect(c.placeAcross(&now)).To(Equal(1), "a quarter of 25 KB: one request may exceed the full bucket")
}

// Guards against a relay that counts a follower's request without its body, and against
// bytes in reports of deployments without the bound.
func TestDelegatedPlacementsHaveTheSizeOfTheBody(t *testing.T) {
	for name, bounded := range map[string]bool{"bound": true, "no bound": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Second
			c := linkTestLoop(t, &now)
			if !bounded {
				c.regionLink = nil
			}
			c.follower.SetRelay("b")
			c.follower.Submit(now, &admission.Request{Key: 5, Service: "llm", PromptBytes: 777, PromptTokens: 3})
			report := c.buildReport(now, &c.localReports, false)
			c.addDelegation(now, &report)
			encoded, err := loadshare.Encode(report)
			g.Expect(err).NotTo(HaveOccurred())
			decoded, err := loadshare.Decode(encoded)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(decoded.Waiting).To(HaveLen(1))
			want := 0
			if bounded {
				want = 777
			}
			g.Expect(c.decodeWaiting(now, decoded.Waiting[0]).PromptBytes).To(Equal(want))
		})
	}
}

// Guards against a bound without a setting for it, and one that the setting does not reach.
func TestRegionLinkIsOffUnlessSettingsHaveIt(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	c := newTestControlLoop(t, &now, true)
	g.Expect(c.regionLink).To(BeNil())
	c.g.settings.Placement.RegionLinkMbps = 60
	g.Expect(newControlLoop(c.g).regionLink).NotTo(BeNil())
}

// Guards against a body whose size does not reach the placement.
func TestRequestsHaveTheSizeOfTheirBody(t *testing.T) {
	now := time.Second
	c := newTestControlLoop(t, &now, true)
	x := &exchange{g: c.g, route: &traffic.Route{Name: "once"}, body: make([]byte, 1234)}
	NewWithT(t).Expect(x.admissionRequest().PromptBytes).To(Equal(1234))
}
