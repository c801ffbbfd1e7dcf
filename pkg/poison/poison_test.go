package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/rosemarywing/rosemarywing/pkg/poison"
)

const service = 7

func part(name string) poison.Trait {
	hash := uint64(0)
	for _, b := range []byte(name) {
		hash = hash*31 + uint64(b)
	}
	return poison.Trait{Fingerprint: poison.Fingerprint{Service: service, Hash: hash, Shared: true}, Name: name}
}

func content(name string) poison.Trait {
	trait := part(name)
	trait.Shared = false
	return trait
}

func parts(names ...string) []poison.Trait {
	var traits []poison.Trait
	for _, name := range names {
		traits = append(traits, part(name))
	}
	return traits
}

func noDelay(time.Duration) time.Duration { return 0 }

func newDetector() *poison.Detector { return poison.NewDetector(noDelay) }

func blocked(d *poison.Detector, now time.Duration, names ...string) bool {
	return d.Admit(now, parts(names...)).Blocked
}

// answerOthers records answers to requests that share the first part only.
func answerOthers(d *poison.Detector, now time.Duration, count int) {
	for i := range count {
		d.RecordAnswer(now, service, parts("first", fmt.Sprintf("other %d at %s", i, now)))
	}
}

// crashThrice lets three upstreams crash on the traits, a second apart, while others are
// answered.
func crashThrice(d *poison.Detector, traits []poison.Trait) time.Duration {
	for i := range 3 {
		at := time.Duration(i+1) * time.Second
		d.RecordCrash(at, uint32(i), traits)
		answerOthers(d, at+100*time.Millisecond, 2)
	}
	return 4 * time.Second
}

// Requests that share one part crash upstreams. Guards against refusing those that share
// the other parts.
func TestOnlyThePartInAllCrashesIsBlocked(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	now := crashThrice(d, parts("first", "poison"))
	g.Expect(blocked(d, now, "first", "poison", "new")).To(BeTrue())
	g.Expect(blocked(d, now, "first", "new")).To(BeFalse())
	g.Expect(d.Admit(now, []poison.Trait{{Fingerprint: poison.Fingerprint{Service: 8, Hash: part("poison").Hash, Shared: true}}}).Blocked).To(BeFalse(), "another service")
	verdict := d.Admit(now, parts("poison"))
	g.Expect(verdict.Name).To(Equal("poison"))
	g.Expect(verdict.Crashes).To(Equal(3))
	g.Expect(verdict.RetryAfter).To(Equal(30 * time.Second))
}

// All upstreams of a rack end at once while they run requests that share parts. Guards
// against taking a part for the cause.
func TestUpstreamsThatEndTogetherBlockNothing(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	for i := range 12 {
		d.RecordCrash(time.Second+time.Duration(i)*10*time.Millisecond, uint32(i), parts("first", "session"))
	}
	d.RecordAnswer(2*time.Second, service, parts("unrelated 1"))
	d.RecordAnswer(2*time.Second, service, parts("unrelated 2"))
	d.RecordAnswer(2*time.Second, service, parts("unrelated 3"))
	g.Expect(blocked(d, 2*time.Second, "first")).To(BeFalse())
	g.Expect(blocked(d, 2*time.Second, "session")).To(BeFalse())
}

// All upstreams of a service end one after another, and none answers. Guards against
// refusing the requests that all have a part when the upstreams are back.
func TestOutageOfTheServiceBlocksNothing(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	for i := range 12 {
		d.RecordCrash(time.Duration(i+1)*time.Second, uint32(i), parts("first"))
	}
	g.Expect(blocked(d, 13*time.Second, "first")).To(BeFalse())
	answerOthers(d, 14*time.Second, 5)
	g.Expect(blocked(d, 15*time.Second, "first")).To(BeFalse())
}

// A sound part is among the broken requests of each crash, but was answered in between.
func TestAnswerRefutesTheSuspicion(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	for i := range 10 {
		at := time.Duration(i+1) * time.Second
		d.RecordCrash(at, uint32(i), parts("first", "sound"))
		answerOthers(d, at+100*time.Millisecond, 3)
		if i%2 == 1 {
			d.RecordAnswer(at+200*time.Millisecond, service, parts("sound"))
		}
	}
	g.Expect(blocked(d, 11*time.Second, "sound")).To(BeFalse())
}

