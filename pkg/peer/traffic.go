package peer

import (
	"net"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
)

// Traffic counts the messages and bytes of the peer protocol by kind of message,
// to show what uses the control plane's budget of 5 KB/s per instance.
//
// The metrics are peer.sent.KIND.messages, peer.sent.KIND.bytes, and the same
// with received, where KIND is the name of the message. Bytes per kind are the
// sizes of encoded messages. peer.sent.wire.bytes and peer.received.wire.bytes
// also include framing.
type Traffic struct {
	registry metrics.Registry
	// counters maps counterKey to *counterPair, so that metric names are built
	// once per kind and not for each message.
	counters     sync.Map
	wireReceived metrics.Counter
	wireSent     metrics.Counter
}

type counterKey struct {
	sent bool
	kind string
}

type counterPair struct {
	messages metrics.Counter
	bytes    metrics.Counter
}

// NewTraffic returns a Traffic whose counters are registered in the registry.
func NewTraffic(registry metrics.Registry) *Traffic {
	return &Traffic{
		registry:     registry,
		wireReceived: metrics.GetOrRegisterCounter("peer.received.wire.bytes", registry),
		wireSent:     metrics.GetOrRegisterCounter("peer.sent.wire.bytes", registry),
	}
}

func (t *Traffic) countersFor(sent bool, kind string) *counterPair {
	key := counterKey{sent, kind}
	if found, ok := t.counters.Load(key); ok {
		return found.(*counterPair)
	}
	direction := "received"
	if sent {
		direction = "sent"
	}
	prefix := "peer." + direction + "." + kind
	pair := &counterPair{
		messages: metrics.GetOrRegisterCounter(prefix+".messages", t.registry),
		bytes:    metrics.GetOrRegisterCounter(prefix+".bytes", t.registry),
	}
	found, _ := t.counters.LoadOrStore(key, pair)
	return found.(*counterPair)
}

func (t *Traffic) count(sent bool, msg drpc.Message) {
	encoded, ok := msg.(proto.Message)
	if !ok {
		return
	}
	pair := t.countersFor(sent, messageKind(encoded))
	pair.messages.Inc(1)
	pair.bytes.Inc(int64(proto.Size(encoded)))
}

// messageKind returns the KIND of a message in metric names. For a message of a
// session, it is the name of the message in its body.
func messageKind(msg proto.Message) string {
	var body any
	switch m := msg.(type) {
	case *EntryMessage:
		body = m.GetBody()
	case *SchedulerMessage:
		body = m.GetBody()
	}
	switch body.(type) {
	case *EntryMessage_Hello:
		return "Hello"
	case *EntryMessage_Acquire:
		return "Acquire"
	case *EntryMessage_Cancel:
		return "Cancel"
	case *EntryMessage_Release:
		return "Release"
	case *SchedulerMessage_Welcome:
		return "Welcome"
	case *SchedulerMessage_Grant:
		return "Grant"
	case *SchedulerMessage_Refuse:
		return "Refuse"
	case *SchedulerMessage_ReleaseAck:
		return "ReleaseAck"
	case *EntryMessage_Heartbeat, *SchedulerMessage_Heartbeat:
		return "Heartbeat"
	}
	name := string(msg.ProtoReflect().Descriptor().FullName())
	return strings.TrimPrefix(name, "peer.")
}

// countedStream counts the messages of a stream.
type countedStream struct {
	drpc.Stream
	traffic *Traffic
}

func (s *countedStream) MsgSend(msg drpc.Message, enc drpc.Encoding) error {
	s.traffic.count(true, msg)
	return s.Stream.MsgSend(msg, enc)
}

func (s *countedStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	if err := s.Stream.MsgRecv(msg, enc); err != nil {
		return err
	}
	s.traffic.count(false, msg)
	return nil
}

// countedHandler counts the messages of incoming calls.
type countedHandler struct {
	drpc.Handler
	traffic *Traffic
}

func (h *countedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	return h.Handler.HandleRPC(&countedStream{stream, h.traffic}, rpc)
}

// countedConn is a network connection that counts bytes and calls the fault hook.
type countedConn struct {
	net.Conn
	traffic   *Traffic
	address   string
	faultHook FaultHook
}

func (c *countedConn) callFaultHook() error {
	if c.faultHook == nil {
		return nil
	}
	if err := c.faultHook(c.address); err != nil {
		_ = c.Close()
		return err
	}
	return nil
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.wireReceived.Inc(int64(n))
	if err != nil {
		return n, err
	}
	if err := c.callFaultHook(); err != nil {
		return 0, err
	}
	return n, nil
}

func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.callFaultHook(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.traffic.wireSent.Inc(int64(n))
	return n, err
}

// countedListener counts the bytes on accepted connections.
type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: l.traffic}, nil
}
