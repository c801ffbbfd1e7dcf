//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// playQuotedText has a service whose streams come without a length and without chunks and end with
// their channel. Some of them end with an event whose text quotes the first line of an answer
// of HTTP.
func playQuotedText(w *world, trouble bool) (bool, error) {
	const (
		requests = 40
		maxCut   = 3
	)
	events := func(n int) string {
		text := ""
		for i, word := range []string{"The scanner's upload failed.", "Its log ends with", "HTTP/1.1 413 Content Too Large"} {
			if i == 2 && n%4 != 0 {
				word = "an empty line"
			}
			text += fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, word)
		}
		return text
	}
	handler := func(s *server, rw http.ResponseWriter, r *http.Request) {
		if _, ok := readAll(r); !ok {
			return
		}
		var n int
		_, _ = fmt.Sscanf(r.Header.Get("Request-Id"), "ask-%d", &n)
		w.record.note("server %d runs %s", s.number, r.Header.Get("Request-Id"))
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nResponse-Signature: s-%s\r\nConnection: close\r\n", r.Header.Get("Request-Id"), r.Header.Get("Request-Id"))
		conn, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if !trouble {
			head += "Transfer-Encoding: chunked\r\n"
		}
		_, _ = io.WriteString(conn, head+"\r\n")
		for event := range strings.SplitAfterSeq(events(n), "\n\n") {
			if event == "" {
				continue
			}
			if !trouble {
				event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
			}
			_, _ = io.WriteString(conn, event)
			time.Sleep(20 * time.Millisecond)
		}
		if !trouble {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}
	for i := range 3 {
		if _, err := w.addServer("assist", zones[i%len(zones)].name, 8, handler); err != nil {
			return false, err
		}
	}
	w.publish([]any{map[string]any{
		"name": "r-ask", "host": "app.example", "path_prefix": "/ask/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 500, "priority": 1,
		"service": "assist", "max_attempts": 1, "public": false, "sticky": false, "resumable": false, "gap_target_ms": 300,
	}}, []any{
		map[string]any{"name": "assist", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false},
	}, []any{map[string]any{"name": "club", "api_keys": []string{"key-1"}, "priority": 1}}, nil)
	if err := w.startGateways(3, 284); err != nil {
		return false, err
	}
	cut := 0
	channels := make([]*keptChannel, len(w.gateways))
	for n := range requests {
		at := n % len(w.gateways)
		if channels[at] == nil {
			channel, err := newKeptChannel(w.gateways[at].callers)
			if err != nil {
				return false, err
			}
			channels[at] = channel
		}
		body, err := channels[at].ask(fmt.Sprintf("ask-%d", n))
		complete := err == nil && body == events(n)
		w.record.note("ask-%d at %s: %d of %d bytes, complete %t, error %v", n, w.gateways[at].name, len(body), len(events(n)), complete, err)
		if err != nil {
			cut++
			channels[at].close()
			channels[at] = nil
		}
	}
	w.record.note("%d of %d requests were passed on to a sound server, and their channel was closed without a complete answer; at most %d may be", cut, requests, maxCut)
	return cut > maxCut, nil
}

// keptChannel is a client's channel for many requests.
type keptChannel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newKeptChannel(address string) (*keptChannel, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptChannel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *keptChannel) close() { _ = c.conn.Close() }

// ask sends a request and reads its answer.
func (c *keptChannel) ask(id string) (string, error) {
	_ = c.conn.SetDeadline(time.Now().Add(12 * time.Second))
	const prompt = "what does the log say?"
	if _, err := fmt.Fprintf(c.conn, "POST /ask/1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: %s\r\nModel: m\r\nToken-Usage: 20,20\r\nDeadline-Ms: 12000\r\nAuthorization: Token key-1\r\nContent-Length: %d\r\n\r\n%s", id, len(prompt), prompt); err != nil {
		return "", err
	}
	reply, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(reply.Body)
	if err == nil && reply.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", reply.StatusCode)
	}
	return string(body), err
}
