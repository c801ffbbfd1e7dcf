package soak_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/standin/objectstore"
	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

var (
	firstSeed     = flag.Uint64("soak.seed", 1, "first seed")
	seeds         = flag.Int("soak.seeds", 1, "number of seeds")
	faultDuration = flag.Duration("soak.length", 6*time.Second, "time in which faults are injected per seed")
)

// regressions are seeds that have failed, each with the cause of the failure. They
// run in every test.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{601, "quotas: reports were read before the configuration named their teams; the process that started last reported for its failure domain; recent use without a record was assumed to leave the window evenly"},
	{604, "quotas: same cause as 601"},
	{3003, "quotas: after a restart of all, an instance that was cut off from the store stopped waiting for the usage records and assumed less than had been used"},
	{8031, "soak: a link that held answers back did not excuse an instance that had not received an upstream's word"},
	{8042, "upstreams: the word of a process that came before its record was taken for that of the process before it"},
	{8047, "upstreams: same cause as 8042"},
	{13007, "soak: a raw early answer, which bears no word of leaving, counted as received"},
	{607, "quotas: the relay, which reports the usage of its failure domain to other domains, stopped, and its successor had just started and reported less"},
}

const (
	clientCount = 12
	// overQuotaClients is the number of clients of the team that exceeds its quota.
	overQuotaClients = 3
	// revokedKeyLimit is how long a revoked key may still be accepted: five
	// seconds, the default of the setting config_fresh_ms.
	revokedKeyLimit = 5 * time.Second
	// configLimit is how long after its publication a configuration may not be in force yet.
	configLimit = 5 * time.Second
	// requestTimeout is how long a caller waits for a response.
	requestTimeout = 4 * time.Second
)

// clientRequest is a request that a client sent, and its outcome, which was known at endedAt.
type clientRequest struct {
	id, route, key  string
	sentAt, endedAt time.Time
	// long is true for a long upload.
	long   bool
	status int
	body   string
	err    error
}

func TestSoak(t *testing.T) {
	dir := t.TempDir()
	if err := testbed.Build("../..", dir, "rosemarywing-gateway"); err != nil {
		t.Fatal(err)
	}
	binary := filepath.Join(dir, "rosemarywing-gateway")
	run := func(seed uint64, name string) {
		t.Run(fmt.Sprintf("%s-%d", name, seed), func(t *testing.T) { runSeed(t, binary, seed) })
	}
	for _, regression := range regressions {
		run(regression.seed, "regression")
	}
	for i := range *seeds {
		run(*firstSeed+uint64(i), "seed")
	}
}

// runSeed injects the faults of a seed into a deployment of the default size.
func runSeed(t *testing.T, binary string, seed uint64) {
	d := newDeployment(t, binary)
	d.run(seed, func(chan<- clientRequest) { d.disturb(seed) })
}

// disturb changes what upstreams say and injects the faults of a seed.
func (d *deployment) disturb(seed uint64) {
	var words sync.WaitGroup
	words.Go(func() { d.speak(rand.New(rand.NewPCG(seed, 2)), time.Now().Add(*faultDuration)) })
	d.injectFaults(rand.New(rand.NewPCG(seed, 1)))
	words.Wait()
}

// run runs clients against a deployment while disturb injects faults, then checks that
// requests are served again and that all outcomes were correct. disturb may add requests of
// its own to the results.
func (d *deployment) run(seed uint64, disturb func(results chan<- clientRequest)) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	results := make(chan clientRequest, 1<<16)
	for i := range clientCount {
		clients.Go(func() { d.runClient(ctx, i, seed, results) })
	}
	executionCount := func() int {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.executions)
	}
	disturb(results)
	d.clearFaults()
	// Requests must be served again after the faults.
	before, deadline := executionCount(), time.Now().Add(20*time.Second)
	for executionCount() < before+clientCount && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	recovered := executionCount() >= before+clientCount
	d.awaitUploads(deadline)
	cancel()
	clients.Wait()
	close(results)
	failures := slices.Concat(d.checkResults(results), d.checkWords(), d.checkUploads())
	if !recovered {
		failures = append(failures, "no requests are served within 20 s after the faults")
	}
	for _, failure := range failures {
		d.t.Error(failure)
	}
	if len(failures) > 0 {
		d.saveLogs(seed)
	}
}

// runClient sends requests one after the other on persistent connections.
func (d *deployment) runClient(ctx context.Context, client int, seed uint64, results chan<- clientRequest) {
	rng := rand.New(rand.NewPCG(seed, uint64(client)+100))
	httpClient := &http.Client{Transport: &http.Transport{}}
	defer httpClient.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		route := []string{"once", "safe", "stream", "resume"}[rng.IntN(4)]
		request := clientRequest{id: fmt.Sprintf("c%d-%d", client, n), route: route, key: d.currentKey(), sentAt: time.Now()}
		request.long = d.sendsLongUploads() && earlyAnswerTo(request.id) != ""
		if client < overQuotaClients {
			request.key = overQuotaKey
		}
		instance := rng.IntN(instanceCount)
		d.recordSent(request.id, instance)
		d.send(httpClient, d.callerAddresses[instance], &request)
		request.endedAt = time.Now()
		d.recordUpload(request, instance)
		results <- request
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
	}
}

