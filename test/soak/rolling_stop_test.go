package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

// rollingLayout is a deployment with the times of a stop that the platform's settings have.
var rollingLayout = layout{instances: 3, upstreams: 18, slots: 8, leaveNotice: 3, stopGrace: 8, routeTimeout: 15 * time.Second, soundAnswers: true}

const (
	rollingClients = 60
	// eagerClients is the number of clients that reuse their connection at once.
	eagerClients = 60
	// resultsBuffered keeps the clients from waiting for the check of a result.
	resultsBuffered = 1 << 12
	// rollingBodyBytes is the length of a request body.
	rollingBodyBytes = 12_000
	// longestBodyTime is the longest time in which a slow caller sends its body.
	longestBodyTime = 1500 * time.Millisecond
	// lossSlack is the time after its last byte in which a request that was not passed on
	// may end with its connection: it crosses the closing.
	lossSlack = 200 * time.Millisecond
	// noticedAfter is the time after SIGTERM from which no request that was passed on may
	// be cut off at the end of the grace time.
	noticedAfter = 3 * time.Second
)

// rollingRequest is a request in a series of planned stops.
type rollingRequest struct {
	clientRequest
	instance, events int
	// writtenAt is when the last byte was sent.
	writtenAt time.Time
}

// endedRequest is a request with its answer, whose body is no longer held.
type endedRequest struct {
	rollingRequest
	bodyBytes int
	complete  bool
}

// collect reads the results of requests while they arrive, until the channel is closed. What
// is known of their runs is compared once all have ended.
func collect(results <-chan rollingRequest) []endedRequest {
	var ended []endedRequest
	for request := range results {
		e := endedRequest{rollingRequest: request, bodyBytes: len(request.body)}
		e.complete = request.status == http.StatusOK && request.body == fullStream(request.id, request.events)
		e.body = ""
		ended = append(ended, e)
	}
	return ended
}

// Failure: the instances are stopped in turn while callers send streams that may not be
// repeated, with SIGHUP and a second SIGTERM during each stop. Guards against requests
// that end without a complete answer: on connections that outlast the notice, and late
// ones that are passed on although they cannot end within the grace time.
func TestRollingStopsLoseNoRequest(t *testing.T) {
	dir := t.TempDir()
	if err := testbed.Build("../..", dir, "rosemarywing-gateway"); err != nil {
		t.Fatal(err)
	}
	binary := filepath.Join(dir, "rosemarywing-gateway")
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { rollStops(t, binary, seed) })
	}
}

func rollStops(t *testing.T, binary string, seed uint64) {
	d := newDeploymentOf(t, binary, rollingLayout)
	rng := rand.New(rand.NewPCG(seed, 1))
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	results, collected := make(chan rollingRequest, resultsBuffered), make(chan []endedRequest)
	go func() { collected <- collect(results) }()
	for client := range rollingClients {
		clients.Go(func() { d.sendStreams(ctx, client, seed, results) })
	}
	for client := range eagerClients {
		clients.Go(func() { d.sendEagerly(ctx, client, seed, results) })
	}
	stoppedAt := make([]time.Time, rollingLayout.instances)
	for instance, process := range d.gateways {
		time.Sleep(time.Second + time.Duration(rng.IntN(1000))*time.Millisecond)
		stoppedAt[instance] = time.Now()
		process.Terminate()
		for range 2 {
			time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
			process.ReloadSettings()
			process.Terminate()
		}
		if code, err := process.Wait(20 * time.Second); err != nil || code != 0 {
			t.Errorf("instance %d: exit code %d, error %v", instance, code, err)
		}
		if took := time.Since(stoppedAt[instance]); took > time.Duration(rollingLayout.stopGrace*float64(time.Second)) {
			t.Errorf("instance %d ended %s after SIGTERM", instance, took)
		}
		d.startGateway(instance)
	}
	cancel()
	clients.Wait()
	close(results)
	refused, answered, cut, lateRefused := 0, 0, 0, 0
	for _, request := range <-collected {
		switch {
		case request.err != nil:
			if lost := d.lost(request.rollingRequest, stoppedAt[request.instance]); lost != "" {
				t.Errorf("%s, %d events, sent %s after SIGTERM to instance %d, ended %s later: %s: %v", request.id, request.events,
					request.sentAt.Sub(stoppedAt[request.instance]), request.instance, request.endedAt.Sub(request.sentAt), lost, request.err)
			}
			cut++
		case request.status == http.StatusOK:
			answered++
			if !request.complete {
				t.Errorf("%s: an incomplete answer looks complete: %d bytes", request.id, request.bodyBytes)
			}
		case request.status == http.StatusServiceUnavailable, request.status == http.StatusTooManyRequests:
			refused++
			if request.status == http.StatusServiceUnavailable {
				lateRefused++
			}
			if d.executionOf(request.id).runs > 0 {
				t.Errorf("%s was refused with status %d, but ran", request.id, request.status)
			}
		}
		if runs := d.executionOf(request.id).runs; runs > 1 {
			t.Errorf("%s ran %d times", request.id, runs)
		}
	}
	t.Logf("%d answered, %d refused as not run, %d of them with 503, %d without an answer", answered, refused, lateRefused, cut)
	if t.Failed() {
		d.saveLogs(seed)
	}
}

