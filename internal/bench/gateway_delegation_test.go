package bench

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// largeDomainConfig is a failure domain of the size of the users' largest site: 48
// instances share 30 engines that are overloaded, each instance less than one engine.
func largeDomainConfig(seed uint64) GatewayConfig {
	config := newGatewayConfig(5, seed)
	config.Instances, config.Engines, config.MinReportInterval = 48, 30, 100*time.Millisecond
	return config
}

// Load pattern: overload of a failure domain of 48 instances. Guards against placement by
// load reports that are 100 ms old, with which the instances fill the same slots. Targets:
// a higher value, a third of the late answers at most, and no more requests at an engine
// than its slots, the one that waits for the next free slot, and one that was placed while
// a report was on its way.
func TestRelayPlacesForLargeDomainUnderOverload(t *testing.T) {
	for seed := range uint64(seedCount) {
		g := NewWithT(t)
		config := largeDomainConfig(seed)
		reports := RunGateway(config)
		config.Delegated = true
		relay := RunGateway(config)
		t.Logf("seed %d: reports %+v, at most %d; relay %+v, at most %d; bound %.3f", seed, reports.Total, reports.MaxEngineRequests, relay.Total, relay.MaxEngineRequests, relay.MaxValueShare)
		g.Expect(relay.Total.ValueShare()).To(BeNumerically(">", reports.Total.ValueShare()))
		g.Expect(relay.Total.Late).To(BeNumerically("<=", reports.Total.Late/3))
		g.Expect(relay.MaxEngineRequests).To(BeNumerically("<=", gatewayBatching.maxRequests+2))
	}
}

// Failure: the relay is lost under overload, which the others notice after 600 ms, and
// messages get lost all the time. Guards against requests that wait for it. Target: no
// window of two seconds below 0.6 of the mean.
func TestLossOfRelayUnderOverload(t *testing.T) {
	for seed := range uint64(seedCount) {
		g := NewWithT(t)
		config := largeDomainConfig(seed)
		config.Delegated, config.RelayLostAt, config.MessageLoss = true, 9*time.Second, 0.025
		result := RunGateway(config)
		t.Logf("seed %d: %+v, at most %d at one engine", seed, result.Total, result.MaxEngineRequests)
		for i, window := range result.ByWindow {
			if window.Offered > 0 {
				g.Expect(window.ValueShare()).To(BeNumerically(">=", 0.6*result.Total.ValueShare()), "seconds %d and %d", 2*i, 2*i+1)
			}
		}
	}
}
