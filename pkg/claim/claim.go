// Package claim ensures that at most one instance dispatches a request. The claim
// of a request is the right to dispatch it, which one attempt holds at a time. A
// request is identified by a request ID, for which the issuing instance grants
// the claim, or by a key that the caller supplies, which is claimed with an
// object in the platform.
package claim

import "context"

// InstanceRef identifies one incarnation of an instance.
type InstanceRef struct {
	ID          string
	Incarnation uint64
}

// Phase is how far the holder of a claim has got with the request.
type Phase int

const (
	// Held means that the request was not dispatched yet and may still be.
	Held Phase = iota + 1
	// Abandoned means that the holder did not dispatch the request and never
	// will.
	Abandoned
	// Dispatched means that the request may have reached an upstream.
	Dispatched
	// Finished means that the request ended on an upstream.
	Finished
)

// Result is the outcome of a claim.
type Result int

const (
	// Granted means that the caller holds the claim and may dispatch the request.
	Granted Result = iota + 1
	// InProgress means that another attempt holds the claim, or that its holder
	// did not answer.
	InProgress
	// AlreadyFinished means that an earlier attempt ended on an upstream.
	AlreadyFinished
	// Lost means that the claim cannot be decided, because the issuer or the
	// holder has no record of the request any more; it may have run.
	Lost
)

// Reply answers a claim. Upstream is where the attempt that holds the claim was
// dispatched, or empty when no dispatch is known.
type Reply struct {
	Result   Result
	Upstream string
	// RequestID is the ID under which upstreams know the request. For a
	// caller-supplied key it is the ID issued to the attempt that holds the key,
	// or empty when that ID is not known.
	RequestID string
}

// Claimer grants at most one holder the right to dispatch a request. After an
// error the state of earlier attempts is unknown, and the caller must not
// dispatch.
type Claimer interface {
	// NewID issues a request ID to a team; this instance is its issuer.
	NewID(team string) string
	// Claim claims an issued ID or a caller-supplied key, which is scoped by
	// team. An ID that was issued to another team is refused with kind
	// Unauthorized: no request of this team can have run under it.
	Claim(ctx context.Context, team, identity string) (Reply, error)
	// UpdatePhase reports a new phase to the issuer. Delivery is best effort:
	// the issuer queries the holder for a phase that it missed. The identity is
	// the RequestID of the granting reply. After Abandoned the holder must not
	// dispatch; Dispatched must be set before the first byte is sent, and only
	// Finished may follow it.
	UpdatePhase(identity string, phase Phase, upstream string)
}
