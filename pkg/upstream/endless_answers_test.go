package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/membudget"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// sendEndlessly writes start and then text until the connection is closed.
func sendEndlessly(conn net.Conn, start, text string) {
	block := strings.Repeat(text, 4096/len(text)+1)
	_, err := io.WriteString(conn, start)
	for err == nil {
		_, err = io.WriteString(conn, block)
	}
}

// Upstreams send heads, or bytes that are no head, that do not end. Guards against a call
// that reads them until its context ends, and against an error that says that the request
// did not run.
func TestEndlessHeads(t *testing.T) {
	for name, test := range map[string]struct{ start, repeated string }{
		"lines":           {"HTTP/1.1 200 OK\r\n", "X-Pad: x\r\n"},
		"short lines":     {"HTTP/1.1 200 OK\r\n", "a:\n"},
		"one line":        {"HTTP/1.1 200 OK\r\nX-Pad: ", "x"},
		"interim answers": {"", "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"},
		"no answer":       {"", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := newScriptedServer(t, func(conn net.Conn, _ int) bool {
				sendEndlessly(conn, test.start, test.repeated)
				return false
			})
			client := newClient(t, upstream.Options{})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			call := upstream.Call{Address: server.address, RequestID: "r1", Method: http.MethodPost, Path: "/", Body: []byte("x")}
			_, err := client.Dispatch(ctx, call)
			g.Expect(kindOf(err)).To(Equal(errkind.UpstreamBroken))
			_, err = client.Load(ctx, server.address)
			g.Expect(kindOf(err)).To(Equal(errkind.UpstreamBroken))
			g.Expect(ctx.Err()).NotTo(HaveOccurred())
		})
	}
}

// Upstreams send bodies without end in reply to control calls. Guards against a call that
// goes on, and against a refusal whose body is kept.
func TestEndlessRepliesToControlCalls(t *testing.T) {
	for name, start := range map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\n\r\n",
		"one chunk":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n",
		"chunk extension":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=",
		"trailer":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Pad: ",
		"of a refusal":     "HTTP/1.1 500 No\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := newScriptedServer(t, func(conn net.Conn, _ int) bool {
				sendEndlessly(conn, start, "x")
				return false
			})
			client := newClient(t, upstream.Options{ControlTimeout: 20 * time.Second})
			started := time.Now()
			_, err := client.Load(context.Background(), server.address)
			g.Expect(kindOf(err)).To(BeElementOf(errkind.UpstreamBroken, errkind.UpstreamRefused))
			g.Expect(time.Since(started)).To(BeNumerically("<", 15*time.Second))
		})
	}
}

// Load pattern: 200 upstream connections send as much of a head as the client reads, and
// neither end nor go on. Guards against heads that together take much memory.
func TestMemoryForHeads(t *testing.T) {
	const calls, maxBytesPerCall = 200, 400 << 10
	var lines strings.Builder
	for n := range 40_000 {
		_, _ = fmt.Fprintf(&lines, "%x:\n", n)
	}
	line := "X-Pad: " + strings.Repeat("x", 250<<10)
	for name, text := range map[string]string{
		"short lines": lines.String(), "short lines that fit": lines.String()[:15<<10], "one line": line, "one line that fits": line[:15<<10],
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var sent atomic.Int64
			release := make(chan struct{})
			server := newScriptedServer(t, func(conn net.Conn, _ int) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+text)
				sent.Add(1)
				<-release
				return false
			})
			client := newClient(t, upstream.Options{})
			ctx, cancel := context.WithCancel(context.Background())
			before := heapBytes()
			var callers sync.WaitGroup
			for range calls {
				callers.Go(func() {
					_, _ = client.Dispatch(ctx, upstream.Call{Address: server.address, RequestID: "r1", Method: http.MethodPost, Path: "/", Body: []byte("x")})
				})
			}
			g.Eventually(sent.Load).Should(BeNumerically("==", calls))
			grown := int64(0)
			for range 5 {
				time.Sleep(100 * time.Millisecond)
				grown = max(grown, heapBytes()-before)
			}
			cancel()
			close(release)
			callers.Wait()
			t.Logf("%d KiB for %d heads", grown>>10, calls)
			g.Expect(grown).To(BeNumerically("<", calls*maxBytesPerCall))
		})
	}
}

// Load pattern: 100 streams send 512 KiB of an event and do not end it. Guards against
// events that together take more than the budget of their readers, and against sound
// events that are not read meanwhile.
func TestReadersOfEventsShareMemory(t *testing.T) {
	g := NewWithT(t)
	const streams, budgetBytes = 100, 4 << 20
	budget := membudget.New(budgetBytes)
	before := heapBytes()
	failed := 0
	var readers []*upstream.SSEReader
	for range streams {
		// The end of the source stands for a stall: the reader keeps what it has read.
		reader := upstream.NewSSEReader(io.MultiReader(strings.NewReader("data: "), io.LimitReader(endlessText{}, 512<<10)), 0)
		reader.ShareMemory(budget)
		if _, err := reader.Next(); kindOf(err) == errkind.AnswerIncomplete {
			failed++
		}
		readers = append(readers, reader)
	}
	g.Expect(failed).To(BeNumerically(">", streams/2))
	g.Expect(heapBytes() - before).To(BeNumerically("<", budgetBytes+streams*(32<<10)))
	sound := upstream.NewSSEReader(strings.NewReader("data: sound\n\n"), 0)
	sound.ShareMemory(budget)
	event, err := sound.Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(event.Data)).To(Equal("sound"))
	for _, reader := range readers {
		reader.Release()
	}
	g.Expect(budget.FreeBytes()).To(BeEquivalentTo(budgetBytes))
}

type endlessText struct{}

func (endlessText) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
