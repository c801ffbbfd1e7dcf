package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/rollout"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
)

// orderCodec decodes an order whose ID is the spec of the object and whose progress is the
// name of a stage in its status.
type orderCodec struct{ RolloutCodec }

func (orderCodec) Rollout(name string, object storesync.Object) (rollout.Order, rollout.Progress, error) {
	order := rollout.Order{Service: name, Version: string(object.Spec), Duration: time.Minute, ID: string(object.Spec)}
	stage, known := rollout.ParseStage(string(object.Status))
	if !known {
		return order, rollout.Progress{}, nil
	}
	return order, rollout.Progress{OrderID: order.ID, Version: order.Version, Stage: stage}, nil
}

// newEraLoop returns a control loop with roll-outs turned on.
func newEraLoop(t *testing.T, now *time.Duration) *controlLoop {
	c := newTestControlLoop(t, now, true)
	c.g.recordDecoder, c.g.rolloutCodec, c.rollouts.enabled = infoDecoder{}, orderCodec{}, true
	c.g.objectKinds = ObjectKinds{Config: "config", Upstreams: "servers", Rollouts: "rollouts"}
	return c
}

// applyOrder applies an update of the copy of the orders with one order.
func (c *controlLoop) applyOrder(position storesync.Position, revision uint64, id, stage string) {
	storeUpdateMsg{update: storesync.Update{Kind: "rollouts", Position: position, AsOf: c.g.now(),
		Changed: []storesync.Object{{Name: "desk", Revision: revision, Spec: []byte(id), Status: []byte(stage)}}}}.apply(c)
}

func position(era, revision uint64) storesync.Position {
	return storesync.Position{Era: era, Revision: revision}
}

// Failure: the answer to the write of a stage, which the operator may have read, arrives after
// the store has lost it. Guards against a stage that is not put in force, against one that
// counts as recorded, and against a condition of the former era that is used again.
func TestLateAnswerToAWriteOfAnEarlierEra(t *testing.T) {
	g := NewWithT(t)
	now := time.Minute
	c := newEraLoop(t, &now)
	c.applyOrder(position(1, 50), 40, "v2", "ramp")
	c.applyOrder(position(2, 30), 20, "v2", "trial")
	state := c.rollouts.states["desk"]
	g.Expect(state.progress.Stage).To(Equal(rollout.Ramp), "a stage does not go back")
	g.Expect(state.lost()).To(BeTrue())
	full := rollout.Progress{OrderID: "v2", Version: "v2", Stage: rollout.Full, Share: 1}
	rolloutWrittenMsg{state: state, step: rollout.Step{Stage: rollout.Full, Share: 1}, progress: full, position: position(1, 51)}.apply(c)
	g.Expect(state.progress).To(Equal(full))
	g.Expect(state.position).To(Equal(position(2, 20)))
	g.Expect(state.lost()).To(BeTrue())
	rolloutWrittenMsg{state: state, step: rollout.Step{Stage: rollout.Full, Share: 1}, progress: full, position: position(2, 31), again: true}.apply(c)
	g.Expect(state.lost()).To(BeFalse())
	g.Expect(state.position).To(Equal(position(2, 31)))
	// The copy delivers an answer that is older than that to the write.
	c.applyOrder(position(2, 31), 20, "v2", "trial")
	g.Expect(state.lost()).To(BeFalse())

	usageWrittenMsg{at: now, position: position(1, 52)}.apply(c)
	g.Expect(c.usagePosition).To(Equal(storesync.Position{}), "the store has lost the record")
	usageWrittenMsg{at: now, position: position(2, 32)}.apply(c)
	g.Expect(c.usagePosition).To(Equal(position(2, 32)))
}

// Failure: the copies of the kinds notice a return of the store one after the other, and those
// that notice it last still deliver updates of the earlier era. Guards against counting a
// return more than once, or not at all if the first update of a kind is of the later era.
func TestReturnIsCountedOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Minute
	c := newEraLoop(t, &now)
	apply := func(kind string, p storesync.Position) {
		storeUpdateMsg{update: storesync.Update{Kind: kind, Position: p}}.apply(c)
	}
	apply("config", position(3, 50))
	g.Expect(c.g.metrics.storeReturns.Count()).To(BeZero(), "the first era that is seen")
	apply("servers", position(4, 40))
	apply("config", position(3, 60))
	apply("rollouts", position(4, 41))
	apply("config", position(4, 39))
	g.Expect(c.g.metrics.storeReturns.Count()).To(BeEquivalentTo(1))
	g.Expect(c.storePosition).To(Equal(position(4, 41)))
	g.Expect(c.g.store.Era()).To(BeEquivalentTo(4))
	g.Expect(c.g.storeReturned).To(HaveLen(1))
}

// Failure: the store has lost an order and shows the one before it, until the operator writes
// the lost one again. Guards against a roll-out that starts again, and against an order that
// is given anew later and continues an earlier one.
func TestOrderThatIsWrittenAgainAfterAReturnContinues(t *testing.T) {
	g := NewWithT(t)
	now := time.Minute
	c := newEraLoop(t, &now)
	stage := func() rollout.Stage { return c.rollouts.states["desk"].progress.Stage }
	c.applyOrder(position(1, 50), 40, "v2", "rolled_back")
	c.applyOrder(position(1, 60), 60, "v3", "full")
	c.applyOrder(position(2, 50), 40, "v2", "rolled_back")
	g.Expect(stage()).To(Equal(rollout.RolledBack))
	c.applyOrder(position(2, 51), 51, "v3", "")
	g.Expect(stage()).To(Equal(rollout.Full))
	g.Expect(c.rollouts.states["desk"].lost()).To(BeTrue())
	now += orderReturnGrace
	c.applyOrder(position(2, 70), 70, "v4", "")
	c.applyOrder(position(2, 80), 80, "v3", "")
	g.Expect(stage()).To(Equal(rollout.Waiting))
}

