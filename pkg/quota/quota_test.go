package quota_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/quota"
)

var rules = quota.Rules{
	Window: 8 * time.Second, Overage: 0.1, Slack: 1000, ReportTimeout: time.Second, PeerExpiry: 30 * time.Second,
}

var limit = quota.Limit{PerSecond: 1000, Burst: 1000}

// bound is the largest usage of all instances in a window: the limit plus Overage
// and Slack.
const bound = (1000*8+1000)*1.1 + 1000

func TestWindowDropsExpiredAmounts(t *testing.T) {
	g := NewWithT(t)
	w := quota.NewWindow(8 * time.Second)
	w.Add(0, 5)
	w.Add(4*time.Second, 3)
	g.Expect(w.Sum(7 * time.Second)).To(Equal(8.0))
	g.Expect(w.Sum(9 * time.Second)).To(Equal(3.0))
	w.Add(9*time.Second, -3)
	g.Expect(w.Sum(9 * time.Second)).To(Equal(0.0))
	g.Expect(w.Sum(time.Hour)).To(Equal(0.0))
}

// exhaust charges amounts of 100 until one is refused, and returns the admitted
// sum.
func exhaust(t *quota.TeamQuotas, now time.Duration) float64 {
	sum := 0.0
	for t.Charge(now, "desk", limit, 100).Allowed {
		sum += 100
	}
	return sum
}

// One team sends as much as it can to each of two instances. Guards against
// instances that each admit the whole limit.
func TestPeerReportsCountAgainstLimit(t *testing.T) {
	g := NewWithT(t)
	a := quota.NewTeamQuotas(rules, 0, false)
	b := quota.NewTeamQuotas(rules, 0, false)
	used := exhaust(a, time.Second)
	b.ApplyReport(time.Second, "a", quota.UsageReport{StartTime: 1, CoveredInstances: 1, Used: a.OwnUsage(time.Second)})
	used += exhaust(b, time.Second)
	g.Expect(used).To(BeNumerically("<=", bound))
	g.Expect(used).To(BeNumerically(">=", 1000*8))
}

// All instances are partitioned from each other while a team sends as much as it
// can to each. Guards against instances that together admit more than bound.
func TestPartitionedInstancesKeepTheBound(t *testing.T) {
	g := NewWithT(t)
	names := []string{"a", "b", "c", "d"}
	sum := 0.0
	for _, own := range names {
		teams := quota.NewTeamQuotas(rules, 0, false)
		for _, peer := range names {
			if peer != own {
				teams.ExpectInstances(0, peer, 1)
			}
		}
		sum += exhaust(teams, 5*time.Second)
	}
	g.Expect(sum).To(BeNumerically("<=", bound))
}

// Instances are partitioned just after one of them has admitted most of a team's
// limit. Guards against the other instances then granting the team their whole own
// shares, which together with that usage exceed the limit (found by a random search
// with seed 459904507579 in scale-2, a load pattern of the users' site flottakert; see
// the profile of that name in internal/workload).
func TestPeerUsageBeforePartitionCounts(t *testing.T) {
	g := NewWithT(t)
	a := quota.NewTeamQuotas(rules, 0, false)
	b := quota.NewTeamQuotas(rules, 0, false)
	usedByB := exhaust(b, time.Second)
	a.ApplyReport(time.Second, "b", quota.UsageReport{StartTime: 1, CoveredInstances: 1, Used: b.OwnUsage(time.Second)})
	b.ApplyReport(time.Second, "a", quota.UsageReport{StartTime: 1, CoveredInstances: 1})
	usedByA := exhaust(a, 3*time.Second)
	usedByB += exhaust(b, 3*time.Second)
	g.Expect(usedByA + usedByB).To(BeNumerically("<=", bound))
	// Once the usage before the partition has left the window, a may use its share.
	g.Expect(exhaust(a, 10*time.Second)).To(BeNumerically(">=", 1000*8/2))
}

