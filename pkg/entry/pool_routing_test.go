package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/member"
	"github.com/rosemarywing/rosemarywing/pkg/route"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// members is a view in which only the live members are known.
type liveMembers struct {
	member.View
	live []member.Member
}

func (m liveMembers) Live() []member.Member { return m.live }

// newRegions returns an entry in domain north of a region with south; the
// domain east is in another region. Each domain has a pool for model m. The
// pools named in refuse refuse for the kind; asked receives the pools in order.
func newRegionFixture(t *testing.T, refuse map[string]errkind.Kind) (f *fixture, tried *[]string) {
	f, tried = newFixture(t), &[]string{}
	f.entry.Settings.Instance.RegionDomains = []string{"north", "south"}
	snapshot := newSnapshot()
	for _, domain := range []string{"east", "south"} {
		snapshot.Pools[domain+"/m"] = &conf.Pool{Name: domain + "/m", Domain: domain, Targets: []string{"model:m"}}
	}
	f.setSnapshot(snapshot)
	f.onPoolAcquire = func(name string) error {
		*tried = append(*tried, name)
		if kind, refused := refuse[name]; refused {
			return errkind.New(kind, "refused")
		}
		return nil
	}
	return f, tried
}

// Guards against a request that leaves its domain although the own pool serves
// it, that crosses regions without budget or before the own region was asked,
// or that is refused although a pool within reach has capacity.
func TestPoolsTriedNearestFirst(t *testing.T) {
	full := errkind.Overloaded
	north, south, east := "north/m", "south/m", "east/m"
	for _, c := range []struct {
		name     string
		refuse   map[string]errkind.Kind
		accrual  time.Duration
		tried    []string
		wantKind errkind.Kind
	}{
		{"own domain serves", nil, time.Minute, []string{north}, ""},
		{"own region serves, no budget", map[string]errkind.Kind{north: full}, 0, []string{north, south}, ""},
		{"own region serves, budget", map[string]errkind.Kind{north: full}, time.Minute, []string{north, south}, ""},
		{"region full, no budget", map[string]errkind.Kind{north: full, south: full}, 0, []string{north, south}, full},
		{"region full, budget", map[string]errkind.Kind{north: full, south: full}, time.Minute, []string{north, south, east}, ""},
		{"all full", map[string]errkind.Kind{north: full, south: full, east: full}, time.Minute, []string{north, south, east}, full},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, tried := newRegionFixture(t, c.refuse)
			f.clock.Advance(c.accrual)
			w := f.chat(bufferedChatBody)
			f.Expect(*tried).To(Equal(c.tried))
			f.Expect(w.Header().Get(headerError)).To(Equal(string(c.wantKind)))
			f.Expect(strings.Count(f.log.String(), `"routed out of the domain"`)).To(Equal(len(c.tried) - 1))
		})
	}
}

// Guards against a second pool, and so a second run, after a refusal that may
// have run, and after one that holds for every pool.
func TestNextPoolOnlyIfNotRun(t *testing.T) {
	for _, kind := range errkind.Kinds() {
		f, tried := newRegionFixture(t, map[string]errkind.Kind{"north/m": kind})
		f.clock.Advance(time.Minute)
		f.chat(bufferedChatBody)
		if errkind.AnswerFor(kind).RunState != errkind.NotRun || !route.MayTryNext(kind) {
			f.Expect(*tried).To(Equal([]string{"north/m"}), string(kind))
			f.Expect(f.dispatches).To(BeEmpty(), string(kind))
		} else {
			f.Expect(*tried).To(Equal([]string{"north/m", "south/m"}), string(kind))
		}
	}
}

// Guards against a decision to leave the domain that cannot be explained from
// the log.
func TestRoutingDecisionLogged(t *testing.T) {
	f, _ := newRegionFixture(t, map[string]errkind.Kind{"north/m": errkind.Overloaded})
	f.chat(bufferedChatBody)
	f.Expect(f.log.String()).To(ContainSubstring(
		`"request"="issued-1" "team"="t" "tier"="low" "pool"="south/m" "distance"="same region"` +
			` "reason"="north/m refused: overloaded" "preferred_to"="east/m"`))
}

