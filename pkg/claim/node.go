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
	// updateQueue bounds the phase updates that wait to be sent. An update
	// that does not fit is dropped: the issuer asks when it needs to know.
	updateQueue = 1024
	// updateWorkers send updates side by side, so that one issuer that does
	// not answer does not hold up the updates for the others.
	updateWorkers = 4
)

// Transport makes the calls about claims; peer.DRPCPeerClient implements it.
type Transport interface {
	Claim(context.Context, *peer.ClaimRequest) (*peer.ClaimReply, error)
	ClaimStatus(context.Context, *peer.ClaimStatusRequest) (*peer.ClaimStatusReply, error)
	UpdateClaim(context.Context, *peer.UpdateClaimRequest) (*peer.Ack, error)
}

// Options configure a Node.
type Options struct {
	// Domain and Self.ID consist of letters, digits, hyphens and underscores.
	Domain string
	Self   Ref
	// Address is the host and port at which this instance serves Peer.
	Address string
	// Find returns a member of a failure domain. An instance that it does not
	// know is never dialled.
	Find func(domain, id string) (member.Member, bool)
	// Dial returns the transport to an address.
	Dial  func(address string) Transport
	Store platform.Store
	Clock clockwork.Clock
	// AskTimeout bounds the question to a holder. It is shorter than the
	// time-out of a call, so that the issuer answers before its caller gives up.
	AskTimeout time.Duration
	// MaxClaims and MaxEnded bound the issuer's claims and the holder's ended
	// attempts; MaxAge bounds their age.
	MaxClaims int
	MaxEnded  int
	MaxAge    time.Duration
	Log       logr.Logger
}

// Node is the issuer and the holder of one instance. The mutex makes it the
// one owner of both tables; it is not held during calls.
type Node struct {
	options Options
	// secret is the key of the tags in issued IDs. It is never sent, and a new
	// incarnation has a new one, since it knows no claim of the old one's IDs.
	secret  []byte
	updates chan outgoing

	mu     sync.Mutex
	table  *table
	holder *holder
}

type outgoing struct {
	address string
	request *peer.UpdateClaimRequest
}

var _ Claimer = (*Node)(nil)

// New returns a node. Run sends its updates.
func New(options Options) (*Node, error) {
	if !validName(options.Domain) || !validName(options.Self.ID) {
		return nil, errkind.New(errkind.BadSettings, "failure domain %q and instance %q must consist of letters, digits, hyphens and underscores", options.Domain, options.Self.ID)
	}
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return nil, fmt.Errorf("the key of request IDs: %w", err)
	}
	return &Node{
		options: options,
		secret:  secret,
		updates: make(chan outgoing, updateQueue),
		table:   newTable(options.MaxClaims, options.MaxAge),
		holder:  newHolder(options.MaxEnded, options.MaxAge),
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
	sequence := n.table.issue(n.options.Clock.Now())
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
	// A damaged ID is not a key: its request may have run under the true ID.
	id, ok := ParseID(identity)
	if !ok {
		return Reply{Result: Lost}, nil
	}
	if id.Team != TeamHash(team) {
		return Reply{}, errkind.New(errkind.Unauthorized, "the request ID was issued to another team")
	}
	return n.claimIssued(ctx, identity, id)
}

func (n *Node) claimIssued(ctx context.Context, identity string, id ID) (Reply, error) {
	address := ""
	if !n.issued(id) {
		issuer, ok := n.options.Find(id.Domain, id.Instance)
		gone := issuer.Incarnation > id.Incarnation || issuer.Status == member.Dead
		if !ok || gone || id.Instance == n.options.Self.ID && id.Domain == n.options.Domain {
			return Reply{Result: Lost}, nil
		}
		address = issuer.Address
	}
	a, reply := n.begin(identity, identity)
	if a == nil {
		return reply, nil
	}
	reply, err := n.ask(ctx, address, identity, id, a)
	if err != nil {
		n.end(a, id, address)
		return Reply{}, errkind.Wrap(errkind.IssuerLost, err, "the issuer of %s did not answer", identity)
	}
	return n.settle(ctx, a, reply, func() { n.end(a, id, address) })
}

// issued reports whether this incarnation issued the ID.
func (n *Node) issued(id ID) bool {
	o := n.options
	here := id.Domain == o.Domain && id.Instance == o.Self.ID && id.Incarnation == o.Self.Incarnation
	return here && hmac.Equal([]byte(id.Tag), []byte(id.sign(n.secret)))
}

// begin records an attempt, or returns the answer that an earlier attempt of
// this instance gives.
func (n *Node) begin(requestID string, identities ...string) (*attempt, Reply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, ok := n.holder.begin(n.options.Clock.Now(), requestID, identities...)
	if ok {
		return a, Reply{}
	}
	return nil, phaseReply(a.phase, a.upstream, a.requestID)
}

