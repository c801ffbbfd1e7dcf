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
	// idleExpiration closes pooled connections that are not used. Membership
	// probes reach each of 60 members once a minute, so that most probes find
	// an open connection.
	idleExpiration = 90 * time.Second
	// idlePerAddress bounds the idle connections to one address.
	idlePerAddress = 4
	// softCancelGrace lets a send that is nearly done finish, so that the
	// cancelled stream does not cost the connection.
	softCancelGrace = 5 * time.Millisecond
)

// Hook is for tests: it is called before a connection is made and for each
// chunk that is read or written. An error cuts the connection; blocking delays it.
type Hook func(address string) error

// DialerOptions configure a Dialer.
type DialerOptions struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// CallTimeout bounds a unary call, connecting included.
	CallTimeout time.Duration
	Traffic     *Traffic
	// Hook is nil outside tests.
	Hook Hook
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

// Client returns a client for the instance at the address. It does not dial:
// each call takes a pooled connection or makes one.
func (d *Dialer) Client(address string) DRPCPeerClient {
	conn := d.pool.Get(context.Background(), address, d.dial)
	return NewDRPCPeerClient(&client{Conn: conn, dialer: d})
}

func (d *Dialer) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	if d.options.Hook != nil {
		if err := d.options.Hook(address); err != nil {
			return nil, err
		}
	}
	dialer := net.Dialer{Timeout: d.options.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	transport := &wire{Conn: conn, traffic: d.options.Traffic, address: address, hook: d.options.Hook}
	return drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions()}), nil
}

// client adds the call time-out and the counters to a pooled connection.
type client struct {
	drpc.Conn
	dialer *Dialer
}

func (c *client) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
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

func (c *client) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	return &countedStream{stream, c.dialer.options.Traffic}, nil
}