// All instances are killed after a team has used its limit, and restart without
// state. Guards against granting the limit a second time within the same window.
func TestRestartOfAllInstancesKeepsTheBound(t *testing.T) {
	g := NewWithT(t)
	before := quota.NewTeamQuotas(rules, 0, false)
	// The team sends evenly until the kill at 8 s.
	type charge struct {
		at     time.Duration
		amount float64
	}
	var all []charge
	for at := time.Duration(0); at < 8*time.Second; at += 100 * time.Millisecond {
		for range 3 {
			if before.Charge(at, "desk", limit, 100).Allowed {
				all = append(all, charge{at, 100})
			}
		}
	}
	after := quota.NewTeamQuotas(rules, 8*time.Second, true)
	after.FinishRestore()
	for at := 8 * time.Second; at < 20*time.Second; at += 100 * time.Millisecond {
		for range 3 {
			if after.Charge(at, "desk", limit, 100).Allowed {
				all = append(all, charge{at, 100})
			}
		}
	}
	for from := time.Duration(0); from < 12*time.Second; from += 100 * time.Millisecond {
		sum := 0.0
		for _, c := range all {
			if c.at >= from && c.at < from+8*time.Second {
				sum += c.amount
			}
		}
		g.Expect(sum).To(BeNumerically("<=", bound), "window from %s", from)
	}
}

// All instances are killed just after a team has used its whole limit in a burst.
// Guards against granting the limit a second time within the same window, which
// happens if the usage is assumed to leave the window evenly.
func TestRestartOfAllInstancesAfterBurstKeepsTheBound(t *testing.T) {
	g := NewWithT(t)
	before := quota.NewTeamQuotas(rules, 0, false)
	used := exhaust(before, 7*time.Second)
	record := before.Record(7 * time.Second)
	g.Expect(record).To(HaveKey("desk"))
	after := quota.NewTeamQuotas(rules, 8*time.Second, true)
	after.Restore(8*time.Second, 0, record)
	used += exhaust(after, 14*time.Second)
	g.Expect(used).To(BeNumerically("<=", bound))
	g.Expect(exhaust(after, 17*time.Second)).To(BeNumerically(">", 1000*8*0.5))
}

// A team has used its limit in a burst, most of it at one of three instances, which
// is then killed. Guards against attributing an equal share of the usage to each
// instance, and against usage that is dropped before it leaves the window
// (found by random search: load pattern mix from the users' site kifaru, seed
// 981225523139).
func TestRestartOfInstanceWithMostUsageKeepsTheBound(t *testing.T) {
	g := NewWithT(t)
	a := quota.NewTeamQuotas(rules, 0, false)
	b := quota.NewTeamQuotas(rules, 0, false)
	used := exhaust(b, 5*time.Second)
	for at := 5 * time.Second; at <= 6*time.Second; at += 200 * time.Millisecond {
		a.ApplyReport(at, "b", quota.UsageReport{StartTime: 1, CoveredInstances: 1, Used: b.OwnUsage(at)})
		a.ApplyReport(at, "c", quota.UsageReport{StartTime: 1, CoveredInstances: 1})
	}
	a.Charge(6*time.Second, "desk", limit, 0)
	record := a.Record(6 * time.Second)
	g.Expect(record).To(HaveKey("desk"))
	// b restarts and receives reports from a and c, which have no usage of their
	// own.
	restarted := quota.NewTeamQuotas(rules, 6500*time.Millisecond, true)
	restarted.Restore(6500*time.Millisecond, 0, record)
	for at := 6500 * time.Millisecond; at <= 12*time.Second; at += 200 * time.Millisecond {
		a.ApplyReport(at, "b", quota.UsageReport{StartTime: 2, CoveredInstances: 1, WithoutUsageHistory: 1, Used: restarted.OwnUsage(at)})
		a.ApplyReport(at, "c", quota.UsageReport{StartTime: 1, CoveredInstances: 1})
		restarted.ApplyReport(at, "a", quota.UsageReport{StartTime: 1, CoveredInstances: 1, Used: a.OwnUsage(at), Total: a.TotalUsage(at), UsageSource: quota.SourceObserved})
		restarted.ApplyReport(at, "c", quota.UsageReport{StartTime: 1, CoveredInstances: 1})
	}
	after := exhaust(a, 12*time.Second)
	restarted.ApplyReport(12*time.Second, "a", quota.UsageReport{StartTime: 1, CoveredInstances: 1, Used: a.OwnUsage(12 * time.Second), Total: a.TotalUsage(12 * time.Second), UsageSource: quota.SourceObserved})
	after += exhaust(restarted, 12*time.Second)
	g.Expect(used + after).To(BeNumerically("<=", bound))
	// When the usage from before the restart has left the window, the limit is
	// available again.
	a.ApplyReport(15*time.Second, "b", quota.UsageReport{StartTime: 2, CoveredInstances: 1, Used: restarted.OwnUsage(15 * time.Second)})
	a.ApplyReport(15*time.Second, "c", quota.UsageReport{StartTime: 1, CoveredInstances: 1})
	after += exhaust(a, 15*time.Second)
	g.Expect(after).To(BeNumerically(">", 1000*8*0.5))
}

