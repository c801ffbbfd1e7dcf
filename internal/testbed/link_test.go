package testbed_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

// A server resets its connection while the client writes. Guards against a link that closes
// the client's connection properly then, so that part of an answer looks complete.
func TestLinkPassesOnResetDuringWrite(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.ReadFull(conn, make([]byte, 1))
				_, _ = io.WriteString(conn, "part")
				time.Sleep(5 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	link, err := testbed.NewLink(listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer link.Close()
	link.SetSendBuffer(64 << 10)
	for range 50 {
		client, err := net.Dial("tcp", link.Address())
		g.Expect(err).NotTo(HaveOccurred())
		written := make(chan error, 1)
		go func() {
			_, err := client.Write(bytes.Repeat([]byte("x"), 8<<20))
			written <- err
		}()
		answer, readErr := io.ReadAll(client)
		writeErr := <-written
		_ = client.Close()
		g.Expect(string(answer)).To(Equal("part"))
		g.Expect(errors.Is(readErr, syscall.ECONNRESET) || errors.Is(writeErr, syscall.ECONNRESET)).To(BeTrue(), "read: %v, write: %v", readErr, writeErr)
	}
}
