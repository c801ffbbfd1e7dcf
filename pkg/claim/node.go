package claim

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/member"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

const (
	// updateQueueSize limits the phase updates that wait to be sent. An update
	// that does not fit is dropped: the issuer queries the holder when it needs
	// the phase.
	updateQueueSize = 1024
	// updateWorkers is the number of concurrent senders, so that an issuer that
	// does not answer does not delay the updates to the others.
	updateWorkers = 4
)

// Transport sends claim calls to another instance; peer.DRPCPeerClient
// implements it.
type Transport interface {
	Claim(context.Context, *peer.ClaimRequest) (*peer.ClaimReply, error)
	ClaimStatus(context.Context, *peer.ClaimStatusRequest) (*peer.ClaimStatusReply, error)
	UpdateClaim(context.Context, *peer.UpdateClaimRequest) (*peer.Ack, error)
}

// Options configure a Node.
type Options struct {
	// Domain and Self.ID may contain letters, digits, hyphens and underscores.
	Domain string
	Self   InstanceRef
	// Address is the host and port of the peer interface of this instance.
	Address string
	// FindMember returns a member of a failure domain. Instances that it does
	// not return are never dialled.
	FindMember func(domain, id string) (member.Member, bool)
	// Dial returns the transport to an address.
	Dial  func(address string) Transport
	Store platform.Store
	Clock clockwork.Clock
	// HolderQueryTimeout limits the status query to a holder. It must be
	// shorter than the time-out of a claim call, so that the issuer answers
	// before its caller gives up.
	HolderQueryTimeout time.Duration
	// MaxClaims limits the claims that the issuer keeps, MaxEndedAttempts the
	// ended attempts that the holder keeps, and MaxAge the age of both.
	MaxClaims        int
	MaxEndedAttempts int
	MaxAge           time.Duration
	Log              logr.Logger
}

// Node issues request IDs, decides claims of them, and records the attempts of
// its own instance. The mutex guards both tables; it is not held during calls
// to other instances or the platform.
type Node struct {
	options Options
	// secret is the MAC key of issued IDs. It never leaves the process. Each
	// incarnation generates a new one, since it has no record of the claims of
	// earlier incarnations.
	secret  []byte
	updates chan phaseUpdate

	mu       sync.Mutex
	claims   *issuerTable
	attempts *attemptTable
}

// phaseUpdate is a phase update that waits to be sent to the issuer at the
// address.
type phaseUpdate struct {
	address string
	request *peer.UpdateClaimRequest
}

var _ Claimer = (*Node)(nil)

// New returns a node. Run must be called to send its phase updates.
func New(options Options) (*Node, error) {
	if !validName(options.Domain) || !validName(options.Self.ID) {
		return nil, errkind.New(errkind.BadSettings, "failure domain %q and instance %q must consist of letters, digits, hyphens and underscores", options.Domain, options.Self.ID)
	}
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return nil, fmt.Errorf("generate the MAC key of request IDs: %w", err)
	}
	return &Node{
		options:  options,
		secret:   secret,
		updates:  make(chan phaseUpdate, updateQueueSize),
		claims:   newIssuerTable(options.MaxClaims, options.MaxAge),
		attempts: newAttemptTable(options.MaxEndedAttempts, options.MaxAge),
	}, nil
}

// Run sends phase updates to issuers until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range updateWorkers {
		workers.Go(func() { n.sendUpdates(ctx) })
	}
	workers.Wait()
}

// sendUpdates sends queued phase updates until ctx ends.
func (n *Node) sendUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-n.updates:
			if _, err := n.options.Dial(update.address).UpdateClaim(ctx, update.request); err != nil {
				n.options.Log.V(1).Info("claim update was not delivered", "request", update.request.RequestId, "error", err.Error())
			}
		}
	}
}

// NewID implements Claimer.
func (n *Node) NewID(team string) string {
	n.mu.Lock()
	sequence := n.claims.issue(n.options.Clock.Now())
	n.mu.Unlock()
	id := ID{
		Domain: n.options.Domain, Instance: n.options.Self.ID, Incarnation: n.options.Self.Incarnation,
		Sequence: sequence, Team: TeamHash(team),
	}
	id.Tag = id.sign(n.secret)
	return id.String()
}

