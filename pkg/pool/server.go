package pool

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/member"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/record"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// StrikeReporter sends crash strikes, which are the upstream crashes counted
// per request fingerprint, to another scheduler. peer.DRPCPeerClient implements
// it.
type StrikeReporter interface {
	ReportStrike(context.Context, *peer.StrikeReport) (*peer.Ack, error)
}

// ServerOptions configure a Server.
type ServerOptions struct {
	Domain string
	View   member.View
	Config conf.Source
	// NewScheduler returns a new scheduler for a pool.
	NewScheduler func(pool string) sched.Scheduler
	// ReadLoad reads the load report of an upstream.
	ReadLoad func(context.Context, record.Upstream) (sched.Load, error)
	// StrikeTargets returns the addresses of the schedulers in other failure
	// domains whose pools serve the model.
	StrikeTargets func(model string) []string
	// DialStrikeReporter returns the reporter to a scheduler of another failure
	// domain.
	DialStrikeReporter func(address string) StrikeReporter
	Clock              clockwork.Clock
	Log                logr.Logger
}

// Server serves the sessions of entries. It runs one poolServer for each pool
// for which a session was opened.
type Server struct {
	options ServerOptions
	started chan struct{}
	ctx     context.Context
	tasks   sync.WaitGroup

	mu          sync.Mutex
	poolServers map[string]*poolServer
	// strikesByModel holds the crash strikes that other schedulers reported, by model
	// and request fingerprint, for schedulers that start here later.
	strikesByModel map[string]map[uint64]int
}

var (
	_ peer.SessionHandler = (*Server)(nil)
	_ peer.StrikeHandler  = (*Server)(nil)
)

// NewServer returns a server. Sessions wait until Run is called.
func NewServer(options ServerOptions) *Server {
	return &Server{
		options:        options,
		started:        make(chan struct{}),
		poolServers:    map[string]*poolServer{},
		strikesByModel: map[string]map[uint64]int{},
	}
}

// Run serves sessions until ctx ends. It must be called exactly once.
func (s *Server) Run(ctx context.Context) {
	s.ctx = ctx
	close(s.started)
	<-ctx.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tasks.Wait()
}

// poolServerFor returns the poolServer of a pool and starts it if needed.
func (s *Server) poolServerFor(name string) (*poolServer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return nil, errkind.New(errkind.ShuttingDown, "the scheduler shuts down")
	}
	if found := s.poolServers[name]; found != nil {
		return found, nil
	}
	pool := s.options.Config.Snapshot().Pools[name]
	if pool == nil || pool.Domain != s.options.Domain {
		return nil, errkind.New(errkind.NoUpstream, "pool %q is not known in failure domain %q", name, s.options.Domain)
	}
	p := newPoolServer(s, name)
	for _, target := range pool.Targets {
		if model, ok := strings.CutPrefix(target, modelTargetPrefix); ok {
			p.scheduler.AddStrikes(s.options.Clock.Now(), s.strikesByModel[model])
		}
	}
	s.poolServers[name] = p
	s.tasks.Go(func() { p.run(s.ctx) })
	return p, nil
}

