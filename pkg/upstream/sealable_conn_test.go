package upstream

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a write on a sealed connection, and against sealing after a
// write has started.
func TestSealableConn(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	received := make(chan []byte)
	go func() { data, _ := io.ReadAll(far); received <- data }()

	unwritten := &sealableConn{Conn: near}
	g.Expect(unwritten.seal()).To(BeTrue())
	_, err := unwritten.Write([]byte("late"))
	g.Expect(err).To(MatchError(errSealed))

	written := &sealableConn{Conn: near}
	_, err = written.Write([]byte("x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(written.seal()).To(BeFalse())
	near.Close()
	g.Expect(<-received).To(Equal([]byte("x")))
}
