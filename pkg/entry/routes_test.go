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
type members struct {
	member.View
	live []member.Member
}

func (m members) Live() []member.Member { return m.live }

// newRegions returns an entry in domain north of a region with south; the
// domain east is in another region. Each domain has a pool for model m. The
// pools named in refuse refuse for the kind; asked receives the pools in order.
func newRegions(t *testing.T, refuse map[string]errkind.Kind) (f *fixture, asked *[]string) {
	f, asked = newFixture(t), &[]string{}
	f.entry.Settings.Instance.RegionDomains = []string{"north", "south"}
	snapshot := newSnapshot()
	for _, domain := range []string{"east", "south"} {
		snapshot.Pools[domain+"/m"] = &conf.Pool{Name: domain + "/m", Domain: domain, Targets: []string{"model:m"}}
	}
	f.setSnapshot(snapshot)
	f.onAsk = func(name string) error {
		*asked = append(*asked, name)
		if kind, refused := refuse[name]; refused {
			return errkind.New(kind, "refused")
		}
		return nil
	}
	return f, asked
}

// Guards against a request that leaves its domain although the own pool serves
// it, that crosses regions without budget or before the own region was asked,
// or that is refused although a pool within reach has capacity.
func TestPoolsAreAskedNearestFirst(t *testing.T) {
	full := errkind.Overloaded
	north, south, east := "north/m", "south/m", "east/m"
	for _, c := range []struct {
		name   string
		refuse map[string]errkind.Kind
		saved  time.Duration
		asked  []string
		told   errkind.Kind
	}{
		{"own domain serves", nil, time.Minute, []string{north}, ""},
		{"own region serves, no budget", map[string]errkind.Kind{north: full}, 0, []string{north, south}, ""},
		{"own region serves, budget", map[string]errkind.Kind{north: full}, time.Minute, []string{north, south}, ""},
		{"region full, no budget", map[string]errkind.Kind{north: full, south: full}, 0, []string{north, south}, full},
		{"region full, budget", map[string]errkind.Kind{north: full, south: full}, time.Minute, []string{north, south, east}, ""},
		{"all full", map[string]errkind.Kind{north: full, south: full, east: full}, time.Minute, []string{north, south, east}, full},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, asked := newRegions(t, c.refuse)
			f.clock.Advance(c.saved)
			w := f.chat(wholeBody)
			f.Expect(*asked).To(Equal(c.asked))
			f.Expect(w.Header().Get(headerError)).To(Equal(string(c.told)))
			f.Expect(strings.Count(f.log.String(), `"routed out of the domain"`)).To(Equal(len(c.asked) - 1))
		})
	}
}

// Guards against a second pool, and so a second run, after a refusal that may
// have run, and after one that holds for every pool.
func TestNoSecondPoolAfterARefusalThatMayHaveRun(t *testing.T) {
	for _, kind := range errkind.Kinds() {
		f, asked := newRegions(t, map[string]errkind.Kind{"north/m": kind})
		f.clock.Advance(time.Minute)
		f.chat(wholeBody)
		if errkind.AnswerFor(kind).RunState != errkind.NotRun || !route.MayTryNext(kind) {
			f.Expect(*asked).To(Equal([]string{"north/m"}), string(kind))
			f.Expect(f.dispatches).To(BeEmpty(), string(kind))
		} else {
			f.Expect(*asked).To(Equal([]string{"north/m", "south/m"}), string(kind))
		}
	}
}

// Guards against a decision to leave the domain that cannot be explained from
// the log.
func TestRoutingDecisionIsLogged(t *testing.T) {
	f, _ := newRegions(t, map[string]errkind.Kind{"north/m": errkind.Overloaded})
	f.chat(wholeBody)
	f.Expect(f.log.String()).To(ContainSubstring(
		`"request"="issued-1" "team"="t" "tier"="low" "pool"="south/m" "distance"="same region"` +
			` "reason"="north/m refused: overloaded" "preferred_to"="east/m"`))
}

// Guards against a budget that requests use up without sending anything, and
// against one that is given back after a dispatch.
func TestBudgetIsReturnedUnlessDispatched(t *testing.T) {
	full := map[string]errkind.Kind{"north/m": errkind.Overloaded, "south/m": errkind.Overloaded}
	refusing := map[string]errkind.Kind{"east/m": errkind.Overloaded}
	for pool, kind := range full {
		refusing[pool] = kind
	}
	bytes := route.RequestBytes(len(wholeBody), firstOutputTokens)
	for _, c := range []struct {
		name   string
		refuse map[string]errkind.Kind
		script func(f *fixture)
		taken  int
	}{
		{"refused", refusing, func(*fixture) {}, 0},
		{"dials failed", full, func(f *fixture) { f.onDial = func() error { return errReset } }, 0},
		{"refused by the deadline while granted", full, func(f *fixture) {
			f.onGrant = func() { f.one().refuse(errkind.New(errkind.DeadlineExceeded, "test")) }
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
			f, _ := newRegions(t, c.refuse)
			// The largest budget that can be saved up.
			f.clock.Advance(time.Hour)
			limit := takeAll(f.entry.budget)
			f.entry.budget.Return(limit)
			c.script(f)
			f.chat(wholeBody)
			f.Expect(takeAll(f.entry.budget)).To(Equal(limit - c.taken))
		})
	}
}

// takeAll takes what is left, in whole bytes, and returns it.
func takeAll(budget *route.Budget) int {
	all := 0
	for bytes := 1 << 40; bytes > 0; bytes /= 2 {
		if budget.Take(bytes) {
			all += bytes
		}
	}
	return all
}

// Guards against a request that is told no_upstream, which a caller takes as
// permanent, when only the budget is missing.
func TestOnlyAnotherRegionServes(t *testing.T) {
	f, asked := newRegions(t, nil)
	snapshot := f.Snapshot()
	delete(snapshot.Pools, "north/m")
	delete(snapshot.Pools, "south/m")
	f.Expect(f.chat(wholeBody).Header().Get(headerError)).To(Equal("overloaded"))
	f.Expect(*asked).To(BeEmpty())
	f.clock.Advance(time.Minute)
	f.Expect(f.call(context.Background(), http.MethodPost, "/v1/chat/completions", wholeBody).Code).To(Equal(http.StatusOK))
	f.Expect(*asked).To(Equal([]string{"east/m"}))
}

// Guards against instances that take more than their share of the link.
func TestLinkShares(t *testing.T) {
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
		f.entry.Members = members{live: make([]member.Member, c.live)}
		f.entry.Settings.Instance.RegionDomains = c.domains
		f.Expect(f.entry.linkShares()).To(Equal(c.want), fmt.Sprint(c))
	}
}
