package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/quota"
)

// retryFleet simulates instances that share a retry budget. The first one is the relay of
// all if views is set; otherwise all report to all.
type retryFleet struct {
	budgets []*quota.RetryBudget
	views   bool
	now     time.Duration
	// requests and retries hold the times of all requests and retries.
	requests, retries []time.Duration
	denied            int
	random            *rand.Rand
}

var retryRules = quota.RetryRules{Window: 10 * time.Second, Ratio: 0.2, Extra: 630, ReportTimeout: 600 * time.Millisecond}

func newRetryFleet(instances int, views bool) *retryFleet {
	f := &retryFleet{views: views, random: rand.New(rand.NewPCG(1, 2))}
	for range instances {
		f.budgets = append(f.budgets, quota.NewRetryBudget(retryRules))
	}
	return f
}

// run sends perSecond requests to random instances; one of failAfter fails and would be
// retried. Reports are exchanged every 150 ms.
func (f *retryFleet) run(length time.Duration, perSecond, failAfter int) {
	interval := time.Second / time.Duration(perSecond)
	nextReport := f.now
	for end := f.now + length; f.now < end; f.now += interval {
		if f.now >= nextReport {
			f.exchange()
			nextReport += 150 * time.Millisecond
		}
		f.requests = append(f.requests, f.now)
		budget := f.budgets[f.random.IntN(len(f.budgets))]
		budget.CountRequest(f.now, "desk")
		if f.random.IntN(failAfter) != 0 {
			continue
		}
		if budget.Take(f.now, "desk", len(f.budgets)) {
			f.retries = append(f.retries, f.now)
		} else {
			f.denied++
		}
	}
}

func (f *retryFleet) exchange() {
	for i, from := range f.budgets {
		counts := from.Counts(f.now, quota.OwnRetries)
		for j, to := range f.budgets {
			if i != j && (!f.views || j == 0) {
				to.ApplyPeer(f.now, string(rune(i)), false, 1, counts)
			}
		}
	}
	if !f.views {
		return
	}
	totals := f.budgets[0].Counts(f.now, quota.FleetRetries)
	for _, to := range f.budgets[1:] {
		to.ApplyView(f.now, quota.RetryView{Totals: totals, OwnReported: to.Counts(f.now, quota.OwnRetries), Reachable: len(f.budgets)})
	}
}

// maxExcess returns the highest number of retries within a window, less what the budget
// allows for the requests in that window.
func (f *retryFleet) maxExcess() float64 {
	highest, first, firstRequest, lastRequest := 0.0, 0, 0, 0
	for i, at := range f.retries {
		for f.retries[first] <= at-retryRules.Window {
			first++
		}
		for f.requests[firstRequest] <= at-retryRules.Window {
			firstRequest++
		}
		for lastRequest < len(f.requests) && f.requests[lastRequest] <= at {
			lastRequest++
		}
		allowed := retryRules.Ratio*float64(lastRequest-firstRequest) + retryRules.Extra
		highest = max(highest, float64(i-first+1)-allowed)
	}
	return highest
}

// Load pattern: a service fails a seventh of its requests, of which an instance gets one or
// two a second. Guards against instances whose share of the budget is used up while
// most of the budget is unused.
func TestRetryBudgetIsUsedWhereRequestsFail(t *testing.T) {
	f := newRetryFleet(295, true)
	f.run(30*time.Second, 450, 7)
	NewWithT(t).Expect(f.denied).To(BeZero())
}

// Load pattern: all requests of a service fail, at the peak of the users' largest site.
// Guards against more retries in a window than the budget allows, because of those that
// instances grant between two reports.
func TestRetryBudgetHoldsWhileAllRequestsFail(t *testing.T) {
	for name, views := range map[string]bool{"reports to all": false, "views of a relay": true} {
		t.Run(name, func(t *testing.T) {
			f := newRetryFleet(60, views)
			f.run(3*time.Second, 1300, 1000)
			f.run(25*time.Second, 1300, 1)
			g := NewWithT(t)
			g.Expect(f.maxExcess()).To(BeNumerically("<=", 0))
			g.Expect(len(f.retries)).To(BeNumerically(">", 3000))
		})
	}
}

// Failure: an instance is cut off from the others. Guards against more than its share of
// the extra retries, and against forgetting what a lost instance has used.
func TestUnreachableInstancesKeepTheirShareOfRetries(t *testing.T) {
	g := NewWithT(t)
	alone := quota.NewRetryBudget(retryRules)
	taken := 0
	for alone.Take(0, "desk", 63) {
		taken++
	}
	g.Expect(taken).To(Equal(8))
	other := quota.NewRetryBudget(retryRules)
	other.ApplyPeer(0, "lost", false, 62, map[string]quota.RetryCounts{"desk": {Requests: 100, Retries: 300}})
	taken = 0
	for other.Take(5*time.Second, "desk", 63) {
		taken++
	}
	g.Expect(taken).To(BeZero())
	g.Expect(other.Take(11*time.Second, "desk", 63)).To(BeTrue())
}