// ask sends the claim to the issuer, which is this instance if the address is empty.
func (n *Node) ask(ctx context.Context, address, identity string, id ID, a *attempt) (Reply, error) {
	if address == "" {
		return n.decide(ctx, identity, id, claimant{n.options.Self, a.number}), nil
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

// settle applies the answer to the attempt. A grant counts only if the attempt
// was not given up before and the caller still waits; everything else ends it.
func (n *Node) settle(ctx context.Context, a *attempt, reply Reply, end func()) (Reply, error) {
	reply.RequestID = a.requestID
	if reply.Result != Granted {
		end()
		return reply, nil
	}
	if ctx.Err() != nil {
		end()
		return Reply{}, errkind.Wrap(errkind.ClaimUnavailable, ctx.Err(), "the caller of %s no longer waits", a.requestID)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.holder.grant(a) {
		return Reply{}, errkind.New(errkind.ClaimUnavailable, "the claim of %s was given up before its grant arrived", a.requestID)
	}
	return reply, nil
}

// end abandons an attempt and tells the issuer.
func (n *Node) end(a *attempt, id ID, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.holder.update(n.options.Clock.Now(), a, Abandoned, "") {
		n.tellIssuer(a, id, address)
	}
}

// Update implements Claimer.
func (n *Node) Update(identity string, phase Phase, upstream string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.holder.attempts[identity]
	if a == nil || !n.holder.update(n.options.Clock.Now(), a, phase, upstream) {
		n.options.Log.Info("phase change of a claim was not applied", "request", identity, "phase", int(phase))
		return
	}
	id, ok := ParseID(a.requestID)
	if !ok {
		return
	}
	address := ""
	if !n.issued(id) {
		issuer, found := n.options.Find(id.Domain, id.Instance)
		if !found {
			return
		}
		address = issuer.Address
	}
	n.tellIssuer(a, id, address)
}

// tellIssuer passes the attempt's phase to the issuer. The caller holds mu.
func (n *Node) tellIssuer(a *attempt, id ID, address string) {
	if address == "" {
		n.table.update(id.Sequence, claimant{n.options.Self, a.number}, a.phase, a.upstream)
		return
	}
	update := outgoing{address, &peer.UpdateClaimRequest{
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

// decide is the issuer's decision about a claim.
func (n *Node) decide(ctx context.Context, identity string, id ID, by claimant) Reply {
	n.mu.Lock()
	reply, asked := n.table.claim(n.options.Clock.Now(), id.Sequence, by)
	n.mu.Unlock()
	if asked == nil {
		return reply
	}
	status := n.askHolder(ctx, n.options.Domain, asked.ref, identity, asked.attempt)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.resolve(n.options.Clock.Now(), id.Sequence, by, *asked, status.answered, status.phase, status.upstream)
}

// holderStatus is what is known of another attempt.
type holderStatus struct {
	// known is false when the holder is no known live member.
	known bool
	// answered is false when the holder was not reached.
	answered bool
	// phase is 0 when the holder, or its next incarnation, has no record.
	phase     Phase
	upstream  string
	requestID string
}

func (n *Node) askHolder(ctx context.Context, domain string, holder Ref, identity string, number uint64) holderStatus {
	if holder.ID == n.options.Self.ID && domain == n.options.Domain {
		if holder.Incarnation != n.options.Self.Incarnation {
			return holderStatus{known: true, answered: true}
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		phase, upstream, requestID := n.holder.status(identity, number)
		return holderStatus{true, true, phase, upstream, requestID}
	}
	found, ok := n.options.Find(domain, holder.ID)
	if !ok || found.Status == member.Dead {
		return holderStatus{}
	}
	if found.Incarnation > holder.Incarnation {
		return holderStatus{known: true, answered: true}
	}
	ctx, cancel := clockwork.WithTimeout(ctx, n.options.Clock, n.options.AskTimeout)
	defer cancel()
	answer, err := n.options.Dial(found.Address).ClaimStatus(ctx, &peer.ClaimStatusRequest{
		RequestId: identity,
		Holder:    &peer.InstanceRef{Id: holder.ID, Incarnation: holder.Incarnation},
		Attempt:   number,
	})
	if err != nil {
		return holderStatus{known: true}
	}
	return holderStatus{true, true, Phase(answer.Phase), answer.Upstream, ""}
}

func (n *Node) selfRef() *peer.InstanceRef {
	return &peer.InstanceRef{Id: n.options.Self.ID, Incarnation: n.options.Self.Incarnation}
}

// phaseReply answers an attempt while another one has the phase.
func phaseReply(phase Phase, upstream, requestID string) Reply {
	switch phase {
	case Finished:
		return Reply{AlreadyFinished, upstream, requestID}
	case Dispatched, Held, claiming, Abandoned:
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
