// Package entry is the HTTP interface to callers. It drives each request
// through its life: claim, grant, dispatch, answer, release.
package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/rosemarywing/rosemarywing/pkg/chart"
	"github.com/rosemarywing/rosemarywing/pkg/claim"
	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/member"
	"github.com/rosemarywing/rosemarywing/pkg/pool"
	"github.com/rosemarywing/rosemarywing/pkg/route"
	"github.com/rosemarywing/rosemarywing/pkg/settings"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// Options are the parts that an entry works with.
type Options struct {
	Settings settings.Settings
	Log      logr.Logger
	Clock    clockwork.Clock
	Config   conf.Source
	Claimer  claim.Claimer
	Pool     pool.Client
	Engine   upstream.Engine
	// Service sends calls to plain services.
	Service upstream.Dispatcher
	// Members is shown on /status/members; it may be nil.
	Members member.View
	// Metrics is the registry behind /metrics; nil makes a new one.
	Metrics metrics.Registry
	// RequestIDOf returns the ID under which the claimer and the upstreams know
	// the request that a reply is about; empty if that is not known.
	// Nil: an identity for which IsIssued is true is the ID itself, and a key of
	// the caller's own is hashed together with the team into one.
	RequestIDOf func(reply claim.Reply) string
	// IsIssued reports whether an identity has the form of an issued request
	// ID. Nil takes all for keys; it is not used when RequestIDOf is set.
	IsIssued func(identity string) bool
	// OwnsID reports whether a request ID was issued to the team. IDs can be
	// guessed, so a stream is resumed only for the team that it belongs to.
	// Nil allows every ID, except those of another team's requests held here.
	OwnsID func(team, requestID string) bool
	// NotifyResumed tells the other instances that a stream continues here, so
	// that an instance whose caller left does not cancel it. Without it, a
	// request whose caller is gone runs to its end: a cancellation could cut
	// a stream that was resumed elsewhere.
	NotifyResumed func(requestID, upstreamName string)
}

// AnswerFetcher is implemented by engines that return an answer that was not
// streamed a second time, by its request ID.
type AnswerFetcher interface {
	FetchAnswer(ctx context.Context, address, requestID string) (*upstream.Answer, error)
}

// StatusReader is implemented by claimers that can tell the phase of a
// request without claiming it.
type StatusReader interface {
	Status(ctx context.Context, team, identity string) (claim.Phase, string, error)
}

// Entry serves callers.
type Entry struct {
	Options
	requestChart      *chart.Chart
	instanceMachine   *chart.Machine
	handler           http.Handler
	outputAverages    outputAverages
	crossRegionBudget *route.Budget

	mu sync.Mutex
	// held are the requests in progress; requests are found by their ID, and
	// by their team and identity.
	inFlight      map[*request]struct{}
	requestsByKey map[string]*request
	retained      []*request
	drained       chan struct{}
}

// New returns an entry. It fails when a state chart is faulty or the HTTP
// server cannot be set up.
func New(options Options) (*Entry, error) {
	requestChart, err := chart.Load("request")
	if err != nil {
		return nil, err
	}
	if err := requestChart.Require(requestEvents, []string{flagDispatched, flagWaiting}, stateRefused, stateCancelled); err != nil {
		return nil, err
	}
	instanceChart, err := chart.Load("instance")
	if err != nil {
		return nil, err
	}
	if err := instanceChart.Require(instanceEvents, []string{flagReady, flagAccepts}); err != nil {
		return nil, err
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	e := &Entry{
		Options:         options,
		requestChart:    requestChart,
		instanceMachine: instanceChart.New(),
		inFlight:        map[*request]struct{}{},
		requestsByKey:   map[string]*request{},
	}
	e.crossRegionBudget = route.NewBudget(options.Clock, e.linkSharerCount)
	e.instanceMachine.Fire(eventConfigured)
	if e.handler, err = newHandler(restConf(), e.callerRoutes(), options.Log); err != nil {
		return nil, fmt.Errorf("HTTP server for callers: %w", err)
	}
	return e, nil
}

// Handler returns the handler for callers.
func (e *Entry) Handler() http.Handler { return e.handler }
