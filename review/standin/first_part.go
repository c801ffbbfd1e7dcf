//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// sound is the outcome of a prompt that crashes nothing.
type sound struct {
	at    float64
	begun bool
}

// begunBetween counts the prompts of a span, and those whose answer began.
func begunBetween(of []sound, from, to float64) (begun, all int) {
	for _, s := range of {
		if s.at >= from && s.at < to {
			all++
			if s.begun {
				begun++
			}
		}
	}
	return begun, all
}

// firstPart is the case of prompts with a part that crashes servers, whose first part is
// that of many sound prompts.
func firstPart(w *world, trouble bool) (bool, error) {
	const (
		calm            = 24.0 // seconds of sound prompts before the first deadly one
		deadlyFor       = 37.0 // seconds in which deadly prompts come
		others          = 19   // first parts of other prompts
		othersPerSecond = 60
		serverCount     = 18
		shared          = "a0a0a0a0"
		fewest          = 20
	)
	w.putConfig(1, []map[string]any{route("tag", "streaming", "llm", 3000, 600, 1, false)}, []map[string]any{engineService("llm", 7)},
		[]map[string]any{{"name": "shop", "api_keys": []string{"key-shop"}}, {"name": "others", "api_keys": []string{"key-others"}}})
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
	var mu sync.Mutex
	var sharing, rest []sound
	var requests sync.WaitGroup
	sendSound := func(gateway int, key, first string, list *[]sound) {
		requests.Go(func() {
			a := w.send(gateway, prompt(key, first, false))
			w.logf("client: sound prompt %s with first part %s to %s: status %d, complete %t", a.id, first, w.gateways[gateway].name, a.status, a.complete)
			mu.Lock()
			defer mu.Unlock()
			*list = append(*list, sound{a.sentAt, a.begun})
		})
	}
	deadlySent := 0
	sendDeadly := func() {
		gateway := deadlySent % len(w.gateways)
		deadlySent++
		requests.Go(func() {
			a := w.send(gateway, prompt("key-shop", shared, true))
			w.logf("client: deadly prompt %s with first part %s to %s: status %d", a.id, shared, w.gateways[gateway].name, a.status)
		})
	}
	requests.Go(func() {
		for n := 0; w.now() < end; n++ {
			w.sleepUntil(begin + float64(n)/othersPerSecond)
			sendSound(n%len(w.gateways), "key-others", fmt.Sprintf("b0b0%04d", n%others), &rest)
		}
	})
	if trouble {
		requests.Go(func() {
			// The first six come within a second, between two sound prompts with the first part.
			for _, after := range []float64{0.25, 0.5, 0.75} {
				w.sleepUntil(begin + calm + after)
				sendDeadly()
				sendDeadly()
			}
			for w.now() < end-1 {
				time.Sleep(500 * time.Millisecond)
				sendDeadly()
			}
		})
	}
	for n := 0; begin+float64(n) < end; n++ {
		w.sleepUntil(begin + float64(n))
		sendSound(n%len(w.gateways), "key-shop", shared, &sharing)
	}
	requests.Wait()
	for _, line := range w.logsOf("requests blocked") {
		w.logf("log: %s", line)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	from := begin + calm + 2*contact.Seconds()
	if fifth, crashed := e.fifthCrash(); crashed {
		from = fifth + 2*contact.Seconds()
	}
	calmBegun, calmAll := begunBetween(sharing, begin, begin+calm)
	begun, all := begunBetween(sharing, from, end)
	restBegun, restAll := begunBetween(rest, from, end)
	w.logf("%d servers crashed at %.3f; %d of %d deadly prompts reached a server", len(e.crashes), e.crashes, len(e.deadly), deadlySent)
	w.logf("sound prompts with the same key and first part: %d of %d began before the crashes, %d of %d from %.1f s on (2 x contact_ms after the fifth or last crash); other sound prompts then: %d of %d",
		calmBegun, calmAll, begun, all, from, restBegun, restAll)
	if calmAll < fewest || all < fewest {
		return false, fmt.Errorf("%w: too few prompts to compare", errSetup)
	}
	return float64(begun)/float64(all) < 0.5*float64(calmBegun)/float64(calmAll), nil
}
