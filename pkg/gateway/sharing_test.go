package gateway

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
)

// Load pattern: 87 instances and 140 engines, where whole reports are so large
// that they can be sent only every 150 ms; meanwhile all instances place on the
// same engines. Guards against small changes that wait for a whole report.
func TestOnlyChangesAreToldBetweenWholeReports(t *testing.T) {
	g := NewWithT(t)
	var a audience
	loads := func(e0, e1 int) map[string]admission.Load {
		all := map[string]admission.Load{"idle": {Speed: 1, Samples: 3}}
		for id, n := range map[string]int{"e0": e0, "e1": e1} {
			if n > 0 {
				all[id] = admission.Load{InFlight: n}
			}
		}
		return all
	}
	told, used, partial := a.news(time.Second, loads(1, 2), map[string]float64{"desk": 5, "lab": 6})
	g.Expect(partial).To(BeFalse())
	g.Expect(told).To(HaveLen(3))
	g.Expect(used).To(HaveLen(2))

	told, used, partial = a.news(time.Second+nearPause, loads(0, 2), map[string]float64{"desk": 7, "lab": 6})
	g.Expect(partial).To(BeTrue())
	g.Expect(told).To(Equal(map[string]admission.Load{"e0": {}}), "what has ended is told as well")
	g.Expect(used).To(Equal(map[string]float64{"desk": 7}))

	told, _, _ = a.news(time.Second+2*nearPause, loads(0, 2), map[string]float64{"desk": 7, "lab": 6})
	g.Expect(told).To(BeEmpty())

	told, _, partial = a.news(time.Second+wholeEvery, loads(0, 2), nil)
	g.Expect(partial).To(BeFalse())
	g.Expect(told).To(HaveLen(2))
}

// Failure: one of two instances of a failure domain restarts. Guards against a
// process that speaks for its failure domain before it knows the other: that
// looked like a restart of both, and all that they had used was counted twice.
func TestAProcessKnowsItsPeersBeforeItSpeaksForThem(t *testing.T) {
	g := NewWithT(t)
	settings := defaultSettings()
	settings.Instance = InstanceSettings{Name: "a", Domain: "north"}
	settings.Listen.Peers = "127.0.0.1:0"
	now := time.Second
	instance, err := New(Options{Settings: settings, Log: logr.Discard(), Clock: clockwork.NewFakeClock(), Now: func() time.Duration { return now }})
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = instance.socket.Close() }()
	c := instance.control
	_, err = c.peers.Add(now, "z", loadshare.Place{Domain: "south", Address: "127.0.0.1:9"})
	g.Expect(err).NotTo(HaveOccurred())
	c.report(now)
	g.Expect(c.near.sent).To(Equal(now))
	g.Expect(c.far.sent).To(BeZero())
	peersKnown{}.apply(c)
	now += speakWait
	c.report(now)
	g.Expect(c.far.sent).To(Equal(now))
}
