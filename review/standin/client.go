//go:build review

package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"time"
)

// request is what a client sends.
type request struct {
	method, path string
	key          string
	deadline     time.Duration
	usage        string
	prefix       string
	body         []byte
}

// answer is what a client gets.
type answer struct {
	id       string
	sentAt   float64
	status   int
	complete bool
	// begun is true if the answer is a success that has begun.
	begun      bool
	retryAfter string
	body       []byte
}

// routeHost is the host of all routes.
const routeHost = "ficu95.example"

func newID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// callers opens a new channel for each request.
var callers = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// send sends one attempt of a client to a gateway and reads its answer.
func (w *world) send(gateway int, q request) answer {
	a := answer{id: newID(), sentAt: w.now()}
	w.mu.Lock()
	w.sentTo[a.id] = gateway
	w.mu.Unlock()
	ctx, cancel := withDeadline(q.deadline)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, q.method, "http://"+w.gateways[gateway].callers+q.path, bytes.NewReader(q.body))
	if err != nil {
		return a
	}
	message.Host = routeHost
	message.Header.Set("Request-Id", a.id)
	message.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.key != "" {
		message.Header.Set("Authorization", "Token "+q.key)
	}
	if q.usage != "" {
		message.Header.Set("Model", "m")
		message.Header.Set("Token-Usage", q.usage)
	}
	if q.prefix != "" {
		message.Header.Set("Prefix-Hash", q.prefix)
	}
	response, err := callers.RoundTrip(message)
	if err != nil {
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
	a.begun = response.StatusCode/100 == 2 && response.Header.Get("Response-Signature") != ""
	a.body, err = io.ReadAll(response.Body)
	a.complete = err == nil
	return a
}

// gatewayOf returns the gateway to which a request was sent, and false if no client sent it.
func (w *world) gatewayOf(id string) (int, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	gateway, known := w.sentTo[id]
	return gateway, known
}
