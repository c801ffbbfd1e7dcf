// Package entry is the HTTP API for callers. For each request, it claims the right
// to dispatch, gets a grant for an upstream from a scheduler, dispatches, delivers
// the answer, and releases the grant.
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
	"github.com/rosemarywing/rosemarywing/pkg/membudget"
	"github.com/rosemarywing/rosemarywing/pkg/pool"
	"github.com/rosemarywing/rosemarywing/pkg/route"
	"github.com/rosemarywing/rosemarywing/pkg/settings"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// Options configures an Entry and holds its dependencies.
type Options struct {
	Settings settings.Settings
	Log      logr.Logger
	Clock    clockwork.Clock
	Config   conf.Source
	Claimer  claim.Claimer
	Pool     pool.Client
	Engine   upstream.Engine
	// Service dispatches requests to plain services, whose streams cannot be
	// resumed.
	Service upstream.Dispatcher
	// Members is the membership of the failure domain. It is shown on
	// /status/members, and its live members are counted to share the budget of
	// the link between regions. If nil, this instance counts as the only live
	// member of its domain.
	Members member.View
	// Metrics is the registry behind /metrics; nil creates a new one.
	Metrics metrics.Registry
	// RequestIDOf returns the ID under which the claimer and the upstreams know
	// the claimed request; empty if it is not known. If nil, an idempotency key
	// that IsIssuedID accepts is the request ID, and any other key is hashed
	// together with the team.
	RequestIDOf func(reply claim.Reply) string
	// IsIssuedID reports whether an idempotency key has the form of an issued
	// request ID. Nil treats every key as chosen by the caller. It is not used
	// when RequestIDOf is set.
	IsIssuedID func(idempotencyKey string) bool
	// IsIssuedTo reports whether a request ID was issued to the team. IDs can
	// be guessed, so only the team that owns a stream may resume it. Nil allows
	// every ID except those of other teams' requests that this instance knows.
	IsIssuedTo func(team, requestID string) bool
	// NotifyResumed tells the other instances that a stream continues on this
	// one, so that the instance whose caller disconnected does not cancel it.
	// If nil, a dispatched request of an engine is never cancelled, since that
	// could cut a stream resumed at another instance.
	NotifyResumed func(requestID, upstreamName string)
}

// AnswerFetcher is implemented by engine clients that can fetch a buffered (not
// streamed) answer again by its request ID.
type AnswerFetcher interface {
	FetchAnswer(ctx context.Context, address, requestID string) (*upstream.Answer, error)
}

// StatusReader is implemented by claimers that can look up the phase of a
// request without claiming it.
type StatusReader interface {
	Status(ctx context.Context, team, idempotencyKey string) (claim.Phase, string, error)
}

// Entry serves requests of callers.
type Entry struct {
	Options
	requestChart      *chart.Chart
	instanceMachine   *chart.Machine
	handler           http.Handler
	outputAverages    outputAverages
	crossRegionBudget *route.Budget
	// answerMemory is the memory for what is held of upstreams' answers.
	answerMemory *membudget.Budget

	mu sync.Mutex
	// inFlight holds the requests being served.
	inFlight map[*request]struct{}
	// requestsByKey finds requests, in flight or retained, by request ID and by
	// team and idempotency key.
	requestsByKey map[string]*request
	// retained holds ended requests, oldest first, whose run state can still be
	// queried.
	retained []*request
	// drained is set during a drain and closed once no request is in flight.
	drained chan struct{}
}

// New returns an Entry. It fails if a state chart is invalid or the HTTP server
// cannot be set up.
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
		instanceMachine: instanceChart.NewMachine(),
		inFlight:        map[*request]struct{}{},
		requestsByKey:   map[string]*request{},
		answerMemory:    membudget.New(options.Settings.Limits.AnswerMemoryBytes),
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
