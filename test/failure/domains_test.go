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

// domainsCluster has two failure domains in one region, each with two entries,
// engines and a booking service.
func domainsCluster(enginesPerDomain int, args ...string) *testbed.Cluster {
	GinkgoHelper()
	spec := testbed.Spec{
		Domains: []string{"north", "south"}, Entries: 2,
		Settings: map[string][]string{"instance": {"region_domains = north,south"}},
	}
	for _, domain := range spec.Domains {
		for i := range enginesPerDomain {
			spec.Engines = append(spec.Engines, engineSpec(fmt.Sprintf("engine-%s-%d", domain, i), domain, args...))
		}
		spec.Services = append(spec.Services, serviceSpec("booking-"+domain, domain))
	}
	c := cluster(spec)
	// Each entry reads the list of the other domain's instances every 5 s.
	Eventually(func() string {
		return lock("warm").with("Idempotency-Key", issue(c.Entries[0])).do(c.Entries[2]).kind
	}, patience).Should(BeEmpty())
	Eventually(func() string {
		return lock("warm").with("Idempotency-Key", issue(c.Entries[3])).do(c.Entries[1]).kind
	}, patience).Should(BeEmpty())
	return c
}

var _ = Describe("Failure domains", func() {
	// Guards against a second run when callers reach entries of two domains,
	// each with its own booking service.
	It("runs a booking once that is sent to both domains at the same time", Label("G1", "G5"), func() {
		c := domainsCluster(1, "--speed", "0")
		for _, id := range []string{issue(c.Entries[0]), "caller-key-1"} {
			key := "tee-" + id
			answers := make([]answer, 8)
			var group sync.WaitGroup
			for i := range answers {
				group.Go(func() { answers[i] = lock(key).with("Idempotency-Key", id).do(c.Entries[i%4]) })
			}
			group.Wait()
			Expect(executions(key, c.Upstreams["booking-north"], c.Upstreams["booking-south"])).To(Equal(1), fmt.Sprint(answers))
		}
	})

	// Guards against a domain that stops when another one and the platform are
	// gone, and against work that is refused although another domain can do it.
	It("go on alone, and take over for each other", Label("G11"), func() {
		c := domainsCluster(1, "--speed", "0")
		setPlatformFaults(c, platform.Faults{Outage: platform.OutageClose})
		for _, e := range c.Entries[2:] {
			e.Freeze()
		}
		for i := range 20 {
			a := chat(fmt.Sprintf("question %d", i), 5, false).do(c.Entries[i%2])
			Expect(a.status).To(Equal(http.StatusOK), a.String())
			b := lock(fmt.Sprintf("tee-%d", i)).do(c.Entries[i%2])
			Expect(b.status).To(BeNumerically("<", 300), b.String())
		}
		Expect(receipts(c.Upstreams["engine-south-0"])).To(BeZero())
		for _, e := range c.Entries[2:] {
			e.Resume()
		}
		setEngineFaults(c.Upstreams["engine-north-0"], leavingEngine)
		Eventually(func() int {
			a := chat("after", 5, false).do(c.Entries[0])
			Expect(a.status).To(Equal(http.StatusOK), a.String())
			return receipts(c.Upstreams["engine-south-0"])
		}, patience).Should(BeNumerically(">", 0))
	})

	// Guards against a request that crashes two engines in each domain.
	It("together lose at most two engines to one request", Label("G9"), func() {
		const marker = "crash-now"
		c := domainsCluster(3, "--speed", "4", "--crash-marker", marker)
		var last answer
		for i := range 10 {
			last = chat("please "+marker, 5, false).do(c.Entries[(i*2)%4])
		}
		crashed := 0
		for _, u := range c.Upstreams {
			if _, err := u.Wait(time.Millisecond); err == nil {
				crashed++
			}
		}
		Expect(crashed).To(BeNumerically(">=", 1), "no engine crashed; the case tests nothing")
		Expect(crashed).To(BeNumerically("<=", 2))
		Expect(last.kind).To(Equal("poison_request"), last.String())
	})
})
