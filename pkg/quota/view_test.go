package quota_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/quota"
)

// largeDomain simulates the quota accounting of a large failure domain: followers and
// observers report to the observers, and the first observer that is up sends its view to
// the others.
type largeDomain struct {
	*GomegaWithT
	members []*member
	now     time.Duration
	// charges holds the admitted amounts with their times.
	charges []charge
	// senders is the number of instances, the observers first, that get the team's
	// requests.
	senders int
}

type member struct {
	name     string
	quotas   *quota.TeamQuotas
	observer bool
	down     bool
	// reported is the usage in the last report.
	reported map[string]float64
}

type charge struct {
	at     time.Duration
	amount float64
}

const (
	domainSize = 40
	// tick is the time between two reports, viewTicks that between two views, in ticks.
	tick      = 40 * time.Millisecond
	viewTicks = 3
	// demandFactor is the demand of the team as a multiple of its limit.
	demandFactor = 4
)

func newLargeDomain(t *testing.T) *largeDomain {
	d := &largeDomain{GomegaWithT: NewWithT(t), senders: domainSize}
	for n := range domainSize {
		name := string(rune('A'+n/26)) + string(rune('a'+n%26))
		d.members = append(d.members, &member{name: name, quotas: quota.NewTeamQuotas(rules, 0, false), observer: n < 3})
	}
	return d
}

// run lets the team send at demandFactor times its limit, evenly to all instances.
func (d *largeDomain) run(length time.Duration) {
	for end := d.now + length; d.now < end; d.now += tick {
		d.exchange(int(d.now/tick)%viewTicks == 0)
		for _, m := range d.members[:d.senders] {
			amount := demandFactor * limit.PerSecond * tick.Seconds() / float64(d.senders)
			if !m.down && m.quotas.Charge(d.now, "desk", limit, amount).Allowed {
				d.charges = append(d.charges, charge{d.now, amount})
			}
		}
	}
}

func (d *largeDomain) exchange(sendView bool) {
	var relay *member
	for _, m := range d.members {
		if m.down {
			continue
		}
		if m.observer && relay == nil {
			relay = m
			m.quotas.EndView()
		}
		m.quotas.SetObserving(d.now, m.observer)
		m.reported = m.quotas.OwnUsage(d.now)
		report := quota.UsageReport{StartTime: 1, CoveredInstances: 1, ExpectedInstances: 1, Used: m.reported}
		report.Total, report.UsageSource = m.quotas.ReportableTotal(d.now)
		for _, to := range d.members {
			if to.observer && !to.down && to != m {
				to.quotas.ApplyReport(d.now, m.name, report)
			}
		}
	}
	if relay == nil || !sendView {
		return
	}
	view := relay.quotas.FleetView(d.now)
	for _, m := range d.members {
		if m != relay && !m.down {
			view.OwnReported = m.reported
			m.quotas.ApplyView(d.now, view)
		}
	}
}

// expectBound checks the usage within each window.
func (d *largeDomain) expectBound() {
	sum, first := 0.0, 0
	highest := 0.0
	for _, c := range d.charges {
		for sum += c.amount; c.at-d.charges[first].at >= rules.Window; first++ {
			sum -= d.charges[first].amount
		}
		highest = max(highest, sum)
	}
	d.Expect(highest).To(BeNumerically("<=", bound))
}

// admittedSince returns the amount that was admitted after a time.
func (d *largeDomain) admittedSince(from time.Duration) float64 {
	sum := 0.0
	for _, c := range d.charges {
		if c.at >= from {
			sum += c.amount
		}
	}
	return sum
}

// Load pattern: a team sends four times its limit to all instances of a large failure
// domain, where followers know the usage of the others only by the relay's views. Guards
// against admitting more than the limit, and against admitting much less.
func TestFollowersKeepTheBoundByViews(t *testing.T) {
	d := newLargeDomain(t)
	d.run(30 * time.Second)
	d.expectBound()
	d.Expect(d.admittedSince(14 * time.Second)).To(BeNumerically(">=", 0.9*limit.PerSecond*16))
}

// Failure: the relay, or all instances that know the usage of the others, are lost while a
// team uses all of its quota. Guards against forgetting what was used before.
func TestLossOfObserversKeepsTheBound(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		d := newLargeDomain(t)
		d.run(time.Second)
		d.senders = lost
		d.run(9 * time.Second)
		d.senders = domainSize
		for _, m := range d.members[:lost] {
			m.down = true
		}
		// Nobody replaces the relay until it has been missed.
		standbys := d.members[lost:3]
		for _, m := range standbys {
			m.observer = false
		}
		d.run(600 * time.Millisecond)
		for _, m := range standbys {
			m.observer = true
		}
		for _, m := range d.members[3:][:lost] {
			m.observer = true
		}
		d.run(40 * time.Second)
		d.expectBound()
		d.Expect(d.admittedSince(30*time.Second)).To(BeNumerically(">", 0.5*limit.PerSecond*20), "%d lost", lost)
	}
}

// Failure: a follower does not reach its relay any more, and may be cut off from all.
// Guards against more than its share of the limit.
func TestFollowerWithoutRelayKeepsItsShare(t *testing.T) {
	g := NewWithT(t)
	follower := quota.NewTeamQuotas(rules, 0, false)
	follower.SetObserving(0, false)
	follower.SetObserving(2*time.Second, false)
	follower.ApplyView(10*time.Second, quota.View{Totals: map[string]float64{"desk": 4000}, Reachable: 10, UsageSource: quota.SourceObserved})
	g.Expect(exhaust(follower, 10*time.Second)).To(BeNumerically("~", 9000+0.2*(900+1000)-4000, 100))
	follower = quota.NewTeamQuotas(rules, 0, false)
	follower.SetObserving(0, false)
	follower.ApplyView(10*time.Second, quota.View{Totals: map[string]float64{"desk": 4000}, Reachable: 10, UsageSource: quota.SourceObserved})
	alone := exhaust(follower, 12*time.Second)
	g.Expect(alone).To(BeNumerically("<=", bound/10))
	g.Expect(alone).To(BeNumerically(">", 500))
}

// Failure: all instances restart, and followers get their first view before the relay
// knows the usage from before the restart. Guards against taking its total as complete.
func TestViewOfRestartedRelayIsNotComplete(t *testing.T) {
	g := NewWithT(t)
	used := exhaust(quota.NewTeamQuotas(rules, 0, false), 4*time.Second)
	relay, follower := quota.NewTeamQuotas(rules, 5*time.Second, true), quota.NewTeamQuotas(rules, 5*time.Second, true)
	view := relay.FleetView(5 * time.Second)
	g.Expect(view.UsageSource).To(Equal(quota.SourceUnknown))
	view.Reachable = 2
	follower.ApplyView(5*time.Second, view)
	g.Expect(follower.KnowsTotalUsage(5 * time.Second)).To(BeFalse())
	used += exhaust(follower, 5100*time.Millisecond)
	g.Expect(used).To(BeNumerically("<=", bound))
}
