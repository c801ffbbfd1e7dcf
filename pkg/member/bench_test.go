package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkDomain measures the messages and encoded bytes that one member sends
// per second in a domain at rest, and the time and memory that its logic costs.
// Virtual time; the messages are encoded but not sent.
func BenchmarkDomain(b *testing.B) {
	const joining, measured = 2 * time.Minute, 2 * time.Minute
	for _, members := range []int{6, 12, 24, 60, 120} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			var messages, bytes float64
			var took time.Duration
			var before, after runtime.MemStats
			for seed := range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := newSim(uint64(seed), members)
				s.run(joining)
				runtime.GC()
				runtime.ReadMemStats(&after)
				s.messages, s.bytes = 0, 0
				began := time.Now()
				s.run(measured)
				took += time.Since(began)
				messages += float64(s.messages)
				bytes += float64(s.bytes)
			}
			total := float64(b.N) * float64(members) * measured.Seconds()
			b.ReportMetric(messages/total, "messages/s")
			b.ReportMetric(bytes/total, "B/s")
			b.ReportMetric(float64(took.Microseconds())/total, "us/s")
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(members*members), "B/record")
		})
	}
}
