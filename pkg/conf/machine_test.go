package conf_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// world is a platform store with its history, several instances, and a network
// that loses, delays, repeats and reorders messages.
type world struct {
	t       *rapid.T
	faulty  bool
	version uint64
	live    map[string]uint64
	history []map[string]uint64 // by version: the live objects and their versions
	events  []conf.Object
	lists   []platform.List
	nodes   []*node
	// old holds messages that may arrive again at any time.
	old [][]conf.Object
}

type node struct {
	world   *world
	cache   *conf.Cache
	syncer  *conf.Syncer
	watched uint64
	// highest holds the highest version seen by key in this node's lifetime.
	highest map[string]uint64
}

const nodes = 4

func newWorld(t *rapid.T) *world {
	w := &world{t: t, faulty: true, live: map[string]uint64{}, history: []map[string]uint64{{}}}
	for range nodes {
		w.nodes = append(w.nodes, &node{world: w})
	}
	for _, n := range w.nodes {
		n.restart()
	}
	w.lists = []platform.List{w.list()}
	return w
}

// restart replaces the instance by a new one without state.
func (n *node) restart() {
	n.cache, n.watched, n.highest = conf.NewCache(), 0, map[string]uint64{}
	n.syncer = conf.NewSyncer(n.cache, n, n, conf.Options{
		Random: rand.New(rand.NewPCG(1, 2)), CallTimeout: time.Hour, Log: logr.Discard(),
	})
}

func key(name string) conf.Key { return conf.Key{Kind: record.KindTier, Name: name} }

func tierBody(name string, priority uint64) []byte {
	return fmt.Appendf(nil, `{"schema":"rosemarywing/v2","kind":"Tier","name":%q,"spec":{"priority":%d,"deadlineMs":1}}`, name, priority)
}

func (w *world) write(name string, remove bool) {
	if _, exists := w.live[name]; remove && !exists {
		return
	}
	w.version++
	object := conf.Object{Key: key(name), Version: w.version, Deleted: remove}
	if remove {
		delete(w.live, name)
	} else {
		object.Body = tierBody(name, w.version)
		w.live[name] = w.version
	}
	w.events = append(w.events, object)
	copied := map[string]uint64{}
	for name, version := range w.live {
		copied[name] = version
	}
	w.history = append(w.history, copied)
}

func (w *world) list() platform.List {
	list := platform.List{Version: w.version}
	for name, version := range w.live {
		list.Objects = append(list.Objects, platform.Object{
			Kind: string(record.KindTier), Name: name, Version: version, Body: tierBody(name, version),
		})
	}
	return list
}

func (w *world) pick() *node { return w.nodes[rapid.IntRange(0, nodes-1).Draw(w.t, "node")] }

// List implements the part of platform.Store that the syncer's List uses. A
// faulty platform answers with a listing that was delayed.
func (n *node) List(context.Context, ...string) (platform.List, error) {
	if !n.world.faulty {
		return n.world.list(), nil
	}
	return rapid.SampledFrom(n.world.lists).Draw(n.world.t, "listing"), nil
}

func (n *node) Get(context.Context, string, string) (platform.Object, error) { panic("not used") }

func (n *node) Put(context.Context, platform.Object, platform.Precondition) (uint64, error) {
	panic("not used")
}

func (n *node) Delete(context.Context, string, string, platform.Precondition) (uint64, error) {
	panic("not used")
}

func (n *node) Watch(context.Context, uint64, ...string) (platform.Watch, error) { panic("not used") }

// FetchConfig loses the request or the reply, or delays the reply while the
// asker and the store go on.
func (n *node) FetchConfig(_ context.Context, address string, request conf.FetchRequest) (conf.FetchReply, error) {
	var index int
	if _, err := fmt.Sscan(address, &index); err != nil {
		return conf.FetchReply{}, err
	}
	w := n.world
	reply := w.nodes[index].syncer.HandleFetch(request)
	if !w.faulty {
		return reply, nil
	}
	w.old = append(w.old, reply.Objects)
	switch rapid.SampledFrom([]string{"arrives", "is lost", "is delayed"}).Draw(w.t, "reply") {
	case "is lost":
		return conf.FetchReply{}, errors.New("lost")
	case "is delayed":
		w.write(drawName(w.t), rapid.Bool().Draw(w.t, "remove"))
		n.watch()
	}
	return reply, nil
}

func (n *node) NotifyConfig(context.Context, string, conf.Notice) error { return nil }

