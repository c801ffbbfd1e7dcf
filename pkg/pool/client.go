package pool

import (
	"context"
	"errors"
	"strings"
	"sync"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/member"
	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// ClientOptions configure an EntryClient.
type ClientOptions struct {
	Domain string
	Region string
	View   member.View
	// LookupSchedulers returns the addresses of the schedulers to try, in
	// order, for a pool of another failure domain.
	LookupSchedulers func(pool string) []string
	// Dial opens a session with the scheduler at the address; it ends with ctx.
	Dial func(ctx context.Context, address string) (Stream, error)
	// Local is the server of this instance, which is reached without the network.
	Local *Server
	Clock clockwork.Clock
	Log   logr.Logger
}

// EntryClient is the Client of an entry instance. It runs one poolClient for
// each pool that is used.
type EntryClient struct {
	options     ClientOptions
	started     chan struct{}
	ctx         context.Context
	tasks       sync.WaitGroup
	mu          sync.Mutex
	poolClients map[string]*poolClient
}

var _ Client = (*EntryClient)(nil)

// NewClient returns a client. Calls block until Run is called.
func NewClient(options ClientOptions) *EntryClient {
	return &EntryClient{options: options, started: make(chan struct{}), poolClients: map[string]*poolClient{}}
}

// Run serves calls until ctx ends. It must be called exactly once.
func (c *EntryClient) Run(ctx context.Context) {
	c.ctx = ctx
	close(c.started)
	<-ctx.Done()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tasks.Wait()
}

func (c *EntryClient) poolClientFor(ctx context.Context, pool string) (*poolClient, error) {
	select {
	case <-c.started:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return nil, c.ctx.Err()
	}
	p := c.poolClients[pool]
	if p == nil {
		p = newPoolClient(c, pool)
		c.poolClients[pool] = p
		c.tasks.Go(func() { p.run(c.ctx) })
	}
	return p, nil
}

// candidate is an instance that may run the scheduler of a pool.
type candidate struct {
	address string
	local   bool
}

// candidates returns at most maxCandidates instances with which to open a session
// for a pool, in the order in which they are tried. The first one is taken for the
// owner of the pool.
func (c *EntryClient) candidates(pool string) []candidate {
	var result []candidate
	domain, _, _ := strings.Cut(pool, "/")
	if domain != c.options.Domain {
		for _, address := range c.options.LookupSchedulers(pool) {
			result = append(result, candidate{address: address})
		}
	} else {
		self := c.options.View.Self().ID
		for _, m := range c.options.View.Owners(pool) {
			result = append(result, candidate{m.Address, m.ID == self})
		}
	}
	return result[:min(len(result), maxCandidates)]
}

func (c *EntryClient) openStream(ctx context.Context, scheduler candidate) (Stream, error) {
	if scheduler.local {
		return c.options.Local.ConnectLocal(ctx), nil
	}
	return c.options.Dial(ctx, scheduler.address)
}

// Acquire implements Client.
func (c *EntryClient) Acquire(ctx context.Context, pool string, request Request) (sched.Grant, error) {
	p, err := c.poolClientFor(ctx, pool)
	if err != nil {
		return sched.Grant{}, waitEndedError(err)
	}
	for {
		acquire := &pendingAcquire{request: request, result: make(chan acquireResult, 1)}
		if !p.post(ctx, acquireCommand{acquire}) {
			return sched.Grant{}, waitEndedError(ctx.Err())
		}
		var result acquireResult
		select {
		case result = <-acquire.result:
		case <-ctx.Done():
		case <-c.ctx.Done():
			return sched.Grant{}, errkind.New(errkind.ShuttingDown, "the client shuts down")
		}
		if ctx.Err() != nil {
			// The pool client returns the grant if it arrived before ctx ended.
			p.post(c.ctx, abandonCommand{acquire})
			return sched.Grant{}, waitEndedError(ctx.Err())
		}
		if result.err != nil {
			return sched.Grant{}, result.err
		}
		if c.options.Clock.Now().Before(result.grant.Expiry) {
			return result.grant, nil
		}
		// The grant expired before this goroutine ran, for example because the
		// process was suspended. Return it and acquire again.
		p.post(c.ctx, abandonCommand{acquire})
	}
}

// waitEndedError returns the error for a context that ended while the request
// waited. Nothing was dispatched, so the kind must have the run state not_run.
func waitEndedError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineExceeded, err, "no upstream was granted in time")
	}
	return errkind.Wrap(errkind.DeadlineExceeded, err, "the request was cancelled before an upstream was granted")
}

// Release implements Client.
func (c *EntryClient) Release(ctx context.Context, pool string, work sched.Work, result sched.Result) {
	// The pool client must get the release even if the caller's context has ended.
	p, err := c.poolClientFor(context.WithoutCancel(ctx), pool)
	if err != nil {
		return
	}
	r := &pendingRelease{work: work, message: resultToWire(result), broken: result.Outcome == sched.UpstreamBroken, done: make(chan struct{})}
	if !p.post(c.ctx, releaseCommand{r}) || !r.broken {
		return
	}
	select {
	case <-r.done:
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
}
