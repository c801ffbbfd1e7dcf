package poison_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/poison"
)

// crashAtOnce lets three upstreams crash on the traits, 0.25 s apart, while only requests
// without a common part are answered.
func crashAtOnce(d *poison.Detector, from time.Duration, traits []poison.Trait) time.Duration {
	for i := range 3 {
		at := from + time.Duration(i)*250*time.Millisecond
		d.RecordCrash(at, uint32(from)+uint32(i), traits)
		d.RecordAnswer(at+100*time.Millisecond, service, parts(fmt.Sprint("unrelated ", at)))
	}
	return from + time.Second
}

// Load pattern: three requests with a poison part crash upstreams between two sound ones
// with the same first part, which is answered all the time before. Guards against refusing
// the first part.
func TestPartAnsweredBeforeIsNotBlockedForAnother(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	d.RecordAnswer(time.Second, service, parts("first", "sound"))
	now := crashAtOnce(d, 2*time.Second, parts("first", "poison"))
	g.Expect(blocked(d, now, "first", "poison")).To(BeTrue())
	verdict := d.Admit(now, parts("first", "sound"))
	g.Expect(verdict.Blocked).To(BeFalse())
	g.Expect(verdict.Trial).To(BeFalse())
	g.Expect(blocked(d, now, "poison")).To(BeTrue())
}

// A part that was answered before crashes upstreams from some time on. Guards against
// earlier answers that protect it for good.
func TestPartAnsweredBeforeIsBlockedIfNothingElseExplainsTheCrashes(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	d.RecordAnswer(time.Second, service, parts("first", "turned"))
	for i := range 5 {
		at := time.Duration(i+2) * time.Second
		g.Expect(blocked(d, at, "first", "turned")).To(BeFalse(), "crash %d", i)
		d.RecordCrash(at, uint32(i), parts("first", "turned", fmt.Sprint("own ", i)))
		answerOthers(d, at+100*time.Millisecond, 1)
	}
	g.Expect(blocked(d, 8*time.Second, "first", "turned")).To(BeTrue())
	g.Expect(blocked(d, 8*time.Second, "first", "new")).To(BeFalse())
}

// An answer before the crashes is known to one instance only, and the crashes to another
// one. Guards against a verdict that depends on the instance.
func TestEarlierAnswersCountAtAllInstances(t *testing.T) {
	g := NewWithT(t)
	detectors := []*poison.Detector{newDetector(), newDetector(), newDetector()}
	detectors[1].RecordAnswer(time.Second, service, parts("first", "sound"))
	now := crashAtOnce(detectors[0], 2*time.Second, parts("first", "poison"))
	g.Expect(blocked(detectors[0], now, "first", "poison")).To(BeTrue())
	exchange(t, now, detectors)
	for _, d := range detectors {
		g.Expect(blocked(d, now, "first", "sound")).To(BeFalse())
		g.Expect(blocked(d, now, "first", "poison")).To(BeTrue())
	}
}

// Two parts were in the same crashes, and neither was answered before. Guards against a
// part that stays blocked since no request is let through that could clear it, and against
// requests that are let through although they do not distinguish the parts.
func TestRequestWithOneOfTwoSuspectPartsIsTried(t *testing.T) {
	g := NewWithT(t)
	detectors := []*poison.Detector{newDetector(), newDetector()}
	d := detectors[0]
	now := crashAtOnce(d, time.Second, parts("first", "middle", "poison"))
	g.Expect(blocked(d, now, "first", "middle", "poison", "new")).To(BeTrue())
	exchange(t, now, detectors)
	verdict := d.Admit(now, parts("first", "middle", "sound"))
	g.Expect(verdict.Blocked).To(BeFalse())
	g.Expect(verdict.Trial).To(BeTrue())
	g.Expect(blocked(d, now, "first", "middle", "sound 2")).To(BeTrue(), "one is tried at a time")
	g.Expect(blocked(d, now, "first", "middle", "poison")).To(BeTrue())
	d.RecordAnswer(now+200*time.Millisecond, service, parts("first", "middle", "sound"))
	now += 300 * time.Millisecond
	exchange(t, now, detectors)
	for _, d := range detectors {
		g.Expect(d.Admit(now, parts("first", "middle", "sound 3"))).To(Equal(poison.Verdict{}))
		g.Expect(blocked(d, now, "first", "middle", "poison")).To(BeTrue())
	}
}

