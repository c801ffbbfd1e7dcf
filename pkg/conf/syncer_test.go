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

// memoryNetwork connects syncers in memory and records their calls.
type memoryNetwork struct {
	mu           sync.Mutex
	syncers      map[string]*conf.Syncer
	caches       map[string]*conf.Cache
	notified     map[string][]string
	largestReply int
	pages        int
}

// networkPeer is the conf.PeerTransport of one syncer.
type networkPeer struct {
	*memoryNetwork
	self string
}

func (p networkPeer) FetchConfig(_ context.Context, address string, request conf.FetchRequest) (conf.FetchReply, error) {
	reply := p.syncers[address].HandleFetch(request)
	size := 0
	for _, o := range reply.Objects {
		size += len(o.Body)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.largestReply = max(p.largestReply, size)
	p.pages++
	return reply, nil
}

func (p networkPeer) NotifyConfig(_ context.Context, address string, notification conf.ChangeNotification) error {
	p.mu.Lock()
	p.notified[p.self] = append(p.notified[p.self], address)
	p.mu.Unlock()
	p.syncers[address].HandleNotify(notification)
	return nil
}

func (p networkPeer) Addresses() []string {
	var others []string
	for address := range p.syncers {
		if address != p.self {
			others = append(others, address)
		}
	}
	return others
}

func newMemoryNetwork(count int) *memoryNetwork {
	m := &memoryNetwork{syncers: map[string]*conf.Syncer{}, caches: map[string]*conf.Cache{}, notified: map[string][]string{}}
	sim := &simulation{live: map[string]uint64{"a": 3}, version: 3}
	for i := range count {
		address := fmt.Sprint(i)
		m.caches[address] = conf.NewCache()
		m.syncers[address] = conf.NewSyncer(m.caches[address], &node{simulation: sim}, networkPeer{m, address}, conf.Options{
			Address: address, IsWatcher: func() bool { return false }, Fanout: 4,
			BackoffMin: time.Second, BackoffMax: time.Second, RoleCheckInterval: time.Hour, CallTimeout: time.Hour,
			Clock: clockwork.NewFakeClock(), Random: rand.New(rand.NewPCG(1, uint64(i))), Log: logr.Discard(),
		})
	}
	return m
}

// Guards against a change that is not sent to other members or is sent to more
// members than the fanout, and against goroutines that outlive the syncer.
func TestChangeNotification(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := NewWithT(t)
	m := newMemoryNetwork(5)
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

	large := newMemoryNetwork(8)
	_, err = large.syncers["0"].List(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	// Run waits for the notifications and returns, since its context has ended.
	large.syncers["0"].Run(ctx)
	g.Expect(large.notified["0"]).To(HaveLen(4))
}

// Guards against a reply above the limit of 4 MiB on a message between
// instances, and against a cache that becomes usable before the last page.
func TestFetchInPages(t *testing.T) {
	g := NewWithT(t)
	m := newMemoryNetwork(2)
	var objects []conf.Object
	for i := range 100 {
		objects = append(objects, conf.Object{
			Key:     conf.Key{Kind: record.KindTeam, Name: fmt.Sprint("t", i)},
			Version: uint64(i + 1), Body: make([]byte, 100_000),
		})
	}
	m.caches["0"].MergeListing(objects, 100, true)
	g.Expect(m.syncers["1"].PullFrom(context.Background(), "0")).To(Succeed())
	g.Expect(m.caches["1"].Snapshot().Digest).To(Equal(m.caches["0"].Snapshot().Digest))
	g.Expect(m.caches["1"].Snapshot().Usable).To(BeTrue())
	g.Expect(m.pages).To(BeNumerically(">", 1))
	g.Expect(m.largestReply).To(BeNumerically("<", 4<<20))

	// Objects missing below the newest version are found by comparing all versions.
	withGap := newMemoryNetwork(2)
	withGap.caches["0"].MergeListing(objects, 100, true)
	withGap.caches["1"].Merge(objects[60:], true)
	for range 2 {
		g.Expect(withGap.syncers["1"].PullFrom(context.Background(), "0")).To(Succeed())
	}
	g.Expect(withGap.caches["1"].Snapshot().Digest).To(Equal(withGap.caches["0"].Snapshot().Digest))
	g.Expect(withGap.largestReply).To(BeNumerically("<", 4<<20))
}

// Guards against a delayed message that restores a deleted object although a
// complete listing lacked it. The state machine test needs thousands of runs to
// find some of these cases.
func TestDelayedObjectDoesNotUndoDeletion(t *testing.T) {
	live := func(version uint64) conf.Object {
		return conf.Object{Key: key("a"), Version: version, Body: tierBody("a", version)}
	}
	deleted := func(version uint64) conf.Object {
		return conf.Object{Key: key("a"), Version: version, Deleted: true}
	}
	table := map[string]func(*conf.Cache){
		"object that was never known": func(c *conf.Cache) {
			c.MergeListing(nil, 9, true)
			c.Merge([]conf.Object{live(5)}, false)
		},
		"object written after the known tombstone and deleted before the listing": func(c *conf.Cache) {
			c.Merge([]conf.Object{deleted(3)}, false)
			c.MergeListing(nil, 9, true)
			c.Merge([]conf.Object{live(5)}, false)
		},
		"older tombstone in the listing": func(c *conf.Cache) {
			c.Merge([]conf.Object{live(5)}, false)
			c.MergeListing([]conf.Object{deleted(3)}, 9, true)
		},
		"older tombstone at the peer that compares all versions": func(c *conf.Cache) {
			peer := conf.NewCache()
			peer.Merge([]conf.Object{deleted(3)}, false)
			peer.MergeListing(nil, 9, true)
			c.Merge([]conf.Object{live(5)}, true)
			c.Merge(peer.FetchPage(conf.FetchRequest{Known: c.KnownVersions()}).Objects, false)
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
