package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Replays the load of a planned stop on virtual time. Guards against passing on requests
// that cannot end in time, and against refusing those that can.
func TestStopPlanAdmitsWhatEndsInTime(t *testing.T) {
	const s = time.Second
	plan := stopPlan{noticeEnd: 103 * s, end: 107500 * time.Millisecond}
	for name, test := range map[string]struct {
		arrived, now, deadline, usual time.Duration
		want                          bool
	}{
		"early, usually short":                     {100 * s, 100 * s, 115 * s, 2 * s, true},
		"in the notice, usually too long":          {102 * s, 102 * s, 117 * s, 6 * s, false},
		"in the notice, duration unknown":          {102 * s, 102 * s, 117 * s, 0, true},
		"in the notice, the deadline is sure":      {102 * s, 102 * s, 104 * s, 6 * s, true},
		"after the notice, usually short":          {104 * s, 104 * s, 119 * s, s, false},
		"after the notice, duration unknown":       {104 * s, 104 * s, 119 * s, 0, false},
		"after the notice, the deadline is sure":   {104 * s, 104 * s, 106 * s, s, true},
		"after the notice, deadline at the end":    {104 * s, 104 * s, 107500 * time.Millisecond, s, true},
		"at the end of the notice":                 {103 * s, 103 * s, 118 * s, s, false},
		"waited beyond the notice, usually short":  {99 * s, 105 * s, 119 * s, s, true},
		"waited beyond the notice, now too late":   {99 * s, 106 * s, 119 * s, 2 * s, false},
		"waited beyond the notice, duration known": {102 * s, 104 * s, 117 * s, 3 * s, true},
	} {
		t.Run(name, func(t *testing.T) {
			admitted := plan.admits(test.arrived, test.now, test.deadline, func() time.Duration { return test.usual })
			NewWithT(t).Expect(admitted).To(Equal(test.want))
		})
	}
}

// Guards against an estimate that long requests of another route, or a single one, change.
func TestUsualDurationIsThatOfTheRoute(t *testing.T) {
	g := NewWithT(t)
	var durations routeDurations
	g.Expect(durations.usual("plan")).To(BeZero())
	for range 60 {
		durations.observe("plan", time.Second)
	}
	durations.observe("plan", time.Minute)
	durations.observe("look", time.Hour)
	g.Expect(durations.usual("plan")).To(Equal(time.Second))
	g.Expect(durations.usual("look")).To(Equal(time.Hour))
}