// Two parts were in the same crashes, and the one that is sound comes less often. Guards
// against trying requests with the poison part again and again.
func TestCrashOfATrialDecidesBetweenTwoParts(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	now := crashAtOnce(d, time.Second, parts("poison", "second"))
	g.Expect(blocked(d, now, "poison", "second")).To(BeTrue())
	tried := 0
	for i := range 20 {
		now += 4 * time.Second / 5
		if !blocked(d, now, "poison", fmt.Sprint("new ", i)) {
			tried++
			d.RecordCrash(now, uint32(100+i), parts("poison", fmt.Sprint("new ", i)))
		}
	}
	g.Expect(tried).To(BeNumerically("<=", 2))
	g.Expect(blocked(d, now, "second", "new")).To(BeFalse(), "the poison part explains its crashes")
}

// An instance has blocked the first part of the crashes. A further crash, of the poison part
// without the first one, is reported by another instance. Guards against a block that goes
// on until its end although another one explains it.
func TestBlockThatAnotherOneExplainsEndsAtOnce(t *testing.T) {
	g := NewWithT(t)
	detectors := []*poison.Detector{newDetector(), newDetector()}
	now := crashAtOnce(detectors[0], time.Second, parts("first", "poison"))
	g.Expect(blocked(detectors[0], now, "first", "poison")).To(BeTrue())
	exchange(t, now, detectors)
	detectors[0].TakeEvents()
	detectors[1].RecordCrash(now+time.Second, 100, parts("other", "poison"))
	now += 2 * time.Second
	exchange(t, now, detectors)
	g.Expect(releasedFirst(detectors[0], now)).To(BeTrue())
	g.Expect(blocked(detectors[0], now, "first", "poison")).To(BeTrue())
	g.Expect(detectors[0].BlockedCount(now)).To(Equal(1))
}

// releasedFirst reports whether requests with the first part are let through and the end of
// its block is logged.
func releasedFirst(d *poison.Detector, now time.Duration) bool {
	if d.Admit(now, parts("first", "sound")) != (poison.Verdict{}) {
		return false
	}
	for _, event := range d.TakeEvents() {
		if event.Name == "first" && !event.Blocked {
			return true
		}
	}
	return false
}

// Load pattern: a poisonous and a sound request a second, at six instances in turn, so that
// each of them sees a sound one in six seconds. Guards against instances that wait for
// three answers of their own.
func TestAnswersOfOtherInstancesCount(t *testing.T) {
	g := NewWithT(t)
	var detectors []*poison.Detector
	for range 6 {
		detectors = append(detectors, newDetector())
	}
	now := time.Duration(0)
	crashes := 0
	for i := range 10 {
		now += 500 * time.Millisecond
		if d := detectors[(i+3)%6]; !blocked(d, now, "first", "poison") {
			crashes++
			d.RecordCrash(now, uint32(i), parts("first", "poison", fmt.Sprint("own ", i)))
			exchange(t, now, detectors)
		}
		now += 500 * time.Millisecond
		detectors[i%6].RecordAnswer(now, service, parts("first", fmt.Sprint("sound ", i)))
		exchange(t, now, detectors)
	}
	g.Expect(crashes).To(Equal(3))
}

// Load pattern: only poisonous requests come, one in ten seconds. Guards against crashes
// that go on since no other request is answered.
func TestPartIsBlockedIfNoOtherRequestsCome(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	for i := range 5 {
		at := time.Duration(i+1) * 10 * time.Second
		g.Expect(blocked(d, at, "poison")).To(BeFalse())
		d.RecordCrash(at, uint32(i), parts("poison", fmt.Sprint("own ", i)))
	}
	g.Expect(blocked(d, 60*time.Second, "poison")).To(BeTrue())
}

// All requests of a service crash their upstreams for 30 s, and half of them have the same
// part. Guards against refusing these when the service is back.
func TestLongOutageOfTheServiceBlocksNothing(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	for i := range 30 {
		name := "first"
		if i%2 == 1 {
			name = fmt.Sprint("other ", i)
		}
		d.RecordCrash(time.Duration(i+1)*time.Second, uint32(i), parts(name))
	}
	g.Expect(blocked(d, 31*time.Second, "first")).To(BeFalse())
	d.RecordAnswer(32*time.Second, service, parts("unrelated"))
	g.Expect(blocked(d, 33*time.Second, "first")).To(BeFalse(), "the service is back")
}
