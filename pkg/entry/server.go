package entry

import (
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/core/trace"
	"github.com/zeromicro/go-zero/rest"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/settings"
)

// neverForceQuit keeps go-zero from ending the process 5.5 s after SIGTERM,
// which would cut the streams that are still running.
const noForcedExitWait = time.Duration(math.MaxInt64)

// restConf sets every default of go-zero's rest that matters to a guarantee.
func restConf() rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:      "rosemarywing-entry",
			Mode:      service.ProMode,
			Telemetry: trace.Config{Disabled: true},
			Shutdown:  proc.ShutdownConf{WaitTime: noForcedExitWait},
		},
		Middlewares: rest.MiddlewaresConf{
			// The breaker answers 503 without a run state once an endpoint has
			// returned many 5xx, and mixes all upstreams and teams.
			Breaker: false,
			// Shedding ignores tiers; the scheduler sheds instead.
			Shedding: false,
			// The connection limit answers 503 without a run state; the limit of
			// requests held replaces it.
			MaxConns: false,
			// The time-out cuts streams and buffers answers; each request has a
			// deadline of its own.
			Timeout: false,
			// The body limit answers 413 without a run state; readBody limits.
			MaxBytes: false,
			// A body is passed on to services as it came.
			Gunzip: false,
			// The panic handler answers 500 without a run state; recovered replaces it.
			Recover: false,
			// The entry has a log, metrics and a panic handler of its own.
			Log: false, Trace: false, Prometheus: false, Metrics: false,
		},
	}
}

func newHandler(config rest.RestConf, routeTable []rest.Route, log logr.Logger) (http.Handler, error) {
	pathRouter := newRouter()
	server, err := rest.NewServer(config,
		rest.WithRouter(pathRouter),
		rest.WithNotFoundHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			writeKindError(w, "", errkind.New(errkind.BadRequest, "no such path"))
		})),
		rest.WithNotAllowedHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			writeKindError(w, "", errkind.New(errkind.BadRequest, "the path does not allow this method"))
		})))
	if err != nil {
		return nil, err
	}
	logx.SetWriter(NewLogWriter(log))
	logx.DisableStat()
	server.Use(recoverPanics(log))
	server.AddRoutes(routeTable)
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(serverless.Serve), nil
}

// recovered answers a panic in a handler; nobody knows what had run.
func recoverPanics(log logr.Logger) rest.Middleware {
	return func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			defer func() {
				cause := recover()
				if cause == nil {
					return
				}
				if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
					panic(cause)
				}
				log.Error(nil, "panic in a request handler", "path", r.URL.Path, "cause", cause)
				writeKindError(w, "", errkind.New(errkind.Internal, "internal error"))
			}()
			next(w, r)
		}
	}
}

// NewServer returns the HTTP server for a handler. It has no time-out on
// writing, since a stream may run for as long as its engine takes.
func NewServer(handler http.Handler, timeouts settings.Timeouts) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: timeouts.ReadHeader,
		IdleTimeout:       timeouts.Idle,
	}
}
