package conf_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	standin "github.com/rosemarywing/rosemarywing/internal/standin/platform"
	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

func object(kind record.Kind, name string, version uint64, spec string) conf.Object {
	body := fmt.Appendf(nil, `{"schema":"rosemarywing/v2","kind":%q,"name":%q,"spec":%s}`, kind, name, spec)
	return conf.Object{Key: conf.Key{Kind: kind, Name: name}, Version: version, Body: body}
}

func engine(name string, version uint64, domain, batch, models string) conf.Object {
	return object(record.KindUpstream, name, version, fmt.Sprintf(
		`{"type":"engine","address":"h:1","domain":%q,"batch":%q,"models":[%s],"maxRequests":1}`, domain, batch, models))
}

// Guards against pools that differ between instances, that span failure
// domains, or that separate models which an upstream connects; and against an
// engine pool and a service pool with the same name.
func TestPools(t *testing.T) {
	g := NewWithT(t)
	service := func(name, of string) conf.Object {
		return object(record.KindUpstream, name, 9, fmt.Sprintf(
			`{"type":"service","address":"h:1","domain":"north","service":%q,"maxRequests":1}`, of))
	}
	cache := conf.NewCache()
	cache.Merge([]conf.Object{
		engine("e1", 1, "north", "", `"m@1"`),
		engine("e2", 2, "north", "", `"k@1","m@2"`),
		engine("e3", 3, "north", "", `"k@1"`),
		engine("e4", 4, "north", "", `"z@1"`),
		engine("e5", 5, "south", "", `"m@1"`),
		service("s1", "z"), service("s2", "cutting"),
	}, true)
	pools := map[string][]string{}
	for name, pool := range cache.Snapshot().Pools {
		pools[name] = pool.Upstreams
	}
	g.Expect(pools).To(Equal(map[string][]string{
		"north/k": {"e1", "e2", "e3"}, "north/z": {"e4"}, "south/m": {"e5"},
		"north/service:z": {"s1"}, "north/cutting": {"s2"},
	}))
	cache.Merge([]conf.Object{engine("e2", 10, "north", "", `"m@2"`)}, false)
	g.Expect(cache.Snapshot().PoolByUpstream).To(HaveKeyWithValue("e3", "north/k"))
	g.Expect(cache.Snapshot().PoolByUpstream).To(HaveKeyWithValue("e2", "north/m"))
}

// Guards against a withdrawal that misses an upstream added to the batch later,
// that takes effect in part, or that modifies a published snapshot.
func TestWithdrawals(t *testing.T) {
	g := NewWithT(t)
	cache := conf.NewCache()
	cache.Merge([]conf.Object{
		engine("e1", 1, "north", "b", `"m@1"`), engine("e2", 2, "north", "b", `"m@1"`),
		engine("e3", 3, "north", "", `"m@1"`),
	}, true)
	before := cache.Snapshot()
	cache.Merge([]conf.Object{object(record.KindWithdrawal, "w", 4, `{"batch":"b","modelVersion":"m@2"}`)}, false)
	cache.Merge([]conf.Object{engine("e4", 5, "north", "b", `"m@1"`)}, false)
	after := cache.Snapshot()
	g.Expect(before.WithdrawnUpstreams).To(BeEmpty())
	g.Expect(after.WithdrawnUpstreams).To(Equal(map[string]bool{"e1": true, "e2": true, "e4": true}))
	g.Expect(after.IsServable("e3", "m@1")).To(BeTrue())
	g.Expect(after.IsServable("e3", "m@2")).To(BeFalse())
	cache.Merge([]conf.Object{{Key: conf.Key{Kind: record.KindWithdrawal, Name: "w"}, Version: 6, Deleted: true}}, false)
	g.Expect(cache.Snapshot().WithdrawnUpstreams).To(BeEmpty())
}

// Guards against a record with an unknown field, as a newer version writes it,
// that disables the last valid record or is not sent to peers.
func TestInvalidRecordKeepsLastValid(t *testing.T) {
	g := NewWithT(t)
	cache := conf.NewCache()
	cache.Merge([]conf.Object{engine("e1", 1, "north", "", `"m@1"`)}, true)
	newer := engine("e1", 2, "north", "", `"m@1"],"shape":["x"`)
	g.Expect(cache.Merge([]conf.Object{newer}, false)).To(BeTrue())
	g.Expect(cache.Snapshot().Upstreams).To(HaveKey("e1"))
	g.Expect(cache.Snapshot().NewestVersion).To(BeEquivalentTo(2))
	g.Expect(cache.ObjectsAfter(1)).To(ConsistOf(newer))
	cache.MergeListing(nil, 2, true)
	g.Expect(cache.Snapshot().Upstreams).To(BeEmpty())
}

