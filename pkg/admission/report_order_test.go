package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// reported returns a report of the upstream u.
func reported(incarnation int64, sequence uint64, leaving bool) UpstreamInfo {
	return UpstreamInfo{ID: "u", Service: "s", Incarnation: incarnation, Sequence: sequence, Leaving: leaving}
}

// Failure: a report that was held up takes effect after later ones. Guards against using it
// when it is older, and against leaving out one that is newer.
func TestReportsTakeEffectInTheOrderInWhichTheyWereMade(t *testing.T) {
	ready, leaving := false, true
	for name, test := range map[string]struct {
		known, read UpstreamInfo
		accepted    bool
	}{
		"earlier report of a leaving process":       {reported(5, 9, leaving), reported(5, 8, ready), false},
		"earlier report of leaving":                 {reported(5, 9, ready), reported(5, 8, leaving), false},
		"later report":                              {reported(5, 9, ready), reported(5, 10, leaving), true},
		"later report that takes the leaving back":  {reported(5, 9, leaving), reported(5, 10, ready), true},
		"the same report":                           {reported(5, 9, leaving), reported(5, 9, leaving), true},
		"previous process, higher sequence":         {reported(5, 1, ready), reported(4, 90, ready), false},
		"previous process leaves":                   {reported(5, 1, ready), reported(4, 90, leaving), false},
		"next process":                              {reported(5, 90, leaving), reported(6, 1, ready), true},
		"without incarnations and sequences":        {reported(0, 0, leaving), reported(0, 0, ready), true},
		"without an incarnation, an earlier report": {reported(0, 9, leaving), reported(0, 8, ready), false},
	} {
		for _, removed := range []bool{false, true} {
			g := NewWithT(t)
			order := NewReportOrder()
			g.Expect(order.Accept(time.Second, test.known)).To(BeTrue(), name)
			if removed {
				order.Remove(2*time.Second, "u")
			}
			g.Expect(order.Accept(3*time.Second, test.read)).To(Equal(test.accepted), "%s, removed %v", name, removed)
			latest := test.known
			if test.accepted {
				latest = test.read
			}
			g.Expect(order.Latest("u")).To(Equal(latest), name)
		}
	}
}

// confirmFor confirms the records once a second and returns the time at which one is used.
func confirmFor(order *ReportOrder, from, to time.Duration) (usedAt time.Duration) {
	for now := from; now < to; now += time.Second {
		if len(order.Confirm(now, now)) > 0 {
			return now
		}
	}
	return 0
}

// The clock of an upstream was set back between two starts. Guards against never using it
// again, and against using a record that was only late.
func TestRecordThatStaysIsUsedAfterAll(t *testing.T) {
	for name, test := range map[string]struct {
		known, read UpstreamInfo
		used        bool
	}{
		"clock set back":                      {reported(5, 9, true), reported(4, 1, false), true},
		"started again within a millisecond":  {reported(5, 9, false), reported(5, 1, false), true},
		"started again without incarnation":   {reported(0, 9, true), reported(0, 1, false), true},
		"earlier report of a leaving process": {reported(5, 9, true), reported(5, 8, false), false},
	} {
		g := NewWithT(t)
		order := NewReportOrder()
		order.Accept(0, test.known)
		confirmFor(order, time.Second, time.Minute)
		g.Expect(order.Accept(time.Minute, test.read)).To(BeFalse(), name)
		usedAt := confirmFor(order, time.Minute, 5*time.Minute)
		g.Expect(usedAt > 0).To(Equal(test.used), name)
		if test.used {
			g.Expect(usedAt - time.Minute).To(BeNumerically("~", maxReportDelay, 2*time.Second))
			g.Expect(order.Latest("u")).To(Equal(test.read))
		}
		g.Expect(confirmFor(order, 5*time.Minute, 6*time.Minute)).To(BeZero(), name)
	}
}

// Failure: the store is down after an earlier report has taken effect, so that nothing can
// replace it or expire. Guards against using it for lack of a newer one.
func TestOutageDoesNotMakeAnObsoleteRecordCurrent(t *testing.T) {
	g := NewWithT(t)
	order := NewReportOrder()
	order.Accept(0, reported(5, 1, false))
	order.Confirm(time.Second, time.Second)
	order.Accept(time.Second, reported(4, 8, false))
	g.Expect(order.Confirm(2*time.Minute, 2*time.Minute)).To(BeEmpty())
	// The next report replaces the record.
	g.Expect(order.Accept(2*time.Minute, reported(5, 120, false))).To(BeTrue())
	g.Expect(confirmFor(order, 2*time.Minute, 4*time.Minute)).To(BeZero())
}

// Upstreams come and go under new IDs. Guards against keeping all of them.
func TestReportsOfRemovedUpstreamsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	order := NewReportOrder()
	order.Accept(0, reported(5, 9, true))
	order.Remove(time.Second, "u")
	order.Remove(time.Minute, "other")
	_, leaves := order.LeavingSince(Process{ID: "u", Incarnation: 5})
	g.Expect(leaves).To(BeTrue())
	order.Remove(2*time.Second+reportMemory, "other")
	g.Expect(order.latest).To(BeEmpty())
}

// A process says repeatedly that it leaves. Guards against a time of leaving that grows,
// and against that of another process.
func TestLeavingSinceTheFirstReport(t *testing.T) {
	g := NewWithT(t)
	order := NewReportOrder()
	order.Accept(0, reported(5, 8, false))
	order.Accept(time.Second, reported(5, 9, true))
	order.Accept(3*time.Second, reported(5, 10, true))
	since, leaves := order.LeavingSince(Process{ID: "u", Incarnation: 5})
	g.Expect(leaves).To(BeTrue())
	g.Expect(since).To(Equal(time.Second))
	_, leaves = order.LeavingSince(Process{ID: "u", Incarnation: 6})
	g.Expect(leaves).To(BeFalse())
}