// Claim implements Claimer.
func (n *Node) Claim(ctx context.Context, team, identity string) (Reply, error) {
	if !strings.HasPrefix(identity, idPrefix) {
		return n.claimKey(ctx, team, identity)
	}
	// A damaged ID must not be treated as a key: its request may have run under
	// the correct ID.
	id, ok := ParseID(identity)
	if !ok {
		return Reply{Result: Lost}, nil
	}
	if id.Team != TeamHash(team) {
		return Reply{}, errkind.New(errkind.Unauthorized, "the request ID was issued to another team")
	}
	return n.claimIssued(ctx, identity, id)
}

// claimIssued claims an ID that this or another instance issued.
func (n *Node) claimIssued(ctx context.Context, identity string, id ID) (Reply, error) {
	address := ""
	if !n.isIssuer(id) {
		issuer, ok := n.options.FindMember(id.Domain, id.Instance)
		gone := issuer.Incarnation > id.Incarnation || issuer.Status == member.Dead
		if !ok || gone || id.Instance == n.options.Self.ID && id.Domain == n.options.Domain {
			return Reply{Result: Lost}, nil
		}
		address = issuer.Address
	}
	a, reply := n.beginAttempt(identity, identity)
	if a == nil {
		return reply, nil
	}
	reply, err := n.sendClaim(ctx, address, identity, id, a)
	if err != nil {
		n.abandon(a, id, address)
		return Reply{}, errkind.Wrap(errkind.IssuerLost, err, "the issuer of %s did not answer", identity)
	}
	return n.applyReply(ctx, a, reply, func() { n.abandon(a, id, address) })
}

// isIssuer reports whether this incarnation issued the ID. It verifies the tag.
func (n *Node) isIssuer(id ID) bool {
	o := n.options
	sameInstance := id.Domain == o.Domain && id.Instance == o.Self.ID && id.Incarnation == o.Self.Incarnation
	return sameInstance && hmac.Equal([]byte(id.Tag), []byte(id.sign(n.secret)))
}

// beginAttempt records a new attempt, or returns the reply for an earlier
// attempt of this instance that is not abandoned.
func (n *Node) beginAttempt(requestID string, identities ...string) (*attempt, Reply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, ok := n.attempts.begin(n.options.Clock.Now(), requestID, identities...)
	if ok {
		return a, Reply{}
	}
	return nil, replyForPhase(a.phase, a.upstream, a.requestID)
}

// sendClaim sends the claim to the issuer at the address. An empty address
// means this instance.
func (n *Node) sendClaim(ctx context.Context, address, identity string, id ID, a *attempt) (Reply, error) {
	if address == "" {
		return n.decideClaim(ctx, identity, id, attemptID{n.options.Self, a.number}), nil
	}
	answer, err := n.options.Dial(address).Claim(ctx, &peer.ClaimRequest{
		RequestId:     identity,
		Holder:        n.selfRef(),
		HolderAddress: n.options.Address,
		Attempt:       a.number,
	})
	if err != nil {
		return Reply{}, err
	}
	return replyFromWire(answer)
}

