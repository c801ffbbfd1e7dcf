// Package pool connects entries with the schedulers of pools: a server that
// runs the schedulers, a client that entries use, and the sessions between them.
//
// The candidates of a pool are the live instances that can run its scheduler, in
// an order that each instance computes from its own view of the members. The
// first one is the owner, which should run the scheduler. While views differ, or
// while entries cannot reach the owner, another candidate schedules the pool as
// well, with lower limits.
package pool

import (
	"context"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// Request asks for a grant, the permission to send one request to one upstream.
type Request struct {
	ID       string
	Work     sched.Work
	Deadline time.Time
}

// Client acquires grants from the scheduler of a pool and releases them.
type Client interface {
	// Acquire waits for a grant. Errors are *errkind.Error of a kind with the
	// run state not_run. The end of ctx cancels the request at the scheduler.
	Acquire(ctx context.Context, pool string, request Request) (sched.Grant, error)
	// Release ends a grant and reports its result. For a broken upstream it
	// blocks until the scheduler has counted the crash against the requests that
	// were in flight there, or ctx ends.
	Release(ctx context.Context, pool string, work sched.Work, result sched.Result)
}
