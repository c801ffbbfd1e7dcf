// Package failure_test checks the guarantees of docs/guarantees.md with entry daemons
// ("entries"), upstreams and a platform that run as processes and are killed, suspended
// and cut off. The assertions use what upstreams and callers observed, not the metrics
// of the entry daemons.
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

var binDir string

func TestFailures(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Guarantees under failure")
}

var _ = BeforeSuite(func() {
	var err error
	binDir, err = os.MkdirTemp("", "rosemarywing-failure-")
	Expect(err).NotTo(HaveOccurred())
	Expect(testbed.Build("../..", binDir, "rosemarywing-entry", "standin-platform", "standin-engine", "standin-service")).To(Succeed())
	DeferCleanup(os.RemoveAll, binDir)
})

// Prints how many specs ran and how many failed for each guarantee. The labels of a
// spec name the guarantees that it checks.
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
