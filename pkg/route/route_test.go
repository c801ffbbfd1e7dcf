package route_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/route"
)

func snapshot() *conf.Snapshot {
	pool := func(domain string, targets ...string) *conf.Pool {
		return &conf.Pool{Name: domain + "/" + targets[0], Domain: domain, Targets: targets}
	}
	pools := map[string]*conf.Pool{}
	for _, p := range []*conf.Pool{
		pool("matra-east", "model:plan"), pool("balaton-south", "model:plan"),
		pool("balaton-north", "model:plan", "model:tag"), pool("balaton-north", "service:booking"),
	} {
		pools[p.Name] = p
	}
	return &conf.Snapshot{Pools: pools}
}

// Guards against traffic that leaves its failure domain or region although a nearer
// pool serves it, and against pools that do not serve the target.
func TestCandidatesAreOrderedByDistance(t *testing.T) {
	g := NewWithT(t)
	location := route.Location{Domain: "balaton-south", RegionDomains: []string{"balaton-north", "balaton-south"}}
	g.Expect(route.Candidates(snapshot(), location, "model:plan", "r1")).To(Equal([]route.Candidate{
		{Pool: "balaton-south/model:plan", Distance: route.SameDomain},
		{Pool: "balaton-north/model:plan", Distance: route.SameRegion},
		{Pool: "matra-east/model:plan", Distance: route.OtherRegion},
	}))
	g.Expect(route.Candidates(snapshot(), location, "model:tag", "r1")).To(HaveLen(1))
	g.Expect(route.Candidates(snapshot(), location, "model:none", "r1")).To(BeEmpty())
}

// Guards against asking a second pool after a refusal of a request that may have
// run.
func TestMayTryNextOnlyWhenNotRun(t *testing.T) {
	for _, kind := range errkind.Kinds() {
		if route.MayTryNext(kind) && errkind.ResponseFor(kind).RunState != errkind.NotRun {
			t.Errorf("%s may have run but the next pool would be asked", kind)
		}
	}
}

// Guards against sending more bytes between regions than half the link capacity,
// over any time and number of instances.
func TestBudgetBoundsTotalTraffic(t *testing.T) {
	g := NewWithT(t)
	const instances, seconds, requestBytes = 9, 600, 50_000
	clock := clockwork.NewFakeClock()
	var budgets []*route.Budget
	for range instances {
		budgets = append(budgets, route.NewBudget(clock, func() int { return instances }))
	}
	sent := 0
	for range seconds {
		clock.Advance(time.Second)
		for _, budget := range budgets {
			for budget.Take(requestBytes) {
				sent += requestBytes
			}
		}
	}
	g.Expect(sent).To(BeNumerically("<=", route.LinkBytesPerSecond/2*seconds))
	g.Expect(sent).To(BeNumerically(">=", route.LinkBytesPerSecond/2*seconds*9/10), "the budget is not usable")
}

// Guards against a burst after a long idle time that fills the link for minutes.
func TestBudgetBoundsBurst(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	budget := route.NewBudget(clock, func() int { return 9 })
	clock.Advance(24 * time.Hour)
	share := route.LinkBytesPerSecond / 2 / 9
	g.Expect(budget.Take(31 * share)).To(BeFalse())
	g.Expect(budget.Take(29 * share)).To(BeTrue())
}
