package instance

import (
	"context"

	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// configTransport implements conf.PeerTransport over the peer protocol.
type configTransport struct {
	dialer    *peer.Dialer
	directory *directory
	// syncer returns the syncer that serves the calls of other instances.
	syncer func() *conf.Syncer
}

var (
	_ conf.PeerTransport = (*configTransport)(nil)
	_ peer.ConfigHandler = (*configHandler)(nil)
)

// Addresses implements conf.Peers.
func (t *configTransport) Addresses() []string { return t.directory.peerAddresses() }

// FetchConfig implements conf.Peers.
func (t *configTransport) FetchConfig(ctx context.Context, address string, request conf.FetchRequest) (conf.FetchReply, error) {
	out := &peer.FetchConfigRequest{After: request.After}
	for _, known := range request.Known {
		out.Known = append(out.Known, &peer.ObjectVersion{Kind: string(known.Key.Kind), Name: known.Key.Name, Version: known.Version})
	}
	in, err := t.dialer.Client(address).FetchConfig(ctx, out)
	if err != nil {
		return conf.FetchReply{}, err
	}
	reply := conf.FetchReply{Usable: in.Usable, Digest: in.Digest, CompleteVersion: in.Complete, More: in.More}
	for _, object := range in.Objects {
		reply.Objects = append(reply.Objects, conf.Object{
			Key:     conf.Key{Kind: record.Kind(object.Kind), Name: object.Name},
			Version: object.Version, Deleted: object.Deleted, Body: object.Body,
		})
	}
	return reply, nil
}

// NotifyConfig implements conf.Peers.
func (t *configTransport) NotifyConfig(ctx context.Context, address string, notification conf.ChangeNotification) error {
	_, err := t.dialer.Client(address).NotifyConfig(ctx, &peer.NotifyConfigRequest{
		SenderAddress: notification.SenderAddress, ConfigDigest: notification.Digest, NewestVersion: notification.NewestVersion,
	})
	return err
}

// configHandler serves the configuration calls of other instances.
type configHandler struct{ *configTransport }

// FetchConfig implements peer.ConfigHandler.
func (h configHandler) FetchConfig(_ context.Context, in *peer.FetchConfigRequest) (*peer.FetchConfigReply, error) {
	request := conf.FetchRequest{After: in.After}
	for _, known := range in.Known {
		request.Known = append(request.Known, conf.Object{
			Key: conf.Key{Kind: record.Kind(known.Kind), Name: known.Name}, Version: known.Version,
		})
	}
	reply := h.syncer().HandleFetch(request)
	out := &peer.FetchConfigReply{Usable: reply.Usable, Digest: reply.Digest, Complete: reply.CompleteVersion, More: reply.More}
	for _, object := range reply.Objects {
		out.Objects = append(out.Objects, &peer.ConfigObject{
			Kind: string(object.Key.Kind), Name: object.Key.Name,
			Version: object.Version, Deleted: object.Deleted, Body: object.Body,
		})
	}
	return out, nil
}

// NotifyConfig implements peer.ConfigHandler.
func (h configHandler) NotifyConfig(_ context.Context, in *peer.NotifyConfigRequest) (*peer.Ack, error) {
	h.syncer().HandleNotify(conf.ChangeNotification{
		SenderAddress: in.SenderAddress, Digest: in.ConfigDigest, NewestVersion: in.NewestVersion,
	})
	return &peer.Ack{}, nil
}
