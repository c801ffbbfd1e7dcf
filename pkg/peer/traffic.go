package peer

import (
	"net"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
)

// Traffic counts the messages and bytes of the peer protocol. The budget of
// the control plane is 5 KB/s per instance, so each kind of message is counted.
//
// The names are peer.sent.KIND.messages, peer.sent.KIND.bytes and the same with
// received; KIND is the name of the message. Bytes per kind are encoded
// messages. peer.sent.wire.bytes and peer.received.wire.bytes include framing.
type Traffic struct {
	registry metrics.Registry
	// counters avoids building a name for every message.
	counters sync.Map
	wireIn   metrics.Counter
	wireOut  metrics.Counter
}

type counterKey struct {
	sent bool
	kind string
}

type counterPair struct {
	messages metrics.Counter
	bytes    metrics.Counter
}

// NewTraffic returns counters in the registry.
func NewTraffic(registry metrics.Registry) *Traffic {
	return &Traffic{
		registry: registry,
		wireIn:   metrics.GetOrRegisterCounter("peer.received.wire.bytes", registry),
		wireOut:  metrics.GetOrRegisterCounter("peer.sent.wire.bytes", registry),
	}
}

func (t *Traffic) pair(sent bool, kind string) *counterPair {
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
	pair := t.pair(sent, kindOf(encoded))
	pair.messages.Inc(1)
	pair.bytes.Inc(int64(proto.Size(encoded)))
}

// kindOf names a message; a message of a session is named after its body.
func kindOf(msg proto.Message) string {
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

// countedHandler counts the messages of served calls.
type countedHandler struct {
	drpc.Handler
	traffic *Traffic
}

func (h *countedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	return h.Handler.HandleRPC(&countedStream{stream, h.traffic}, rpc)
}

// wire is a network connection that counts bytes and consults the fault hook.
type wire struct {
	net.Conn
	traffic *Traffic
	address string
	hook    Hook
}

func (w *wire) check() error {
	if w.hook == nil {
		return nil
	}
	if err := w.hook(w.address); err != nil {
		_ = w.Close()
		return err
	}
	return nil
}

func (w *wire) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	w.traffic.wireIn.Inc(int64(n))
	if err != nil {
		return n, err
	}
	if err := w.check(); err != nil {
		return 0, err
	}
	return n, nil
}

func (w *wire) Write(p []byte) (int, error) {
	if err := w.check(); err != nil {
		return 0, err
	}
	n, err := w.Conn.Write(p)
	w.traffic.wireOut.Inc(int64(n))
	return n, err
}

// countedListener counts the bytes of accepted connections.
type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &wire{Conn: conn, traffic: l.traffic}, nil
}
