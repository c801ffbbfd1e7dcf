//go:build review2

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

const (
	// maxBodyBytes is the operator's limit max_body_bytes, up to which clients may send.
	maxBodyBytes = 4194304
	// uploadTime is how long each of the long uploads takes.
	uploadTime = 5 * time.Second
	// orderBytes is the length of an order with an attachment, and orderTime how long its client
	// takes to send it.
	orderBytes = 200_000
	orderTime  = 2600 * time.Millisecond
)

// planRoute is the route of the long uploads.
func planRoute() route {
	return route{name: "cut-plan", prefix: "/plan/", kind: "streaming", service: "loom-llm", timeout: 15 * time.Second, target: time.Second, attempts: 1}
}

// requestHead returns the head of a request that a client writes itself.
func requestHead(id, path string, length int, limit time.Duration) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n",
		path, host, id, limit.Milliseconds(), tenantKey, length)
}

// upload sends a long body evenly over uploadTime, and reads the answer.
func (d *deployment) upload(g *gateway, length int) {
	id := nextID()
	conn, err := net.Dial("tcp4", g.callers)
	if err != nil {
		d.record.log("client sends %s: %v", id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	d.record.log("client sends %s to %s, POST /plan/2f with %d bytes over %s", id, g.name, length, uploadTime)
	_, _ = io.WriteString(conn, requestHead(id, "/plan/2f", length, 15*time.Second))
	if err := sendEvenly(conn, length, uploadTime); err != nil {
		d.record.log("client sends %s: %v", id, err)
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		d.record.log("client gets no whole answer to %s: %v", id, err)
		return
	}
	_ = response.Body.Close()
	d.record.log("client gets %d to %s", response.StatusCode, id)
}

// sendEvenly sends a body evenly over a time: a text in one line.
func sendEvenly(conn net.Conn, length int, over time.Duration) error {
	const parts, words = 50, "window 7, left: "
	text := strings.Repeat(words, length/len(words)+1)
	for n := range parts {
		if _, err := io.WriteString(conn, text[length*n/parts:length*(n+1)/parts]); err != nil {
			return err
		}
		time.Sleep(over / parts)
	}
	return nil
}

// refusedUpload plays clients on slow links that send an order, and use their channel for a
// second order afterwards, while the long uploads of others use up the memory for bodies.
func refusedUpload(d *deployment, trouble bool) ([]string, error) {
	ledger := newLedger()
	for i, zone := range zones {
		if _, err := d.addServer(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), "order-desk", zone[0], ledger); err != nil {
			return nil, err
		}
		if _, err := d.addServer(fmt.Sprintf("i-%08x", 0x5a3a91c2+i), "loom-llm", zone[0], ledger); err != nil {
			return nil, err
		}
	}
	// The time limit of orders leaves room for a slow body.
	commit := commitRoute()
	commit.timeout = 12 * time.Second
	d.configure(config{version: 7, routes: []route{commit, lookRoute(), planRoute()}, keys: []string{tenantKey}})
	if err := d.startGateways(); err != nil {
		return nil, err
	}
	g := d.gateways[0]
	var users sync.WaitGroup
	if trouble {
		for _, length := range []int{maxBodyBytes, maxBodyBytes, maxBodyBytes, maxBodyBytes, 800_000} {
			users.Go(func() { d.upload(g, length) })
		}
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var violations []string
	whole := 0
	for range 4 {
		users.Go(func() {
			first, second, answers, err := d.twoOrders(g)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				d.record.log("the channel of %s and %s ends: %v", first, second, err)
			}
			for n, answer := range answers {
				switch asked := []string{first, second}[min(n, 1)]; {
				case answer.Header.Get("Request-Id") == asked:
					whole++
				default:
					violations = append(violations, fmt.Sprintf("MIXED: %s gets an answer to something else: %d, Request-Id %q; it has run %d times", asked, answer.StatusCode, answer.Header.Get("Request-Id"), len(ledger.of(asked))))
				}
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	users.Wait()
	if whole == 0 {
		return nil, fmt.Errorf("no order was answered")
	}
	return violations, nil
}

// twoOrders sends two orders on one channel, the second when the first was sent as a whole, and
// returns their IDs and the answers that arrive.
func (d *deployment) twoOrders(g *gateway) (first, second string, answers []*http.Response, err error) {
	first, second = nextID(), nextID()
	conn, err := net.Dial("tcp4", g.callers)
	if err != nil {
		return first, second, nil, err
	}
	defer func() { _ = conn.Close() }()
	done := make(chan error, 1)
	go func() {
		reader := bufio.NewReader(conn)
		for len(answers) < 2 {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				done <- err
				return
			}
			content, err := io.ReadAll(response.Body)
			if err != nil {
				done <- err
				return
			}
			d.record.log("client of %s and %s gets %d, Request-Id %q, Connection %q, %.60q", first, second, response.StatusCode,
				response.Header.Get("Request-Id"), response.Header.Get("Connection"), content)
			answers = append(answers, response)
		}
		done <- nil
	}()
	d.record.log("client sends %s to %s, POST /commit/roll with %d bytes over %s", first, g.name, orderBytes, orderTime)
	_, _ = io.WriteString(conn, requestHead(first, "/commit/roll", orderBytes, 12*time.Second))
	sendErr := sendEvenly(conn, orderBytes, orderTime)
	d.record.log("client has sent %s, error %v, and sends %s, POST /commit/roll", first, sendErr, second)
	_, _ = io.WriteString(conn, requestHead(second, "/commit/roll", 5, 2500*time.Millisecond)+"order")
	select {
	case err = <-done:
	case <-time.After(5 * time.Second):
		_ = conn.Close()
		err = <-done
	}
	return first, second, answers, err
}
