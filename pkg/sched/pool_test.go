package sched_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

var start = time.Unix(1_700_000_000, 0)

func engine(name string, maxRequests, maxTokens int) record.Upstream {
	return record.Upstream{
		Name: name, Type: record.TypeEngine, Models: []string{"m@1"},
		MaxRequests: maxRequests, MaxTokens: maxTokens,
		PrefillTokensPerSecond: 10_000, DecodeTokensPerSecond: 50,
	}
}

func request(id string, tier, prompt int) sched.Request {
	return sched.Request{
		ID: id, Holder: "entry", Deadline: start.Add(time.Minute),
		Work: sched.Work{Tier: tier, Team: "team", Model: "m", PromptTokens: prompt, OutputTokens: 10},
	}
}

// Guards against a policy that cannot be selected, and against a policy that
// grants nothing on an idle pool.
func TestEveryPolicyGrantsOnAnIdlePool(t *testing.T) {
	for _, policy := range sched.Policies() {
		t.Run(policy, func(t *testing.T) {
			g := NewWithT(t)
			p := sched.New(sched.Config{Policy: policy})
			p.SetUpstreams(start, []record.Upstream{engine("a", 4, 0), engine("b", 4, 0)})
			d := p.Acquire(start, request("1", 1, 100))
			g.Expect(d.Refusals).To(BeEmpty())
			g.Expect(d.Grants).To(HaveLen(1))
			g.Expect(d.Grants[0].Upstream).To(BeElementOf("a", "b"))
		})
	}
}