// ServeSession implements peer.SessionHandler.
func (s *Server) ServeSession(stream peer.ServerStream) error {
	select {
	case <-s.started:
	case <-stream.Context().Done():
		return stream.Context().Err()
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello.GetInstance() == nil {
		return errkind.New(errkind.BadRequest, "a session must begin with Hello")
	}
	p, err := s.poolServerFor(hello.Pool)
	if err != nil {
		return err
	}
	session := &serverSession{holder: holderName(hello.Instance), outbox: make(chan *peer.SchedulerMessage, sessionQueueSize), done: make(chan struct{})}
	if !p.post(s.ctx, helloReceived{session, hello}) {
		return s.ctx.Err()
	}
	readErr := make(chan error, 1)
	go func() { readErr <- p.readMessages(s.ctx, session, stream) }()
	defer p.post(s.ctx, sessionClosed{session})
	for {
		select {
		case err := <-readErr:
			return err
		case <-session.done:
			return errkind.New(errkind.SchedulerUnreachable, "the session of %s was closed", session.holder)
		case <-s.ctx.Done():
			return s.ctx.Err()
		case m := <-session.outbox:
			if err := stream.Send(m); err != nil {
				return err
			}
		}
	}
}

// ReportStrike implements peer.StrikeHandler.
func (s *Server) ReportStrike(_ context.Context, in *peer.StrikeReport) (*peer.Ack, error) {
	strikes := strikesFromWire(in.Strikes)
	s.mu.Lock()
	known := s.strikesByModel[in.Model]
	if known == nil || len(known) > maxModelStrikes {
		known = map[uint64]int{}
		s.strikesByModel[in.Model] = known
	}
	for fingerprint, count := range strikes {
		known[fingerprint] = max(known[fingerprint], count)
	}
	poolServers := maps.Clone(s.poolServers)
	s.mu.Unlock()
	pools := s.options.Config.Snapshot().Pools
	for name, p := range poolServers {
		if pool := pools[name]; pool != nil && pool.Serves(modelTargetPrefix+in.Model) {
			p.post(s.ctx, strikesReceived{strikes})
		}
	}
	return &peer.Ack{}, nil
}

// sendStrikes sends strikes to the schedulers of other failure domains. It waits
// for them at most strikeTimeout, so that an unreachable domain does not delay
// the answers to callers.
func (s *Server) sendStrikes(ctx context.Context, byModel map[string]map[uint64]int) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, strikeTimeout)
	defer cancel()
	var sends sync.WaitGroup
	for model, strikes := range byModel {
		report := &peer.StrikeReport{Model: model, Strikes: strikesToWire(strikes)}
		for _, address := range s.options.StrikeTargets(model) {
			sends.Go(func() {
				if _, err := s.options.DialStrikeReporter(address).ReportStrike(ctx, report); err != nil {
					s.options.Log.Info("crash strikes were not delivered", "address", address, "model", model, "error", err.Error())
				}
			})
		}
	}
	sends.Wait()
}

// grantableUpstreams returns the upstreams and models of a pool for which grants
// may be issued. While this instance is not the owner of the pool in its own view,
// the owner's scheduler may grant the same upstreams, so their limits are cut to a
// quarter.
func (s *Server) grantableUpstreams(name string, owner bool) []record.Upstream {
	snapshot := s.options.Config.Snapshot()
	pool := snapshot.Pools[name]
	if pool == nil {
		return nil
	}
	var result []record.Upstream
	for _, upstream := range pool.Upstreams {
		if !snapshot.IsServable(upstream, "") {
			continue
		}
		u := *snapshot.Upstreams[upstream]
		u.Models = nil
		for _, version := range snapshot.Upstreams[upstream].Models {
			if snapshot.IsServable(upstream, version) {
				u.Models = append(u.Models, version)
			}
		}
		if !owner {
			if u.MaxRequests == 0 {
				u.MaxRequests = defaultMaxRequests
			}
			u.MaxRequests = fallbackLimit(u.MaxRequests)
			u.MaxTokens = fallbackLimit(u.MaxTokens)
		}
		result = append(result, u)
	}
	return result
}

// fallbackLimit returns the part of an upstream's limit that a scheduler uses while
// its instance is not the owner of the pool: a quarter, at least 1. The limit 0
// means unlimited and stays 0.
func fallbackLimit(limit int) int {
	if limit == 0 {
		return 0
	}
	return max(1, limit/fallbackLimitDivisor)
}

const (
	// modelTargetPrefix starts the targets of a pool that are models.
	modelTargetPrefix = "model:"
	// fallbackLimitDivisor divides the limits of the upstreams at an instance that
	// is not the owner of the pool.
	fallbackLimitDivisor = 4
	// defaultMaxRequests is the request limit that is divided if the upstream's
	// record sets none; it equals the scheduler's default.
	defaultMaxRequests = 64
	// sessionQueueSize is the number of messages queued per session and
	// direction. A session whose queue is full is closed.
	sessionQueueSize = 1024
	// strikeTimeout bounds the wait for the schedulers of other failure domains.
	strikeTimeout = time.Second
	// maxModelStrikes is the number of fingerprints above which the strikes kept
	// for a model are cleared at the next report.
	maxModelStrikes = 10_000
)
