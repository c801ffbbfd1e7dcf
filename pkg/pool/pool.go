// Package pool carries the schedulers of pools on the network: the server that
// runs them, and the client that an entry uses.
package pool

import (
	"context"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// Request is a request that needs an upstream.
type Request struct {
	ID       string
	Work     sched.Work
	Deadline time.Time
}

// Client gets grants from the scheduler of a pool.
type Client interface {
	// Acquire waits for a grant. An error is an *errkind.Error whose kind has
	// the run state not_run; a context that ends cancels the request at the scheduler.
	Acquire(ctx context.Context, pool string, request Request) (sched.Grant, error)
	// Release reports the end of a grant. For a broken upstream it returns only
	// after the scheduler has recorded the strikes, or ctx has ended.
	Release(ctx context.Context, pool string, work sched.Work, result sched.Result)
}
