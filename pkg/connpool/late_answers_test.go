package connpool_test

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Failure: the upstream repeats an earlier response, late, on a connection that carries
// the next request. Guards against delivering the copy as the response to that request.
func TestLateCopyIsNotDelivered(t *testing.T) {
	withoutID := func(id, body string) string {
		return strings.Replace(formatResponse(id, body), idHeader+": "+id+"\r\n", "", 1)
	}
	for name, test := range map[string]struct {
		// copies returns what is written before the right response to the second request.
		copies func(first string) []string
		// lost is true if the copy cannot be told from the right response, so that the
		// request fails.
		lost bool
	}{
		"with the ID":               {func(first string) []string { return []string{formatResponse(first, "first again")} }, false},
		"twice":                     {func(first string) []string { return []string{formatResponse(first, "a"), formatResponse(first, "b")} }, false},
		"in two parts":              {func(first string) []string { return strings.SplitAfterN(formatResponse(first, "first again"), "\n", 2) }, false},
		"without an ID":             {func(first string) []string { return []string{withoutID(first, "first again")} }, true},
		"without an ID, in parts":   {func(first string) []string { return strings.SplitAfterN(withoutID(first, "first again"), "OK", 2) }, true},
		"more copies than skipped":  {func(first string) []string { return []string{strings.Repeat(formatResponse(first, "x"), 3)} }, true},
		"only the body of the copy": {func(string) []string { return []string{"first again"} }, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			u := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
				first, _ := readRequest(reader)
				write(conn, formatResponse(first, "first"))
				second, _ := readRequest(reader)
				for _, part := range test.copies(first) {
					write(conn, part)
					time.Sleep(2 * time.Millisecond)
				}
				write(conn, formatResponse(second, "second"))
				_, _ = readRequest(reader)
			})
			_, _, err := f.exchange(u, "x")
			f.Expect(err).NotTo(HaveOccurred())
			body, reused, err := f.exchange(u, "x")
			f.Expect(reused).To(BeTrue())
			if test.lost {
				f.Expect(err).To(HaveOccurred())
				f.Expect(f.pool.IdleCount(u.address())).To(BeZero(), "the connection is closed")
				return
			}
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(body).To(Equal("second"))
		})
	}
}

// Failure: an upstream repeats a streamed response on the same connection after its end.
// Guards against delivering it to the next caller.
func TestLateCopyOfStreamIsNotDelivered(t *testing.T) {
	f := newFixture(t)
	stream := func(id string) string {
		return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nevent\r\n0\r\n\r\n"
	}
	u := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
		first, _ := readRequest(reader)
		write(conn, stream(first))
		second, _ := readRequest(reader)
		write(conn, stream(first)+stream(second))
		_, _ = readRequest(reader)
	})
	for range 2 {
		body, _, err := f.exchange(u, "x")
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(body).To(Equal("event"))
	}
}

// Failure: an upstream sends bytes without end in place of a response or of a late copy.
// Guards against reading them for longer than the head or the copy may be.
func TestEndlessBytesEndTheConnection(t *testing.T) {
	endless := func(conn net.Conn, text string) {
		for {
			if _, err := conn.Write([]byte(text)); err != nil {
				return
			}
		}
	}
	for name, script := range map[string]func(conn net.Conn, id string){
		"no HTTP":       func(conn net.Conn, _ string) { endless(conn, "garbage") },
		"head":          func(conn net.Conn, _ string) { write(conn, "HTTP/1.1 200 OK\r\n"); endless(conn, "X-Pad: x\r\n") },
		"one header":    func(conn net.Conn, _ string) { write(conn, "HTTP/1.1 200 OK\r\nX-Pad: "); endless(conn, "x") },
		"interim heads": func(conn net.Conn, _ string) { endless(conn, "HTTP/1.1 103 Early Hints\r\nX-Pad: x\r\n\r\n") },
		"other response": func(conn net.Conn, id string) {
			write(conn, "HTTP/1.1 200 OK\r\nRequest-Id: not "+id+"\r\n\r\n")
			endless(conn, "x")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			ended := make(chan struct{})
			u := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
				defer close(ended)
				id, _ := readRequest(reader)
				script(conn, id)
			})
			_, _, err := f.exchange(u, "x")
			f.Expect(err).To(HaveOccurred())
			f.Eventually(ended, "10s").Should(BeClosed())
		})
	}
}
