package connpool

import (
	"errors"
	"io"
	"syscall"
)

// unframedBody is a body that ends with its connection.
type unframedBody struct {
	io.Reader
	conn *Conn
}

// Read returns io.EOF only if the upstream closed the connection. The kernel reports a
// reset only once. If the write of the request gets the report, reads return io.EOF.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// The write ends when the connection is closed, at the latest.
	<-b.conn.writeDone
	// EPIPE means that the upstream had closed the connection before it was reset.
	if b.conn.writeErr != nil && !errors.Is(b.conn.writeErr, syscall.EPIPE) {
		return n, errors.Join(io.ErrUnexpectedEOF, b.conn.writeErr)
	}
	return n, io.EOF
}
