package connpool_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const eventsBody = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// signature is a header that every complete answer of these tests has.
const signature = "Response-Signature: 3e1b.07\r\n"

// completeAnswers are complete answers in each form that the protocol allows. ID stands
// for the ID of the request.
var completeAnswers = map[string]struct {
	text, body string
	// untilClose is true if the answer ends with its connection.
	untilClose bool
}{
	"length": {text: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Type: text/plain\r\n" + signature + "Content-Length: 12\r\n\r\nthe 12 bytes", body: "the 12 bytes"},
	"length before the signature": {text: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nRequest-Id: ID\r\n" + signature + "\r\nthe 12 bytes",
		body: "the 12 bytes"},
	"empty":  {text: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + signature + "Content-Length: 0\r\n\r\n"},
	"chunks": {text: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + signature + "Transfer-Encoding: chunked\r\n\r\n10\r\nsixteen bytes...\r\n3\r\nabc\r\n0\r\n\r\n", body: "sixteen bytes...abc"},
	"chunks with trailers": {text: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + signature + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"3;ext=1\r\nabc\r\n0\r\nSum: 12\r\nOther: x\r\n\r\n", body: "abc"},
	"until close": {text: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + signature + "\r\nall of it", body: "all of it", untilClose: true},
	"HTTP/1.0":    {text: "HTTP/1.0 200 OK\r\nRequest-Id: ID\r\n" + signature + "\r\nall of it", body: "all of it", untilClose: true},
	"events, length": {text: fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"+signature+"Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s",
		len(eventsBody), eventsBody), body: eventsBody},
	"events, chunks": {text: fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"+signature+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		len(eventsBody), eventsBody), body: eventsBody},
	"events, until close": {text: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + signature + "Content-Type: text/event-stream\r\n\r\n" + eventsBody, body: eventsBody, untilClose: true},
	"interim head": {text: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + signature + "Content-Length: 3\r\n\r\nabc",
		body: "abc"},
	"LF, length": {text: "HTTP/1.1 200 OK\nRequest-Id: ID\nResponse-Signature: s\nContent-Length: 3\n\nabc", body: "abc"},
	"LF, chunks": {text: "HTTP/1.1 200 OK\nRequest-Id: ID\nResponse-Signature: s\nTransfer-Encoding: chunked\n\n3\r\nabc\r\n0\r\n\r\n", body: "abc"},
	"LF, until close": {text: "HTTP/1.1 200 OK\nRequest-Id: ID\nResponse-Signature: s\n\nall of it", body: "all of it",
		untilClose: true},
}

// reset closes a connection such that the peer gets a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// drainAccepted keeps the queue of accepted connections, which has a bound, from filling up.
func drainAccepted(t *testing.T, u *upstream) {
	for {
		select {
		case <-t.Context().Done():
			return
		case <-u.accepted:
		}
	}
}

// An upstream ends or resets the connection at each position of an answer, on a new
// connection and on one that has carried another request. Guards against an answer with
// part of a body, or with part of a head, that looks complete. Only an answer without a
// length or chunks may end at the end of the connection, after its head.
func TestCutAnswerNeverLooksComplete(t *testing.T) {
	for name, complete := range completeAnswers {
		t.Run(name, func(t *testing.T) {
			for _, how := range []struct{ reset, reused bool }{{false, false}, {false, true}, {true, false}, {true, true}} {
				f := newFixture(t)
				var sentBytes atomic.Int64
				u := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
					id, _ := readRequest(reader)
					if how.reused {
						write(conn, formatResponse(id, "first"))
						id, _ = readRequest(reader)
					}
					write(conn, strings.Replace(complete.text, "ID", id, 1)[:int(sentBytes.Load())+len(id)-len("ID")])
					if how.reset {
						// The bytes arrive before the reset discards them.
						time.Sleep(200 * time.Microsecond)
						reset(conn)
					}
				})
				go drainAccepted(t, u)
				bodyStart := len(complete.text) - len(complete.body)
				for cut := strings.Index(complete.text, "ID") + len("ID"); cut <= len(complete.text); cut++ {
					sentBytes.Store(int64(cut))
					if how.reused {
						_, _, err := f.exchange(u, "x")
						f.Expect(err).NotTo(HaveOccurred())
					}
					body, reused, err := f.exchange(u, "x")
					f.Expect(reused).To(Equal(how.reused))
					label := fmt.Sprintf("%+v, cut at %d of %d, body %q", how, cut, len(complete.text), body)
					switch {
					case complete.untilClose && !how.reset && cut >= bodyStart:
						f.Expect(err).NotTo(HaveOccurred(), label)
						f.Expect(body).To(Equal(complete.text[bodyStart:cut]), label)
					case cut == len(complete.text) && !how.reset:
						f.Expect(err).NotTo(HaveOccurred(), label)
						f.Expect(body).To(Equal(complete.body), label)
					case cut == len(complete.text) && !complete.untilClose:
						// The reset may discard the end of the answer, which is complete otherwise.
						f.Expect(err != nil || body == complete.body).To(BeTrue(), label)
					default:
						f.Expect(err).To(HaveOccurred(), label)
					}
				}
			}
		})
	}
}