func (d *deployment) executionOf(id string) execution {
	d.mu.Lock()
	defer d.mu.Unlock()
	if observed := d.executions[id]; observed != nil {
		return *observed
	}
	return execution{}
}

// lost returns why a request that ended without a complete answer counts as lost; empty if
// it does not.
func (d *deployment) lost(request rollingRequest, stoppedAt time.Time) string {
	if request.writtenAt.IsZero() {
		// The request was not sent in full, for example since the connection was refused.
		return ""
	}
	observed := d.executionOf(request.id)
	if observed.runs == 0 {
		if request.endedAt.Sub(request.writtenAt) > lossSlack {
			return "neither answered nor passed on"
		}
		return ""
	}
	lastSixth := stoppedAt.Add(time.Duration(rollingLayout.stopGrace * 5 / 6 * float64(time.Second)))
	if request.sentAt.Sub(stoppedAt) <= noticedAfter && observed.endedAt.After(lastSixth) {
		return ""
	}
	return "passed on and cut off"
}

// sendStreams sends streams to the instances until ctx ends, three of four clients on
// persistent connections. A client stays with an instance until that refuses connections.
func (d *deployment) sendStreams(ctx context.Context, client int, seed uint64, results chan<- rollingRequest) {
	rng := rand.New(rand.NewPCG(seed, uint64(client)+100))
	httpClient := &http.Client{Transport: &http.Transport{DisableKeepAlives: client%4 == 0}}
	defer httpClient.CloseIdleConnections()
	instance := client % rollingLayout.instances
	for n := 0; ctx.Err() == nil; n++ {
		request := rollingRequest{instance: instance, events: 1 + int(rng.ExpFloat64()*100),
			clientRequest: clientRequest{id: fmt.Sprintf("c%d-%d", client, n), route: "stream", key: d.currentKey(), sentAt: time.Now()}}
		request.events = min(request.events, 380)
		bodyTime := time.Duration(0)
		if rng.IntN(4) == 0 {
			bodyTime = time.Duration(rng.Int64N(int64(longestBodyTime)))
		}
		d.sendStream(httpClient, &request, client%8 < 4, bodyTime)
		results <- request
		if request.err != nil && request.writtenAt.IsZero() {
			instance = (instance + 1) % rollingLayout.instances
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// sendEagerly sends streams on persistent connections until ctx ends, each as soon as the
// last event of the one before has arrived, which is before the end of that answer.
func (d *deployment) sendEagerly(ctx context.Context, client int, seed uint64, results chan<- rollingRequest) {
	rng := rand.New(rand.NewPCG(seed, uint64(client)+1000))
	instance := client % rollingLayout.instances
	n := 0
	next := func() *rollingRequest {
		n++
		return &rollingRequest{instance: instance, events: min(1+int(rng.ExpFloat64()*200), 380),
			clientRequest: clientRequest{id: fmt.Sprintf("e%d-%d", client, n), route: "stream", key: d.currentKey()}}
	}
	for ctx.Err() == nil {
		conn, err := net.Dial("tcp4", d.callerAddresses[instance])
		if err != nil {
			instance = (instance + 1) % rollingLayout.instances
			time.Sleep(20 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for request := next(); request != nil; {
			request = d.exchangeEagerly(ctx, conn, reader, request, next, results)
		}
		_ = conn.Close()
	}
}

// exchangeEagerly sends a request unless it was sent already, and reads its answer. It
// returns the request that it sent before the end of the answer, or nil if the connection
// cannot be used any more.
func (d *deployment) exchangeEagerly(ctx context.Context, conn net.Conn, reader *bufio.Reader, request *rollingRequest, next func() *rollingRequest, results chan<- rollingRequest) *rollingRequest {
	defer func() {
		request.endedAt = time.Now()
		results <- *request
	}()
	if request.writtenAt.IsZero() && !d.writeEagerly(conn, request) {
		return nil
	}
	if request.err = conn.SetReadDeadline(time.Now().Add(rollingLayout.routeTimeout)); request.err != nil {
		return nil
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		request.err = err
		return nil
	}
	request.status = response.StatusCode
	var body strings.Builder
	var following *rollingRequest
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		body.WriteString(line)
		if err != nil {
			if request.body = body.String(); err != io.EOF {
				request.err = err
			}
			break
		}
		if last := fmt.Sprintf("id: %d\n", request.events); line == last && !response.Close && ctx.Err() == nil {
			following = next()
			d.writeEagerly(conn, following)
		}
	}
	if following != nil && (following.writtenAt.IsZero() || request.err != nil) {
		following.err, following.endedAt = io.ErrUnexpectedEOF, time.Now()
		results <- *following
		return nil
	}
	if following == nil && !response.Close && request.err == nil && ctx.Err() == nil {
		return next()
	}
	return following
}

func (d *deployment) writeEagerly(conn net.Conn, request *rollingRequest) bool {
	request.sentAt = time.Now()
	_, err := fmt.Fprintf(conn, "POST /stream/x?events=%d HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n%s",
		request.events, request.id, rollingLayout.routeTimeout.Milliseconds(), request.key, rollingBodyBytes, strings.Repeat("x", rollingBodyBytes))
	if err != nil {
		request.err = err
		return false
	}
	request.writtenAt = time.Now()
	return true
}

// slowBody yields a request body in ten parts over a time.
type slowBody struct {
	rest  io.Reader
	pause time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.pause)
	return b.rest.Read(p[:min(len(p), rollingBodyBytes/10)])
}

func (d *deployment) sendStream(client *http.Client, r *rollingRequest, chunked bool, bodyTime time.Duration) {
	defer func() { r.endedAt = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), rollingLayout.routeTimeout)
	defer cancel()
	var mu sync.Mutex
	var writtenAt time.Time
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		r.writtenAt = writtenAt
	}()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		mu.Lock()
		defer mu.Unlock()
		if info.Err == nil {
			writtenAt = time.Now()
		}
	}})
	body := strings.Repeat("x", rollingBodyBytes)
	target := fmt.Sprintf("http://%s/stream/x?events=%d", d.callerAddresses[r.instance], r.events)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, &slowBody{rest: strings.NewReader(body), pause: bodyTime / 11})
	if err != nil {
		r.err = err
		return
	}
	if !chunked {
		request.ContentLength = rollingBodyBytes
	}
	request.Host = "h.example"
	request.Header.Set("Request-Id", r.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(rollingLayout.routeTimeout.Milliseconds()))
	request.Header.Set("Authorization", "Token "+r.key)
	response, err := client.Do(request)
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	r.status = response.StatusCode
	received, err := io.ReadAll(response.Body)
	r.body, r.err = string(received), err
}
