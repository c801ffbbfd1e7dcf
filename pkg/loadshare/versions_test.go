package loadshare_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
)

// changeLength decodes a message without its types, changes the lengths of its arrays, and
// encodes it again.
func changeLength(g *WithT, content []byte, change func(message []any) []any) []byte {
	var message []any
	g.Expect(msgpack.Unmarshal(content, &message)).To(Succeed())
	changed, err := msgpack.Marshal(change(message))
	g.Expect(err).NotTo(HaveOccurred())
	return changed
}

var mixedReport = loadshare.Report{
	Instance: "edge-1", Domain: "north", Sequence: 7,
	Upstreams: []loadshare.UpstreamLoad{{Upstream: 1, InFlight: 3}, {Upstream: 2, InFlight: 4}},
	Limits:    []loadshare.UpstreamLimit{{Upstream: 1, Limit: 5}},
}

// The instances of a failure domain are replaced one after the other by a version whose
// reports have one more field in each array. Guards against instances that place requests
// without knowing of the load of the other version.
func TestReportsOfOtherVersionsAreRead(t *testing.T) {
	for name, change := range map[string]func(message []any) []any{
		"newer": func(message []any) []any {
			for i, field := range message {
				if loads, isList := field.([]any); isList && len(loads) == 2 {
					for j := range loads {
						loads[j] = append(loads[j].([]any), "a field that is not known yet", []any{1, 2})
					}
					message[i] = loads
				}
			}
			return append(message, []any{"more"}, 5)
		},
		"older": func(message []any) []any { return message[:len(message)-1] },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			content, err := loadshare.Encode(mixedReport)
			g.Expect(err).NotTo(HaveOccurred())
			report, err := loadshare.Decode(changeLength(g, content, change))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(report.Sequence).To(Equal(mixedReport.Sequence))
			g.Expect(report.Upstreams).To(Equal(mixedReport.Upstreams))
			if name == "older" {
				g.Expect(report.Limits).To(BeEmpty())
			} else {
				g.Expect(report.Limits).To(Equal(mixedReport.Limits))
			}
		})
	}
}

// Guards against a view that only instances of the relay's version read.
func TestViewsOfOtherVersionsAreRead(t *testing.T) {
	g := NewWithT(t)
	content, err := loadshare.EncodeView(loadshare.View{Relay: loadshare.PeerRef{Name: "edge-1", CPUPercent: 20}, ReachableInstances: 4})
	g.Expect(err).NotTo(HaveOccurred())
	view, err := loadshare.DecodeView(changeLength(g, content, func(message []any) []any { return append(message, "more") }))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(view.Relay.CPUPercent).To(Equal(uint16(20)))
	g.Expect(view.ReachableInstances).To(Equal(uint16(4)))
}

// Guards against taking a message that is cut off for one of another version.
func TestCutReportsAreNotRead(t *testing.T) {
	g := NewWithT(t)
	content, err := loadshare.Encode(mixedReport)
	g.Expect(err).NotTo(HaveOccurred())
	for length := range content {
		_, err := loadshare.Decode(content[:length])
		g.Expect(err).To(HaveOccurred(), "%d of %d bytes", length, len(content))
	}
}
