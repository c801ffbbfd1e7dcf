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

// simulation is a platform store with its history, several instances, and a
// network that loses, delays, repeats and reorders messages.
type simulation struct {
	t       *rapid.T
	faulty  bool
	version uint64
	live    map[string]uint64
	history []map[string]uint64 // by store version: the existing objects and their versions
	events  []conf.Object
	lists   []platform.List
	nodes   []*node
	// replayable holds messages that may arrive again at any time.
	replayable [][]conf.Object
}

type node struct {
	simulation     *simulation
	cache          *conf.Cache
	syncer         *conf.Syncer
	watchedVersion uint64
	// highestSeen holds, by object name, the highest version that this node has
	// had since its start.
	highestSeen map[string]uint64
}

const nodeCount = 4

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, faulty: true, live: map[string]uint64{}, history: []map[string]uint64{{}}}
	for range nodeCount {
		sim.nodes = append(sim.nodes, &node{simulation: sim})
	}
	for _, n := range sim.nodes {
		n.restart()
	}
	sim.lists = []platform.List{sim.list()}
	return sim
}

// restart replaces the node's cache and syncer by new ones without state.
func (n *node) restart() {
	n.cache, n.watchedVersion, n.highestSeen = conf.NewCache(), 0, map[string]uint64{}
	n.syncer = conf.NewSyncer(n.cache, n, n, conf.Options{
		Random: rand.New(rand.NewPCG(1, 2)), CallTimeout: time.Hour, Log: logr.Discard(),
	})
}

func key(name string) conf.Key { return conf.Key{Kind: record.KindTier, Name: name} }

func tierBody(name string, priority uint64) []byte {
	return fmt.Appendf(nil, `{"schema":"rosemarywing/v2","kind":"Tier","name":%q,"spec":{"priority":%d,"deadlineMs":1}}`, name, priority)
}

func (sim *simulation) write(name string, remove bool) {
	if _, exists := sim.live[name]; remove && !exists {
		return
	}
	sim.version++
	object := conf.Object{Key: key(name), Version: sim.version, Deleted: remove}
	if remove {
		delete(sim.live, name)
	} else {
		object.Body = tierBody(name, sim.version)
		sim.live[name] = sim.version
	}
	sim.events = append(sim.events, object)
	current := map[string]uint64{}
	for name, version := range sim.live {
		current[name] = version
	}
	sim.history = append(sim.history, current)
}

func (sim *simulation) list() platform.List {
	list := platform.List{Version: sim.version}
	for name, version := range sim.live {
		list.Objects = append(list.Objects, platform.Object{
			Kind: string(record.KindTier), Name: name, Version: version, Body: tierBody(name, version),
		})
	}
	return list
}

func (sim *simulation) drawNode() *node {
	return sim.nodes[rapid.IntRange(0, nodeCount-1).Draw(sim.t, "node")]
}

// List implements platform.Store. With faults it returns an earlier listing.
func (n *node) List(context.Context, ...string) (platform.List, error) {
	if !n.simulation.faulty {
		return n.simulation.list(), nil
	}
	return rapid.SampledFrom(n.simulation.lists).Draw(n.simulation.t, "listing"), nil
}

func (n *node) Get(context.Context, string, string) (platform.Object, error) { panic("not used") }

func (n *node) Put(context.Context, platform.Object, platform.Precondition) (uint64, error) {
	panic("not used")
}

func (n *node) Delete(context.Context, string, string, platform.Precondition) (uint64, error) {
	panic("not used")
}

func (n *node) Watch(context.Context, uint64, ...string) (platform.Watch, error) { panic("not used") }

// FetchConfig implements conf.PeerTransport. With faults the reply is lost, or
// it arrives after a further write and further events.
func (n *node) FetchConfig(_ context.Context, address string, request conf.FetchRequest) (conf.FetchReply, error) {
	var index int
	if _, err := fmt.Sscan(address, &index); err != nil {
		return conf.FetchReply{}, err
	}
	sim := n.simulation
	reply := sim.nodes[index].syncer.HandleFetch(request)
	if !sim.faulty {
		return reply, nil
	}
	sim.replayable = append(sim.replayable, reply.Objects)
	switch rapid.SampledFrom([]string{"arrives", "is lost", "is delayed"}).Draw(sim.t, "reply") {
	case "is lost":
		return conf.FetchReply{}, errors.New("lost")
	case "is delayed":
		sim.write(drawName(sim.t), rapid.Bool().Draw(sim.t, "remove"))
		n.watch()
	}
	return reply, nil
}

func (n *node) NotifyConfig(context.Context, string, conf.ChangeNotification) error { return nil }

func (n *node) Addresses() []string { return nil }

