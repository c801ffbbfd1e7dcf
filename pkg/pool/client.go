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

// ClientOptions configure an entry's client.
type ClientOptions struct {
	Domain string
	Region string
	View   member.View
	// Lookup returns candidate addresses, best first, for a pool of another
	// failure domain.
	Lookup func(pool string) []string
	// Dial opens a session that ends with ctx.
	Dial func(ctx context.Context, address string) (Stream, error)
	// Local is the server of this instance.
	Local *Server
	Clock clockwork.Clock
	Log   logr.Logger
}

// EntryClient is the Client of an entry instance.
type EntryClient struct {
	options ClientOptions
	running chan struct{}
	ctx     context.Context
	tasks   sync.WaitGroup
	mu      sync.Mutex
	agents  map[string]*agent
}

var _ Client = (*EntryClient)(nil)

// NewClient returns a client; Run makes it work.
func NewClient(options ClientOptions) *EntryClient {
	return &EntryClient{options: options, running: make(chan struct{}), agents: map[string]*agent{}}
}

// Run lets the client work until ctx ends. It is called once.
func (c *EntryClient) Run(ctx context.Context) {
	c.ctx = ctx
	close(c.running)
	<-ctx.Done()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tasks.Wait()
}

func (c *EntryClient) agentFor(ctx context.Context, pool string) (*agent, error) {
	select {
	case <-c.running:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return nil, c.ctx.Err()
	}
	a := c.agents[pool]
	if a == nil {
		a = newAgent(c, pool)
		c.agents[pool] = a
		c.tasks.Go(func() { a.run(c.ctx) })
	}
	return a, nil
}

// candidate is an instance that may run the scheduler of a pool.
type candidate struct {
	address string
	local   bool
}

// candidates returns the instances to try, best first.
func (c *EntryClient) candidates(pool string) []candidate {
	var result []candidate
	domain, _, _ := strings.Cut(pool, "/")
	if domain != c.options.Domain {
		for _, address := range c.options.Lookup(pool) {
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

func (c *EntryClient) open(ctx context.Context, to candidate) (Stream, error) {
	if to.local {
		return c.options.Local.Connect(ctx), nil
	}
	return c.options.Dial(ctx, to.address)
}

// Acquire implements Client.
func (c *EntryClient) Acquire(ctx context.Context, pool string, request Request) (sched.Grant, error) {
	a, err := c.agentFor(ctx, pool)
	if err != nil {
		return sched.Grant{}, ended(err)
	}
	for {
		w := &waiter{request: request, result: make(chan outcome, 1)}
		if !a.post(ctx, acquire{w}) {
			return sched.Grant{}, ended(ctx.Err())
		}
		var got outcome
		select {
		case got = <-w.result:
		case <-ctx.Done():
		case <-c.ctx.Done():
			return sched.Grant{}, errkind.New(errkind.ShuttingDown, "the client shuts down")
		}
		if ctx.Err() != nil {
			// The agent knows whether a grant came first, and returns it.
			a.post(c.ctx, abandon{w})
			return sched.Grant{}, ended(ctx.Err())
		}
		if got.err != nil {
			return sched.Grant{}, got.err
		}
		if c.options.Clock.Now().Before(got.grant.Expiry) {
			return got.grant, nil
		}
		// This instance was paused for longer than the grant was valid.
		a.post(c.ctx, abandon{w})
	}
}

// ended returns the error for a context that ended while the request waited.
// Nothing was dispatched, so the kind must say not_run.
func ended(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineExceeded, err, "no upstream was granted in time")
	}
	return errkind.Wrap(errkind.DeadlineExceeded, err, "the request was cancelled before an upstream was granted")
}

// Release implements Client.
func (c *EntryClient) Release(ctx context.Context, pool string, work sched.Work, result sched.Result) {
	// The agent must hear of the release even if the caller's context has ended.
	a, err := c.agentFor(context.WithoutCancel(ctx), pool)
	if err != nil {
		return
	}
	r := &pendingRelease{work: work, message: resultToWire(result), broken: result.Outcome == sched.UpstreamBroken, done: make(chan struct{})}
	if !a.post(c.ctx, release{r}) || !r.broken {
		return
	}
	select {
	case <-r.done:
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
}
