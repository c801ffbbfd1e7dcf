package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
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
