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

// ClaimHandler answers the calls about claims.
type ClaimHandler interface {
	Claim(context.Context, *ClaimRequest) (*ClaimReply, error)
	ClaimStatus(context.Context, *ClaimStatusRequest) (*ClaimStatusReply, error)
	UpdateClaim(context.Context, *UpdateClaimRequest) (*Ack, error)
}

// MemberHandler answers membership probes.
type MemberHandler interface {
	Ping(context.Context, *PingRequest) (*PingReply, error)
}

// ConfigHandler exchanges configuration.
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

// SessionHandler serves the sessions of entries until they end.
type SessionHandler interface {
	ServeSession(ServerStream) error
}

// StrikeHandler receives crash strikes of other schedulers.
type StrikeHandler interface {
	ReportStrike(context.Context, *StrikeReport) (*Ack, error)
}

// LeavingHandler receives the upstreams that the platform lists as leaving.
type LeavingHandler interface {
	ReportLeaving(context.Context, *LeavingReport) (*Ack, error)
}

// StoreHandler tells other instances what is known of the platform's store.
type StoreHandler interface {
	FollowStore(context.Context, *FollowStoreRequest) (*FollowStoreReply, error)
}

// Handlers are the parts of an instance that serve the peer protocol. A call
// to a part that is nil is answered with an unimplemented error.
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

// NewServer returns a server that delegates to the handlers.
func NewServer(handlers Handlers, traffic *Traffic, log logr.Logger) (*Server, error) {
	mux := drpcmux.New()
	if err := DRPCRegisterPeer(mux, &delegate{handlers}); err != nil {
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

// Serve accepts connections until ctx ends; it closes the listener and waits
// for the calls that are being served.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return s.drpc.Serve(ctx, &countedListener{listener, s.traffic})
}

// managerOptions are common to both ends of a connection. With SoftCancel a
// cancelled context ends the stream and not the connection, which is shared.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{SoftCancel: true, SoftCancelGrace: softCancelGrace}
}

type delegate struct{ h Handlers }

var errUnimplemented = drpcerr.WithCode(errors.New("call is not served by this instance"), drpcerr.Unimplemented)

func (d *delegate) Session(stream DRPCPeer_SessionStream) error {
	if d.h.Sessions == nil {
		return errUnimplemented
	}
	return d.h.Sessions.ServeSession(stream)
}

func (d *delegate) Claim(ctx context.Context, in *ClaimRequest) (*ClaimReply, error) {
	if d.h.Claims == nil {
		return nil, errUnimplemented
	}
	return d.h.Claims.Claim(ctx, in)
}

func (d *delegate) ClaimStatus(ctx context.Context, in *ClaimStatusRequest) (*ClaimStatusReply, error) {
	if d.h.Claims == nil {
		return nil, errUnimplemented
	}
	return d.h.Claims.ClaimStatus(ctx, in)
}

func (d *delegate) UpdateClaim(ctx context.Context, in *UpdateClaimRequest) (*Ack, error) {
	if d.h.Claims == nil {
		return nil, errUnimplemented
	}
	return d.h.Claims.UpdateClaim(ctx, in)
}

func (d *delegate) Ping(ctx context.Context, in *PingRequest) (*PingReply, error) {
	if d.h.Members == nil {
		return nil, errUnimplemented
	}
	return d.h.Members.Ping(ctx, in)
}

func (d *delegate) FetchConfig(ctx context.Context, in *FetchConfigRequest) (*FetchConfigReply, error) {
	if d.h.Config == nil {
		return nil, errUnimplemented
	}
	return d.h.Config.FetchConfig(ctx, in)
}

func (d *delegate) NotifyConfig(ctx context.Context, in *NotifyConfigRequest) (*Ack, error) {
	if d.h.Config == nil {
		return nil, errUnimplemented
	}
	return d.h.Config.NotifyConfig(ctx, in)
}

func (d *delegate) ReportStrike(ctx context.Context, in *StrikeReport) (*Ack, error) {
	if d.h.Strikes == nil {
		return nil, errUnimplemented
	}
	return d.h.Strikes.ReportStrike(ctx, in)
}

func (d *delegate) ReportLeaving(ctx context.Context, in *LeavingReport) (*Ack, error) {
	if d.h.Leaving == nil {
		return nil, errUnimplemented
	}
	return d.h.Leaving.ReportLeaving(ctx, in)
}

func (d *delegate) FollowStore(ctx context.Context, in *FollowStoreRequest) (*FollowStoreReply, error) {
	if d.h.Store == nil {
		return nil, errUnimplemented
	}
	return d.h.Store.FollowStore(ctx, in)
}
