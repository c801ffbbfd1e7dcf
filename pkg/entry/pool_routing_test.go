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

// liveMembers is a member.View that implements only Live.
type liveMembers struct {
	member.View
	live []member.Member
}

func (m liveMembers) Live() []member.Member { return m.live }

// newRegionFixture returns an entry in failure domain north; south is in the
// same region, east in another one. Each domain has a pool for model m. A pool
// listed in refuse answers each request for a grant with the given error kind.
// tried collects the pools asked, in order.
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

// Guards against a request that leaves its failure domain although a local pool
// serves it, that crosses regions without budget or before the local region was
// tried, or that is refused although a reachable pool has capacity.
func TestPoolsTriedNearestFirst(t *testing.T) {
	full := errkind.Overloaded
	north, south, east := "north/m", "south/m", "east/m"
	for _, c := range []struct {
		name      string
		refuse    map[string]errkind.Kind
		accrual   time.Duration
		wantTried []string
		wantKind  errkind.Kind
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
			f.Expect(*tried).To(Equal(c.wantTried))
			f.Expect(w.Header().Get(headerError)).To(Equal(string(c.wantKind)))
			f.Expect(strings.Count(f.log.String(), `"routed out of the domain"`)).To(Equal(len(c.wantTried) - 1))
		})
	}
}

// Guards against two errors. If a refusal leaves open whether the request ran, a
// second pool could run it twice. If every pool would refuse for the same reason,
// trying a second pool is useless.
func TestNextPoolOnlyIfNotRun(t *testing.T) {
	for _, kind := range errkind.Kinds() {
		f, tried := newRegionFixture(t, map[string]errkind.Kind{"north/m": kind})
		f.clock.Advance(time.Minute)
		f.chat(bufferedChatBody)
		if errkind.ResponseFor(kind).RunState != errkind.NotRun || !route.MayTryNext(kind) {
			f.Expect(*tried).To(Equal([]string{"north/m"}), string(kind))
			f.Expect(f.dispatches).To(BeEmpty(), string(kind))
		} else {
			f.Expect(*tried).To(Equal([]string{"north/m", "south/m"}), string(kind))
		}
	}
}

// Guards against a log that does not explain why a request left its failure
// domain.
func TestRoutingDecisionLogged(t *testing.T) {
	f, _ := newRegionFixture(t, map[string]errkind.Kind{"north/m": errkind.Overloaded})
	f.chat(bufferedChatBody)
	f.Expect(f.log.String()).To(ContainSubstring(
		`"request"="issued-1" "team"="t" "tier"="low" "pool"="south/m" "distance"="same region"` +
			` "reason"="north/m refused: overloaded" "preferred_to"="east/m"`))
}

// Guards against a byte budget that is consumed by requests that send nothing,
// or returned after a dispatch.
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
		{"deadline passed while granted", full, func(f *fixture) {
			f.onGrant = func() { f.onlyRequest().refuse(errkind.New(errkind.DeadlineExceeded, "test")) }
		}, 0},
		{"upstreams withdrawn", full, func(f *fixture) {
			f.onGrant = func() { f.Snapshot().WithdrawnUpstreams["e1"], f.Snapshot().WithdrawnUpstreams["e2"] = true, true }
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
		{"connection lost after the dispatch", full, func(f *fixture) {
			f.onDispatch = func(upstream.Call) (*upstream.Answer, error) { return nil, errReset }
			f.onFetch = func(string) (*upstream.Answer, error) { return nil, errReset }
		}, bytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, _ := newRegionFixture(t, c.refuse)
			// After an hour, the budget has accrued to its maximum.
			f.clock.Advance(time.Hour)
			limit := drainBudget(f.entry.crossRegionBudget)
			f.entry.crossRegionBudget.Return(limit)
			c.setUp(f)
			f.chat(bufferedChatBody)
			f.Expect(drainBudget(f.entry.crossRegionBudget)).To(Equal(limit - c.wantTaken))
		})
	}
}

// drainBudget takes all whole bytes left in the budget and returns their
// number.
func drainBudget(budget *route.Budget) int {
	taken := 0
	for bytes := 1 << 40; bytes > 0; bytes /= 2 {
		if budget.Take(bytes) {
			taken += bytes
		}
	}
	return taken
}

// Guards against no_upstream, which callers treat as permanent, when a pool
// exists in another region and only the byte budget is exhausted.
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

// Guards against an instance that takes more than its share of the link between
// regions.
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
