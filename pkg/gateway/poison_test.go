package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// crashInterval separates the crashes of a test, as arrivals do on a site where one
	// request in twenty is poisonous.
	crashInterval = 300 * time.Millisecond
	// maxAfterDetection is the number of poisonous requests that may reach upstreams later
	// than contactTime after the fifth crash.
	maxAfterDetection = 3
	contactTime       = 4 * time.Second
)

// crashSite has upstreams that crash when they begin to answer a prompt with a poison
// part. A crash ends all connections to the upstream and starts a new process of it.
type crashSite struct {
	*testCluster
	crashes atomic.Int64
	sent    int
	mu      sync.Mutex
	poison  map[string]bool
}

func newCrashSite(t *testing.T, instances, upstreams int, poison ...string) *crashSite {
	s := &crashSite{testCluster: newTestCluster(t, instances), poison: map[string]bool{}}
	for _, part := range poison {
		s.poison[part] = true
	}
	for i := range upstreams {
		id := fmt.Sprintf("u%d", i)
		var self atomic.Pointer[fakeUpstream]
		born := atomic.Int64{}
		born.Store(1)
		self.Store(s.startUpstream(id, func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
			if !s.poisoned(r) {
				answerStream(w)
				return
			}
			s.crashes.Add(1)
			upstream := self.Load()
			go upstream.server.CloseClientConnections()
			s.store.Put("servers", id, map[string]any{
				"service": "desk", "address": strings.TrimPrefix(upstream.server.URL, "http://"), "zone": "north", "slots": 8, "state": "ready", "born": born.Add(1),
			})
			abortConnection(w, r)
		}))
	}
	return s
}

func answerStream(w http.ResponseWriter) { _, _ = w.Write([]byte(eventText(1, 3))) }

func (s *crashSite) poisoned(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for entry := range strings.SplitSeq(r.Header.Get("Prefix-Hash"), ",") {
		if part, _, _ := strings.Cut(entry, ":"); s.poison[part] {
			return true
		}
	}
	return false
}

// prompt sends a streamed request that no other one equals: its last part and its path are
// its own.
func (s *crashSite) prompt(in *instance, parts ...string) answer {
	s.sent++
	return s.send(context.Background(), in, fmt.Sprintf("/stream/%d", s.sent), func(r *http.Request) {
		r.Header.Set("Prefix-Hash", fmt.Sprintf("%s:400,own%d:20", strings.Join(parts, ":60,"), s.sent))
	})
}

// expectSound sends requests with the other parts until one is served: one that runs beside
// a poisonous one breaks.
func (s *crashSite) expectSound(in *instance) {
	s.Eventually(func() int { return s.prompt(in, "first", "sound").status }, eventuallyTimeout).Should(Equal(http.StatusOK))
}

// Failure: requests that have nothing in common but one part of the prompt crash one
// upstream after another, at any instance. Guards against a detection that knows only
// copies of a request, and against refusing the requests that share the other parts.
func TestPromptPartThatCrashesUpstreamsIsBlocked(t *testing.T) {
	// With two upstreams, which are back at once, each crashes again within seconds.
	for _, upstreams := range []int{6, 2} {
		t.Run(fmt.Sprint(upstreams, " upstreams"), func(t *testing.T) { crashUntilBlocked(newCrashSite(t, 3, upstreams, "poison")) })
	}
}

func crashUntilBlocked(site *crashSite) {
	blockedEverywhere := func() bool {
		for i := range site.instances {
			if !site.logged("requests blocked", fmt.Sprintf(`"instance":"edge-%d"`, i)) {
				return false
			}
		}
		return true
	}
	for i := 0; site.crashes.Load() < 5 && !site.logged("requests blocked"); i++ {
		site.prompt(site.instances[i%len(site.instances)], "first", "poison")
		for _, in := range site.instances {
			site.expectSound(in)
		}
		time.Sleep(crashInterval)
	}
	site.Expect(site.crashes.Load()).To(BeNumerically(">", 2), "the upstreams crash on the part")
	for started := time.Now(); time.Since(started) < contactTime && !blockedEverywhere(); {
		time.Sleep(crashInterval / 10)
	}
	before := site.crashes.Load()
	for range 8 {
		for _, in := range site.instances {
			answered := site.prompt(in, "first", "poison")
			site.expectSound(in)
			if answered.status == http.StatusTooManyRequests {
				site.Expect(answered.header.Get("Retry-After")).NotTo(BeEmpty())
			}
		}
	}
	site.Expect(site.crashes.Load() - before).To(BeNumerically("<=", maxAfterDetection))
}
