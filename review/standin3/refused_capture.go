//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Sizes of the bodies. A capture holds one captured request in each of its chunks, and the chunk's
// signature in a chunk extension.
const (
	capturePlayTime = 24 * time.Second
	planBytes       = 4 << 20
	planPieceBytes  = 64 << 10
	planPieceTime   = 60 * time.Millisecond
	captureChunks   = 60
	signatureBytes  = 1000
)

// captures has clients that send bodies with captured requests in chunks. The disruption are further
// clients with bodies of the largest size that the limits allow, so that the machines refuse bodies.
type captures struct {
	w     *world
	begin time.Time

	mu sync.Mutex
	// sentIDs holds the ids of the requests that clients have sent, and ran those that servers
	// have run.
	sentIDs map[string]bool
	ran     map[string]int
	answers map[string]int
}

func (c *captures) send(conn net.Conn, id, text string) error {
	c.mu.Lock()
	c.sentIDs[id] = true
	c.mu.Unlock()
	_, err := io.WriteString(conn, text)
	return err
}

func requestHead(path, id, framing string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: app.example\r\nRequest-Id: %s\r\nDeadline-Ms: 15000\r\nAuthorization: Token key-1\r\n%s\r\n\r\n", path, id, framing)
}

// countAnswer reads the answers on a channel until none comes any more.
func (c *captures) countAnswers(conn net.Conn, kind string) {
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		reply, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		body, err := io.ReadAll(reply.Body)
		c.mu.Lock()
		c.answers[fmt.Sprintf("%s, answer %d: %d", kind, n, reply.StatusCode)]++
		c.mu.Unlock()
		if n > 1 {
			c.w.record.note("%s: answer %d: status %d, echoed id %q, body %q, %v", kind, n, reply.StatusCode, reply.Header.Get("Request-Id"), body, err)
		}
	}
}

// plan sends bodies of the largest size, each on a new channel.
func (c *captures) plan(client int, g *gateway) {
	piece := strings.Repeat(`{"blind":"b","mm":120,},`, planPieceBytes/24+1)[:planPieceBytes]
	for n := 0; time.Since(c.begin) < capturePlayTime; n++ {
		conn, err := net.DialTimeout("tcp4", g.callers, time.Second)
		if err != nil {
			return
		}
		id := fmt.Sprintf("plan-%d-%d", client, n)
		err = c.send(conn, id, requestHead("/plan/large", id, fmt.Sprintf("Content-Length: %d", planBytes)))
		for sent := 0; sent < planBytes && err == nil; sent += planPieceBytes {
			_, err = io.WriteString(conn, piece)
			time.Sleep(planPieceTime)
		}
		c.countAnswers(conn, "plan")
		_ = conn.Close()
	}
}

// capture sends bodies that hold captured requests, each on a new channel.
func (c *captures) capture(client int, g *gateway) {
	for n := 0; time.Since(c.begin) < capturePlayTime; n++ {
		conn, err := net.DialTimeout("tcp4", g.callers, time.Second)
		if err != nil {
			return
		}
		id := fmt.Sprintf("capture-%d-%d", client, n)
		err = c.send(conn, id, requestHead("/plan/capture", id, "Transfer-Encoding: chunked"))
		// The first chunk is as long as what a body may hold while memory is short.
		first := strings.Repeat("capture;", 256<<10)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(first), first)
		for k := 0; k < captureChunks && err == nil; k++ {
			captured := requestHead("/plan/order", fmt.Sprintf("captured-%d-%d-%d", client, n, k), "Content-Length: 0")
			_, err = fmt.Fprintf(conn, "%x;signature=%0*d\r\n%s\r\n", len(captured), signatureBytes, k, captured)
		}
		if err == nil {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
		c.countAnswers(conn, "capture")
		_ = conn.Close()
		time.Sleep(200 * time.Millisecond)
	}
}

// playRefusedCapture has bodies refused that hold whole requests.
func playRefusedCapture(w *world, trouble bool) (bool, error) {
	const capturesPerMachine, plansPerMachine = 2, 6
	c := &captures{w: w, sentIDs: map[string]bool{}, ran: map[string]int{}, answers: map[string]int{}}
	handler := func(s *server, rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		if _, ok := readAll(r); !ok {
			return
		}
		c.mu.Lock()
		c.ran[id]++
		isSent := c.sentIDs[id]
		c.mu.Unlock()
		if !isSent {
			w.record.note("server %d runs %s, which no client has sent", s.number, id)
		}
		time.Sleep(30 * time.Millisecond)
		rw.Header().Set("Response-Signature", "s-"+id)
		_, _ = rw.Write([]byte("answer to " + id))
	}
	for i := range 6 {
		if _, err := w.addServer("order-desk", zones[i%len(zones)].name, 20, handler); err != nil {
			return false, err
		}
	}
	w.publish([]any{map[string]any{
		"name": "r-plan", "host": "app.example", "path_prefix": "/plan/", "kind": "unsafe", "timeout_ms": 15000, "target_latency_ms": 1000, "priority": 1,
		"service": "order-desk", "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
	}}, []any{
		map[string]any{"name": "order-desk", "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false},
	}, []any{map[string]any{"name": "shop", "api_keys": []string{"key-1"}, "priority": 1}}, nil)
	if err := w.startGateways(3, 134); err != nil {
		return false, err
	}
	c.begin = time.Now()
	var clients sync.WaitGroup
	for i, g := range w.gateways {
		if trouble {
			for k := range plansPerMachine {
				clients.Go(func() { c.plan(i*plansPerMachine+k, g) })
			}
		}
		for k := range capturesPerMachine {
			clients.Go(func() {
				time.Sleep(time.Second)
				c.capture(i*capturesPerMachine+k, g)
			})
		}
	}
	clients.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	unasked := 0
	for id, runs := range c.ran {
		if !c.sentIDs[id] {
			unasked += runs
		}
	}
	for kind, count := range c.answers {
		w.record.note("%s: %d times", kind, count)
	}
	w.record.note("%d requests sent, %d requests run, %d of these sent by no client, of at most 0", len(c.sentIDs), len(c.ran), unasked)
	return unasked > 0, nil
}
