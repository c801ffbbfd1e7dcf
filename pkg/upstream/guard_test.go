package upstream

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a write after a call was reported as not dispatched, and
// against that report after a write has started.
func TestGuard(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	received := make(chan []byte)
	go func() { data, _ := io.ReadAll(far); received <- data }()

	sealed := &guard{Conn: near}
	g.Expect(sealed.seal()).To(BeTrue())
	_, err := sealed.Write([]byte("late"))
	g.Expect(err).To(MatchError(errSealed))

	written := &guard{Conn: near}
	_, err = written.Write([]byte("x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(written.seal()).To(BeFalse())
	near.Close()
	g.Expect(<-received).To(Equal([]byte("x")))
}