// Copies of one request crash upstreams. The content is not shared by other requests, so
// that neither their answers nor the time between the crashes matters.
func TestCopiesOfARequestAreBlockedAtOnce(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	traits := []poison.Trait{content("copy")}
	for i := range 3 {
		g.Expect(d.Admit(time.Second, traits).Blocked).To(BeFalse())
		d.RecordCrash(time.Second+time.Duration(i)*time.Millisecond, uint32(i), traits)
	}
	g.Expect(d.Admit(time.Second+3*time.Millisecond, traits).Blocked).To(BeTrue())
}

// Connections of several instances to one upstream end. Guards against counting its crash
// more than once.
func TestCrashOfOneUpstreamCountsOnce(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	traits := []poison.Trait{content("copy")}
	for i := range 6 {
		d.RecordCrash(time.Second+time.Duration(i)*400*time.Millisecond, 1, traits)
	}
	g.Expect(d.Admit(4*time.Second, traits).Blocked).To(BeFalse())
}

// The part has become harmless. Guards against a block that never ends.
func TestOneRequestIsTriedAfterTheBlock(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	now := crashThrice(d, parts("poison"))
	g.Expect(blocked(d, now, "poison")).To(BeTrue())
	now += 31 * time.Second
	verdict := d.Admit(now, parts("poison"))
	g.Expect(verdict.Blocked).To(BeFalse())
	g.Expect(verdict.Trial).To(BeTrue())
	g.Expect(blocked(d, now, "poison")).To(BeTrue(), "only one is tried at a time")

	d.RecordCrash(now+time.Second, 20, parts("poison"))
	now += 32 * time.Second
	g.Expect(blocked(d, now, "poison")).To(BeTrue(), "the second block is longer")
	now += 31 * time.Second
	g.Expect(d.Admit(now, parts("poison")).Trial).To(BeTrue())
	d.RecordAnswer(now+time.Second, service, parts("poison"))
	g.Expect(blocked(d, now+time.Second, "poison")).To(BeFalse())
	g.Expect(d.Watched()).To(BeEmpty())
	events := d.TakeEvents()
	g.Expect(events).To(HaveLen(3))
	g.Expect([]bool{events[0].Blocked, events[1].Blocked, events[2].Blocked}).To(Equal([]bool{true, true, false}))
}

// exchange sends the suspicions of all detectors to all others until nothing changes.
func exchange(t *testing.T, now time.Duration, detectors []*poison.Detector) {
	for range 20 {
		changed := false
		for i, from := range detectors {
			var cursor poison.Cursor
			for _, s := range from.Export(now, &cursor, true, false) {
				for j, to := range detectors {
					changed = (i != j && to.Merge(now, fmt.Sprint(i), s)) || changed
				}
			}
		}
		if !changed {
			return
		}
	}
	t.Fatal("the detectors do not agree after 20 rounds")
}

// Each crash is seen by another instance. Guards against instances that need three crashes
// of their own.
func TestInstancesCombineTheirCrashes(t *testing.T) {
	g := NewWithT(t)
	detectors := []*poison.Detector{newDetector(), newDetector(), newDetector(), newDetector()}
	for i := range 3 {
		detectors[i].RecordCrash(time.Duration(i+1)*time.Second, uint32(i), parts("poison"))
	}
	exchange(t, 4*time.Second, detectors)
	answerOthers(detectors[3], 5*time.Second, 3)
	g.Expect(blocked(detectors[3], 5*time.Second, "poison")).To(BeTrue())
	exchange(t, 5*time.Second, detectors)
	for _, d := range detectors {
		g.Expect(blocked(d, 6*time.Second, "poison")).To(BeTrue(), "a block holds at all instances")
	}
	detectors[0].RecordAnswer(7*time.Second, service, parts("poison"))
	exchange(t, 7*time.Second, detectors)
	for _, d := range detectors {
		g.Expect(blocked(d, 8*time.Second, "poison")).To(BeFalse(), "an answer releases it at all instances")
	}
}

// Reports go to and fro after the last crash. Guards against instances that keep a
// suspicion alive by sending it to each other.
func TestSuspicionsExpireWhileTheyAreExchanged(t *testing.T) {
	g := NewWithT(t)
	detectors := []*poison.Detector{newDetector(), newDetector()}
	detectors[0].RecordCrash(time.Second, 1, parts("p"))
	for now := 2 * time.Second; now < 3*time.Minute; now += 500 * time.Millisecond {
		exchange(t, now, detectors)
	}
	var cursor poison.Cursor
	g.Expect(detectors[0].Export(3*time.Minute, &cursor, true, false)).To(BeEmpty())
	g.Expect(detectors[1].Export(3*time.Minute, &cursor, true, false)).To(BeEmpty())
}

