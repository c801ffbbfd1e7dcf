package peer_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"github.com/rosemarywing/rosemarywing/pkg/peer"
)

// timeout is far above what a call on loopback takes; no result depends on it.
const timeout = 30 * time.Second

type handler struct {
	entered chan struct{}
	ended   chan struct{}
}

func (h *handler) Ping(ctx context.Context, in *peer.PingRequest) (*peer.PingReply, error) {
	if in.Target == "block" {
		close(h.entered)
		<-ctx.Done()
		close(h.ended)
		return nil, ctx.Err()
	}
	return &peer.PingReply{ConfigDigest: in.ConfigDigest + 1}, nil
}

func (h *handler) ServeSession(stream peer.ServerStream) error {
	for {
		in, err := stream.Recv()
		if err != nil {
			return err
		}
		reply := &peer.SchedulerMessage{Body: &peer.SchedulerMessage_Welcome{Welcome: &peer.Welcome{Instance: in.GetHello().GetInstance()}}}
		if err := stream.Send(reply); err != nil {
			return err
		}
	}
}

type countingListener struct {
	net.Listener
	accepted atomic.Int32
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

func start(t *testing.T, hook peer.Hook) (*handler, *countingListener, peer.DRPCPeerClient, metrics.Registry) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	counted := &countingListener{Listener: listener}
	h := &handler{make(chan struct{}), make(chan struct{})}
	server, err := peer.NewServer(peer.Handlers{Members: h, Sessions: h}, peer.NewTraffic(metrics.NewRegistry()), logr.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	registry := metrics.NewRegistry()
	dialer := peer.NewDialer(peer.DialerOptions{DialTimeout: timeout, CallTimeout: timeout, Traffic: peer.NewTraffic(registry), Hook: hook})
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, counted) }()
	t.Cleanup(func() {
		_ = dialer.Close()
		cancel()
		g.Expect(<-served).To(Succeed())
		goleak.VerifyNone(t)
	})
	return h, counted, dialer.Client(listener.Addr().String()), registry
}

// Guards against a cancelled call that closes a connection which other calls
// reuse: the next call must not dial again.
func TestCancelledCallKeepsTheConnection(t *testing.T) {
	g := NewWithT(t)
	h, listener, client, _ := start(t, nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-h.entered
		cancel()
	}()
	_, err := client.Ping(ctx, &peer.PingRequest{Target: "block"})
	g.Expect(err).To(HaveOccurred())
	<-h.ended
	reply, err := client.Ping(context.Background(), &peer.PingRequest{ConfigDigest: 1})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.ConfigDigest).To(Equal(uint64(2)))
	g.Expect(listener.accepted.Load()).To(Equal(int32(1)))
}

// Guards against a session that blocks unary calls to the same address, and
// against traffic that is not counted by kind.
func TestSessionAndCallsSideBySide(t *testing.T) {
	g := NewWithT(t)
	_, _, client, registry := start(t, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	session, err := client.Session(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	hello := &peer.EntryMessage{Body: &peer.EntryMessage_Hello{Hello: &peer.Hello{Instance: &peer.InstanceRef{Id: "a"}}}}
	g.Expect(session.Send(hello)).To(Succeed())
	welcome, err := session.Recv()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(welcome.GetWelcome().GetInstance().GetId()).To(Equal("a"))
	_, err = client.Ping(ctx, &peer.PingRequest{})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Claim(ctx, &peer.ClaimRequest{})
	g.Expect(err).To(MatchError(ContainSubstring("not served")))
	for _, name := range []string{"peer.sent.Hello.messages", "peer.received.Welcome.messages", "peer.sent.PingRequest.messages", "peer.received.PingReply.messages"} {
		g.Expect(registry.Get(name)).NotTo(BeNil(), name)
		g.Expect(registry.Get(name).(metrics.Counter).Count()).To(Equal(int64(1)), name)
	}
	g.Expect(registry.Get("peer.sent.wire.bytes").(metrics.Counter).Count()).To(BeNumerically(">", 10))
	g.Expect(session.Close()).To(Succeed())
}

// Guards against a test hook that leaves an open connection usable after a cut.
func TestHookCutsOpenConnections(t *testing.T) {
	g := NewWithT(t)
	var cut atomic.Bool
	_, _, client, _ := start(t, func(string) error {
		if cut.Load() {
			return errors.New("cut")
		}
		return nil
	})
	_, err := client.Ping(context.Background(), &peer.PingRequest{})
	g.Expect(err).NotTo(HaveOccurred())
	cut.Store(true)
	_, err = client.Ping(context.Background(), &peer.PingRequest{})
	g.Expect(err).To(HaveOccurred())
	cut.Store(false)
	_, err = client.Ping(context.Background(), &peer.PingRequest{})
	g.Expect(err).NotTo(HaveOccurred())
}
