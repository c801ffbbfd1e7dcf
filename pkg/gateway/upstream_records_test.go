package gateway

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
	"github.com/rosemarywing/rosemarywing/pkg/traffic"
)

// infoDecoder decodes records that are written in the types of the gateway.
type infoDecoder struct{ RecordDecoder }

func (infoDecoder) Config(spec []byte) (config traffic.Config, err error) {
	err = json.Unmarshal(spec, &config)
	return config, err
}

func (infoDecoder) Upstream(_ string, spec []byte) (info admission.UpstreamInfo, err error) {
	err = json.Unmarshal(spec, &info)
	return info, err
}

// applyRecord applies an update of the store at the time asOf, with one record or none.
func applyRecord(c *controlLoop, asOf time.Duration, info *admission.UpstreamInfo) {
	update := storesync.Update{Kind: c.g.objectKinds.Upstreams, AsOf: asOf}
	if info != nil {
		spec, err := json.Marshal(info)
		if err != nil {
			panic(err)
		}
		update.Changed = []storesync.Object{{Name: info.ID, Spec: spec}}
	}
	c.applyUpstreamUpdate(update)
}

// The clock of an upstream was set back between two starts, so that its records look older
// than those of its predecessor. Guards against never using it again.
func TestUpstreamWhoseClockWasSetBackIsUsedAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	c := newTestControlLoop(t, &now, true)
	c.g.recordDecoder = infoDecoder{}
	first := admission.UpstreamInfo{ID: "u", Service: "desk", Address: "10.0.0.1:1", Incarnation: 9000, Sequence: 40}
	next := admission.UpstreamInfo{ID: "u", Service: "desk", Address: "10.0.0.2:1", Incarnation: 5000, Sequence: 1}
	applyRecord(c, now, &first)
	now += time.Second
	applyRecord(c, now, &next)
	g.Expect(c.upstreams["u"]).To(Equal(first))
	g.Expect(c.g.metrics.earlierReports.Count()).To(BeEquivalentTo(1))
	for end := now + 35*time.Second; now < end; now += 700 * time.Millisecond {
		applyRecord(c, now, nil)
	}
	g.Expect(c.upstreams["u"]).To(Equal(next))
	decision, _ := placement(g, c, now, 1)
	g.Expect(decision.Upstream).To(Equal(next))
}

// placement submits a request and returns the decision, and whether it is placed at once.
func placement(g *WithT, c *controlLoop, now time.Duration, key uint64) (decision admission.Decision, placed bool) {
	reply := make(chan admission.Decision, 1)
	submitMsg{request: &admission.Request{Key: key, Service: "desk", Arrived: now, SoftDeadline: now + time.Second, Deadline: now + time.Second}, reply: reply}.apply(c)
	c.update()
	select {
	case decision = <-reply:
		return decision, decision.Action == admission.Place
	default:
		g.Expect(c.pool("desk").Dequeue(key)).To(BeTrue())
		return decision, false
	}
}

// Failure: an instance that starts is told by another one that a process of an upstream
// leaves before it has read the upstream's record, which says that it is ready. Guards
// against dropping the word, and against applying it to the next process.
func TestWordOfLeavingThatComesBeforeTheRecordIsKept(t *testing.T) {
	g := NewWithT(t)
	now := time.Minute
	c := newTestControlLoop(t, &now, true)
	c.g.recordDecoder = infoDecoder{}
	word := loadshare.LeavingUpstream{Upstream: loadshare.ShortHash("u"), Incarnation: 5, AgeMs: 2000}
	c.mergeLeaving(now, "b", []loadshare.LeavingUpstream{word})
	info := admission.UpstreamInfo{ID: "u", Service: "desk", Address: "10.0.0.1:1", Incarnation: 5, Sequence: 8}
	applyRecord(c, now, &info)
	_, placed := placement(g, c, now, 1)
	g.Expect(placed).To(BeFalse())
	// The word is passed on, with its age.
	var cursor uint64
	word.AgeMs = 5000
	g.Expect(c.leaving.export(now+3*time.Second, &cursor, true)).To(Equal([]loadshare.LeavingUpstream{word}))

	info.Incarnation, info.Sequence = 6, 1
	applyRecord(c, now, &info)
	decision, placed := placement(g, c, now, 2)
	g.Expect(placed).To(BeTrue())
	g.Expect(decision.Upstream).To(Equal(info))
}

