package compare_test

import (
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/compare"
	"github.com/rosemarywing/rosemarywing/internal/load"
	"github.com/rosemarywing/rosemarywing/internal/testbed"
	"github.com/rosemarywing/rosemarywing/internal/workload"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// Guards against a deployment that cannot serve some requests of its workload, or
// that runs another policy than requested, which would make the results wrong.
func TestDeploymentSpecServesWorkload(t *testing.T) {
	for _, name := range []string{"flottakert", "kifaru"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			profile, err := workload.ProfileByName(name)
			g.Expect(err).NotTo(HaveOccurred())
			spec, err := compare.NewDeploymentSpec(profile, "least-load", 4, 2)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(spec.ExtraSettings["scheduler"]).To(ContainElement("policy = least-load"))
			g.Expect(spec.Engines).To(HaveLen(len(profile.Engines)))
			for _, domain := range profile.Domains {
				g.Expect(spec.Regions).To(HaveKeyWithValue(domain.Name, domain.Region))
				for _, class := range profile.Classes {
					upstreams := append(slices.Clone(spec.Engines), spec.Services...)
					g.Expect(slices.ContainsFunc(upstreams, func(e testbed.UpstreamSpec) bool {
						servesModel := slices.Contains(e.Record.Models, class.Model+"@1")
						return e.Domain == domain.Name && (servesModel || class.Service != "" && e.Record.Service == class.Service)
					})).To(BeTrue(), "%s in %s", class.Name, domain.Name)
				}
			}
			var kinds []record.Kind
			for _, envelope := range spec.Records {
				kinds = append(kinds, envelope.Kind)
			}
			g.Expect(kinds).To(ContainElements(record.KindTier, record.KindTeam, record.KindModel))
			engine := spec.Engines[0]
			g.Expect(engine.Record.PrefillTokensPerSecond).To(BeEquivalentTo(4 * profile.Engines[0].PrefillTokensPerSecond))
			g.Expect(strings.Join(engine.Args, " ")).To(ContainSubstring("--speed 4 "))
		})
	}
}

// Guards against a table that mixes workloads or omits refused requests.
func TestWriteTable(t *testing.T) {
	g := NewWithT(t)
	newRow := func(workload, policy string) compare.Row {
		highTier := load.TierReport{Tier: "high", Offered: 4, Good: 3, Goodput: 0.75, Refused: map[string]int{"overloaded": 1}}
		highTier.FirstToken = load.Percentiles{Count: 3, P99: 12.4}
		total := highTier
		total.Tier = "total"
		return compare.Row{Policy: policy, Report: load.Report{Workload: workload, Tiers: []load.TierReport{highTier, total},
			Prefill: load.PrefillReport{WastedTokens: 10, WastedShare: 0.5, DiscardedTokens: 2}}}
	}
	var out strings.Builder
	g.Expect(compare.WriteTable(&out, []compare.Row{newRow("a", "x"), newRow("a", "y"), newRow("b", "x")})).To(Succeed())
	g.Expect(strings.Count(out.String(), "\n## ")).To(Equal(2))
	g.Expect(strings.Count(out.String(), "| 0.750 (3/4) | 0.750 (3/4) | 1 | 0 | high 12 | 10 tokens (50.0%) | 2 |\n")).To(Equal(3))
}