func (n *node) Addresses() []string { return nil }

// watch delivers some events after the last one; a faulty watch skips events.
func (n *node) watch() {
	var batch []conf.Object
	for _, event := range n.world.events {
		if event.Version <= n.watched {
			continue
		}
		n.watched = event.Version
		if !n.world.faulty || rapid.Bool().Draw(n.world.t, "delivered") {
			batch = append(batch, event)
		}
	}
	n.cache.Merge(batch, false)
}

func drawName(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name") }

func (w *world) check() {
	for i, n := range w.nodes {
		floor := w.history[n.cache.Floor()]
		snapshot := n.cache.Snapshot()
		known := map[string]conf.Object{}
		for _, object := range n.cache.Delta(0) {
			known[object.Key.Name] = object
		}
		for _, name := range []string{"a", "b", "c"} {
			object := known[name]
			if object.Version < n.highest[name] {
				w.t.Fatalf("node %d: %s went back from %d to %d", i, name, n.highest[name], object.Version)
			}
			n.highest[name] = object.Version
			if object.Version < floor[name] {
				w.t.Fatalf("node %d: %s at %d, store had %d at the floor", i, name, object.Version, floor[name])
			}
			isLive := object.Version != 0 && !object.Deleted
			if _, existed := floor[name]; isLive && !existed && object.Version <= n.cache.Floor() {
				w.t.Fatalf("node %d: %s at %d came back after its deletion", i, name, object.Version)
			}
			if tier := snapshot.Tiers[name]; (tier != nil) != isLive || isLive && uint64(tier.Priority) != object.Version {
				w.t.Fatalf("node %d: snapshot does not show %s at %d", i, name, object.Version)
			}
		}
		if snapshot.Usable && n.cache.Floor() == 0 && len(w.history[0]) > 0 {
			w.t.Fatalf("node %d: usable without a complete listing", i)
		}
	}
}

// converge ends the faults: one watcher lists, and pings exchange digests.
func (w *world) converge() {
	w.faulty = false
	if _, err := w.nodes[0].syncer.List(context.Background()); err != nil {
		w.t.Fatal(err)
	}
	// A pair needs two exchanges before it compares all versions. An object
	// deleted before the listing can first spread from node to node, once to
	// each, until it meets the listing's floor.
	for range 2*nodes + 2 {
		for _, n := range w.nodes {
			for j := range w.nodes {
				if err := n.syncer.Exchange(context.Background(), fmt.Sprint(j)); err != nil {
					w.t.Fatal(err)
				}
			}
		}
	}
	for i, n := range w.nodes {
		snapshot := n.cache.Snapshot()
		if !snapshot.Usable || len(snapshot.Tiers) != len(w.live) || snapshot.Digest != w.nodes[0].cache.Snapshot().Digest {
			w.t.Fatalf("node %d did not converge: usable %v, %d of %d objects", i, snapshot.Usable, len(snapshot.Tiers), len(w.live))
		}
		for name, version := range w.live {
			if tier := snapshot.Tiers[name]; tier == nil || uint64(tier.Priority) != version {
				w.t.Fatalf("node %d did not converge on %s", i, name)
			}
		}
	}
}

// Guards against configuration that reverts (G8): through stale listings,
// lost, late, repeated and reordered messages, skipped events, racing writers
// and instances that start without state; and against caches that stay apart
// after the faults have ended.
func TestCachesNeverRevertAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"put":     func(t *rapid.T) { w.write(drawName(t), false) },
			"delete":  func(t *rapid.T) { w.write(drawName(t), true) },
			"capture": func(*rapid.T) { w.lists = append(w.lists, w.list()) },
			"list":    func(*rapid.T) { _, _ = w.pick().syncer.List(context.Background()) },
			"watch":   func(*rapid.T) { w.pick().watch() },
			"restart": func(*rapid.T) { w.pick().restart() },
			"exchange": func(t *rapid.T) {
				peer := rapid.IntRange(0, nodes-1).Draw(t, "peer")
				_ = w.pick().syncer.Exchange(context.Background(), fmt.Sprint(peer))
			},
			"old message": func(t *rapid.T) {
				if len(w.old) > 0 {
					w.pick().cache.Merge(rapid.SampledFrom(w.old).Draw(t, "message"), false)
				}
			},
			"": func(*rapid.T) { w.check() },
		})
		w.converge()
		w.check()
	})
}
