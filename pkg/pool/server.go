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

// StrikeTransport sends crash strikes; peer.DRPCPeerClient implements it.
type StrikeTransport interface {
	ReportStrike(context.Context, *peer.StrikeReport) (*peer.Ack, error)
}

// ServerOptions configure a Server.
type ServerOptions struct {
	Domain string
	View   member.View
	Config conf.Source
	// NewScheduler returns the decision logic for a pool.
	NewScheduler func(pool string) sched.Scheduler
	// ReadLoad reads the load report of an upstream.
	ReadLoad func(context.Context, record.Upstream) (sched.Load, error)
	// StrikeTargets returns the addresses of the schedulers in other failure
	// domains whose pools serve the model.
	StrikeTargets func(model string) []string
	// DialStrikes returns the transport to a scheduler of another domain.
	DialStrikes func(address string) StrikeTransport
	Clock       clockwork.Clock
	Log         logr.Logger
}

// Server runs the schedulers of the pools for which entries open sessions here.
type Server struct {
	options ServerOptions
	running chan struct{}
	ctx     context.Context
	tasks   sync.WaitGroup

	mu    sync.Mutex
	loops map[string]*loop
	// strikes holds strikes by model for pools that do not run here yet.
	strikes map[string]map[uint64]int
}

var (
	_ peer.SessionHandler = (*Server)(nil)
	_ peer.StrikeHandler  = (*Server)(nil)
)

// NewServer returns a server; Run makes it work.
func NewServer(options ServerOptions) *Server {
	return &Server{
		options: options,
		running: make(chan struct{}),
		loops:   map[string]*loop{},
		strikes: map[string]map[uint64]int{},
	}
}

// Run lets the server work until ctx ends. It is called once.
func (s *Server) Run(ctx context.Context) {
	s.ctx = ctx
	close(s.running)
	<-ctx.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tasks.Wait()
}

// loopFor returns the goroutine of the pool, which it starts if needed.
func (s *Server) loopFor(name string) (*loop, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return nil, errkind.New(errkind.ShuttingDown, "the scheduler shuts down")
	}
	if found := s.loops[name]; found != nil {
		return found, nil
	}
	pool := s.options.Config.Snapshot().Pools[name]
	if pool == nil || pool.Domain != s.options.Domain {
		return nil, errkind.New(errkind.NoUpstream, "pool %q is not known in failure domain %q", name, s.options.Domain)
	}
	l := newLoop(s, name)
	for _, target := range pool.Targets {
		if model, ok := strings.CutPrefix(target, modelTarget); ok {
			l.scheduler.AddStrikes(s.options.Clock.Now(), s.strikes[model])
		}
	}
	s.loops[name] = l
	s.tasks.Go(func() { l.run(s.ctx) })
	return l, nil
}

// ServeSession implements peer.SessionHandler.
func (s *Server) ServeSession(stream peer.ServerStream) error {
	select {
	case <-s.running:
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
	l, err := s.loopFor(hello.Pool)
	if err != nil {
		return err
	}
	session := &serverSession{holder: holderName(hello.Instance), out: make(chan *peer.SchedulerMessage, sessionQueue), done: make(chan struct{})}
	if !l.post(s.ctx, opened{session, hello}) {
		return s.ctx.Err()
	}
	read := make(chan error, 1)
	go func() { read <- l.read(s.ctx, session, stream) }()
	defer l.post(s.ctx, closed{session})
	for {
		select {
		case err := <-read:
			return err
		case <-session.done:
			return errkind.New(errkind.SchedulerUnreachable, "the session of %s was closed", session.holder)
		case <-s.ctx.Done():
			return s.ctx.Err()
		case m := <-session.out:
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
	kept := s.strikes[in.Model]
	if kept == nil || len(kept) > maxStrikes {
		kept = map[uint64]int{}
		s.strikes[in.Model] = kept
	}
	for fingerprint, count := range strikes {
		kept[fingerprint] = max(kept[fingerprint], count)
	}
	loops := maps.Clone(s.loops)
	s.mu.Unlock()
	pools := s.options.Config.Snapshot().Pools
	for name, l := range loops {
		if pool := pools[name]; pool != nil && pool.Serves(modelTarget+in.Model) {
			l.post(s.ctx, struck{strikes})
		}
	}
	return &peer.Ack{}, nil
}

// sendStrikes sends strikes to the schedulers of other failure domains and
// waits for them, at most strikeTimeout: a domain that is cut off must not hold
// up the answers to callers.
func (s *Server) sendStrikes(ctx context.Context, byModel map[string]map[uint64]int) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, strikeTimeout)
	defer cancel()
	var sends sync.WaitGroup
	for model, strikes := range byModel {
		report := &peer.StrikeReport{Model: model, Strikes: strikesToWire(strikes)}
		for _, address := range s.options.StrikeTargets(model) {
			sends.Go(func() {
				if _, err := s.options.DialStrikes(address).ReportStrike(ctx, report); err != nil {
					s.options.Log.Info("crash strikes were not delivered", "address", address, "model", model, "error", err.Error())
				}
			})
		}
	}
	sends.Wait()
}

// upstreams returns the upstreams of the pool that may get new work. While this
// instance is not the first owner in its own view, another scheduler may be at
// work, and the limits are a quarter.
func (s *Server) upstreams(name string, owner bool) []record.Upstream {
	snapshot := s.options.Config.Snapshot()
	pool := snapshot.Pools[name]
	if pool == nil {
		return nil
	}
	var result []record.Upstream
	for _, upstream := range pool.Upstreams {
		if !snapshot.Servable(upstream, "") {
			continue
		}
		u := *snapshot.Upstreams[upstream]
		u.Models = nil
		for _, version := range snapshot.Upstreams[upstream].Models {
			if snapshot.Servable(upstream, version) {
				u.Models = append(u.Models, version)
			}
		}
		if !owner {
			if u.MaxRequests == 0 {
				u.MaxRequests = unsetMaxRequests
			}
			u.MaxRequests = scale(u.MaxRequests)
			u.MaxTokens = scale(u.MaxTokens)
		}
		result = append(result, u)
	}
	return result
}

// scale returns a quarter of a limit, but at least 1; 0 means no limit and stays.
func scale(limit int) int {
	if limit == 0 {
		return 0
	}
	return max(1, limit/standInShare)
}

const (
	// modelTarget begins the targets of a pool that are models.
	modelTarget = "model:"
	// standInShare divides the limits of a scheduler that is not the owner.
	standInShare = 4
	// unsetMaxRequests is what a stand-in takes a quarter of when the record
	// sets no limit; it matches the scheduler's default.
	unsetMaxRequests = 64
	// sessionQueue bounds the messages that wait for an entry; a session whose
	// entry does not read is closed.
	sessionQueue = 1024
	// strikeTimeout bounds the wait for the schedulers of other domains.
	strikeTimeout = time.Second
	// maxStrikes bounds the strikes kept for pools that do not run here.
	maxStrikes = 10_000
)
