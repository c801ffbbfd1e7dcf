package claim_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/pkg/claim"
	"github.com/rosemarywing/rosemarywing/pkg/member"
)

// claimsPerHour is the number of requests per instance and hour at the target
// size. Claims are kept for an hour.
const claimsPerHour = 19_080

// BenchmarkState measures the memory per claim in the tables of an instance
// that both issues and holds it, and the time of a claim from issuing the ID to
// Finished.
func BenchmarkState(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	var bytes float64
	var elapsed time.Duration
	for range b.N {
		before := heap()
		node, err := claim.New(claim.Options{
			Domain: "domain-0", Self: claim.InstanceRef{ID: "entry-0", Incarnation: 1}, Address: "10.0.0.1:8081",
			FindMember: func(string, string) (member.Member, bool) { return member.Member{}, false },
			Clock:      clockwork.NewFakeClock(), HolderQueryTimeout: time.Second,
			MaxClaims: 50_000, MaxEndedAttempts: 50_000, MaxAge: time.Hour, Log: logr.Discard(),
		})
		if err != nil {
			b.Fatal(err)
		}
		start := time.Now()
		for range claimsPerHour {
			id := node.NewID("team")
			if reply, err := node.Claim(context.Background(), "team", id); err != nil || reply.Result != claim.Granted {
				b.Fatalf("claim: %v, %v", reply.Result, err)
			}
			node.UpdatePhase(id, claim.Dispatched, "engine-1")
			node.UpdatePhase(id, claim.Finished, "engine-1")
		}
		elapsed += time.Since(start)
		bytes = (heap() - before) / claimsPerHour
		runtime.KeepAlive(node)
	}
	b.ReportMetric(bytes, "B/claim")
	b.ReportMetric(float64(elapsed.Nanoseconds())/float64(b.N)/claimsPerHour, "ns/claim")
}
