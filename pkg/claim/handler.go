package claim

import (
	"context"

	"github.com/rosemarywing/rosemarywing/pkg/peer"
)

// Handler returns the part of the node that answers other instances.
func (n *Node) Handler() peer.ClaimHandler { return &handler{n} }

type handler struct{ node *Node }

// Claim answers as the issuer.
func (h *handler) Claim(ctx context.Context, in *peer.ClaimRequest) (*peer.ClaimReply, error) {
	id, ok := ParseID(in.RequestId)
	if !ok || !h.node.issued(id) || in.Holder == nil {
		return &peer.ClaimReply{Result: peer.ClaimResult_CLAIM_RESULT_LOST}, nil
	}
	by := claimant{Ref{in.Holder.Id, in.Holder.Incarnation}, in.Attempt}
	reply := h.node.decide(ctx, in.RequestId, id, by)
	return &peer.ClaimReply{Result: peer.ClaimResult(reply.Result), Upstream: reply.Upstream}, nil
}

// ClaimStatus answers as the holder. A question to an earlier incarnation of
// this instance gets the unspecified phase: what it did is not known.
func (h *handler) ClaimStatus(_ context.Context, in *peer.ClaimStatusRequest) (*peer.ClaimStatusReply, error) {
	n := h.node
	self := n.options.Self
	if in.Holder.GetId() != self.ID || in.Holder.GetIncarnation() != self.Incarnation {
		return &peer.ClaimStatusReply{}, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	phase, upstream, _ := n.holder.status(in.RequestId, in.Attempt)
	return &peer.ClaimStatusReply{Phase: peer.ClaimPhase(phase), Upstream: upstream}, nil
}

// UpdateClaim applies a phase that the holder reports to the issuer.
func (h *handler) UpdateClaim(_ context.Context, in *peer.UpdateClaimRequest) (*peer.Ack, error) {
	n := h.node
	id, ok := ParseID(in.RequestId)
	if !ok || !n.issued(id) || in.Holder == nil {
		return &peer.Ack{}, nil
	}
	switch phase := Phase(in.Phase); phase {
	case Abandoned, Dispatched, Finished:
		n.mu.Lock()
		defer n.mu.Unlock()
		n.table.update(id.Sequence, claimant{Ref{in.Holder.Id, in.Holder.Incarnation}, in.Attempt}, phase, in.Upstream)
	}
	return &peer.Ack{}, nil
}
