package traffic_test

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/traffic"
)

func table() *traffic.Table {
	tier := 1
	return traffic.NewTable(traffic.Config{
		Version: 3,
		Routes: []traffic.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Targets: []traffic.Target{{Service: "one", Weight: 1}}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Targets: []traffic.Target{{Service: "one", Weight: 90}, {Service: "two", Weight: 10}}},
			{Name: "other", Host: "b.example", Prefix: "/", Targets: []traffic.Target{{Service: "two", Weight: 1}}},
		},
		Teams: []traffic.Team{{Name: "desk", Keys: []string{"k1", "k2"}, Tier: &tier, DefaultTokens: 200}},
	})
}

// Guards against a kind of request that the operator ranks higher and that waits behind others
// of the same team, and against a team's tier that does not go first.
func TestRankOfTeamGoesBeforeThatOfRoute(t *testing.T) {
	g := NewWithT(t)
	high, low := 0, 1
	gold, plain, none := &traffic.Team{Tier: &high}, &traffic.Team{Tier: &low}, &traffic.Team{}
	urgent, other := &traffic.Route{Tier: 0}, &traffic.Route{Tier: 2}
	ranks := []int{
		traffic.Rank(gold, urgent), traffic.Rank(gold, other), traffic.Rank(plain, urgent), traffic.Rank(plain, other), traffic.Rank(none, other),
	}
	g.Expect(slices.IsSorted(ranks)).To(BeTrue(), "%v", ranks)
	g.Expect(slices.Compact(slices.Clone(ranks))).To(HaveLen(5))
	g.Expect(traffic.Rank(nil, urgent)).To(Equal(0))
	g.Expect(traffic.Rank(nil, &traffic.Route{Tier: 1 << 20})).To(BeNumerically("<", 1<<15), "it is sent as 16 bits")
}

// Guards against routing a request by a shorter prefix or by the route of another
// host.
func TestMatchLongestPrefixOfHost(t *testing.T) {
	g := NewWithT(t)
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"c.example", "/x/1", ""},
	}
	for _, c := range cases {
		route := table().Match(c.host, c.path)
		if c.want == "" {
			g.Expect(route).To(BeNil(), "%v", c)
			continue
		}
		g.Expect(route.Name).To(Equal(c.want), "%v", c)
	}
}

// Guards against a split that gives a target more or less than its weight.
func TestPickServiceFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	route := table().Match("a.example", "/x/y/")
	g.Expect(route.PickService(0)).To(Equal("one"))
	g.Expect(route.PickService(0.899)).To(Equal("one"))
	g.Expect(route.PickService(0.901)).To(Equal("two"))
	g.Expect(route.Serves("two")).To(BeTrue())
	g.Expect(route.Serves("three")).To(BeFalse())
}

func TestTeamOfEachKey(t *testing.T) {
	g := NewWithT(t)
	for _, key := range []string{"k1", "k2"} {
		g.Expect(table().TeamByKey(key).Name).To(Equal("desk"))
	}
	g.Expect(table().TeamByKey("k3")).To(BeNil())
	g.Expect(table().TeamByKey("")).To(BeNil())
}

func TestChargeCountsTokensOrRequests(t *testing.T) {
	g := NewWithT(t)
	team := traffic.Team{DefaultTokens: 200}
	g.Expect(team.Charge(1500)).To(Equal(1500))
	g.Expect(team.Charge(0)).To(Equal(200))
	team.ChargesPerRequest = true
	g.Expect(team.Charge(1500)).To(Equal(1))
}