// A whole failure domain is killed after a team has used its limit there. Guards
// against replacing the known usage by the first report after the restart, which is
// empty.
func TestRestartOfFailureDomainKeepsUsage(t *testing.T) {
	g := NewWithT(t)
	b := quota.NewTeamQuotas(rules, 0, false)
	used := exhaust(b, 5*time.Second)
	a := quota.NewTeamQuotas(rules, 0, false)
	a.ApplyReport(5*time.Second, "south", quota.UsageReport{StartTime: 1, OldestStartTime: 1, CoveredInstances: 2, RemoteDomain: true, Used: b.OwnUsage(5 * time.Second)})
	a.ApplyReport(6*time.Second, "south", quota.UsageReport{StartTime: 2, OldestStartTime: 2, CoveredInstances: 2, WithoutUsageHistory: 2, RemoteDomain: true})
	used += exhaust(a, 6*time.Second)
	g.Expect(used).To(BeNumerically("<=", bound))
	a.ApplyReport(14*time.Second, "south", quota.UsageReport{StartTime: 2, OldestStartTime: 2, CoveredInstances: 2, RemoteDomain: true})
	g.Expect(exhaust(a, 14*time.Second)).To(BeNumerically(">", 1000*8*0.9))
}

// A team uses its limit evenly, and all instances are restarted. Guards against
// refusing the team although its usage leaves the window.
func TestRestoredUsageExpires(t *testing.T) {
	g := NewWithT(t)
	before := quota.NewTeamQuotas(rules, 0, false)
	for at := time.Duration(0); at < 8*time.Second; at += 100 * time.Millisecond {
		before.Charge(at, "desk", limit, 90)
		before.Record(at)
	}
	after := quota.NewTeamQuotas(rules, 8*time.Second, true)
	after.Restore(8*time.Second, 0, before.Record(8*time.Second))
	served := 0
	for at := 9 * time.Second; at < 16*time.Second; at += 100 * time.Millisecond {
		if after.Charge(at, "desk", limit, 90).Allowed {
			served++
		}
	}
	g.Expect(served).To(BeNumerically(">", 55))
}

// One of two instances restarts. Guards against dropping the usage of its former
// process, and against a restart that blocks the team.
func TestRestartOfPeerKeepsUsage(t *testing.T) {
	g := NewWithT(t)
	a := quota.NewTeamQuotas(rules, 0, false)
	a.ApplyReport(time.Second, "b", quota.UsageReport{StartTime: 1, CoveredInstances: 1, Used: map[string]float64{"desk": 4000}})
	a.ApplyReport(2*time.Second, "b", quota.UsageReport{StartTime: 2, CoveredInstances: 1, WithoutUsageHistory: 1})
	used := exhaust(a, 2*time.Second)
	g.Expect(used + 4000).To(BeNumerically("<=", bound))
	g.Expect(used).To(BeNumerically(">", 2000))
}

// A peer restarts, and its clock is behind that of its previous process. Guards against
// taking its usage for a part of what the previous process has reported.
func TestRestartOfPeerWhoseClockWasSetBackKeepsUsage(t *testing.T) {
	g := NewWithT(t)
	a := quota.NewTeamQuotas(rules, 0, false)
	a.ApplyReport(time.Second, "b", quota.UsageReport{StartTime: 9, CoveredInstances: 1, Used: map[string]float64{"desk": 5000}})
	a.ApplyReport(2*time.Second, "b", quota.UsageReport{StartTime: 4, CoveredInstances: 1, Used: map[string]float64{"desk": 3000}})
	g.Expect(exhaust(a, 2*time.Second)).To(BeNumerically("<=", bound-8000))
}

