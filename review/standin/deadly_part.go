//go:build review

package main

import (
	"sync"
	"time"
)

// deadlyPartAtNight is the case of prompts with a part that crashes servers while few other
// prompts come.
func deadlyPartAtNight(w *world, trouble bool) (bool, error) {
	const (
		serverCount = 18
		soundEvery  = 1.0 // seconds between two sound prompts
		deadlyEvery = 1.0 // seconds between two deadly ones
		calm        = 10.0
		deadlyFor   = 40.0
		most        = 3
		shared      = "a0a0a0a0"
	)
	w.putConfig(1, []map[string]any{route("tag", "streaming", "llm", 3000, 600, 1, false)}, []map[string]any{engineService("llm", 7)},
		[]map[string]any{{"name": "shop", "api_keys": []string{"key-shop"}}})
	e := &engines{w: w, zones: kifaruZones, slots: 7, downFor: 3 * time.Second}
	if err := e.start(serverCount); err != nil {
		return false, err
	}
	if err := w.startGateways(kifaruRegions, kifaruMachines); err != nil {
		return false, err
	}
	time.Sleep(contact)
	begin := w.now()
	end := begin + calm + deadlyFor
	var requests sync.WaitGroup
	send := func(gateway int, what string, q request) {
		requests.Go(func() {
			a := w.send(gateway, q)
			w.logf("client: %s prompt %s to %s: status %d, complete %t", what, a.id, w.gateways[gateway].name, a.status, a.complete)
		})
	}
	if trouble {
		requests.Go(func() {
			for n := 0; begin+calm+float64(n)*deadlyEvery < end; n++ {
				w.sleepUntil(begin + calm + float64(n)*deadlyEvery + deadlyEvery/2)
				send((n+3)%len(w.gateways), "deadly", prompt("key-shop", shared, true))
			}
		})
	}
	for n := 0; begin+float64(n)*soundEvery < end; n++ {
		w.sleepUntil(begin + float64(n)*soundEvery)
		send(n%len(w.gateways), "sound", prompt("key-shop", shared, false))
	}
	requests.Wait()
	for _, line := range w.logsOf("requests blocked") {
		w.logf("log: %s", line)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	fifth, crashed := e.fifthCrash()
	late := 0
	for _, at := range e.deadly {
		if crashed && at > fifth+contact.Seconds() {
			late++
		}
	}
	w.logf("%d servers crashed at %.3f", len(e.crashes), e.crashes)
	w.logf("%d deadly prompts reached a server, %d of them later than contact_ms after the fifth crash; %d are allowed", len(e.deadly), late, most)
	return late > most, nil
}
