//go:build review2

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pieceBytes is the length of an event's data, and pieceTime the time between two events.
	pieceBytes = 65
	pieceTime  = 15 * time.Millisecond
	pieces     = 20
	// Dose of garble: three of five servers, 5 in 100 of their answers, for 6 s.
	spoilingServers = 3
	spoiledShare    = 0.05
	spoilFrom       = 3 * time.Second
	spoilFor        = 6 * time.Second
	// askInterval is the time between two requests of all clients together: 28 a second.
	askInterval = time.Second / 28
)

// errorHead is what a failing server appends to an answer that it has begun. It is no part of
// the answer, and no answer to any request.
const errorHead = "HTTP/1.1 500 Internal Server Error\r\n\r\n"

// eventOf returns an event of the stream that answers a request, whichever server runs it.
func eventOf(id string, n int) string {
	data := fmt.Sprintf("%s piece %d ", id, n)
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, data+strings.Repeat("x", pieceBytes-len(data)))
}

func streamOf(id string) string {
	text := ""
	for n := 1; n <= pieces; n++ {
		text += eventOf(id, n)
	}
	return text
}

// streamEvents answers with a stream of one chunk an event, which goes on after Last-Event-Id.
func streamEvents(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= pieces && r.Context().Err() == nil; n++ {
		_, _ = io.WriteString(w, eventOf(id, n))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pieceTime)
	}
}

// spoilStream answers with a stream that is broken off within an event: in the middle of the
// event's chunk the server writes the head of a failure, and closes the channel.
func spoilStream(d *deployment, s *server, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	out := bufio.NewWriter(conn)
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: 3e1b.%s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, s.id, id)
	last := from + 1 + rand.IntN(pieces-from)
	for n := from + 1; n <= last; n++ {
		event := eventOf(id, n)
		_, _ = fmt.Fprintf(out, "%x\r\n", len(event))
		if n == last {
			_, _ = out.WriteString(event[:len(event)/3] + errorHead)
			d.record.log("server %s breaks its answer to %s off within event %d, and sends the head of a failure", s.id, id, n)
		} else {
			_, _ = out.WriteString(event + "\r\n")
		}
		if out.Flush() != nil {
			return
		}
		time.Sleep(pieceTime)
	}
}

// askRoute is the route of streams that may be resumed.
func askRoute() route {
	return route{name: "fitter-ask", prefix: "/ask/", kind: "streaming", service: "loom-llm", timeout: 12 * time.Second, target: 500 * time.Millisecond, attempts: 2, resumable: true}
}

// spoiledStream plays servers that spoil part of their streams, which are then resumed.
func spoiledStream(d *deployment, trouble bool) ([]string, error) {
	ledger := newLedger()
	began := time.Now()
	for i := range 5 {
		s, err := d.addServer(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), "loom-llm", zones[i%len(zones)][0], ledger)
		if err != nil {
			return nil, err
		}
		s.slots, s.work = 7, 20*time.Millisecond
		s.answer = func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) bool {
			since := time.Since(began)
			if trouble && i < spoilingServers && since >= spoilFrom && since < spoilFrom+spoilFor && r.Header.Get("Last-Event-Id") == "" && rand.Float64() < spoiledShare {
				spoilStream(d, s, w, r)
			} else {
				streamEvents(w, r)
			}
			return true
		}
	}
	d.configure(config{version: 7, routes: []route{askRoute()}, keys: []string{tenantKey}})
	if err := d.startGateways(); err != nil {
		return nil, err
	}
	began = time.Now()
	var mu sync.Mutex
	var violations []string
	var clients sync.WaitGroup
	whole := 0
	for n := 0; time.Since(began) < spoilFrom+spoilFor+2*time.Second; n++ {
		g := d.gateways[n%len(d.gateways)]
		clients.Go(func() {
			a, body := d.ask(g, 12*time.Second)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status != http.StatusOK || a.err != nil:
				// Refused, failed or cut off: the client sees that it has no whole answer.
			case body == streamOf(a.id):
				whole++
			default:
				violations = append(violations, fmt.Sprintf("MIXED: %s is answered 200 with a complete stream that is not the servers': %s", a.id, difference(body, streamOf(a.id))))
			}
		})
		time.Sleep(askInterval)
	}
	clients.Wait()
	d.record.log("%d streams came whole", whole)
	if whole < 100 {
		return nil, fmt.Errorf("only %d streams came whole", whole)
	}
	return violations, nil
}

// difference shows where a body begins to differ from what it should be.
func difference(body, wanted string) string {
	at := 0
	for at < min(len(body), len(wanted)) && body[at] == wanted[at] {
		at++
	}
	return fmt.Sprintf("%d bytes instead of %d, at byte %d %.100q", len(body), len(wanted), at, body[at:])
}

// ask sends a request for a stream and reads the answer to its end.
func (d *deployment) ask(g *gateway, limit time.Duration) (attempt, string) {
	a := attempt{id: nextID(), path: "/ask/2f", key: tenantKey, gateway: g.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callers+a.path, strings.NewReader("question "+a.id))
	if err != nil {
		a.err = err
		return a, ""
	}
	setHeaders(request, a, limit)
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Usage", "688,300")
	request.Header.Set("Prefix-Hash", "5c1e07a2:60,"+a.id+":628")
	d.record.log("client sends %s to %s, POST %s", a.id, g.name, a.path)
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status = response.StatusCode
	}
	a.ended, a.err = time.Now(), err
	d.record.log("client gets %d and %d bytes to %s, error %v", a.status, len(body), a.id, err)
	return a, string(body)
}