// Failure: the newest configuration cannot be read, and the store goes on confirming that
// nothing has changed since. Guards against an age of the one in force that does not grow, so
// that a key which the newest one takes away is served for ever.
func TestAgeGrowsWhileTheNewestConfigurationCannotBeRead(t *testing.T) {
	g := NewWithT(t)
	now := time.Minute
	c := newTestControlLoop(t, &now, true)
	c.g.recordDecoder = infoDecoder{}
	apply := func(specs ...string) {
		now += time.Second
		update := storesync.Update{Kind: c.g.objectKinds.Config, AsOf: now}
		for _, spec := range specs {
			update.Changed = append(update.Changed, storesync.Object{Name: c.g.objectKinds.ConfigName, Spec: []byte(spec)})
		}
		c.applyConfigUpdate(update)
	}
	apply(`{"Version":1}`)
	g.Expect(c.g.configAge()).To(BeZero())
	apply(`{"Version":2`)
	apply()
	apply()
	g.Expect(c.g.configAge()).To(Equal(3 * time.Second))
	apply(`{"Version":3`, `{"Version":4}`)
	g.Expect(c.g.configAge()).To(BeZero())
	g.Expect(c.g.table.Load().Version()).To(BeEquivalentTo(4))
}

// Failure: a process of an upstream starts under the ID and the address of its predecessor,
// and says in an answer that it leaves, or wants no requests, before its record is read.
// Guards against taking the word for that of its predecessor only, and against applying the
// word of the predecessor to it.
func TestWordOfProcessWhoseRecordIsNotReadYet(t *testing.T) {
	for name, test := range map[string]struct {
		reply   Reply
		started time.Duration // from the word to the start of the next process
		address string
		held    time.Duration
	}{
		"leaving, its own":             {Reply{Leaving: true}, -time.Second, "10.0.0.1:1", unattributedLeavingTime},
		"quiet, its own":               {Reply{QuietTime: 5 * time.Second}, -time.Second, "10.0.0.1:1", 5 * time.Second},
		"leaving, of its predecessor":  {Reply{Leaving: true}, time.Second, "10.0.0.1:1", 0},
		"quiet, of its predecessor":    {Reply{QuietTime: 5 * time.Second}, time.Second, "10.0.0.1:1", 0},
		"leaving, of another address":  {Reply{Leaving: true}, -time.Second, "10.0.0.2:1", 0},
		"leaving and a long quietness": {Reply{Leaving: true, QuietTime: time.Minute}, -time.Second, "10.0.0.1:1", time.Minute},
	} {
		g := NewWithT(t)
		now := time.Minute
		c := newTestControlLoop(t, &now, true)
		c.g.recordDecoder = infoDecoder{}
		said := c.g.clock.Now().UnixMilli()
		info := admission.UpstreamInfo{ID: "u", Service: "desk", Address: "10.0.0.1:1", Incarnation: said - 60_000}
		applyRecord(c, now, &info)
		upstreamWordMsg{upstream: info, reply: test.reply, saidUnixMs: said}.apply(c)
		now += time.Second
		info.Incarnation, info.Address = said+test.started.Milliseconds(), test.address
		applyRecord(c, now, &info)
		if test.held > 0 {
			now += test.held - 2*time.Second
			_, placed := placement(g, c, now, 1)
			g.Expect(placed).To(BeFalse(), name)
			now += 2*time.Second + time.Second
		}
		decision, placed := placement(g, c, now, 2)
		g.Expect(placed).To(BeTrue(), name)
		g.Expect(decision.Upstream.Process()).To(Equal(info.Process()), name)
	}
}
