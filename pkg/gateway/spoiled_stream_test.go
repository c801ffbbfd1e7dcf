package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	failureHead     = "HTTP/1.1 500 Internal Server Error\r\n\r\n"
	failureHeadLF   = "HTTP/1.1 500 Internal Server Error\n\n"
	streamHead      = signedHead + "Content-Type: text/event-stream\r\n"
	chunkedHead     = streamHead + "Transfer-Encoding: chunked\r\n\r\n"
	partOfThird     = "id: 3\ndata: pie"
	lengthOfAnswers = 400
)

func chunkOf(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// sizeLine begins a chunk of more bytes than any of the tests sends.
const sizeLine = "100\r\n"

// spoiledAnswers hold two events, a part of the third, and what an upstream that fails
// writes after it.
var spoiledAnswers = map[string]string{
	"a chunk for each event":           chunkedHead + chunkOf(eventText(1, 1)) + chunkOf(eventText(2, 2)) + sizeLine + partOfThird + failureHead,
	"line feeds":                       chunkedHead + chunkOf(eventText(1, 2)) + sizeLine + partOfThird + failureHeadLF,
	"head with a body":                 chunkedHead + chunkOf(eventText(1, 2)) + sizeLine + partOfThird + failureHead + "error: no memory\n\nid: 4\ndata: x\n\n",
	"no head":                          chunkedHead + chunkOf(eventText(1, 2)) + sizeLine + partOfThird + "\n\n",
	"whole events in the chunk":        chunkedHead + chunkOf(eventText(1, 1)) + sizeLine + eventText(2, 2) + partOfThird + failureHead,
	"first chunk":                      chunkedHead + sizeLine + eventText(1, 2) + partOfThird + failureHead,
	"event in two chunks":              chunkedHead + chunkOf(eventText(1, 2)+"id: 3\nda") + sizeLine + "ta: pie" + failureHead,
	"event without the second chunk":   chunkedHead + chunkOf(eventText(1, 2)+partOfThird) + failureHead,
	"chunk of the right length":        chunkedHead + chunkOf(eventText(1, 2)) + fmt.Sprintf("%x\r\n", len(partOfThird+failureHead)) + partOfThird + failureHead,
	"chunk of the right length, body":  chunkedHead + chunkOf(eventText(1, 2)) + fmt.Sprintf("%x\r\n", len(partOfThird+failureHead)) + partOfThird + failureHead + "error",
	"chunk with a wrong end":           chunkedHead + chunkOf(eventText(1, 2)) + fmt.Sprintf("%x\r\n", len(partOfThird)) + partOfThird + "\n\n" + failureHead,
	"length":                           streamHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", lengthOfAnswers) + eventText(1, 2) + partOfThird + failureHead,
	"length, line feeds":               streamHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", lengthOfAnswers) + eventText(1, 2) + partOfThird + failureHeadLF,
	"length, head with a body":         streamHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", lengthOfAnswers) + eventText(1, 2) + partOfThird + failureHead + "<p>error: no memory\n\n",
	"until the end of the connection":  streamHead + "\r\n" + eventText(1, 2) + partOfThird + failureHead,
	"until the end, head with a body":  streamHead + "\r\n" + eventText(1, 2) + partOfThird + failureHead + "error: no memory\n\n",
	"until the end, head with lengths": streamHead + "\r\n" + eventText(1, 2) + partOfThird + "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
}

// Failure: an upstream breaks a stream off within an event and writes the head of a failure,
// whose empty line looks like the end of the event. Guards against such an event at the
// caller, and against a stream that is resumed after it and looks complete.
func TestSpoiledEventIsNotForwarded(t *testing.T) {
	for name, spoiled := range spoiledAnswers {
		for _, end := range []string{"closed", "reset"} {
			t.Run(name+", "+end, func(t *testing.T) {
				cluster := newTestCluster(t, 1)
				spoil := rawUpstream(func(conn net.Conn, id string) {
					// The events arrive apart from the failure.
					events, failure, _ := strings.Cut(strings.Replace(spoiled, "%s", id, 1), "pie")
					_, _ = io.WriteString(conn, events)
					time.Sleep(5 * time.Millisecond)
					_, _ = io.WriteString(conn, "pie"+failure)
					if end == "reset" {
						time.Sleep(5 * time.Millisecond)
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
				})
				cluster.spoilFirstOnEachPath(spoil)
				got := cluster.post("/resume/", nil)
				cluster.Expect(got.status).To(Equal(http.StatusOK))
				cluster.Expect(got.err).NotTo(HaveOccurred())
				cluster.Expect(got.body).To(Equal(eventText(1, 5)))
				got = cluster.post("/stream/", nil)
				if got.status == http.StatusBadGateway {
					return
				}
				cluster.Expect(got.err).To(HaveOccurred(), "the stream is incomplete: %q", got.body)
				cluster.Expect(eventText(1, 2)).To(HavePrefix(got.body))
			})
		}
	}
}

// spoilFirstOnEachPath answers the first request for a path by spoil, and others by the rest
// of five events.
func (c *testCluster) spoilFirstOnEachPath(spoil http.HandlerFunc) {
	var spoiled sync.Map
	for _, id := range []string{"u1", "u2"} {
		c.startUpstream(id, func(w http.ResponseWriter, r *http.Request) {
			if _, isLater := spoiled.LoadOrStore(r.URL.Path, true); !isLater {
				spoil(w, r)
				return
			}
			from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			streamEvents(from+1, 5, false)(w, r)
		})
	}
}
