package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/connpool"
	"github.com/rosemarywing/rosemarywing/pkg/membudget"
)

// Load pattern: an event without an end comes one byte at a time. Guards against a search
// through all of the event for each byte, which took 28 s of processor time.
func TestEventInManyPiecesTakesLittleTime(t *testing.T) {
	g := NewWithT(t)
	started := time.Now()
	source := iotest.OneByteReader(strings.NewReader(strings.Repeat("x", maxEventBytes)))
	reader := &eventReader{body: source, buffer: membudget.NewBuffer(membudget.New(maxEventBytes), firstAnswerBytes, maxEventBytes)}
	_, err := reader.next()
	g.Expect(err).To(MatchError(errEventTooLong))
	g.Expect(time.Since(started)).To(BeNumerically("<", 5*time.Second))
}

// Guards against a delimiter that is missed because it comes in pieces.
func TestDelimiterInPieces(t *testing.T) {
	g := NewWithT(t)
	for _, end := range []string{"\n\n", "\r\n\r\n"} {
		source := iotest.OneByteReader(strings.NewReader("data: a" + end + "data: b" + end + "da"))
		reader := &eventReader{body: source, buffer: membudget.NewBuffer(membudget.New(0), firstAnswerBytes, maxEventBytes)}
		for _, want := range []string{"data: a" + end, "data: b" + end} {
			got, err := reader.next()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(got)).To(Equal(want))
		}
		_, err := reader.next()
		g.Expect(err).To(MatchError(io.EOF))
		g.Expect(reader.incompleteEvent()).To(BeTrue())
	}
}

// newTestEventReader returns a reader of the body of an answer with the given fields.
func newTestEventReader(t *testing.T, conn net.Conn, memory int64) *eventReader {
	pool := connpool.NewPool(connpool.Options{
		DialTimeout: time.Second, MaxIdle: 1, Clock: clockwork.NewRealClock(),
		Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil },
	})
	upstream, _, err := pool.Get(t.Context(), "a", "u1", 1)
	if err != nil {
		t.Fatal(err)
	}
	response, err := upstream.RoundTrip(t.Context(), connpool.Request{Method: http.MethodGet, Target: "/", Host: "h"}, "Request-Id", "r1")
	if err != nil {
		t.Fatal(err)
	}
	return newEventReader(response, membudget.New(memory))
}

// serveRaw answers a request on a connection with some pieces and returns the other end. The
// connection stays open.
func serveRaw(pieces ...string) net.Conn {
	near, far := net.Pipe()
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		for _, piece := range pieces {
			_, _ = io.WriteString(far, piece)
		}
	}()
	return near
}

const (
	chunkedAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	closedAnswer  = "HTTP/1.1 200 OK\r\n\r\n"
	lengthAnswer  = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
)

// Guards against an event that is held back although its frame is complete: the connection
// stays open, so that a reader that waits for more waits for good.
func TestEventsOfCompleteFramesAreReturnedAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		pieces []string
		want   string
	}{
		"chunk":                  {[]string{chunkedAnswer + "9\r\ndata: a\n\n\r\n"}, "data: a\n\n"},
		"end of chunk apart":     {[]string{chunkedAnswer, "9\r\ndata: a\n\n", "\r\n"}, "data: a\n\n"},
		"next chunk incomplete":  {[]string{chunkedAnswer + "9\r\ndata: a\n\n\r\n9\r\ndata: b\n\n"}, "data: a\n\n"},
		"two chunks":             {[]string{chunkedAnswer + "4\r\ndata\r\n5\r\n: a\n\n\r\n"}, "data: a\n\n"},
		"rest in the next chunk": {[]string{chunkedAnswer + "b\r\ndata: a\n\nda\r\n"}, "data: a\n\n"},
		"quotes a status line":   {[]string{chunkedAnswer + "18\r\ndata: HTTP/1.1 200 OK.\n\n\r\n"}, "data: HTTP/1.1 200 OK.\n\n"},
		"until close":            {[]string{closedAnswer + "data: a\n\nda"}, "data: a\n\n"},
		"length":                 {[]string{lengthAnswer + "data: a\n\n"}, "data: a\n\n"},
		"mentions HTTP":          {[]string{lengthAnswer + "data: HTTP/1.1\n\n"}, "data: HTTP/1.1\n\n"},
		"followed by an event":   {[]string{lengthAnswer + "data: HTTP/1.1 200 OK\n\nid: 2\ndata: b\n\n"}, "data: HTTP/1.1 200 OK\n\nid: 2\ndata: b\n\n"},
		"before a suspect event": {[]string{lengthAnswer + "data: a\n\ndata: HTTP/1.1 200 OK\n\n"}, "data: a\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			events, err := newTestEventReader(t, serveRaw(test.pieces...), 0).next()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(events)).To(Equal(test.want))
		})
	}
}

