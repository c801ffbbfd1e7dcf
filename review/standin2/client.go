//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// attempt is one client attempt and its outcome.
type attempt struct {
	id, path, key     string
	gateway           string
	sent, ended       time.Time
	status            int
	signature, reason string
	retryAfter        string
	err               error
}

var attempts atomic.Int64

// send sends one attempt on a new channel, unless a client with kept channels is given.
func (d *deployment) send(g *gateway, client *http.Client, method, path, key, body string, limit time.Duration) attempt {
	a := attempt{id: nextID(), path: path, key: key, gateway: g.name}
	if client == nil {
		transport := &http.Transport{DisableKeepAlives: true}
		defer transport.CloseIdleConnections()
		client = &http.Client{Transport: transport}
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+g.callers+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	setHeaders(request, a, limit)
	a.sent = time.Now()
	d.record.log("client sends %s to %s, %s %s", a.id, g.name, method, path)
	response, err := client.Do(request)
	if err == nil {
		var content []byte
		content, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.signature, a.retryAfter = response.StatusCode, response.Header.Get("Response-Signature"), response.Header.Get("Retry-After")
		a.reason = strings.TrimSpace(string(content))
	}
	a.ended, a.err = time.Now(), err
	if err != nil {
		d.record.log("client gets no whole answer to %s: %v", a.id, err)
		return a
	}
	d.record.log("client gets %d to %s, signature %q, retry-after %q, %.40q", a.status, a.id, a.signature, a.retryAfter, a.reason)
	return a
}

// nextID returns the ID of the next attempt.
func nextID() string { return fmt.Sprintf("%016x", 0x1c41d07be2a00000+attempts.Add(1)) }

// setHeaders sets what clients send with each request.
func setHeaders(request *http.Request, a attempt, limit time.Duration) {
	request.Host = host
	// Without GetBody the client's transport cannot send the request again.
	request.GetBody = nil
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	request.Header.Set("Authorization", "Token "+a.key)
}

// promises reports whether a status promises that the request has not run and never will.
func promises(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}