// Guards against an invalid record that is ignored without a log line, against
// a line that lacks the cause or the version in effect, and against a line for
// each listing that contains the record.
func TestInvalidRecordIsLoggedOnce(t *testing.T) {
	valid := object(record.KindTier, "x", 1, `{"priority":1,"deadlineMs":1}`)
	body := func(version uint64, text string) conf.Object {
		return conf.Object{Key: valid.Key, Version: version, Body: []byte(text)}
	}
	table := []struct {
		name      string
		before    []conf.Object
		object    conf.Object
		wantTexts []string
	}{
		{"unknown field", []conf.Object{valid}, object(record.KindTier, "x", 2, `{"priority":1,"deadlineMs":1,"burst":3}`),
			[]string{`"burst\"`, `"version"=2`, `"version_in_effect"=1`}},
		{"unknown schema version", []conf.Object{valid}, body(3, `{"schema":"rosemarywing/v9","kind":"Tier","name":"x","spec":{}}`),
			[]string{"field schema", `"version"=3`, `"version_in_effect"=1`}},
		{"second version in a row", []conf.Object{valid, body(2, `{}`)}, body(3, `{}`),
			[]string{"field schema", `"version"=3`, `"version_in_effect"=1`}},
		{"no valid version", nil, object(record.KindTier, "x", 2, `{"priority":1}`),
			[]string{"spec.deadlineMs", `"version_in_effect"=0`}},
		{"another name in the body", nil, body(2, `{"schema":"rosemarywing/v2","kind":"Tier","name":"y","spec":{"priority":1,"deadlineMs":1}}`),
			[]string{"field name"}},
		{"another kind in the body", nil, body(2, `{"schema":"rosemarywing/v2","kind":"Model","name":"x","spec":{"versions":["1"]}}`),
			[]string{"field kind"}},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			var lines []string
			cache := conf.NewCache()
			cache.SetLogger(funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{}))
			cache.Merge(row.before, true)
			lines = nil
			cache.Merge([]conf.Object{row.object}, false)
			cache.MergeListing([]conf.Object{row.object}, row.object.Version, true)
			g.Expect(lines).To(HaveLen(1))
			for _, text := range append(row.wantTexts, `"kind"="Tier"`, `"name"="x"`) {
				g.Expect(lines[0]).To(ContainSubstring(text))
			}
		})
	}
}

// Guards against a key that still authenticates callers after it was moved or
// removed, and against instances that disagree on a key listed by two teams.
func TestTeamKeys(t *testing.T) {
	g := NewWithT(t)
	team := func(name string, version uint64, sum int) conf.Object {
		return object(record.KindTeam, name, version, fmt.Sprintf(
			`{"keySHA256":["%064x"],"weight":1,"defaultTier":"t","highestTier":"t"}`, sum))
	}
	owner := func(c *conf.Cache, sum int) string {
		if found := c.Snapshot().TeamByKey[fmt.Sprintf("%064x", sum)]; found != nil {
			return found.Name
		}
		return ""
	}
	cache := conf.NewCache()
	cache.Merge([]conf.Object{team("a", 1, 1), team("b", 2, 2)}, true)
	cache.Merge([]conf.Object{team("b", 3, 1)}, false)
	g.Expect([]string{owner(cache, 1), owner(cache, 2)}).To(Equal([]string{"a", ""}))
	cache.Merge([]conf.Object{team("a", 4, 3)}, false)
	g.Expect([]string{owner(cache, 1), owner(cache, 3)}).To(Equal([]string{"b", "a"}))
}

// recordingClock is a clock whose After fires at once and records the delay.
type recordingClock struct {
	*clockwork.FakeClock
	delays chan time.Duration
}

func (c *recordingClock) After(delay time.Duration) <-chan time.Time {
	if delay > 0 {
		c.delays <- delay
	}
	elapsed := make(chan time.Time, 1)
	elapsed <- c.Now()
	return elapsed
}

