package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

// probeInterval is the time between two requests of a client with former keys.
const probeInterval = 30 * time.Millisecond

// Failure: while the faults of a seed are injected, the store returns from a copy some
// seconds old, which lacks a key of the callers. Guards against revoked keys that are accepted
// again, against a configuration that is ignored when it is written again, and against
// requests that run twice or get wrong answers because of it.
func TestStoreReturns(t *testing.T) {
	dir := t.TempDir()
	if err := testbed.Build("../..", dir, "rosemarywing-gateway"); err != nil {
		t.Fatal(err)
	}
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			d := newDeployment(t, filepath.Join(dir, "rosemarywing-gateway"))
			d.run(seed, func(results chan<- clientRequest) {
				var others sync.WaitGroup
				others.Go(func() { d.disturb(seed) })
				ended := make(chan struct{})
				others.Go(func() { d.probeKeys(rand.New(rand.NewPCG(seed, 4)), ended, results) })
				d.returnStore(rand.New(rand.NewPCG(seed, 3)))
				// A configuration that is ignored shows configLimit after it is written again.
				time.Sleep(configLimit + 2*time.Second)
				close(ended)
				others.Wait()
			})
		})
	}
}

// returnStore takes the store back to a copy after a time, and writes again what the operator
// and the upstreams had written.
func (d *deployment) returnStore(rng *rand.Rand) {
	pause := func(from, to int) {
		time.Sleep(time.Duration(from+rng.IntN(to-from)) * time.Millisecond)
	}
	pause(500, 1500)
	snapshot := d.store.Snapshot()
	pause(100, 1500)
	d.rotateKey()
	pause(100, 1500)
	d.store.Return(snapshot)
	// An instance that starts now reads the older configuration.
	var restart sync.WaitGroup
	defer restart.Wait()
	instance := rng.IntN(d.layout.instances)
	restart.Go(func() { d.injectFault(faultKill, instance, 0, 0) })
	pause(0, 700)
	d.mu.Lock()
	d.writeConfig()
	d.mu.Unlock()
	for upstream := range d.layout.upstreams {
		pause(0, 100)
		d.mu.Lock()
		d.writeUpstream(upstream, d.states[upstream])
		d.mu.Unlock()
	}
}

// probeKeys sends requests until ended, one after the other, with the key in force or with
// one that was revoked before.
func (d *deployment) probeKeys(rng *rand.Rand, ended <-chan struct{}, results chan<- clientRequest) {
	httpClient := &http.Client{Transport: &http.Transport{}}
	defer httpClient.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-ended:
			return
		case <-time.After(probeInterval):
		}
		instance, request := rng.IntN(d.layout.instances), clientRequest{id: fmt.Sprintf("p-%d", n), route: "once", sentAt: time.Now()}
		d.mu.Lock()
		request.key = d.keys[0]
		if former := rng.IntN(len(d.formerKeys) + 1); former < len(d.formerKeys) {
			request.key = d.formerKeys[former]
		}
		d.mu.Unlock()
		d.recordSent(request.id, instance)
		d.send(httpClient, d.callerAddresses[instance], &request)
		request.endedAt = time.Now()
		results <- request
	}
}