// Guards against a budget that requests use up without sending anything, and
// against one that is given back after a dispatch.
func TestCrossRegionBudgetReturnedUnlessDispatched(t *testing.T) {
	full := map[string]errkind.Kind{"north/m": errkind.Overloaded, "south/m": errkind.Overloaded}
	refusing := map[string]errkind.Kind{"east/m": errkind.Overloaded}
	for pool, kind := range full {
		refusing[pool] = kind
	}
	bytes := route.RequestBytes(len(bufferedChatBody), initialOutputTokens)
	for _, c := range []struct {
		name      string
		refuse    map[string]errkind.Kind
		setUp     func(f *fixture)
		wantTaken int
	}{
		{"refused", refusing, func(*fixture) {}, 0},
		{"dials failed", full, func(f *fixture) { f.onDial = func() error { return errReset } }, 0},
		{"refused by the deadline while granted", full, func(f *fixture) {
			f.onGrant = func() { f.onlyRequest().refuse(errkind.New(errkind.DeadlineExceeded, "test")) }
		}, 0},
		{"upstreams withdrawn", full, func(f *fixture) {
			f.onGrant = func() { f.Snapshot().Withdrawn["e1"], f.Snapshot().Withdrawn["e2"] = true, true }
		}, 0},
		{"dispatched", full, func(*fixture) {}, bytes},
		{"dispatched after a failed dial", full, func(f *fixture) {
			failed := false
			f.onDial = func() error {
				if failed {
					return nil
				}
				failed = true
				return errReset
			}
		}, bytes},
		{"broken after the dispatch", full, func(f *fixture) {
			f.onDispatch = func(upstream.Call) (*upstream.Answer, error) { return nil, errReset }
			f.onFetch = func(string) (*upstream.Answer, error) { return nil, errReset }
		}, bytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, _ := newRegionFixture(t, c.refuse)
			// The largest budget that can be saved up.
			f.clock.Advance(time.Hour)
			limit := drainBudget(f.entry.crossRegionBudget)
			f.entry.crossRegionBudget.Return(limit)
			c.setUp(f)
			f.chat(bufferedChatBody)
			f.Expect(drainBudget(f.entry.crossRegionBudget)).To(Equal(limit - c.wantTaken))
		})
	}
}

// takeAll takes what is left, in whole bytes, and returns it.
func drainBudget(budget *route.Budget) int {
	taken := 0
	for bytes := 1 << 40; bytes > 0; bytes /= 2 {
		if budget.Take(bytes) {
			taken += bytes
		}
	}
	return taken
}

// Guards against a request that is told no_upstream, which a caller takes as
// permanent, when only the budget is missing.
func TestOnlyOtherRegionServes(t *testing.T) {
	f, tried := newRegionFixture(t, nil)
	snapshot := f.Snapshot()
	delete(snapshot.Pools, "north/m")
	delete(snapshot.Pools, "south/m")
	f.Expect(f.chat(bufferedChatBody).Header().Get(headerError)).To(Equal("overloaded"))
	f.Expect(*tried).To(BeEmpty())
	f.clock.Advance(time.Minute)
	f.Expect(f.call(context.Background(), http.MethodPost, "/v1/chat/completions", bufferedChatBody).Code).To(Equal(http.StatusOK))
	f.Expect(*tried).To(Equal([]string{"east/m"}))
}

// Guards against instances that take more than their share of the link.
func TestLinkSharerCount(t *testing.T) {
	for _, c := range []struct {
		live    int
		domains []string
		want    int
	}{
		{0, nil, 1},
		{3, nil, 3},
		{3, []string{"south"}, 6},
		{3, []string{"north", "south"}, 6},
		{4, []string{"south", "west"}, 12},
	} {
		f := newFixture(t)
		f.entry.Members = liveMembers{live: make([]member.Member, c.live)}
		f.entry.Settings.Instance.RegionDomains = c.domains
		f.Expect(f.entry.linkSharerCount()).To(Equal(c.want), fmt.Sprint(c))
	}
}
