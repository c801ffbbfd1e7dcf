package chart_test

import (
	"errors"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/chart"
)

// Guards against an embedded chart that is missing or not valid.
func TestEmbeddedChartsLoad(t *testing.T) {
	g := NewWithT(t)
	g.Expect(chart.Names()).To(Equal([]string{"instance", "lease", "request", "upstream"}))
	for _, name := range chart.Names() {
		_, err := chart.Load(name)
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// Guards against an invalid chart that is accepted.
func TestParseRejectsInvalidCharts(t *testing.T) {
	const valid = "chart c\nflags f\nstate a initial f=no\nstate b final f=yes\non go a -> b\n"
	for _, c := range []struct{ text, wantError string }{
		{valid, ""},
		{strings.Replace(valid, "chart c", "", 1), "no line 'chart NAME'"},
		{valid + "chart d", "expected one line 'chart NAME'"},
		{valid + "nonsense", "line 6: unknown word \"nonsense\""},
		{valid + "state", "a state needs a name"},
		{valid + "state b final f=yes", "state b is defined twice"},
		{valid + "state c f=maybe\non x a -> c", "\"f=maybe\" is not initial, final or FLAG=yes|no"},
		{valid + "state c\non x a -> c\non y c -> b", "state c does not set the flag f"},
		{valid + "state c f=no g=no\non x a -> c\non y c -> b", "state c sets a flag"},
		{valid + "state c initial f=no\non y c -> b", "2 initial states"},
		{valid + "on stop a ->", "expected 'on EVENT FROM... -> TO'"},
		{valid + "on stop a -> x", "event stop: unknown state x"},
		{valid + "on go a -> a", "event go has two targets from state a"},
		{valid + "on stop b -> a", "event stop leaves the final state b"},
		{valid + "state c f=no\non x c -> b", "state c is unreachable"},
		{valid + "state c f=no\non x a -> c", "state c has no way to a final state"},
	} {
		g := NewWithT(t)
		_, err := chart.Parse("c", c.text)
		if c.wantError == "" {
			g.Expect(err).NotTo(HaveOccurred())
			continue
		}
		g.Expect(err).To(MatchError(ContainSubstring(c.wantError)), c.text)
	}
}

// Guards against an event, flag or state that code relies on and the chart does not
// define, if the check at start-up does not report it.
func TestRequireListsMissingNames(t *testing.T) {
	g := NewWithT(t)
	c, err := chart.Load("lease")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Require([]chart.Event{"renew"}, []string{"holds"}, "held")).To(Succeed())
	err = c.Require([]chart.Event{"melt"}, []string{"wet"}, "ice")
	g.Expect(err).To(MatchError(And(ContainSubstring("melt"), ContainSubstring("wet"), ContainSubstring("ice"))))
}

// Guards against a request that is dispatched and also refused as not run, when
// a disconnect of the caller, the deadline and the dispatch happen concurrently.
func TestExactlyOneEventWins(t *testing.T) {
	g := NewWithT(t)
	c, err := chart.Load("request")
	g.Expect(err).NotTo(HaveOccurred())
	for range 200 {
		m := c.NewMachine()
		for _, event := range []chart.Event{"claimed", "grant", "dial"} {
			g.Expect(m.Fire(event)).To(BeTrue())
		}
		var accepted atomic.Int32
		var group sync.WaitGroup
		for _, event := range []chart.Event{"refuse", "refuse", "dispatch"} {
			group.Go(func() {
				if m.FireIf(event, func() error { return nil }) == nil {
					accepted.Add(1)
				}
			})
		}
		group.Wait()
		g.Expect(accepted.Load()).To(Equal(int32(1)))
		g.Expect(m.HasFlag("dispatched")).To(Equal(m.State() == "dispatched"))
	}
}

// Guards against a state change although the check of FireIf failed.
func TestFireIfKeepsStateAfterFailedCheck(t *testing.T) {
	g := NewWithT(t)
	c, err := chart.Load("request")
	g.Expect(err).NotTo(HaveOccurred())
	m := c.NewMachine()
	errCheck := errors.New("check failed")
	g.Expect(m.FireIf("claim", func() error { return errCheck })).To(MatchError(errCheck))
	g.Expect(m.State()).To(Equal(chart.State("received")))
	g.Expect(m.Fire("dispatch")).To(BeFalse())
	g.Expect(m.Final()).To(BeFalse())
}

// Guards against a documentation page that differs from the charts.
func TestMarkdownPageIsUpToDate(t *testing.T) {
	g := NewWithT(t)
	const page = "../../docs/charts.md"
	want, err := chart.Markdown()
	g.Expect(err).NotTo(HaveOccurred())
	if os.Getenv("UPDATE_DOCS") != "" {
		g.Expect(os.WriteFile(page, []byte(want), 0o644)).To(Succeed())
	}
	got, err := os.ReadFile(page)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(Equal(want), "run UPDATE_DOCS=1 go test ./pkg/chart")
}

func BenchmarkFire(b *testing.B) {
	c, err := chart.Load("request")
	if err != nil {
		b.Fatal(err)
	}
	m := c.NewMachine()
	m.Fire("claimed")
	b.ReportAllocs()
	for b.Loop() {
		m.Fire("grant")
		m.Fire("return")
	}
}