// The head of an answer has a defect: its framing is contradictory or malformed, its status
// is none, or a second head follows a head, or a line of it, that was not completed. Guards
// against an answer with the status of one head and the framing or the body of another.
func TestDefectiveHeadIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
	const second = "HTTP/1.1 500 No\r\nRequest-Id: r1\r\nResponse-Signature: s\r\nContent-Length: 3\r\n\r\nabc"
	for name, text := range map[string]string{
		"conflicting lengths":            head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"list of lengths":                head + "Content-Length: 3, 4\r\n\r\nabcd",
		"negative length":                head + "Content-Length: -1\r\n\r\nabc",
		"signed length":                  head + "Content-Length: +3\r\n\r\nabc",
		"huge length":                    head + "Content-Length: 99999999999999999999\r\n\r\nabc",
		"largest length":                 head + "Content-Length: 9223372036854775807\r\n\r\nabc",
		"empty length":                   head + "Content-Length: \r\n\r\nabc",
		"hexadecimal length":             head + "Content-Length: 0x3\r\n\r\nabc",
		"folded length":                  head + "Content-Length: 1\r\n 2\r\n\r\nabc",
		"unknown coding":                 head + "Transfer-Encoding: chunke\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"two codings":                    head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"bare CR":                        head + "X: a\rContent-Length: 3\r\n\r\nabc",
		"bare CR as empty line":          head + "Content-Length: 3\r\n\rabc",
		"line without a colon":           head + "Content-Len\r\n\r\nabc",
		"name with a space":              head + "Content-Length : 3\r\n\r\nabc",
		"status of two digits":           "HTTP/1.1 20\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nabc",
		"status of one digit":            "HTTP/1.1 2\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nabc",
		"no status":                      "HTTP/1.1 \r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nabc",
		"status with a sign":             "HTTP/1.1 +20 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nabc",
		"status below 100":               "HTTP/1.1 020 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nabc",
		"status 000":                     "HTTP/1.1 000 \r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nabc",
		"status 099":                     "HTTP/1.1 099 Odd\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nabc",
		"status of four digits":          "HTTP/1.1 0200 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nabc",
		"status of letters":              "HTTP/1.1 abc OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nabc",
		"status 600":                     "HTTP/1.1 600 Odd\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nabc",
		"status 999":                     "HTTP/1.1 999 Odd\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nabc",
		"interim without end":            "HTTP/1.1 103 Early Hints\r\n\r\n",
		"other protocol, then answer":    "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + head + "Content-Length: 3\r\n\r\nabc",
		"chunks in HTTP/1.0":             "HTTP/1.0 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"chunks and length in HTTP/1.0":  "HTTP/1.0 200 OK\r\nRequest-Id: r1\r\nContent-Length: 13\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"chunks in HTTP/1.0, kept":       "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc",
		"no version":                     "HTTP/ 200 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nabc",
		"chunk size without a digit":     head + "Transfer-Encoding: chunked\r\n\r\n\r\nabc\r\n0\r\n\r\n",
		"chunk size cut":                 head + "Transfer-Encoding: chunked\r\n\r\n1\r\nsixteen bytes...\r\n0\r\n\r\n",
		"chunk size with garbage":        head + "Transfer-Encoding: chunked\r\n\r\n3 x\r\nabc\r\n0\r\n\r\n",
		"negative chunk size":            head + "Transfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n",
		"huge chunk size":                head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n0\r\n\r\n",
		"largest chunk size":             head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nabc\r\n0\r\n\r\n",
		"chunk size ended by LF":         head + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
		"head in place of trailers":      head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" + second,
		"second head after a line":       head + second,
		"second head in the status line": "HTTP/1.1 200 O" + second,
		"second head after the version":  "HTTP/1.1 " + second,
		"second head in a name":          head + "Content-Le" + second,
		"second head in a value":         "HTTP/1.1 200 OK\r\nDate: Sa" + second,
		"second head after a name":       "HTTP/1.1 200 OK\r\nDate:" + second,
		"second head in the signature":   "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: 3e" + second,
		"second head in the ID":          "HTTP/1.1 200 OK\r\nRequest-Id: r" + second,
		"second head in the length":      head + "Content-Length: 1" + second,
		"second head after an interim":   "HTTP/1.1 103 Early Hints\r\nLink: </a" + second,
		"second ID":                      head + "Request-Id: r2\r\nContent-Length: 3\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			u := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
				_, _ = readRequest(reader)
				write(conn, text)
			})
			body, _, err := f.exchange(u, "x")
			f.Expect(err).To(HaveOccurred(), "body %q", body)
			f.Expect(f.pool.IdleCount(u.address())).To(BeZero())
		})
	}
}

// An answer has both a length and chunks. Guards against an end by the length: the chunks
// count.
func TestChunksOverrideLength(t *testing.T) {
	for name, test := range map[string]struct {
		chunks string
		body   string
	}{
		"complete": {"3\r\nabc\r\n0\r\n\r\n", "abc"},
		"cut":      {"3\r\nabc\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			u := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
				id, _ := readRequest(reader)
				write(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nContent-Length: 8\r\nTransfer-Encoding: chunked\r\n\r\n"+test.chunks)
			})
			body, _, err := f.exchange(u, "x")
			f.Expect(body).To(Equal(test.body))
			f.Expect(err == nil).To(Equal(test.body != ""))
		})
	}
}

// An upstream answers without a length before it has read a long request, and resets the
// connection. The kernel reports the reset once, and a write may get the report, so that
// the read sees the end of the connection. Guards against an answer that looks complete then.
func TestResetDuringLongRequestIsNoEnd(t *testing.T) {
	for range 30 {
		f := newFixture(t)
		u := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
			if _, err := reader.ReadString('\n'); err != nil {
				return
			}
			write(conn, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\npart of ")
			time.Sleep(5 * time.Millisecond)
			reset(conn)
		})
		body, _, err := f.exchange(u, strings.Repeat("x", 32<<20))
		f.Expect(err).To(HaveOccurred(), "body %q", body)
	}
}
