package claim

import (
	"context"

	"github.com/rosemarywing/rosemarywing/pkg/peer"
)

// Handler returns the handler of claim calls from other instances.
func (n *Node) Handler() peer.ClaimHandler { return &handler{n} }

type handler struct{ node *Node }

// Claim decides a claim of an ID that this instance issued.
func (h *handler) Claim(ctx context.Context, in *peer.ClaimRequest) (*peer.ClaimReply, error) {
	id, ok := ParseID(in.RequestId)
	if !ok || !h.node.isIssuer(id) || in.Holder == nil {
		return &peer.ClaimReply{Result: peer.ClaimResult_CLAIM_RESULT_LOST}, nil
	}
	claimant := attemptID{InstanceRef{in.Holder.Id, in.Holder.Incarnation}, in.Attempt}
	reply := h.node.decideClaim(ctx, in.RequestId, id, claimant)
	return &peer.ClaimReply{Result: peer.ClaimResult(reply.Result), Upstream: reply.Upstream}, nil
}

// ClaimStatus returns the phase of an attempt of this instance. For an attempt
// of an earlier incarnation it returns the unspecified phase, since no record
// of it is left.
func (h *handler) ClaimStatus(_ context.Context, in *peer.ClaimStatusRequest) (*peer.ClaimStatusReply, error) {
	n := h.node
	self := n.options.Self
	if in.Holder.GetId() != self.ID || in.Holder.GetIncarnation() != self.Incarnation {
		return &peer.ClaimStatusReply{}, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	phase, upstream, _ := n.attempts.status(in.RequestId, in.Attempt)
	return &peer.ClaimStatusReply{Phase: peer.ClaimPhase(phase), Upstream: upstream}, nil
}

// UpdateClaim applies a phase that a holder reports for an ID that this
// instance issued.
func (h *handler) UpdateClaim(_ context.Context, in *peer.UpdateClaimRequest) (*peer.Ack, error) {
	n := h.node
	id, ok := ParseID(in.RequestId)
	if !ok || !n.isIssuer(id) || in.Holder == nil {
		return &peer.Ack{}, nil
	}
	switch phase := Phase(in.Phase); phase {
	case Abandoned, Dispatched, Finished:
		n.mu.Lock()
		defer n.mu.Unlock()
		n.claims.update(id.Sequence, attemptID{InstanceRef{in.Holder.Id, in.Holder.Incarnation}, in.Attempt}, phase, in.Upstream)
	}
	return &peer.Ack{}, nil
}
