package peer

import (
	"context"
	"errors"
	"net"

	"github.com/go-logr/logr"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// ClaimHandler serves the calls about claims, which give one instance the right
// to dispatch a request.
type ClaimHandler interface {
	Claim(context.Context, *ClaimRequest) (*ClaimReply, error)
	ClaimStatus(context.Context, *ClaimStatusRequest) (*ClaimStatusReply, error)
	UpdateClaim(context.Context, *UpdateClaimRequest) (*Ack, error)
}

// MemberHandler serves membership probes.
type MemberHandler interface {
	Ping(context.Context, *PingRequest) (*PingReply, error)
}

// ConfigHandler serves configuration objects to other instances.
type ConfigHandler interface {
	FetchConfig(context.Context, *FetchConfigRequest) (*FetchConfigReply, error)
	NotifyConfig(context.Context, *NotifyConfigRequest) (*Ack, error)
}

// ServerStream is the scheduler's end of a session.
type ServerStream interface {
	Context() context.Context
	Send(*SchedulerMessage) error
	Recv() (*EntryMessage, error)
}

// SessionHandler serves the sessions of entries with schedulers. ServeSession
// returns when the session has ended.
type SessionHandler interface {
	ServeSession(ServerStream) error
}

// StrikeHandler receives the crash strikes that other schedulers recorded: the
// upstream crashes counted per request fingerprint.
type StrikeHandler interface {
	ReportStrike(context.Context, *StrikeReport) (*Ack, error)
}

// LeavingHandler receives the upstreams that the platform lists as leaving.
type LeavingHandler interface {
	ReportLeaving(context.Context, *LeavingReport) (*Ack, error)
}

// StoreHandler serves this instance's copies of the platform's store.
type StoreHandler interface {
	FollowStore(context.Context, *FollowStoreRequest) (*FollowStoreReply, error)
}

// Handlers implement the calls of the peer protocol. Calls whose handler is nil
// fail with the code Unimplemented.
type Handlers struct {
	Claims   ClaimHandler
	Members  MemberHandler
	Config   ConfigHandler
	Sessions SessionHandler
	Strikes  StrikeHandler
	Leaving  LeavingHandler
	Store    StoreHandler
}

// Server serves the peer protocol.
type Server struct {
	drpc    *drpcserver.Server
	traffic *Traffic
}

// NewServer returns a server that passes calls to the handlers.
func NewServer(handlers Handlers, traffic *Traffic, log logr.Logger) (*Server, error) {
	mux := drpcmux.New()
	if err := DRPCRegisterPeer(mux, &service{handlers}); err != nil {
		return nil, err
	}
	options := drpcserver.Options{
		Manager: managerOptions(),
		Log: func(err error) {
			if !errors.Is(err, context.Canceled) {
				log.V(1).Info("peer connection ended", "error", err.Error())
			}
		},
	}
	server := drpcserver.NewWithOptions(&countedHandler{mux, traffic}, options)
	return &Server{drpc: server, traffic: traffic}, nil
}

// Serve accepts connections until ctx ends. It then closes the listener and
// waits for running calls.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return s.drpc.Serve(ctx, &countedListener{listener, s.traffic})
}

// managerOptions returns the options for both ends of a connection. With
// SoftCancel, a cancelled context ends only its stream, and the connection can be
// used again.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{SoftCancel: true, SoftCancelGrace: softCancelGrace}
}

// service implements the generated DRPCPeerServer interface.
type service struct{ handlers Handlers }

var errUnimplemented = drpcerr.WithCode(errors.New("call is not served by this instance"), drpcerr.Unimplemented)

func (s *service) Session(stream DRPCPeer_SessionStream) error {
	if s.handlers.Sessions == nil {
		return errUnimplemented
	}
	return s.handlers.Sessions.ServeSession(stream)
}

func (s *service) Claim(ctx context.Context, in *ClaimRequest) (*ClaimReply, error) {
	if s.handlers.Claims == nil {
		return nil, errUnimplemented
	}
	return s.handlers.Claims.Claim(ctx, in)
}

func (s *service) ClaimStatus(ctx context.Context, in *ClaimStatusRequest) (*ClaimStatusReply, error) {
	if s.handlers.Claims == nil {
		return nil, errUnimplemented
	}
	return s.handlers.Claims.ClaimStatus(ctx, in)
}

func (s *service) UpdateClaim(ctx context.Context, in *UpdateClaimRequest) (*Ack, error) {
	if s.handlers.Claims == nil {
		return nil, errUnimplemented
	}
	return s.handlers.Claims.UpdateClaim(ctx, in)
}

func (s *service) Ping(ctx context.Context, in *PingRequest) (*PingReply, error) {
	if s.handlers.Members == nil {
		return nil, errUnimplemented
	}
	return s.handlers.Members.Ping(ctx, in)
}

func (s *service) FetchConfig(ctx context.Context, in *FetchConfigRequest) (*FetchConfigReply, error) {
	if s.handlers.Config == nil {
		return nil, errUnimplemented
	}
	return s.handlers.Config.FetchConfig(ctx, in)
}

func (s *service) NotifyConfig(ctx context.Context, in *NotifyConfigRequest) (*Ack, error) {
	if s.handlers.Config == nil {
		return nil, errUnimplemented
	}
	return s.handlers.Config.NotifyConfig(ctx, in)
}

func (s *service) ReportStrike(ctx context.Context, in *StrikeReport) (*Ack, error) {
	if s.handlers.Strikes == nil {
		return nil, errUnimplemented
	}
	return s.handlers.Strikes.ReportStrike(ctx, in)
}

func (s *service) ReportLeaving(ctx context.Context, in *LeavingReport) (*Ack, error) {
	if s.handlers.Leaving == nil {
		return nil, errUnimplemented
	}
	return s.handlers.Leaving.ReportLeaving(ctx, in)
}

func (s *service) FollowStore(ctx context.Context, in *FollowStoreRequest) (*FollowStoreReply, error) {
	if s.handlers.Store == nil {
		return nil, errUnimplemented
	}
	return s.handlers.Store.FollowStore(ctx, in)
}
