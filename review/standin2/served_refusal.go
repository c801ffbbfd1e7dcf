//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Dose of srv_grey: one of three servers, 45 in 100 of its requests, for 4 s.
const (
	greyShare = 0.45
	greyFrom  = 3 * time.Second
	greyFor   = 4 * time.Second
)

// servedRefusal plays a server that fails part of the requests that it has run, with the
// status 503 and without Not-Executed.
func servedRefusal(d *deployment, trouble bool) ([]string, error) {
	ledger := newLedger()
	began := time.Now()
	for i, zone := range zones {
		s, err := d.addServer(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), "order-desk", zone[0], ledger)
		if err != nil {
			return nil, err
		}
		if i == 0 && trouble {
			s.answer = func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) bool {
				since := time.Since(began)
				if since < greyFrom || since >= greyFrom+greyFor || rand.Float64() >= greyShare {
					return false
				}
				d.record.log("server %s fails %s with 503 after it has run it", s.id, r.Header.Get("Request-Id"))
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = w.Write([]byte("the order is stored, its confirmation could not be printed\n"))
				return true
			}
		}
	}
	d.configure(config{version: 7, routes: []route{commitRoute(), lookRoute()}, keys: []string{tenantKey}})
	if err := d.startGateways(); err != nil {
		return nil, err
	}
	began = time.Now()
	var mu sync.Mutex
	var violations []string
	var clients sync.WaitGroup
	served := 0
	for i := range 9 {
		clients.Go(func() {
			for n := 0; time.Since(began) < greyFrom+greyFor+2*time.Second; n++ {
				g := d.gateways[(i+n)%len(d.gateways)]
				order := fmt.Sprintf("order %d-%d", i, n)
				a := d.send(g, nil, http.MethodPost, "/commit/roll", tenantKey, order, 2500*time.Millisecond)
				runs := ledger.of(a.id)
				mu.Lock()
				if a.status == http.StatusOK {
					served++
				}
				if a.err == nil && promises(a.status) && len(runs) > 0 {
					violations = append(violations, fmt.Sprintf("REFUSED: the unsafe request %s (%s) is answered %d and has run at %s", a.id, order, a.status, runs[0].server))
				}
				mu.Unlock()
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	d.record.log("%d requests were answered 200", served)
	if served < 100 {
		return nil, fmt.Errorf("only %d requests were served", served)
	}
	return violations, nil
}