func TestRefundedAmountIsAvailableAgain(t *testing.T) {
	g := NewWithT(t)
	teams := quota.NewTeamQuotas(rules, 0, false)
	exhaust(teams, 0)
	teams.Refund(0, quota.Charge{Team: "desk", Amount: 100})
	g.Expect(teams.Charge(0, "desk", limit, 100).Allowed).To(BeTrue())
	g.Expect(teams.Charge(0, "desk", limit, 100).Allowed).To(BeFalse())
}

// Every request of a service fails and could be retried. Guards against instances
// that together exceed the retry budget.
func TestRetryBudgetOverAllInstances(t *testing.T) {
	g := NewWithT(t)
	const instances = 9
	budget := quota.RetryRules{Window: 10 * time.Second, Ratio: 0.2, Extra: 58}
	repeats, requests := 0, 0
	for range instances {
		retries := quota.NewRetryBudget(budget)
		for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
			requests++
			retries.CountRequest(at, "desk")
			if retries.Take(at, "desk", instances) {
				repeats++
			}
		}
	}
	g.Expect(repeats).To(BeNumerically("<=", int(0.2*float64(requests)+58)))
	g.Expect(repeats).To(BeNumerically(">", requests/10))
}

// Some instances of a large failure domain restart while their relay still reports
// their usage. Guards against counting the same usage again with each report, which
// refused the requests of all teams for ten seconds (grown load pattern scale-1 from
// the users' site kifaru).
func TestUsageIsCountedOnceDuringRestarts(t *testing.T) {
	g := NewWithT(t)
	a := quota.NewTeamQuotas(rules, 0, false)
	for at := time.Second; at < 4*time.Second; at += 100 * time.Millisecond {
		used := map[string]float64{"desk": 3000 - float64(at.Milliseconds())/10, "lab": 2000}
		a.ApplyReport(at, "south", quota.UsageReport{StartTime: 1, OldestStartTime: 1, CoveredInstances: 15, ExpectedInstances: 15, WithoutUsageHistory: 4, RemoteDomain: true, UsageSource: quota.SourceObserved, Used: used})
		g.Expect(a.Charge(at, "desk", limit, 0).Used).To(Equal(used["desk"]))
	}
}

// Instances restart in turn, so that the relay of a failure domain changes, and
// usage leaves the windows of the relays at slightly different times. Guards
// against counting the difference for another window, which refused teams at 0.9 of
// their limits (load pattern trouble-2 from the users' site kifaru, seed 11).
func TestRelayChangeDoesNotExtendUsage(t *testing.T) {
	g := NewWithT(t)
	a := quota.NewTeamQuotas(rules, 0, false)
	actual := quota.NewWindow(rules.Window)
	earlier := 0.0
	for step := range 200 {
		at := time.Duration(step) * 100 * time.Millisecond
		if step/20%2 == 0 {
			actual.Add(at, 100)
		}
		now, startTime := actual.Sum(at), int64(1)
		reported := now
		if step/5%2 == 0 {
			reported, startTime = earlier, 2
		}
		a.ApplyReport(at, "south", quota.UsageReport{StartTime: startTime, OldestStartTime: 1, CoveredInstances: 15, ExpectedInstances: 15, RemoteDomain: true, UsageSource: quota.SourceObserved, Used: map[string]float64{"desk": reported}})
		g.Expect(a.Charge(at, "desk", limit, 0).Used).To(BeNumerically("<=", max(now, earlier)))
		g.Expect(a.TotalUsage(at)["desk"]).To(BeNumerically("<=", max(now, earlier)), "total reported to restarted instances")
		earlier = now
	}
}

// Instances are stopped, and others start in their place. Guards against keeping a
// share of each limit for the stopped instances, and against dropping their usage.
func TestStoppedPeerReleasesShareAndKeepsUsage(t *testing.T) {
	g := NewWithT(t)
	a := quota.NewTeamQuotas(rules, 0, false)
	a.ApplyReport(time.Second, "b", quota.UsageReport{StartTime: 1, CoveredInstances: 1, ExpectedInstances: 1, Used: map[string]float64{"desk": 4000}})
	a.MarkStopped(2*time.Second, "b")
	used := exhaust(a, 5*time.Second)
	g.Expect(used + 4000).To(BeNumerically("<=", bound))
	g.Expect(used + 4000).To(BeNumerically(">=", 1000*8))
	g.Expect(exhaust(a, 14*time.Second)).To(BeNumerically(">=", 1000*8))
}