// Failure: the store has lost an order, and an upstream of its version, which this instance
// has not used, writes its record again first. Guards against requests at a version on trial.
// Also guards against a comparison by revision of a record and a copy of different eras.
func TestNewVersionsWaitAfterAReturn(t *testing.T) {
	g := NewWithT(t)
	now := time.Minute
	c := newEraLoop(t, &now)
	c.rollouts.position = position(1, 50)
	info := admission.UpstreamInfo{Service: "desk", Version: "v1"}
	g.Expect(c.rollouts.mustHold(now, info, position(1, 50))).To(BeFalse())
	info.Version = "v2"
	g.Expect(c.rollouts.mustHold(now, info, position(2, 40))).To(BeTrue())
	c.rollouts.holdNewVersions(now)
	c.rollouts.position = position(2, 45)
	g.Expect(c.rollouts.mustHold(now, info, position(2, 40))).To(BeTrue())
	info.Version = "v1"
	g.Expect(c.rollouts.mustHold(now, info, position(2, 44))).To(BeFalse(), "in use before")
	info.Version = "v2"
	now += orderReturnGrace
	g.Expect(c.rollouts.mustHold(now, info, position(2, 40))).To(BeFalse())
}

// eraStore keeps one object and compares revisions only, like the platform's store.
type eraStore struct {
	storesync.Store
	era, revision uint64
	conditions    []uint64
}

func (s *eraStore) Put(_ context.Context, _, name string, _ any, condition storesync.Position) (storesync.Written, error) {
	s.conditions = append(s.conditions, condition.Revision)
	if condition.Revision != s.revision {
		return storesync.Written{Object: storesync.Object{Name: name, Revision: s.revision}, Era: s.era}, storesync.ErrConflict
	}
	s.revision++
	return storesync.Written{Object: storesync.Object{Name: name, Revision: s.revision}, Era: s.era}, nil
}

// Failure: the store returns from an older copy between two writes of an own record. Guards
// against a write under the condition of the earlier era, also if the return was not known
// when it was sent, and against giving up.
func TestOwnRecordIsReadBeforeItIsWrittenInALaterEra(t *testing.T) {
	for name, known := range map[string]bool{"return is known": true, "return is not known": false} {
		g := NewWithT(t)
		now := time.Minute
		c := newTestControlLoop(t, &now, true)
		store := &eraStore{era: 2, revision: 7}
		c.g.store = storesync.NewFenced(store)
		if known {
			c.g.store.Observe(2)
		}
		written, err := c.g.writeObject(context.Background(), "kind", "name", 1, position(1, 7))
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(written.Era).To(BeEquivalentTo(2))
		if known {
			g.Expect(store.conditions).To(Equal([]uint64{0, 7}), name)
		} else {
			g.Expect(store.conditions).To(Equal([]uint64{7, 0, 8}), name)
		}
	}
}

// scriptedStore answers one list, and then watches with an error.
type scriptedStore struct {
	storesync.Source
	listing storesync.Listing
}

func (s scriptedStore) List(context.Context, string) (storesync.Listing, error) {
	return s.listing, nil
}

func (s scriptedStore) Watch(ctx context.Context, _ string, _ storesync.Position, _ time.Duration) (storesync.Changes, error) {
	<-ctx.Done()
	return storesync.Changes{}, ctx.Err()
}

func (s scriptedStore) CloseIdleConnections() {}

// Failure: a follower and its relay are in different eras. Guards against a protocol between
// them that loses the era: a follower in an earlier era has to list again, and one in a later
// era gets no changes.
func TestEraPassesFromRelayToFollower(t *testing.T) {
	g := NewWithT(t)
	now := func() time.Duration { return time.Minute }
	kept := storesync.NewCopy(now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	updated := make(chan storesync.Update, 1)
	listing := storesync.Listing{Position: position(2, 40), Objects: []storesync.Object{{Name: "u", Revision: 3}}}
	syncer := storesync.New(storesync.Options{
		Store: scriptedStore{listing: listing}, Kind: "servers", Copy: kept, Now: now, StoreWatchWait: time.Hour, ListTimeout: time.Hour,
		MaxRelayAge: func() time.Duration { return time.Hour }, OnUpdate: func(u storesync.Update) { updated <- u }, OnStoreCall: func(error) {},
		OnStoreFailure: func(string, error) {}, Clock: clockwork.NewRealClock(), Log: logr.Discard(),
	})
	go syncer.Run(ctx)
	g.Eventually(updated, "20s").Should(Receive())
	server := storeServer{copies: map[string]*storesync.Copy{"servers": kept}, usage: &usageRecords{kind: "usage"}, now: now,
		contain: func(_ string, _ func() string, f func()) error { f(); return nil }}
	ask := func(era, after uint64) *peer.FollowStoreReply {
		reply, err := server.FollowStore(ctx, &peer.FollowStoreRequest{Kind: "servers", Era: era, After: after, WaitMs: 1})
		g.Expect(err).NotTo(HaveOccurred())
		return reply
	}
	g.Expect(decodePosition(ask(0, 0))).To(Equal(position(2, 40)))
	g.Expect(ask(1, 90).GetCompacted()).To(BeTrue())
	g.Expect(decodePosition(ask(2, 40))).To(Equal(position(2, 40)))
	later := ask(3, 10)
	g.Expect(later.GetCompacted()).To(BeFalse())
	g.Expect(later.GetChanged()).To(BeEmpty())
	g.Expect(decodePosition(later)).To(Equal(position(2, 40)))
}