// watch merges the events since the last call; with faults it skips some.
func (n *node) watch() {
	var batch []conf.Object
	for _, event := range n.simulation.events {
		if event.Version <= n.watchedVersion {
			continue
		}
		n.watchedVersion = event.Version
		if !n.simulation.faulty || rapid.Bool().Draw(n.simulation.t, "delivered") {
			batch = append(batch, event)
		}
	}
	n.cache.Merge(batch, false)
}

func drawName(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name") }

func (sim *simulation) checkInvariants() {
	for i, n := range sim.nodes {
		atCompleteVersion := sim.history[n.cache.CompleteVersion()]
		snapshot := n.cache.Snapshot()
		known := map[string]conf.Object{}
		for _, object := range n.cache.ObjectsAfter(0) {
			known[object.Key.Name] = object
		}
		for _, name := range []string{"a", "b", "c"} {
			object := known[name]
			if object.Version < n.highestSeen[name] {
				sim.t.Fatalf("node %d: %s reverted from %d to %d", i, name, n.highestSeen[name], object.Version)
			}
			n.highestSeen[name] = object.Version
			if object.Version < atCompleteVersion[name] {
				sim.t.Fatalf("node %d: %s at %d, store had %d at the complete version", i, name, object.Version, atCompleteVersion[name])
			}
			isLive := object.Version != 0 && !object.Deleted
			if _, existedThen := atCompleteVersion[name]; isLive && !existedThen && object.Version <= n.cache.CompleteVersion() {
				sim.t.Fatalf("node %d: %s at %d was restored after its deletion", i, name, object.Version)
			}
			if tier := snapshot.Tiers[name]; (tier != nil) != isLive || isLive && uint64(tier.Priority) != object.Version {
				sim.t.Fatalf("node %d: snapshot does not show %s at %d", i, name, object.Version)
			}
		}
		if snapshot.Usable && n.cache.CompleteVersion() == 0 && len(sim.history[0]) > 0 {
			sim.t.Fatalf("node %d: usable without a complete listing", i)
		}
	}
}

// converge ends the faults, lists the platform at one node, lets all nodes pull
// from each other and checks that all hold the store's content.
func (sim *simulation) converge() {
	sim.faulty = false
	if _, err := sim.nodes[0].syncer.List(context.Background()); err != nil {
		sim.t.Fatal(err)
	}
	// Two pulls from the same peer come before a comparison of all versions. An
	// object deleted before the listing can spread to each node once, until a
	// node compares with one that has merged the listing.
	for range 2*nodeCount + 2 {
		for _, n := range sim.nodes {
			for j := range sim.nodes {
				if err := n.syncer.PullFrom(context.Background(), fmt.Sprint(j)); err != nil {
					sim.t.Fatal(err)
				}
			}
		}
	}
	for i, n := range sim.nodes {
		snapshot := n.cache.Snapshot()
		if !snapshot.Usable || len(snapshot.Tiers) != len(sim.live) || snapshot.Digest != sim.nodes[0].cache.Snapshot().Digest {
			sim.t.Fatalf("node %d did not converge: usable %v, %d of %d objects", i, snapshot.Usable, len(snapshot.Tiers), len(sim.live))
		}
		for name, version := range sim.live {
			if tier := snapshot.Tiers[name]; tier == nil || uint64(tier.Priority) != version {
				sim.t.Fatalf("node %d did not converge on %s", i, name)
			}
		}
	}
}

// Guards against caches that revert to an older configuration because of stale
// listings, lost, delayed, repeated or reordered messages, skipped events,
// concurrent writers or instances that start without state; and against caches
// that still differ after the faults have ended.
func TestCacheConvergesWithoutReverting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"put":     func(t *rapid.T) { sim.write(drawName(t), false) },
			"delete":  func(t *rapid.T) { sim.write(drawName(t), true) },
			"capture": func(*rapid.T) { sim.lists = append(sim.lists, sim.list()) },
			"list":    func(*rapid.T) { _, _ = sim.drawNode().syncer.List(context.Background()) },
			"watch":   func(*rapid.T) { sim.drawNode().watch() },
			"restart": func(*rapid.T) { sim.drawNode().restart() },
			"pull": func(t *rapid.T) {
				peer := rapid.IntRange(0, nodeCount-1).Draw(t, "peer")
				_ = sim.drawNode().syncer.PullFrom(context.Background(), fmt.Sprint(peer))
			},
			"replayed message": func(t *rapid.T) {
				if len(sim.replayable) > 0 {
					sim.drawNode().cache.Merge(rapid.SampledFrom(sim.replayable).Draw(t, "message"), false)
				}
			},
			"": func(*rapid.T) { sim.checkInvariants() },
		})
		sim.converge()
		sim.checkInvariants()
	})
}