// Random crashes, answers and reports, some of them lost. Guards against instances that
// differ for good about what is blocked.
func TestInstancesAgreeAfterAnyOrderOfReports(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		detectors := []*poison.Detector{newDetector(), newDetector(), newDetector()}
		cursors := make([]poison.Cursor, len(detectors))
		now := time.Second
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(r, "ms")) * time.Millisecond
			i := rapid.IntRange(0, len(detectors)-1).Draw(r, "instance")
			traits := parts(fmt.Sprint(rapid.IntRange(0, 2).Draw(r, "part")))
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0:
				detectors[i].RecordCrash(now, uint32(rapid.IntRange(0, 5).Draw(r, "upstream")), traits)
			case 1:
				detectors[i].RecordAnswer(now, service, traits)
			case 2:
				detectors[i].Admit(now, traits)
			case 3:
				for _, s := range detectors[i].Export(now, &cursors[i], false, false) {
					detectors[rapid.IntRange(0, len(detectors)-1).Draw(r, "receiver")].Merge(now, "peer", s)
				}
			}
		}
		exchange(t, now, detectors)
		for p := range 3 {
			first := blocked(detectors[0], now, fmt.Sprint(p))
			exchange(t, now, detectors)
			for _, d := range detectors[1:] {
				other := blocked(d, now, fmt.Sprint(p))
				exchange(t, now, detectors)
				if first != other && first {
					r.Fatalf("part %d is blocked at the first instance only", p)
				}
			}
		}
	})
}

// Load pattern: upstreams crash at a rate at which each crash leaves many suspects behind.
// Guards against memory that grows, and against losing the part that is blocked.
func TestSuspicionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	now := crashThrice(d, parts("poison"))
	g.Expect(blocked(d, now, "poison")).To(BeTrue())
	for i := range 5000 {
		d.RecordCrash(now+time.Duration(i)*time.Millisecond, uint32(i), parts(fmt.Sprint("own ", i)))
	}
	now += 5 * time.Second
	g.Expect(blocked(d, now, "poison")).To(BeTrue())
	var cursor poison.Cursor
	exported := d.Export(now, &cursor, true, false)
	g.Expect(len(exported)).To(BeNumerically("<=", 32))
	g.Expect(exported[0].Blocks).To(Equal(1), "the block is reported first")
}

// One crash leaves more suspects behind than a report holds. Guards against suspects that
// other instances learn of with the next full report, or never.
func TestSuspicionsWithoutRoomAreInTheNextReport(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	for i := range 100 {
		d.RecordCrash(time.Second+time.Duration(i)*time.Millisecond, uint32(i), parts(fmt.Sprint("part ", i)))
	}
	var cursor poison.Cursor
	reported := map[poison.Fingerprint]bool{}
	for range 4 {
		exported := d.Export(2*time.Second, &cursor, false, true)
		g.Expect(len(exported)).To(BeNumerically("<=", 32))
		for _, s := range exported {
			reported[s.Fingerprint] = true
		}
	}
	for i := range 100 {
		g.Expect(reported).To(HaveKey(part(fmt.Sprint("part ", i)).Fingerprint))
	}
	g.Expect(d.Export(2*time.Second, &cursor, false, true)).To(BeEmpty())
}

// Reports of a block go on after its end, and the instances try requests one after the
// other. Guards against a report that makes its receiver try one at once.
func TestReportOfAnEndedBlockMovesNoTrial(t *testing.T) {
	g := NewWithT(t)
	detectors := []*poison.Detector{newDetector(), poison.NewDetector(func(block time.Duration) time.Duration { return block / 3 })}
	now := crashThrice(detectors[0], parts("poison"))
	g.Expect(blocked(detectors[0], now, "poison")).To(BeTrue())
	exchange(t, now, detectors)
	now += 32 * time.Second
	exchange(t, now, detectors)
	g.Expect(blocked(detectors[1], now, "poison")).To(BeTrue(), "its trial is 10 s after the block")
	g.Expect(blocked(detectors[1], now+9*time.Second, "poison")).To(BeFalse())
}

