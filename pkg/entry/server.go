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

// noForcedExitWait is so long that go-zero does not end the process: by default it
// does so 5.5 s after SIGTERM, which would cut running streams.
const noForcedExitWait = time.Duration(math.MaxInt64)

// restConf returns the go-zero configuration. It sets explicitly each default
// that would cut a request or answer without a run state.
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
			// returned many 5xx, and counts all upstreams and teams together.
			Breaker: false,
			// Load shedding ignores tiers; the scheduler sheds load instead.
			Shedding: false,
			// The connection limit answers 503 without a run state; the limit
			// of requests in flight replaces it.
			MaxConns: false,
			// The timeout middleware buffers answers and cuts streams; each
			// request has its own deadline.
			Timeout: false,
			// The body limit answers 413 without a run state; readBody enforces
			// the limit.
			MaxBytes: false,
			// Bodies are forwarded to services unchanged.
			Gunzip: false,
			// The panic handler answers 500 without a run state; recoverPanics
			// replaces it.
			Recover: false,
			// The entry has its own log, metrics and panic handler.
			Log: false, Trace: false, Prometheus: false, Metrics: false,
		},
	}
}

// newHandler returns the HTTP handler for the routes, and sends the log of
// go-zero to log.
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

// recoverPanics answers a panic in a handler with an internal error, whose run
// state is unknown.
func recoverPanics(log logr.Logger) rest.Middleware {
	return func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			defer func() {
				panicValue := recover()
				if panicValue == nil {
					return
				}
				if err, ok := panicValue.(error); ok && errors.Is(err, http.ErrAbortHandler) {
					panic(panicValue)
				}
				log.Error(nil, "panic in a request handler", "path", r.URL.Path, "cause", panicValue)
				writeKindError(w, "", errkind.New(errkind.Internal, "internal error"))
			}()
			next(w, r)
		}
	}
}

// NewServer returns an HTTP server without a write timeout, since a stream lasts
// as long as its engine takes. It has no read timeout either; readBody limits the
// time for the body.
func NewServer(handler http.Handler, timeouts settings.Timeouts) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: timeouts.ReadHeader,
		IdleTimeout:       timeouts.Idle,
	}
}
