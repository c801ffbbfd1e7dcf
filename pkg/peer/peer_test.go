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

// timeout only bounds a failing test; no result depends on it.
const timeout = 30 * time.Second

type fakeHandlers struct {
	pingEntered chan struct{}
	pingEnded   chan struct{}
}

func (h *fakeHandlers) Ping(ctx context.Context, in *peer.PingRequest) (*peer.PingReply, error) {
	if in.Target == "block" {
		close(h.pingEntered)
		<-ctx.Done()
		close(h.pingEnded)
		return nil, ctx.Err()
	}
	return &peer.PingReply{ConfigDigest: in.ConfigDigest + 1}, nil
}

func (h *fakeHandlers) ServeSession(stream peer.ServerStream) error {
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

func startServer(t *testing.T, hook peer.FaultHook) (*fakeHandlers, *countingListener, peer.DRPCPeerClient, metrics.Registry) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	counting := &countingListener{Listener: listener}
	h := &fakeHandlers{make(chan struct{}), make(chan struct{})}
	server, err := peer.NewServer(peer.Handlers{Members: h, Sessions: h}, peer.NewTraffic(metrics.NewRegistry()), logr.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	registry := metrics.NewRegistry()
	dialer := peer.NewDialer(peer.DialerOptions{DialTimeout: timeout, CallTimeout: timeout, Traffic: peer.NewTraffic(registry), FaultHook: hook})
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, counting) }()
	t.Cleanup(func() {
		_ = dialer.Close()
		cancel()
		g.Expect(<-served).To(Succeed())
		goleak.VerifyNone(t)
	})
	return h, counting, dialer.Client(listener.Addr().String()), registry
}

// Guards against a cancelled call that closes the pooled connection: the next
// call must not dial again.
func TestCancelledCallKeepsConnection(t *testing.T) {
	g := NewWithT(t)
	h, listener, client, _ := startServer(t, nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-h.pingEntered
		cancel()
	}()
	_, err := client.Ping(ctx, &peer.PingRequest{Target: "block"})
	g.Expect(err).To(HaveOccurred())
	<-h.pingEnded
	reply, err := client.Ping(context.Background(), &peer.PingRequest{ConfigDigest: 1})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.ConfigDigest).To(Equal(uint64(2)))
	g.Expect(listener.accepted.Load()).To(Equal(int32(1)))
}

// Guards against a session that blocks unary calls to the same address, and
// against messages that are not counted by kind.
func TestConcurrentSessionAndCalls(t *testing.T) {
	g := NewWithT(t)
	_, _, client, registry := startServer(t, nil)
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

// Guards against a fault hook that leaves an open connection usable after it has
// returned an error.
func TestFaultHookCutsOpenConnections(t *testing.T) {
	g := NewWithT(t)
	var cut atomic.Bool
	_, _, client, _ := startServer(t, func(string) error {
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
