package peer

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	// idleExpiration is the time after which an idle pooled connection is closed.
	// Membership probes reach each of 60 members once a minute, so most of them
	// find an open connection.
	idleExpiration = 90 * time.Second
	// idlePerAddress bounds the idle connections to one address.
	idlePerAddress = 4
	// softCancelGrace lets a send in progress finish after its stream was
	// cancelled, so that the connection is kept. A longer send closes it.
	softCancelGrace = 5 * time.Millisecond
)

// FaultHook injects faults in tests. It is called before each dial and for each
// read and write. An error closes the connection; blocking delays it.
type FaultHook func(address string) error

// DialerOptions configure a Dialer.
type DialerOptions struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// CallTimeout bounds a unary call, connecting included.
	CallTimeout time.Duration
	Traffic     *Traffic
	// FaultHook is nil outside tests.
	FaultHook FaultHook
}

// Dialer makes calls to other instances over pooled connections. A connection
// carries one stream at a time.
type Dialer struct {
	options DialerOptions
	pool    *drpcpool.Pool[string, drpcpool.Conn]
}

// NewDialer returns a dialer; Close releases its connections.
func NewDialer(options DialerOptions) *Dialer {
	return &Dialer{
		options: options,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			KeyCapacity: idlePerAddress,
		}),
	}
}

// Close closes the idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }

// Client returns a client for the instance at the address. It does not dial;
// each call takes a pooled connection or dials a new one.
func (d *Dialer) Client(address string) DRPCPeerClient {
	conn := d.pool.Get(context.Background(), address, d.dial)
	return NewDRPCPeerClient(&clientConn{Conn: conn, dialer: d})
}

func (d *Dialer) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	if d.options.FaultHook != nil {
		if err := d.options.FaultHook(address); err != nil {
			return nil, err
		}
	}
	dialer := net.Dialer{Timeout: d.options.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	transport := &countedConn{Conn: conn, traffic: d.options.Traffic, address: address, faultHook: d.options.FaultHook}
	return settlingConn{drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions()})}, nil
}

// settlingConn is a connection whose calls return only when the connection can be
// used again or has been closed. The pool passes over a connection whose cancelled
// call has not left it yet, and would dial another one for the next call. The wait is
// at most softCancelGrace, after which the connection is closed.
type settlingConn struct{ drpcpool.Conn }

// Invoke implements drpc.Conn.
func (c settlingConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	err := c.Conn.Invoke(ctx, rpc, enc, in, out)
	if err != nil {
		select {
		case <-c.Unblocked():
		case <-c.Closed():
		}
	}
	return err
}

// clientConn adds the timeout of unary calls and the message counters to a pooled
// connection.
type clientConn struct {
	drpc.Conn
	dialer *Dialer
}

func (c *clientConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	ctx, cancel := context.WithTimeout(ctx, c.dialer.options.CallTimeout)
	defer cancel()
	traffic := c.dialer.options.Traffic
	traffic.count(true, in)
	if err := c.Conn.Invoke(ctx, rpc, enc, in, out); err != nil {
		return err
	}
	traffic.count(false, out)
	return nil
}

func (c *clientConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	return &countedStream{stream, c.dialer.options.Traffic}, nil
}
