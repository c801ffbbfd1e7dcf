package admission_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
)

// newFixtureWith returns a pool of engines with a changed tuning.
func newFixtureWith(t *testing.T, engines int, change func(*admission.Tuning)) *fixture {
	t.Helper()
	f, tuning := newFixture(t, 0), exactTuning()
	change(&tuning)
	f.pool = admission.NewPool(admission.Service{Name: "llm", Engine: true, Slots: slots, TokensPerEvent: 6}, location, tuning, seeded())
	for i := range engines {
		f.pool.SetUpstream(admission.UpstreamInfo{ID: fmt.Sprint("e", i), Service: "llm", Address: fmt.Sprint("a", i), Domain: "north", Slots: slots})
	}
	return f
}

// Guards against a rule that acts although the operator has switched it off.
func TestSwitchedOffRulesDoNotAct(t *testing.T) {
	t.Run("eject_failing", func(t *testing.T) {
		f := newFixtureWith(t, 4, func(tuning *admission.Tuning) { tuning.EjectFailing = false })
		for range 10 {
			f.pool.ObservePeerResult(0, "e0", admission.Result{Outcome: admission.Failed})
		}
		f.Expect(f.pool.Ejected(0)).To(BeEmpty())
		ejected := admission.Load{Ejected: true}
		f.pool.SetPeer(0, "peer", admission.PeerState{Loads: map[string]admission.Load{"e1": ejected}})
		for range 4 * capacity {
			f.submit(0, 1, 100)
		}
		f.Expect(placed(f.pool.Schedule(0))).To(HaveLen(4))
	})
	t.Run("refuse_early", func(t *testing.T) {
		f := newFixtureWith(t, 1, func(tuning *admission.Tuning) { tuning.RefuseEarly = false })
		f.pool.SetPeer(0, "peer", admission.PeerState{Loads: map[string]admission.Load{"e0": {InFlight: capacity}}})
		f.submitFor(0, "team", 6000, 300)
		f.Expect(f.pool.Schedule(second * 9 / 10)).To(BeEmpty())
		f.Expect(f.pool.Schedule(second*12/10)).To(HaveLen(1), "8 in 100 of 15 s")
	})
	t.Run("share_teams", func(t *testing.T) {
		f := newFixtureWith(t, 4, func(tuning *admission.Tuning) { tuning.ShareTeams = false })
		for range 4 {
			f.submitFor(0, "long", 20_000, 500)
			f.submitFor(0, "short", 1000, 50)
		}
		f.Expect(count(placed(f.pool.Schedule(0)))).To(Equal(8))
		full := map[string]admission.Load{"e1": {InFlight: capacity}, "e2": {InFlight: capacity}, "e3": {InFlight: capacity}, "e0": {InFlight: capacity - 3}}
		f.pool.SetPeer(0, "peer", admission.PeerState{Loads: full})
		f.submitFor(0, "short", 100, 10)
		newest := f.submitFor(second/100, "long", 100, 10)
		decisions := f.pool.Schedule(second / 100)
		f.Expect(decisions).NotTo(BeEmpty())
		f.Expect(decisions[0].Key).To(Equal(newest), "by arrival, not by share")
	})
}
