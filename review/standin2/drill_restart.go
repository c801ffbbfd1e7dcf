//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/standin/objectstore"
)

const (
	// storeAway is how long the store is away in the drill, and rewriteAfter how long after
	// its return the operator writes the configuration again.
	storeAway    = 300 * time.Millisecond
	rewriteAfter = 2 * time.Second
	// restartDelay is the time from a kill to the start of the next process.
	restartDelay = 300 * time.Millisecond
	revokedKey   = "key-of-the-shop-that-left"
)

// drillAndRestart revokes a key, lets the store return from a copy from before that, and kills
// one gateway, which starts again before the operator has written the configuration again.
func drillAndRestart(d *deployment, trouble bool) ([]string, error) {
	ledger := newLedger()
	for i, zone := range zones {
		if _, err := d.addServer(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), "order-desk", zone[0], ledger); err != nil {
			return nil, err
		}
	}
	before := config{version: 7, routes: []route{commitRoute(), lookRoute()}, keys: []string{tenantKey, revokedKey}}
	d.configure(before)
	if err := d.startGateways(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var sent []attempt
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, key := range []string{tenantKey, revokedKey, revokedKey} {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				a := d.send(d.gateways[(i+n)%len(d.gateways)], nil, http.MethodPost, "/commit/roll", key, fmt.Sprintf("order %d-%d", i, n), 2500*time.Millisecond)
				mu.Lock()
				sent = append(sent, a)
				mu.Unlock()
			}
		})
	}
	copied := d.store.Snapshot()
	d.record.log("the copy is made from which the store will return")
	time.Sleep(200 * time.Millisecond)
	after := before
	after.version, after.keys = 9, []string{tenantKey}
	acknowledged := d.configure(after)
	time.Sleep(revokeBound + 300*time.Millisecond)
	if trouble {
		d.record.log("the store is away")
		d.store.SetFaults(objectstore.Faults{HoldCalls: true})
		time.Sleep(storeAway)
		d.store.Return(copied)
		d.store.SetFaults(objectstore.Faults{})
		d.record.log("the store is back from the copy")
		for _, s := range d.servers {
			s.report()
		}
	}
	returned := time.Now()
	killed := d.gateways[1]
	d.record.log("%s is killed", killed.name)
	killed.signal(syscall.SIGKILL)
	<-killed.exited
	time.Sleep(restartDelay)
	if err := d.start(killed); err != nil {
		return nil, err
	}
	time.Sleep(rewriteAfter - time.Since(returned))
	if trouble {
		d.configure(after)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	var violations []string
	served := 0
	for _, a := range sent {
		runs := ledger.of(a.id)
		if a.key == tenantKey && a.status == http.StatusOK {
			served++
		}
		if late := a.sent.Sub(acknowledged); a.key == revokedKey && late > revokeBound && len(runs) > 0 {
			violations = append(violations, fmt.Sprintf("CONFIG: %s was sent to %s with a revoked key %.2f s after the acknowledgement, and has run at %s", a.id, a.gateway, late.Seconds(), runs[0].server))
		}
	}
	d.record.log("%d requests with the other key were answered 200", served)
	if served < 50 {
		return nil, fmt.Errorf("only %d requests were served", served)
	}
	return violations, nil
}
