package conf_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// mesh connects syncers in memory and records what passes between them.
type mesh struct {
	mu       sync.Mutex
	syncers  map[string]*conf.Syncer
	caches   map[string]*conf.Cache
	notified map[string][]string
	largest  int
	pages    int
}

// link is the view that one syncer has of the mesh.
type link struct {
	*mesh
	self string
}

func (l link) FetchConfig(_ context.Context, address string, request conf.FetchRequest) (conf.FetchReply, error) {
	reply := l.syncers[address].HandleFetch(request)
	size := 0
	for _, o := range reply.Objects {
		size += len(o.Body)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.largest = max(l.largest, size)
	l.pages++
	return reply, nil
}

func (l link) NotifyConfig(_ context.Context, address string, notice conf.Notice) error {
	l.mu.Lock()
	l.notified[l.self] = append(l.notified[l.self], address)
	l.mu.Unlock()
	l.syncers[address].HandleNotify(notice)
	return nil
}

func (l link) Addresses() []string {
	var others []string
	for address := range l.syncers {
		if address != l.self {
			others = append(others, address)
		}
	}
	return others
}

func newMesh(count int) *mesh {
	m := &mesh{syncers: map[string]*conf.Syncer{}, caches: map[string]*conf.Cache{}, notified: map[string][]string{}}
	w := &world{live: map[string]uint64{"a": 3}, version: 3}
	for i := range count {
		address := fmt.Sprint(i)
		m.caches[address] = conf.NewCache()
		m.syncers[address] = conf.NewSyncer(m.caches[address], &node{world: w}, link{m, address}, conf.Options{
			Address: address, IsWatcher: func() bool { return false }, Fanout: 4,
			BackoffMin: time.Second, BackoffMax: time.Second, RoleInterval: time.Hour, CallTimeout: time.Hour,
			Clock: clockwork.NewFakeClock(), Random: rand.New(rand.NewPCG(1, uint64(i))), Log: logr.Discard(),
		})
	}
	return m
}

// Guards against a change that stays at the watcher, or that is sent to more
// members than the fanout; and against goroutines that outlive the syncer.
func TestNotificationSpreadsAChange(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := NewWithT(t)
	m := newMesh(5)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, syncer := range m.syncers {
		running.Go(func() { syncer.Run(ctx) })
	}
	_, err := m.syncers["0"].List(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	for _, cache := range m.caches {
		for {
			changed := cache.Changed()
			if cache.Snapshot().Usable {
				break
			}
			<-changed
		}
		g.Expect(cache.Snapshot().Tiers).To(HaveKey("a"))
	}
	cancel()
	running.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	g.Expect(m.notified["0"]).To(ConsistOf("1", "2", "3", "4"))

	large := newMesh(8)
	_, err = large.syncers["0"].List(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	// Run returns after the last notification, as its context has ended.
	large.syncers["0"].Run(ctx)
	g.Expect(large.notified["0"]).To(HaveLen(4))
}

// Guards against a reply above the limit of 4 MiB on a message between
// instances, and against a cache that is usable with a part of the pages.
func TestLargeConfigurationIsFetchedInPages(t *testing.T) {
	g := NewWithT(t)
	m := newMesh(2)
	var objects []conf.Object
	for i := range 100 {
		objects = append(objects, conf.Object{
			Key:     conf.Key{Kind: record.KindTeam, Name: fmt.Sprint("t", i)},
			Version: uint64(i + 1), Body: make([]byte, 100_000),
		})
	}
	m.caches["0"].MergeComplete(objects, 100, true)
	g.Expect(m.syncers["1"].Exchange(context.Background(), "0")).To(Succeed())
	g.Expect(m.caches["1"].Snapshot().Digest).To(Equal(m.caches["0"].Snapshot().Digest))
	g.Expect(m.caches["1"].Snapshot().Usable).To(BeTrue())
	g.Expect(m.pages).To(BeNumerically(">", 1))
	g.Expect(m.largest).To(BeNumerically("<", 4<<20))

	// A hole below the newest version is filled by comparing all versions.
	hole := newMesh(2)
	hole.caches["0"].MergeComplete(objects, 100, true)
	hole.caches["1"].Merge(objects[60:], true)
	for range 2 {
		g.Expect(hole.syncers["1"].Exchange(context.Background(), "0")).To(Succeed())
	}
	g.Expect(hole.caches["1"].Snapshot().Digest).To(Equal(hole.caches["0"].Snapshot().Digest))
	g.Expect(hole.largest).To(BeNumerically("<", 4<<20))
}

// Guards against an object that comes back after its deletion although a
// complete listing lacks it. The state machine test finds some of these cases
// only after thousands of runs.
func TestLateMessagesBelowTheFloor(t *testing.T) {
	live := func(version uint64) conf.Object {
		return conf.Object{Key: key("a"), Version: version, Body: tierBody("a", version)}
	}
	dead := func(version uint64) conf.Object {
		return conf.Object{Key: key("a"), Version: version, Deleted: true}
	}
	table := map[string]func(*conf.Cache){
		"never known": func(c *conf.Cache) {
			c.MergeComplete(nil, 9, true)
			c.Merge([]conf.Object{live(5)}, false)
		},
		"lived between an older tombstone and the floor": func(c *conf.Cache) {
			c.Merge([]conf.Object{dead(3)}, false)
			c.MergeComplete(nil, 9, true)
			c.Merge([]conf.Object{live(5)}, false)
		},
		"an older tombstone in the listing": func(c *conf.Cache) {
			c.Merge([]conf.Object{live(5)}, false)
			c.MergeComplete([]conf.Object{dead(3)}, 9, true)
		},
		"an older tombstone at the peer that compares all versions": func(c *conf.Cache) {
			peer := conf.NewCache()
			peer.Merge([]conf.Object{dead(3)}, false)
			peer.MergeComplete(nil, 9, true)
			c.Merge([]conf.Object{live(5)}, true)
			c.Merge(peer.Answer(conf.FetchRequest{Known: c.Known()}).Objects, false)
		},
	}
	for name, deliver := range table {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cache := conf.NewCache()
			deliver(cache)
			g.Expect(cache.Snapshot().Tiers).To(BeEmpty())
			cache.Merge([]conf.Object{live(10)}, false)
			g.Expect(cache.Snapshot().Tiers).To(HaveKey("a"))
		})
	}
}
