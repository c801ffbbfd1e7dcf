package failure_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/standin/platform"
	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

// startTwoDomainCluster starts two failure domains in one region, each with two
// entries, the given number of engines and a booking service.
func startTwoDomainCluster(enginesPerDomain int, args ...string) *testbed.Cluster {
	GinkgoHelper()
	spec := testbed.ClusterSpec{
		Domains: []string{"north", "south"}, EntriesPerDomain: 2,
		ExtraSettings: map[string][]string{"instance": {"region_domains = north,south"}},
	}
	for _, domain := range spec.Domains {
		for i := range enginesPerDomain {
			spec.Engines = append(spec.Engines, engineSpec(fmt.Sprintf("engine-%s-%d", domain, i), domain, args...))
		}
		spec.Services = append(spec.Services, serviceSpec("booking-"+domain, domain))
	}
	c := startCluster(spec)
	// Each entry reads the list of the other domain's instances every 5 s. Claims
	// across the domains work once entries of both domains have read that list.
	Eventually(func() string {
		return bookingRequest("warm-up").withHeader("Idempotency-Key", issueRequestID(c.Entries[0])).sendAndRead(c.Entries[2]).errorKind
	}, waitTimeout).Should(BeEmpty())
	Eventually(func() string {
		return bookingRequest("warm-up").withHeader("Idempotency-Key", issueRequestID(c.Entries[3])).sendAndRead(c.Entries[1]).errorKind
	}, waitTimeout).Should(BeEmpty())
	return c
}

var _ = Describe("Failure domains", func() {
	// Guards against a second execution when callers reach entries of two domains,
	// each with its own booking service.
	It("runs a booking once when it is sent to both domains concurrently", Label("G1", "G5"), func() {
		c := startTwoDomainCluster(1, "--speed", "0")
		for _, id := range []string{issueRequestID(c.Entries[0]), "caller-key-1"} {
			key := "slot-" + id
			results := make([]callResult, 8)
			var senders sync.WaitGroup
			for i := range results {
				senders.Go(func() { results[i] = bookingRequest(key).withHeader("Idempotency-Key", id).sendAndRead(c.Entries[i%4]) })
			}
			senders.Wait()
			Expect(executionCount(key, c.Upstreams["booking-north"], c.Upstreams["booking-south"])).To(Equal(1), fmt.Sprint(results))
		}
	})

	// Guards against a domain that stops serving when another domain and the
	// platform are unreachable, and against requests that are refused although
	// another domain can serve them.
	It("serve without the other domain and the platform, and take over its requests", Label("G11"), func() {
		c := startTwoDomainCluster(1, "--speed", "0")
		setPlatformFaults(c, platform.Faults{Outage: platform.OutageClose})
		for _, e := range c.Entries[2:] {
			e.Suspend()
		}
		for i := range 20 {
			result := chatRequest(fmt.Sprintf("question %d", i), 5, false).sendAndRead(c.Entries[i%2])
			Expect(result.status).To(Equal(http.StatusOK), result.String())
			booked := bookingRequest(fmt.Sprintf("slot-%d", i)).sendAndRead(c.Entries[i%2])
			Expect(booked.status).To(BeNumerically("<", 300), booked.String())
		}
		Expect(receivedRequests(c.Upstreams["engine-south-0"])).To(BeZero())
		for _, e := range c.Entries[2:] {
			e.Resume()
		}
		setEngineFaults(c.Upstreams["engine-north-0"], leavingFaults)
		Eventually(func() int {
			result := chatRequest("after", 5, false).sendAndRead(c.Entries[0])
			Expect(result.status).To(Equal(http.StatusOK), result.String())
			return receivedRequests(c.Upstreams["engine-south-0"])
		}, waitTimeout).Should(BeNumerically(">", 0))
	})

	// Guards against a limit on crashes that each domain counts for itself, so that one
	// request crashes two engines in each domain.
	It("lose at most two engines in total to one request", Label("G9"), func() {
		const marker = "crash-now"
		c := startTwoDomainCluster(3, "--speed", "4", "--crash-marker", marker)
		var last callResult
		for i := range 10 {
			last = chatRequest("please "+marker, 5, false).sendAndRead(c.Entries[(i*2)%4])
		}
		crashed := 0
		for _, u := range c.Upstreams {
			if _, err := u.Wait(time.Millisecond); err == nil {
				crashed++
			}
		}
		Expect(crashed).To(BeNumerically(">=", 1), "no engine crashed, so the test checks nothing")
		Expect(crashed).To(BeNumerically("<=", 2))
		Expect(last.errorKind).To(Equal("poison_request"), last.String())
	})
})
