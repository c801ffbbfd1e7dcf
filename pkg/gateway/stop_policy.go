package gateway

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// stopPlan holds the times of a planned stop, on the clock Options.Now.
type stopPlan struct {
	// noticeEnd is when the load balancer has had time to notice the stop.
	noticeEnd time.Duration
	// end is when the requests in progress are aborted.
	end time.Duration
}

// admits reports whether a request that arrived at a time may be passed on to an upstream
// now. A request that is cut off may have run and cannot always be repeated, whereas one
// that is refused can be sent to another instance at once. Of the requests that arrive
// after the notice only those are admitted whose deadline is before the end. Until then
// callers cannot avoid the instance, and those are admitted too that usually end in time.
// usual returns the time that such requests usually take; 0 if it is unknown.
//
// It answers the load of a rolling stop: streams on kept connections, of which some last
// longer than what is left of the grace time.
func (p stopPlan) admits(arrived, now, deadline time.Duration, usual func() time.Duration) bool {
	return deadline <= p.end || (arrived < p.noticeEnd && now+usual() <= p.end)
}

const (
	// signalDelay is the time by which the signal to stop may reach the process late. Load
	// balancers and callers count the notice from its sending.
	signalDelay = 100 * time.Millisecond
	// stopRetryAfter is the mean Retry-After of an instance that stops. A caller's next
	// connection leads to another instance.
	stopRetryAfter = 200 * time.Millisecond
	// usualQuantile is the quantile of the durations of a route's requests that counts as
	// usual: at most one in twenty admitted requests is expected to be cut off.
	usualQuantile = 0.95
	// durationSamples is the size of the sample of a route, in which recent requests
	// have more weight.
	durationSamples = 64
)

// refuseLate returns an error if the instance stops and the request is not expected to end
// before. It is called when the request has arrived, and again before it is sent, since
// the body and the queue take time.
func (x *exchange) refuseLate() *errkind.Error {
	plan := x.g.stop.Load()
	if plan == nil || x.mayHaveRun {
		// A request that may have run cannot be refused any more: a retry or the rest of
		// its stream serves the caller better than an error.
		return nil
	}
	now := x.g.now()
	usual := func() time.Duration { return x.g.routeDurations.usual(x.route.Name) }
	if plan.admits(x.arrived, now, x.deadline, usual) {
		return nil
	}
	x.g.metrics.lateRefused.Inc(1)
	return errkind.New(errkind.ShuttingDown, "the instance ends its requests in %d ms; the deadline of this one is in %d ms, and such requests usually take %d ms",
		(plan.end - now).Milliseconds(), (x.deadline - now).Milliseconds(), usual().Milliseconds())
}

// routeDurations samples the durations of answered requests by route. It is safe for
// concurrent use.
type routeDurations struct {
	mu      sync.Mutex
	byRoute map[string]metrics.Sample
}

func (d *routeDurations) observe(route string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byRoute == nil || len(d.byRoute) > maxRoutes {
		d.byRoute = map[string]metrics.Sample{}
	}
	sample := d.byRoute[route]
	if sample == nil {
		sample = metrics.NewExpDecaySample(durationSamples, sampleAlpha)
		d.byRoute[route] = sample
	}
	sample.Update(int64(duration))
}

// usual returns the time that requests of a route usually take; 0 if it is unknown.
func (d *routeDurations) usual(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if sample := d.byRoute[route]; sample != nil {
		return time.Duration(sample.Percentile(usualQuantile))
	}
	return 0
}
