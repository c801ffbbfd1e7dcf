package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkDomain measures the messages and encoded bytes that one member sends
// per second in a failure domain without changes, and the CPU time and memory
// of its state machine. It runs in virtual time; messages are encoded but not
// sent.
func BenchmarkDomain(b *testing.B) {
	const joinDuration, measuredDuration = 2 * time.Minute, 2 * time.Minute
	for _, members := range []int{6, 12, 24, 60, 120} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			var messages, bytes float64
			var elapsed time.Duration
			var before, after runtime.MemStats
			for seed := range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := newSimulation(uint64(seed), members)
				s.run(joinDuration)
				runtime.GC()
				runtime.ReadMemStats(&after)
				s.messages, s.bytes = 0, 0
				start := time.Now()
				s.run(measuredDuration)
				elapsed += time.Since(start)
				messages += float64(s.messages)
				bytes += float64(s.bytes)
			}
			total := float64(b.N) * float64(members) * measuredDuration.Seconds()
			b.ReportMetric(messages/total, "messages/s")
			b.ReportMetric(bytes/total, "B/s")
			b.ReportMetric(float64(elapsed.Microseconds())/total, "us/s")
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(members*members), "B/record")
		})
	}
}
