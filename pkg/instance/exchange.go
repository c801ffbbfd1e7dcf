package instance

import (
	"context"

	"github.com/rosemarywing/rosemarywing/pkg/conf"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// exchange carries the configuration syncer on the peer protocol, both ways.
type exchange struct {
	dialer    *peer.Dialer
	directory *directory
	// syncer answers the calls of other instances.
	syncer func() *conf.Syncer
}

var (
	_ conf.PeerTransport = (*exchange)(nil)
	_ peer.ConfigHandler = (*exchangeHandler)(nil)
)

// Addresses implements conf.Peers.
func (x *exchange) Addresses() []string { return x.directory.peers() }

// FetchConfig implements conf.Peers.
func (x *exchange) FetchConfig(ctx context.Context, address string, request conf.FetchRequest) (conf.FetchReply, error) {
	out := &peer.FetchConfigRequest{After: request.After}
	for _, known := range request.Known {
		out.Known = append(out.Known, &peer.ObjectVersion{Kind: string(known.Key.Kind), Name: known.Key.Name, Version: known.Version})
	}
	in, err := x.dialer.Client(address).FetchConfig(ctx, out)
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
func (x *exchange) NotifyConfig(ctx context.Context, address string, notice conf.ChangeNotification) error {
	_, err := x.dialer.Client(address).NotifyConfig(ctx, &peer.NotifyConfigRequest{
		SenderAddress: notice.SenderAddress, ConfigDigest: notice.Digest, NewestVersion: notice.NewestVersion,
	})
	return err
}

// exchangeHandler answers the calls of other instances.
type exchangeHandler struct{ *exchange }

// FetchConfig implements peer.ConfigHandler.
func (h exchangeHandler) FetchConfig(_ context.Context, in *peer.FetchConfigRequest) (*peer.FetchConfigReply, error) {
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
func (h exchangeHandler) NotifyConfig(_ context.Context, in *peer.NotifyConfigRequest) (*peer.Ack, error) {
	h.syncer().HandleNotify(conf.ChangeNotification{
		SenderAddress: in.SenderAddress, Digest: in.ConfigDigest, NewestVersion: in.NewestVersion,
	})
	return &peer.Ack{}, nil
}
