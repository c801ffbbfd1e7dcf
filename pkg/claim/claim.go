// Package claim decides which instance may dispatch a request: request IDs
// that instances issue, and claims of caller-supplied keys in the platform.
package claim

import "context"

// Ref names one incarnation of an instance.
type Ref struct {
	ID          string
	Incarnation uint64
}

// Phase is the phase of a claimed request at its holder.
type Phase int

// Phases of a claimed request.
const (
	// Held: not dispatched, and may still be.
	Held Phase = iota + 1
	// Abandoned: not dispatched, and the holder never will dispatch it.
	Abandoned
	// Dispatched: may have reached an upstream.
	Dispatched
	// Finished: ended on an upstream.
	Finished
)

// Result is the answer to a claim.
type Result int

// Results of a claim.
const (
	Granted Result = iota + 1
	InProgress
	AlreadyFinished
	Lost
)

// Reply is the issuer's answer to a claim. Upstream is set when the first
// attempt is known to have been dispatched there.
type Reply struct {
	Result   Result
	Upstream string
	// RequestID is the ID under which upstreams know the request. For a key of
	// the caller's own it is the ID issued to the attempt that holds the key;
	// it is empty when that is not known.
	RequestID string
}

// Claimer grants at most one holder the right to dispatch a request.
// An error leaves the run state of an earlier attempt unknown; this holder
// must not dispatch.
type Claimer interface {
	// NewID issues a request ID to a team; its issuer is this instance.
	NewID(team string) string
	// Claim claims an issued ID or a key of the caller's own (scoped by team).
	// An ID that was issued to another team is refused as Unauthorized: no
	// request of this team can have run under it.
	Claim(ctx context.Context, team, identity string) (Reply, error)
	// Update tells the issuer that the phase changed. It does not fail: what
	// does not arrive is asked for through the holder's status. The identity is
	// the RequestID of the granting reply. After Abandoned the holder must not
	// dispatch; Dispatched is set before the first byte may be sent, and no
	// phase but Finished follows it.
	Update(identity string, phase Phase, upstream string)
}