// Guards against a sound event that is lost since it quotes a status line, whatever marks the
// end of the body.
func TestEventsThatQuoteStatusLinesAreReturned(t *testing.T) {
	quote := "id: 1\ndata: HTTP/1.1 404 Not Found\n\n"
	for name, text := range map[string]string{
		"chunk":        chunkedAnswer + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(quote), quote),
		"length":       "HTTP/1.1 200 OK\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(quote), quote),
		"length, many": "HTTP/1.1 200 OK\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 3*len(quote), strings.Repeat(quote, 3)),
		"until close":  closedAnswer + strings.Repeat(quote, 3) + "data: end\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			near, far := net.Pipe()
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(far))
				_, _ = io.WriteString(far, text)
				_ = far.Close()
			}()
			reader, got := newTestEventReader(t, near, 0), ""
			var err error
			for err == nil {
				var events []byte
				events, err = reader.next()
				got += string(events)
			}
			g.Expect(err).To(MatchError(io.EOF))
			g.Expect(reader.incompleteEvent()).To(BeFalse())
			g.Expect(text).To(ContainSubstring(got))
			g.Expect(strings.Count(got, "404")).To(Equal(strings.Count(text, "404")))
		})
	}
}

// A chunk is longer than what is held of an answer. Guards against a sound stream that fails
// for it, and against one that is resumed although it broke off within that chunk.
func TestChunksThatExceedTheBuffer(t *testing.T) {
	event := "id: 1\ndata: " + strings.Repeat("x", 100) + "\n\n"
	for _, memory := range []int64{0, 10 * maxEventBytes} {
		text := strings.Repeat(event, 2*maxEventBytes/len(event))
		chunk := fmt.Sprintf("%x\r\n%s", len(text), text)
		for name, test := range map[string]struct {
			pieces     []string
			incomplete bool
		}{
			"complete":   {[]string{chunkedAnswer + chunk + "\r\n", "0\r\n\r\n"}, false},
			"broken off": {[]string{chunkedAnswer + chunk + "HTTP/1.1 500 No\r\n\r\n"}, true},
		} {
			g := NewWithT(t)
			reader, got := newTestEventReader(t, serveRaw(test.pieces...), memory), 0
			var err error
			for err == nil {
				var events []byte
				events, err = reader.next()
				got += len(events)
			}
			g.Expect(reader.returnedIncompleteChunk()).To(Equal(test.incomplete), name)
			if !test.incomplete {
				g.Expect(err).To(MatchError(io.EOF), name)
				g.Expect(got).To(Equal(len(text)), name)
			}
		}
	}
}

// Guards against a position from which events would come twice or be missing.
func TestStreamPosition(t *testing.T) {
	for events, want := range map[string]streamPosition{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n":         {eventID: "2"},
		"id: 1\ndata: a\n\ndata: b\n\n":                {eventID: "1", hasFollowers: true},
		"data: a\n\nid: 2\ndata: b\n\n":                {eventID: "2"},
		"data: a\nid: 2\r\n\r\n: comment\n\n\n\n":      {eventID: "2"},
		"id: 1\ndata: a\n\nid:\ndata: b\n\n: ping\n\n": {},
		": ping\n\n": {},
	} {
		g := NewWithT(t)
		g.Expect(streamPosition{}.after([]byte(events))).To(Equal(want), "%q", events)
	}
	g := NewWithT(t)
	first := streamPosition{}.after([]byte("id: 1\ndata: a\n\n"))
	g.Expect(first.resumable()).To(BeTrue())
	g.Expect(first.after([]byte("data: b\n\n")).resumable()).To(BeFalse())
	g.Expect(streamPosition{}.resumable()).To(BeFalse())
}
