// Package failure proves the guarantees of docs/guarantees.md with real
// processes that are killed, frozen and cut off. The checks judge from what
// the upstreams and the callers saw, not from the product's own counters.
package failure_test

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/ginkgo/v2/types"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

var bin string

func TestFailures(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Guarantees under failure")
}

var _ = BeforeSuite(func() {
	var err error
	bin, err = os.MkdirTemp("", "rosemarywing-failure-")
	Expect(err).NotTo(HaveOccurred())
	Expect(testbed.Build("../..", bin, "rosemarywing-entry", "standin-platform", "standin-engine", "standin-service")).To(Succeed())
	DeferCleanup(os.RemoveAll, bin)
})

// The table says for each guarantee how many cases ran and how many violated it.
var _ = ReportAfterSuite("table of guarantees", func(report Report) {
	type count struct{ run, failed int }
	counts := map[string]*count{}
	for _, spec := range report.SpecReports {
		for _, label := range spec.Labels() {
			if spec.State == types.SpecStateSkipped || spec.State == types.SpecStatePending {
				continue
			}
			if counts[label] == nil {
				counts[label] = &count{}
			}
			counts[label].run++
			if spec.Failed() {
				counts[label].failed++
			}
		}
	}
	var labels []string
	for label := range counts {
		labels = append(labels, label)
	}
	sort.Slice(labels, func(i, j int) bool {
		return len(labels[i]) < len(labels[j]) || len(labels[i]) == len(labels[j]) && labels[i] < labels[j]
	})
	var out strings.Builder
	out.WriteString("\nguarantee  cases  violations\n")
	for _, label := range labels {
		fmt.Fprintf(&out, "%-10s %5d  %10d\n", label, counts[label].run, counts[label].failed)
	}
	fmt.Println(out.String())
})
