package upstream

import (
	"bufio"
	"context"
	"net"

	"github.com/rosemarywing/rosemarywing/pkg/httphead"
)

// checkedConn is a connection to an upstream that fails if the head of its first answer has
// framing that net/http would ignore. Later answers on the connection are not checked, since
// a connection does not show where they begin.
type checkedConn struct {
	net.Conn
	reader  *bufio.Reader
	checked bool
}

func newCheckedConn(conn net.Conn) *checkedConn {
	return &checkedConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// Read reads from the connection, unless it returns httphead.ErrDefective.
func (c *checkedConn) Read(data []byte) (int, error) {
	if !c.checked {
		if err := httphead.CheckOldVersion(c.reader); err != nil {
			return 0, err
		}
		c.checked = true
	}
	return c.reader.Read(data)
}

// dialChecked returns dial with connections that are checkedConns.
func dialChecked(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCheckedConn(conn), nil
	}
}
