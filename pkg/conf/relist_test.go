package conf_test

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	standin "github.com/rosemarywing/rosemarywing/internal/standin/platform"
	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

// Guards against a change that is never applied because the watch skipped its
// event. Only a listing shows that it is missing.
func TestRelistRecoversSkippedEvent(t *testing.T) {
	g := NewWithT(t)
	const longInterval, interval = time.Hour, 3 * time.Second
	server := standin.NewServer(clockwork.NewRealClock())
	listener := httptest.NewServer(server)
	defer listener.Close()
	clock := clockwork.NewFakeClock()
	client := platform.NewClient(platform.Options{
		BaseURL: listener.URL, Timeout: time.Minute, WatchIdleTimeout: longInterval, Registry: metrics.NewRegistry(), Clock: clock,
	})
	put := func(name string) {
		_, err := client.Put(context.Background(), platform.Object{Kind: "Tier", Name: name, Body: tierBody(name, 1)}, platform.Precondition{})
		g.Expect(err).NotTo(HaveOccurred())
	}
	cache := conf.NewCache()
	known := func(name string) func() bool {
		return func() bool { return cache.Snapshot().Tiers[name] != nil }
	}
	syncer := conf.NewSyncer(cache, client, &node{}, conf.Options{
		IsWatcher: func() bool { return true }, BackoffMin: time.Second, BackoffMax: time.Second,
		RoleCheckInterval: longInterval, RelistInterval: interval, RelistBytesPerSecond: 1 << 20, CallTimeout: time.Minute,
		Clock: clock, Random: rand.New(rand.NewPCG(1, 2)), Log: logr.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); syncer.Run(ctx) }()
	defer func() { cancel(); <-done }()
	put("listed")
	g.Eventually(known("listed"), time.Minute).Should(BeTrue())
	server.SetFaults(standin.Faults{SkipEvents: 1})
	put("skipped")
	put("seen")
	g.Eventually(known("seen"), time.Minute).Should(BeTrue())
	g.Expect(known("skipped")()).To(BeFalse(), "the event was not skipped, so the listing is not tested")
	g.Eventually(func() bool {
		clock.Advance(interval)
		return known("skipped")()
	}, time.Minute).Should(BeTrue())
}