// Guards against a watcher that does not apply events, that does not list again
// after a broken watch, or that retries without backoff while watches break.
func TestWatcherBacksOffAfterBrokenWatch(t *testing.T) {
	g := NewWithT(t)
	const longInterval = time.Hour
	server := standin.NewServer(clockwork.NewFakeClock())
	listener := httptest.NewServer(server)
	defer listener.Close()
	clock := &recordingClock{FakeClock: clockwork.NewFakeClock(), delays: make(chan time.Duration)}
	client := platform.NewClient(platform.Options{
		BaseURL: listener.URL, Timeout: time.Minute, WatchIdleTimeout: longInterval,
		Registry: metrics.NewRegistry(), Clock: clock,
	})
	defer client.Close()
	put := func(name string) {
		_, err := client.Put(context.Background(), platform.Object{Kind: "Tier", Name: name, Body: tierBody(name, 1)}, platform.Precondition{})
		g.Expect(err).NotTo(HaveOccurred())
	}
	cache := conf.NewCache()
	waitFor := func(name string) {
		for {
			changed := cache.Changed()
			if cache.Snapshot().Tiers[name] != nil {
				return
			}
			<-changed
		}
	}
	syncer := conf.NewSyncer(cache, client, &node{}, conf.Options{
		IsWatcher: func() bool { return true }, BackoffMin: time.Second, BackoffMax: 8 * time.Second,
		RoleCheckInterval: longInterval, RelistInterval: longInterval, CallTimeout: time.Minute,
		Clock: clock, Random: rand.New(rand.NewPCG(1, 2)), Log: logr.Discard(),
	})
	put("listed")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); syncer.Run(ctx) }()
	waitFor("listed")
	put("watched")
	waitFor("watched")
	server.SetFaults(standin.Faults{EndWatches: true})
	for i, backoff := range []time.Duration{1, 2, 4, 8, 8, 8} {
		delay := <-clock.delays
		g.Expect(delay).To(BeNumerically(">=", backoff*time.Second/2))
		g.Expect(delay).To(BeNumerically("<=", backoff*time.Second))
		put(fmt.Sprint("during-", i))
	}
	waitFor("during-4")
	cancel()
	for {
		select {
		case <-clock.delays:
		case <-done:
			return
		}
	}
}

// targetScaleObjects returns a configuration of the design scale: 600 upstreams
// in 6 failure domains, 36 models, 6,300 teams and 3 tiers.
func targetScaleObjects() []conf.Object {
	var objects []conf.Object
	add := func(o conf.Object) {
		o.Version = uint64(len(objects) + 1)
		objects = append(objects, o)
	}
	for i := range 3 {
		add(object(record.KindTier, fmt.Sprint("tier-", i), 0, fmt.Sprintf(`{"priority":%d,"deadlineMs":1000}`, i)))
	}
	for i := range 36 {
		add(object(record.KindModel, fmt.Sprint("model-", i), 0, `{"versions":["1","2"]}`))
	}
	for i := range 6300 {
		add(object(record.KindTeam, fmt.Sprint("team-", i), 0, fmt.Sprintf(
			`{"keySHA256":["%064x"],"weight":1,"defaultTier":"tier-0","highestTier":"tier-2"}`, i)))
	}
	for i := range 600 {
		add(engine(fmt.Sprint("engine-", i), 0, fmt.Sprint("domain-", i%6), fmt.Sprint("batch-", i%20),
			fmt.Sprintf(`"model-%d@1"`, i/6%36)))
	}
	return objects
}

func BenchmarkMergeListing(b *testing.B) {
	objects := targetScaleObjects()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	caches := make([]*conf.Cache, 0, b.N)
	for b.Loop() {
		cache := conf.NewCache()
		cache.MergeListing(objects, uint64(len(objects)), true)
		caches = append(caches[:0], cache)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB/cache")
	runtime.KeepAlive(caches)
	runtime.KeepAlive(objects)
}

func BenchmarkMergeSingleChange(b *testing.B) {
	changes := map[string]func(i int) conf.Object{
		"upstream": func(i int) conf.Object { return engine("engine-1", 0, "domain-1", "batch-1", `"model-0@1"`) },
		"team": func(i int) conf.Object {
			return object(record.KindTeam, "team-1", 0, fmt.Sprintf(
				`{"keySHA256":["%064x"],"weight":1,"defaultTier":"tier-0","highestTier":"tier-2"}`, 7000+i%2))
		},
		"pool": func(i int) conf.Object {
			return engine("engine-1", 0, "domain-1", "batch-1", fmt.Sprintf(`"model-%d@1"`, i%36))
		},
		"withdrawal": func(i int) conf.Object {
			return object(record.KindWithdrawal, "w", 0, fmt.Sprintf(`{"batch":"batch-%d"}`, i%20))
		},
	}
	for name, change := range changes {
		b.Run(name, func(b *testing.B) {
			cache := conf.NewCache()
			cache.MergeListing(targetScaleObjects(), 10_000, true)
			version := uint64(10_000)
			for b.Loop() {
				version++
				o := change(int(version))
				o.Version = version
				cache.Merge([]conf.Object{o}, false)
			}
		})
	}
}

// BenchmarkMergeBurst merges 100 changed teams at once, as the syncer does.
func BenchmarkMergeBurst(b *testing.B) {
	cache := conf.NewCache()
	cache.MergeListing(targetScaleObjects(), 10_000, true)
	version := uint64(10_000)
	for b.Loop() {
		var burst []conf.Object
		for i := range 100 {
			version++
			burst = append(burst, object(record.KindTeam, fmt.Sprint("team-", i), version, fmt.Sprintf(
				`{"keySHA256":["%064x"],"weight":1,"defaultTier":"tier-0","highestTier":"tier-2"}`, version)))
		}
		cache.Merge(burst, false)
	}
}