// applyReply applies the reply to a claim to its attempt. The attempt becomes
// Held only if the claim was granted, the attempt was not abandoned meanwhile
// and the caller still waits; otherwise it is abandoned.
func (n *Node) applyReply(ctx context.Context, a *attempt, reply Reply, abandon func()) (Reply, error) {
	reply.RequestID = a.requestID
	if reply.Result != Granted {
		abandon()
		return reply, nil
	}
	if ctx.Err() != nil {
		abandon()
		return Reply{}, errkind.Wrap(errkind.ClaimUnavailable, ctx.Err(), "the caller of %s has gone", a.requestID)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.attempts.grant(a) {
		return Reply{}, errkind.New(errkind.ClaimUnavailable, "the claim of %s was abandoned before its grant arrived", a.requestID)
	}
	return reply, nil
}

// abandon abandons an attempt and reports that to the issuer.
func (n *Node) abandon(a *attempt, id ID, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.attempts.update(n.options.Clock.Now(), a, Abandoned, "") {
		n.notifyIssuer(a, id, address)
	}
}

// UpdatePhase implements Claimer.
func (n *Node) UpdatePhase(identity string, phase Phase, upstream string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.attempts.byIdentity[identity]
	if a == nil || !n.attempts.update(n.options.Clock.Now(), a, phase, upstream) {
		n.options.Log.Info("phase change of a claim was not applied", "request", identity, "phase", int(phase))
		return
	}
	id, ok := ParseID(a.requestID)
	if !ok {
		return
	}
	address := ""
	if !n.isIssuer(id) {
		issuer, found := n.options.FindMember(id.Domain, id.Instance)
		if !found {
			return
		}
		address = issuer.Address
	}
	n.notifyIssuer(a, id, address)
}

// notifyIssuer reports the attempt's phase to the issuer. The caller holds
// n.mu.
func (n *Node) notifyIssuer(a *attempt, id ID, address string) {
	if address == "" {
		n.claims.update(id.Sequence, attemptID{n.options.Self, a.number}, a.phase, a.upstream)
		return
	}
	update := phaseUpdate{address, &peer.UpdateClaimRequest{
		RequestId: a.requestID,
		Holder:    n.selfRef(),
		Phase:     peer.ClaimPhase(a.phase),
		Upstream:  a.upstream,
		Attempt:   a.number,
	}}
	select {
	case n.updates <- update:
	default:
		n.options.Log.V(1).Info("claim update was dropped", "request", a.requestID)
	}
}

// decideClaim decides a claim of an ID that this instance issued. If another
// attempt holds it, its holder is queried first.
func (n *Node) decideClaim(ctx context.Context, identity string, id ID, claimant attemptID) Reply {
	n.mu.Lock()
	reply, queried := n.claims.claim(n.options.Clock.Now(), id.Sequence, claimant)
	n.mu.Unlock()
	if queried == nil {
		return reply
	}
	status := n.queryHolder(ctx, n.options.Domain, queried.instance, identity, queried.number)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.claims.resolve(n.options.Clock.Now(), id.Sequence, claimant, *queried, status.answered, status.phase, status.upstream)
}

// holderStatus is the result of a query about another attempt.
type holderStatus struct {
	// isMember is false when the holder is not a live member.
	isMember bool
	// answered is false when the holder could not be reached.
	answered bool
	// phase is 0 when the holder, or a later incarnation of it, has no record of
	// the attempt.
	phase     Phase
	upstream  string
	requestID string
}

// queryHolder asks the holder of a claim for the phase of its attempt.
func (n *Node) queryHolder(ctx context.Context, domain string, holder InstanceRef, identity string, number uint64) holderStatus {
	if holder.ID == n.options.Self.ID && domain == n.options.Domain {
		if holder.Incarnation != n.options.Self.Incarnation {
			return holderStatus{isMember: true, answered: true}
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		phase, upstream, requestID := n.attempts.status(identity, number)
		return holderStatus{true, true, phase, upstream, requestID}
	}
	found, ok := n.options.FindMember(domain, holder.ID)
	if !ok || found.Status == member.Dead {
		return holderStatus{}
	}
	if found.Incarnation > holder.Incarnation {
		return holderStatus{isMember: true, answered: true}
	}
	ctx, cancel := clockwork.WithTimeout(ctx, n.options.Clock, n.options.HolderQueryTimeout)
	defer cancel()
	answer, err := n.options.Dial(found.Address).ClaimStatus(ctx, &peer.ClaimStatusRequest{
		RequestId: identity,
		Holder:    &peer.InstanceRef{Id: holder.ID, Incarnation: holder.Incarnation},
		Attempt:   number,
	})
	if err != nil {
		return holderStatus{isMember: true}
	}
	return holderStatus{true, true, Phase(answer.Phase), answer.Upstream, ""}
}

func (n *Node) selfRef() *peer.InstanceRef {
	return &peer.InstanceRef{Id: n.options.Self.ID, Incarnation: n.options.Self.Incarnation}
}

// replyForPhase returns the reply to a claim while another attempt is in the
// phase.
func replyForPhase(phase Phase, upstream, requestID string) Reply {
	switch phase {
	case Finished:
		return Reply{AlreadyFinished, upstream, requestID}
	case Dispatched, Held, claimPending, Abandoned:
		return Reply{InProgress, upstream, requestID}
	}
	return Reply{Result: Lost}
}

func replyFromWire(answer *peer.ClaimReply) (Reply, error) {
	result := Result(answer.Result)
	if result < Granted || result > Lost {
		return Reply{}, fmt.Errorf("claim result %d is not known", answer.Result)
	}
	return Reply{Result: result, Upstream: answer.Upstream}, nil
}