func (d *deployment) send(client *http.Client, address string, s *clientRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	body, length := s.uploadBody()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+s.route+"/x", io.NopCloser(body))
	if err != nil {
		s.err = err
		return
	}
	request.ContentLength = length
	request.Host = "h.example"
	request.Header.Set("Request-Id", s.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	request.Header.Set("Authorization", "Token "+s.key)
	request.Header.Set("Prefix-Hash", fmt.Sprintf("all:60,%s:400,%s:20", s.route, s.id))
	if s.long {
		// What other requests share with long uploads would be taken for the cause of resets.
		request.Header.Set("Prefix-Hash", s.id+":20")
	}
	response, err := client.Do(request)
	if err != nil {
		s.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	s.status = response.StatusCode
	answer, err := io.ReadAll(response.Body)
	s.body, s.err = string(answer), err
}

// Kinds of faults. The generator of each seed draws them by value, so a new kind or
// another order changes the faults of every seed.
const (
	faultKill = iota
	faultTerminate
	faultSuspend
	faultResetUpstream
	faultHoldResponses
	faultDelayUpstream
	faultCutStore
	faultStoreErrors
	faultCompactStore
	faultDrainUpstream
	faultRotateKey
	faultReloadSettings
	faultKillAll
	faultKinds
)

// injectFaults starts random faults at random intervals; faults may overlap.
func (d *deployment) injectFaults(rng *rand.Rand) {
	end := time.Now().Add(*faultDuration)
	var running sync.WaitGroup
	for time.Now().Before(end) {
		fault := rng.IntN(faultKinds)
		instance, duration := rng.IntN(instanceCount), time.Duration(100+rng.IntN(1200))*time.Millisecond
		upstream := rng.IntN(upstreamCount)
		running.Go(func() { d.injectFault(fault, instance, upstream, duration) })
		time.Sleep(time.Duration(100+rng.IntN(500)) * time.Millisecond)
	}
	running.Wait()
}

// processMu prevents two faults from acting on the same process at the same time.
var processMu sync.Mutex

func (d *deployment) injectFault(fault, instance, upstream int, duration time.Duration) {
	// The excuse holds from the beginning of a fault until its end.
	d.recordDisturbance(fault, instance, upstream)
	defer d.recordDisturbance(fault, instance, upstream)
	switch fault {
	case faultKill, faultTerminate, faultSuspend:
		processMu.Lock()
		defer processMu.Unlock()
		// Another fault may have held the process until now.
		d.recordDisturbance(fault, instance, upstream)
		d.restartOrSuspend(fault, instance, duration)
	case faultResetUpstream:
		d.upstreamLinks[upstream].CloseConnections()
	case faultHoldResponses:
		d.countLinkFault(upstream, 1)
		defer d.countLinkFault(upstream, -1)
		d.upstreamLinks[upstream].SetCut(testbed.CutToClient)
		time.Sleep(duration)
		d.upstreamLinks[upstream].CloseConnections()
		d.upstreamLinks[upstream].SetCut(testbed.CutNone)
	case faultDelayUpstream:
		d.countLinkFault(upstream, 1)
		defer d.countLinkFault(upstream, -1)
		d.upstreamLinks[upstream].SetDelay(duration / 10)
		time.Sleep(duration)
		d.upstreamLinks[upstream].SetDelay(0)
	case faultCutStore:
		d.storeLinks[instance].SetCut(testbed.CutBoth)
		time.Sleep(3 * duration)
		d.storeLinks[instance].CloseConnections()
		d.storeLinks[instance].SetCut(testbed.CutNone)
	case faultStoreErrors:
		d.store.SetFaults(objectstore.Faults{Status: http.StatusServiceUnavailable})
		time.Sleep(duration)
		d.store.SetFaults(objectstore.Faults{})
	case faultCompactStore:
		d.store.Compact()
	case faultDrainUpstream:
		d.registerUpstream(upstream, "draining")
		time.Sleep(duration)
		d.registerUpstream(upstream, "ready")
	case faultRotateKey:
		d.rotateKey()
	case faultReloadSettings:
		processMu.Lock()
		defer processMu.Unlock()
		d.gateways[instance].ReloadSettings()
	case faultKillAll:
		processMu.Lock()
		defer processMu.Unlock()
		d.recordDisturbance(fault, instance, upstream)
		for instance, process := range d.gateways {
			process.Kill()
			d.startGateway(instance)
		}
	}
}

func (d *deployment) restartOrSuspend(fault, instance int, duration time.Duration) {
	process := d.gateways[instance]
	switch fault {
	case faultKill:
		process.Kill()
	case faultTerminate:
		process.Terminate()
		if _, err := process.Wait(10 * time.Second); err != nil {
			d.t.Error(err)
			process.Kill()
		}
	case faultSuspend:
		process.Suspend()
		time.Sleep(duration)
		process.Resume()
		return
	}
	d.startGateway(instance)
}

// clearFaults ends all faults of the store and of the upstreams.
func (d *deployment) clearFaults() {
	d.store.SetFaults(objectstore.Faults{})
	for i, link := range d.upstreamLinks {
		link.SetDelay(0)
		link.SetCut(testbed.CutNone)
		d.mu.Lock()
		if d.states[i] != "" {
			d.writeUpstream(i, "ready")
		}
		d.mu.Unlock()
	}
	for _, link := range d.storeLinks {
		link.SetCut(testbed.CutNone)
	}
}

// checkResults compares the responses of callers with what the upstreams executed.
func (d *deployment) checkResults(results <-chan clientRequest) (failures []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fail := func(format string, args ...any) { failures = append(failures, fmt.Sprintf(format, args...)) }
	for request := range results {
		observed := d.executions[request.id]
		if observed == nil {
			observed = &execution{}
		}
		repeatable := request.route == "safe" || request.route == "resume"
		if !repeatable && observed.runs > 1 {
			fail("%s %s ran %d times", request.route, request.id, observed.runs)
		}
		if request.err == nil && (request.status == http.StatusTooManyRequests || request.status == http.StatusServiceUnavailable) && !repeatable && observed.runs > 0 {
			fail("%s %s was refused with status %d, but ran", request.route, request.id, request.status)
		}
		if request.err == nil && request.status == http.StatusOK && request.body != expectedBody(request) {
			fail("%s %s got a wrong response body: %q", request.route, request.id, request.body)
		}
		if request.err == nil && request.body == earlyPart {
			fail("%s %s got part of an early answer as a complete one, with status %d", request.route, request.id, request.status)
		}
		if request.err == nil && (request.status < http.StatusOK || request.status > 599) {
			fail("%s %s got status %d, which is none", request.route, request.id, request.status)
		}
		if request.err == nil && request.status == http.StatusNotFound {
			fail("%s %s got status 404: the gateway knew no route", request.route, request.id)
		}
		if published := d.publishedAt[request.key]; request.err == nil && request.status == http.StatusUnauthorized && !published.IsZero() && d.revokedAt[request.key].IsZero() && request.sentAt.Sub(published) > configLimit {
			fail("%s %s was sent %s after its key was published, but got status 401", request.route, request.id, request.sentAt.Sub(published))
		}
		if lost := d.rollout.lost(request, d.words.sentTo[request.id]); lost != "" {
			fail("%s %s got status %d, error %v: %s", request.route, request.id, request.status, request.err, lost)
		}
		if revoked, isRevoked := d.revokedAt[request.key]; isRevoked && observed.runs > 0 && request.sentAt.Sub(revoked) > revokedKeyLimit {
			fail("%s %s was sent %s after its key was revoked, but ran", request.route, request.id, request.sentAt.Sub(revoked))
		}
	}
	if highest := d.maxRequestsPerWindow(); highest > quotaWindowLimit {
		fail("%d requests of the team over quota ran within %s; the limit is %d", highest, quotaWindow, quotaWindowLimit)
	}
	return failures
}

// quotaWindowLimit is the number of requests that the team over quota may run within
// quotaWindow: the rate over the window and the burst, 10 % more for quotaOverage, and
// quotaSlack.
const quotaWindowLimit = int((quotaRate*quotaWindow/time.Second+quotaRate)*110/100) + quotaSlack

// maxRequestsPerWindow returns the largest number of requests of the team over quota
// that began within any period of quotaWindow.
func (d *deployment) maxRequestsPerWindow() int {
	var starts []time.Time
	for _, observed := range d.executions {
		if observed.key == overQuotaKey {
			starts = append(starts, observed.startedAt)
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	highest, first := 0, 0
	for last := range starts {
		for starts[last].Sub(starts[first]) >= quotaWindow {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

func expectedBody(request clientRequest) string {
	if request.route == "stream" || request.route == "resume" {
		return fullStream(request.id, eventsPerStream)
	}
	return answerBody(request.id)
}

// saveLogs writes the output of each process to a file in a new temporary directory.
func (d *deployment) saveLogs(seed uint64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	d.requireNoError(err)
	for n, process := range d.processes {
		name := fmt.Sprintf("%s-%03d.log", process.Name, n)
		d.requireNoError(os.WriteFile(filepath.Join(dir, name), []byte(process.Output()), 0o600))
	}
	d.t.Logf("process logs: %s", dir)
}