// Instances of another failure domain are lost permanently. Guards against keeping
// a share for them for ever.
func TestLostInstancesOfFailureDomainReleaseShare(t *testing.T) {
	g := NewWithT(t)
	a := quota.NewTeamQuotas(rules, 0, false)
	a.ExpectInstances(0, "south", 9)
	a.ApplyReport(time.Second, "south", quota.UsageReport{StartTime: 1, OldestStartTime: 1, CoveredInstances: 2, ExpectedInstances: 3, RemoteDomain: true})
	g.Expect(a.Charge(time.Second, "desk", limit, 0).Unreachable).To(Equal(1))
	a.ApplyReport(2*time.Second, "south", quota.UsageReport{StartTime: 1, OldestStartTime: 1, CoveredInstances: 2, ExpectedInstances: 2, RemoteDomain: true})
	g.Expect(a.Charge(2*time.Second, "desk", limit, 0).Unreachable).To(BeZero())
}

// An instance restarts while others know the usage of all instances. Guards against
// assuming a higher or lower usage than the total that peers report.
func TestRestartedInstanceUsesReportedTotal(t *testing.T) {
	g := NewWithT(t)
	a := quota.NewTeamQuotas(rules, 8*time.Second, true)
	a.ApplyReport(8*time.Second, "b", quota.UsageReport{StartTime: 1, CoveredInstances: 1, Total: map[string]float64{"desk": 8800}, UsageSource: quota.SourceObserved})
	used := exhaust(a, 8*time.Second)
	g.Expect(used + 8800).To(BeNumerically("<=", bound))
	a.ApplyReport(9*time.Second, "b", quota.UsageReport{StartTime: 1, CoveredInstances: 1, Total: map[string]float64{"desk": 1000 + used}, UsageSource: quota.SourceObserved})
	g.Expect(exhaust(a, 9*time.Second)).To(BeNumerically(">", 7000-used))
}

// All instances are killed after a team has used its limit, and requests arrive
// before the usage record in the store has been read. Guards against treating the
// team as one without a record, whose assumed usage is below its limit (found by random
// search: load pattern trouble-3 from the users' site kifaru, seed 471707961974).
func TestNoAssumedUsageBeforeRecordsAreRead(t *testing.T) {
	g := NewWithT(t)
	before := quota.NewTeamQuotas(rules, 0, false)
	used := exhaust(before, 7*time.Second)
	record := before.Record(7 * time.Second)
	after := quota.NewTeamQuotas(rules, 8*time.Second, true)
	used += exhaust(after, 8*time.Second+50*time.Millisecond)
	after.Restore(8*time.Second+100*time.Millisecond, 0, record)
	after.FinishRestore()
	used += exhaust(after, 8*time.Second+100*time.Millisecond)
	g.Expect(used).To(BeNumerically("<=", bound))
	// A team without a record is served.
	other := quota.NewTeamQuotas(rules, 8*time.Second, true)
	other.FinishRestore()
	g.Expect(exhaust(other, 8*time.Second)).To(BeNumerically(">", 2000))
}

// All instances are killed after a team has used its limit, and one of them cannot
// read the usage records for seconds. Guards against assuming a lower usage while the
// records are unknown (soak seed 3003: an instance that was cut off from the store and
// had its configuration from a relay admitted 30 requests above the limit). Once a
// window has passed without a record, the usage from before the restart has expired.
func TestUnreadRecordsCountAsWholeLimit(t *testing.T) {
	g := NewWithT(t)
	used := exhaust(quota.NewTeamQuotas(rules, 0, false), 7*time.Second)
	unread := quota.NewTeamQuotas(rules, 8*time.Second, true)
	for at := 8 * time.Second; at < 15*time.Second; at += 100 * time.Millisecond {
		used += exhaust(unread, at)
	}
	g.Expect(used).To(BeNumerically("<=", bound))
	g.Expect(exhaust(unread, 16*time.Second)).To(BeNumerically(">", 2000))
}

