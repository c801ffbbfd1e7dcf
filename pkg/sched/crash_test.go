package sched_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// Guards against innocent requests that are sent one after another to a
// crashed engine as probes, and get an answer "unknown" and a strike each.
func TestABrokenUpstreamIsProbedByItsLoadReport(t *testing.T) {
	g := NewWithT(t)
	p := sched.New(sched.Config{})
	p.SetUpstreams(start, []record.Upstream{engine("a", 4, 0)})
	report := func(at time.Time) sched.Decisions {
		return p.ReportLoad(at, "a", sched.Load{Incarnation: "1", ReportedAt: at})
	}
	report(start)
	g.Expect(p.Acquire(start, request("1", 1, 100)).Grants).To(HaveLen(1))
	broke := start.Add(time.Second)
	p.Release(broke, sched.Result{RequestID: "1", Holder: "entry", Outcome: sched.UpstreamBroken})
	next := request("2", 1, 100)
	next.Work.Fingerprint = 2
	// A report that was on its way when the engine crashed proves nothing.
	g.Expect(p.Acquire(broke, next).Grants).To(BeEmpty())
	g.Expect(report(broke.Add(500 * time.Millisecond)).Grants).To(BeEmpty())
	g.Expect(p.Tick(broke.Add(20 * time.Second)).Grants).To(BeEmpty())
	g.Expect(report(broke.Add(21 * time.Second)).Grants).To(HaveLen(1))
}
