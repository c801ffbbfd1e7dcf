package instance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
	"github.com/rosemarywing/rosemarywing/pkg/settings"
)

// Guards against a policy setting that does not reach the scheduler: the load
// tool would compare a policy with itself. Only the default policy holds a
// request back when the upstream is full; the others let the engine queue it.
func TestSchedulerUsesConfiguredPolicy(t *testing.T) {
	for _, policy := range sched.Policies() {
		t.Run(policy, func(t *testing.T) {
			g := NewWithT(t)
			b := &builder{env: Env{Settings: settings.Default()}, cache: conf.NewCache()}
			b.env.Settings.Scheduler.Policy = policy
			scheduler := b.newScheduler("north/m")
			now := time.Unix(0, 0)
			scheduler.SetUpstreams(now, []record.Upstream{{
				Name: "e1", Type: record.TypeEngine, Models: []string{"m@1"}, MaxRequests: 1, MaxTokens: 10_000,
			}})
			granted := 0
			for i := range 2 {
				d := scheduler.Acquire(now, sched.Request{
					ID: fmt.Sprint(i), Holder: "entry", Deadline: now.Add(time.Minute),
					Work: sched.Work{Tier: 1, Team: "t", Model: "m", PromptTokens: 100, OutputTokens: 10},
				})
				granted += len(d.Grants)
			}
			want := 2
			if policy == sched.PolicyRosemarywing {
				want = 1
			}
			g.Expect(granted).To(Equal(want))
		})
	}
}