// restartedWithPeer sets up the state after an instance has used a team's limit and
// was killed: b keeps running and knows the usage; a, which starts at 5 s, does
// not.
func restartedWithPeer() (a, b *quota.TeamQuotas, used float64) {
	d := quota.NewTeamQuotas(rules, 0, false)
	used = exhaust(d, 4*time.Second)
	b = quota.NewTeamQuotas(rules, 0, false)
	b.ApplyReport(4*time.Second, "d", quota.UsageReport{StartTime: 1, CoveredInstances: 1, Used: d.OwnUsage(4 * time.Second)})
	b.MarkStopped(4500*time.Millisecond, "d")
	return quota.NewTeamQuotas(rules, 5*time.Second, true), b, used
}

func usageReportOf(t *quota.TeamQuotas, now time.Duration, startTime int64) quota.UsageReport {
	report := quota.UsageReport{StartTime: startTime, CoveredInstances: 1, Used: t.OwnUsage(now)}
	report.Total, report.UsageSource = t.ReportableTotal(now)
	if t.LacksUsageHistory(now) {
		report.WithoutUsageHistory = 1
	}
	return report
}

// A restarted instance has got the total from a peer, and that peer stops or
// becomes unreachable soon after. Guards against dropping the reported total.
func TestReportedTotalOutlivesPeer(t *testing.T) {
	for name, lose := range map[string]func(t *quota.TeamQuotas, at time.Duration){
		"stopped":     func(t *quota.TeamQuotas, at time.Duration) { t.MarkStopped(at, "b") },
		"unreachable": func(*quota.TeamQuotas, time.Duration) {},
	} {
		g := NewWithT(t)
		a, b, used := restartedWithPeer()
		for at := 5 * time.Second; at < 6*time.Second; at += 100 * time.Millisecond {
			a.ApplyReport(at, "b", usageReportOf(b, at, 1))
		}
		lose(a, 6*time.Second)
		after := exhaust(a, 8*time.Second)
		g.Expect(used+after).To(BeNumerically("<=", bound), name)
		// Once the usage has left the window it no longer counts.
		g.Expect(exhaust(a, 14*time.Second)).To(BeNumerically(">=", 1000*8*0.5-after), name)
	}
}

// Instances are killed one after the other until none is left that observed a
// team's usage. Guards against assuming a usage while instances that got the total
// from an observer can still report it, and against reporting it further than that.
func TestReportedTotalIsPassedOnOnce(t *testing.T) {
	g := NewWithT(t)
	a, b, used := restartedWithPeer()
	a.ApplyReport(5*time.Second, "b", usageReportOf(b, 5*time.Second, 1))
	a.MarkStopped(6*time.Second, "b")
	c := quota.NewTeamQuotas(rules, 6*time.Second, true)
	c.ApplyReport(7*time.Second, "a", usageReportOf(a, 7*time.Second, 2))
	c.FinishRestore()
	g.Expect(c.KnowsTotalUsage(7 * time.Second)).To(BeTrue())
	used += exhaust(c, 7*time.Second)
	g.Expect(used).To(BeNumerically("<=", bound))
	_, source := c.ReportableTotal(7 * time.Second)
	g.Expect(source).To(Equal(quota.SourceUnknown), "a relayed total is not relayed again")
}

// The relay that reported the total to a restarted instance is lost, and its
// failure domain continues to use the limit under another relay. Guards against
// counting only the reported total (soak test: seed 601 beside load).
func TestUsageAfterReportedTotalCounts(t *testing.T) {
	g := NewWithT(t)
	a := quota.NewTeamQuotas(rules, 5*time.Second, true)
	north := quota.UsageReport{StartTime: 1, OldestStartTime: 1, CoveredInstances: 2, WithoutUsageHistory: 2, RemoteDomain: true, UsageSource: quota.SourceRelayed, Total: map[string]float64{"desk": 5000}}
	a.ApplyReport(5*time.Second, "domain north", north)
	a.ApplyReport(6*time.Second, "domain north", quota.UsageReport{StartTime: 2, OldestStartTime: 1, CoveredInstances: 2, WithoutUsageHistory: 2, RemoteDomain: true, Used: map[string]float64{"desk": 4000}})
	g.Expect(9000 + exhaust(a, 6*time.Second)).To(BeNumerically("<=", bound))
}

