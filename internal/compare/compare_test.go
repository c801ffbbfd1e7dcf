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

// Guards against a deployment that cannot serve a part of its workload or runs
// another policy than the row names, so that the table measures the set-up.
func TestDeploymentServesItsWorkload(t *testing.T) {
	for _, name := range []string{"flottakert", "kifaru"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			profile, err := workload.Named(name)
			g.Expect(err).NotTo(HaveOccurred())
			spec, err := compare.Deployment(profile, "least-load", 4, 2)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(spec.Settings["scheduler"]).To(ContainElement("policy = least-load"))
			g.Expect(spec.Engines).To(HaveLen(len(profile.Engines)))
			for _, domain := range profile.Domains {
				g.Expect(spec.Regions).To(HaveKeyWithValue(domain.Name, domain.Region))
				for _, class := range profile.Classes {
					all := append(slices.Clone(spec.Engines), spec.Services...)
					g.Expect(slices.ContainsFunc(all, func(e testbed.Engine) bool {
						model := slices.Contains(e.Record.Models, class.Model+"@1")
						return e.Domain == domain.Name && (model || class.Service != "" && e.Record.Service == class.Service)
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

// Guards against a table that mixes workloads or leaves out what was refused.
func TestTable(t *testing.T) {
	g := NewWithT(t)
	row := func(workload, policy string) compare.Row {
		tier := load.TierReport{Tier: "high", Offered: 4, Good: 3, Goodput: 0.75, Refused: map[string]int{"overloaded": 1}}
		tier.FirstToken = load.Percentiles{Count: 3, P99: 12.4}
		total := tier
		total.Tier = "total"
		return compare.Row{Policy: policy, Report: load.Report{Workload: workload, Tiers: []load.TierReport{tier, total},
			Prefill: load.PrefillReport{WastedTokens: 10, WastedShare: 0.5, DiscardedTokens: 2}}}
	}
	var out strings.Builder
	g.Expect(compare.WriteTable(&out, []compare.Row{row("a", "x"), row("a", "y"), row("b", "x")})).To(Succeed())
	g.Expect(strings.Count(out.String(), "\n## ")).To(Equal(2))
	g.Expect(strings.Count(out.String(), "| 0.750 (3/4) | 0.750 (3/4) | 1 | 0 | high 12 | 10 tokens (50.0%) | 2 |\n")).To(Equal(3))
}