// The block has ended, and each of three instances may try a request. Guards against requests
// that are tried at several instances at once, each of which crashes an upstream.
func TestTrialIsLeftToTheInstanceThatBeganIt(t *testing.T) {
	g := NewWithT(t)
	detectors := []*poison.Detector{newDetector(), newDetector(), newDetector()}
	now := crashThrice(detectors[0], parts("poison"))
	g.Expect(blocked(detectors[0], now, "poison")).To(BeTrue())
	exchange(t, now, detectors)
	now += 31 * time.Second
	g.Expect(detectors[1].Admit(now, parts("poison")).Trial).To(BeTrue())
	exchange(t, now, detectors)
	now += 500 * time.Millisecond
	g.Expect(blocked(detectors[0], now, "poison")).To(BeTrue())
	g.Expect(blocked(detectors[2], now, "poison")).To(BeTrue())
	detectors[1].RecordCrash(now, 100, parts("poison"))
	exchange(t, now, detectors)
	for _, d := range detectors {
		g.Expect(blocked(d, now+59*time.Second, "poison")).To(BeTrue(), "the second block is longer")
	}
	g.Expect(detectors[0].Admit(now+61*time.Second, parts("poison")).Trial).To(BeTrue())
	exchange(t, now+61*time.Second, detectors)
	g.Expect(detectors[2].Admit(now+90*time.Second, parts("poison")).Trial).To(BeTrue(), "the trial had no result")
}

// fleet plays requests with a poison part at random instances, on virtual time.
type fleet struct {
	detectors []*poison.Detector
	// crashAt holds the crashes to come, by instance, and reports those on their way.
	pending []func(now time.Duration)
	due     []time.Duration
}

func (f *fleet) after(at time.Duration, do func(now time.Duration)) {
	f.due, f.pending = append(f.due, at), append(f.pending, do)
}

func (f *fleet) run(now time.Duration) {
	for i := 0; i < len(f.due); i++ {
		if f.due[i] <= now {
			do := f.pending[i]
			f.due[i], f.pending[i] = f.due[len(f.due)-1], f.pending[len(f.pending)-1]
			f.due, f.pending = f.due[:len(f.due)-1], f.pending[:len(f.pending)-1]
			do(now)
			i--
		}
	}
}

// Load pattern: a twentieth of the requests of a route has the part, at 9 and 300
// instances, which learn of a crash after 20 ms to 1 s. The rule: three requests at most
// are sent later than 4 s after the fifth crash.
func TestFleetStopsCrashesInTime(t *testing.T) {
	for _, size := range []struct {
		instances           int
		poisonPerS, soundPS float64
		seeds               uint64
	}{{9, 1, 20, 5}, {9, 0.3, 20, 5}, {65, 6, 120, 3}, {300, 20, 400, 1}} {
		t.Run(fmt.Sprintf("%d instances, %.1f a second", size.instances, size.poisonPerS), func(t *testing.T) {
			for seed := range size.seeds {
				late, crashes := playFleet(seed, size.instances, size.poisonPerS, size.soundPS)
				if late > 3 {
					t.Errorf("seed %d: %d requests were sent later than 4 s after the fifth crash, %d crashes in all", seed, late, crashes)
				}
			}
		})
	}
}

func playFleet(seed uint64, instances int, poisonPerS, soundPerS float64) (late, crashes int) {
	random := rand.New(rand.NewPCG(seed, 1))
	f := &fleet{}
	cursors := make([]poison.Cursor, instances)
	for range instances {
		f.detectors = append(f.detectors, newDetector())
	}
	fifth := time.Duration(0)
	const step = 10 * time.Millisecond
	for now := step; now < 24*time.Second; now += step {
		f.run(now)
		i := random.IntN(instances)
		if random.Float64() < poisonPerS*step.Seconds() && !f.detectors[i].Admit(now, parts("first", "poison")).Blocked {
			if fifth > 0 && now > fifth+4*time.Second {
				late++
			}
			f.after(now+100*time.Millisecond+time.Duration(random.IntN(500))*time.Millisecond, func(now time.Duration) {
				if crashes++; crashes == 5 {
					fifth = now
				}
				f.detectors[i].RecordCrash(now, uint32(crashes), parts("first", "poison", fmt.Sprint("own ", crashes)))
			})
		}
		for answers := soundPerS * step.Seconds(); random.Float64() < answers; answers-- {
			f.detectors[random.IntN(instances)].RecordAnswer(now, service, parts("first", "sound"))
		}
		for i, from := range f.detectors {
			for _, s := range from.Export(now, &cursors[i], false, true) {
				for _, to := range f.detectors {
					delay := 20*time.Millisecond + time.Duration(random.IntN(980))*time.Millisecond
					s := s
					s.Age += delay
					f.after(now+delay, func(now time.Duration) { to.Merge(now, "peer", s) })
				}
			}
		}
	}
	return late, crashes
}