// The relay of another failure domain stops, and the instance that replaces it has
// just started and does not know the usage of its own former process. Guards against
// accepting its lower sum (soak test: seed 607).
func TestNewRelayDoesNotLowerUsage(t *testing.T) {
	g := NewWithT(t)
	a := quota.NewTeamQuotas(rules, 0, false)
	south := quota.UsageReport{StartTime: 1, OldestStartTime: 1, CoveredInstances: 2, ExpectedInstances: 2, RemoteDomain: true, UsageSource: quota.SourceObserved, Used: map[string]float64{"desk": 8000}}
	a.ApplyReport(5*time.Second, "south", south)
	a.ApplyReport(6*time.Second, "south", quota.UsageReport{StartTime: 2, OldestStartTime: 1, CoveredInstances: 2, ExpectedInstances: 2, WithoutUsageHistory: 1, RemoteDomain: true, Used: map[string]float64{"desk": 3000}})
	g.Expect(8000 + exhaust(a, 6*time.Second)).To(BeNumerically("<=", bound))
	a.ApplyReport(13500*time.Millisecond, "south", quota.UsageReport{StartTime: 2, OldestStartTime: 1, CoveredInstances: 2, ExpectedInstances: 2, WithoutUsageHistory: 1, RemoteDomain: true})
	g.Expect(exhaust(a, 14500*time.Millisecond)).To(BeNumerically(">", 1000*8*0.8))
}

// A team starts to send at five times its limit, and all instances are killed at
// some time after that. Guards against usage between two records that is neither
// recorded nor assumed (soak test: seed 604).
func TestKillDuringBurstKeepsTheBound(t *testing.T) {
	const tick, step = 200 * time.Millisecond, 20 * time.Millisecond
	for n := range 60 * 10 {
		g := NewWithT(t)
		// The calls of Record are not aligned with the start of the burst.
		phase, killed := time.Duration(n%10)*tick/10, time.Duration(n/10)*50*time.Millisecond
		before := quota.NewTeamQuotas(rules, 0, false)
		var record map[string][]float64
		used, written := 0.0, time.Duration(0)
		for at := time.Duration(0); at < killed; at += step {
			if before.Charge(at, "desk", limit, 100).Allowed {
				used += 100
			}
			if (at+phase)%tick != 0 {
				continue
			}
			if newest := before.Record(at); before.RecordDue(at, newest) {
				record, written = newest, at
				before.MarkRecorded(at, newest)
			}
		}
		after := quota.NewTeamQuotas(rules, killed, true)
		after.Restore(killed, killed-written, record)
		after.FinishRestore()
		used += exhaust(after, killed)
		g.Expect(used).To(BeNumerically("<=", bound), "killed after %s, phase %s", killed, phase)
	}
}

// All instances are killed just after a team has started to send, before its usage
// reached the threshold of a record. Guards against an assumed usage that leaves
// the window evenly, although all of it was recent (soak test: seeds 601 and 604).
func TestAssumedUsageCountsForWholeWindow(t *testing.T) {
	g := NewWithT(t)
	before := quota.NewTeamQuotas(rules, 0, false)
	used := 0.0
	for before.Charge(7900*time.Millisecond, "desk", limit, 100).Allowed {
		used += 100
		if len(before.Record(7900*time.Millisecond)) > 0 {
			break
		}
	}
	after := quota.NewTeamQuotas(rules, 8*time.Second, true)
	after.FinishRestore()
	for at := 8 * time.Second; at < 15900*time.Millisecond; at += 100 * time.Millisecond {
		used += exhaust(after, at)
	}
	g.Expect(used).To(BeNumerically("<=", bound))
	g.Expect(used).To(BeNumerically(">=", 1000*8*0.8))
}

// A team uses its limit evenly. Guards against more than about one record a second;
// each costs a call to the store.
func TestSteadyUsageIsRecordedOncePerSecond(t *testing.T) {
	teams := quota.NewTeamQuotas(rules, 0, false)
	records := 0
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		teams.Charge(at, "desk", limit, 90)
		if newest := teams.Record(at); teams.RecordDue(at, newest) {
			records++
			teams.MarkRecorded(at, newest)
		}
	}
	NewWithT(t).Expect(records).To(BeNumerically("<=", 20))
}
