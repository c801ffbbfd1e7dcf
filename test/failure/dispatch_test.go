package failure_test

import (
	"fmt"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/standin/platform"
	"github.com/rosemarywing/rosemarywing/internal/standin/service"
	"github.com/rosemarywing/rosemarywing/internal/testbed"
)

func startBookingCluster() (*testbed.Cluster, *testbed.Upstream) {
	GinkgoHelper()
	c := startCluster(testbed.ClusterSpec{
		Domains: []string{"north"}, EntriesPerDomain: 3,
		Services: []testbed.UpstreamSpec{serviceSpec("booking-1", "north")},
	})
	return c, c.Upstreams["booking-1"]
}

// idempotencyKey returns a request ID issued by the entry if kind is "issued ID",
// else a key chosen by the caller.
func idempotencyKey(kind string, e *testbed.Entry) string {
	if kind == "issued ID" {
		return issueRequestID(e)
	}
	return "caller-key-1"
}

var _ = Describe("At most one dispatch", Label("G1", "G5"), func() {
	for _, kind := range []string{"issued ID", "caller's key"} {
		// Guards against a second execution when callers resend through other
		// instances while the first attempt is in progress.
		It("runs a booking once when it is sent to all instances concurrently: "+kind, func() {
			c, booking := startBookingCluster()
			id := idempotencyKey(kind, c.Entries[0])
			const requestCount = 12
			results := make([]callResult, requestCount)
			var senders sync.WaitGroup
			for i := range requestCount {
				senders.Go(func() {
					results[i] = bookingRequest("slot-1").withHeader("Idempotency-Key", id).sendAndRead(c.Entries[i%len(c.Entries)])
				})
			}
			senders.Wait()
			Expect(executionCount("slot-1", booking)).To(Equal(1), fmt.Sprint(results))
			completed := 0
			for _, result := range results {
				Expect(result.err).NotTo(HaveOccurred())
				if result.status < 300 {
					completed++
				}
			}
			Expect(completed).To(Equal(1), fmt.Sprint(results))
		})

		// Guards against a second execution when the instance that dispatched the
		// request dies before it can answer.
		It("does not repeat a booking after its entry was killed past the dispatch: "+kind, func() {
			c, booking := startBookingCluster()
			setServiceFaults(booking, service.Faults{Mode: service.Hang})
			id := idempotencyKey(kind, c.Entries[0])
			first := make(chan callResult, 1)
			go func() { first <- bookingRequest("slot-1").withHeader("Idempotency-Key", id).sendAndRead(c.Entries[1]) }()
			Eventually(func() int { return executionCount("slot-1", booking) }, waitTimeout).Should(Equal(1))
			c.Entries[1].Kill()
			Expect((<-first).err).To(HaveOccurred())
			setServiceFaults(booking, service.Faults{})
			for _, e := range []*testbed.Entry{c.Entries[0], c.Entries[2]} {
				result := bookingRequest("slot-1").withHeader("Idempotency-Key", id).sendAndRead(e)
				Expect(result.runState).To(BeElementOf("unknown", "ran"), result.String())
			}
			Expect(executionCount("slot-1", booking)).To(Equal(1))
		})

		// Guards against an instance that is suspended while a request waits in it,
		// and that dispatches the request after another instance took it over.
		It("runs a booking at most once when its entry was suspended while the request waited: "+kind, func() {
			c, booking := startBookingCluster()
			setServiceFaults(booking, service.Faults{Mode: service.Hang})
			id := idempotencyKey(kind, c.Entries[0])
			slots := serviceSpec("", "").Record.MaxRequests
			for i := range slots {
				go bookingRequest(fmt.Sprintf("other-%d", i)).sendAndRead(c.Entries[2])
			}
			Eventually(func() int { return len(serviceLog(booking).Calls) }, waitTimeout).Should(Equal(slots))
			first := make(chan callResult, 1)
			sendAndAwaitInProgress(bookingRequest("slot-1").withHeader("Idempotency-Key", id), c.Entries[1], first)
			c.Entries[1].Suspend()
			setServiceFaults(booking, service.Faults{})
			c.Entries[2].Kill()
			result := bookingRequest("slot-1").withHeader("Idempotency-Key", id).sendAndRead(c.Entries[0])
			Expect(result.runState).NotTo(Equal("ran"), result.String())
			c.Entries[1].Resume()
			suspended := <-first
			Expect(executionCount("slot-1", booking)).To(BeNumerically("<=", 1), result.String()+suspended.String())
			if suspended.runState == "not_run" && result.status >= 300 {
				Expect(executionCount("slot-1", booking)).To(BeZero(), suspended.String())
			}
		})
	}

	// Guards against a non-idempotent call that is sent again after a failure of
	// the connection, a redirect or a wrong response: the service does not detect
	// duplicates.
	DescribeTable("sends a non-idempotent call once to a service without duplicate detection",
		func(mode service.Mode, atMost int) {
			c, booking := startBookingCluster()
			setServiceFaults(booking, service.Faults{Mode: mode, DelayMs: 200, WrongRequestID: "other"})
			result := bookingRequest("slot-1").withHeader("Idempotency-Key", issueRequestID(c.Entries[0])).sendAndRead(c.Entries[1])
			Expect(len(serviceLog(booking).Calls)).To(Equal(1), "the service received the call more than once")
			Expect(executionCount("slot-1", booking)).To(BeNumerically("<=", atMost))
			Expect(result.runState).NotTo(Equal("not_run"), "the call was dispatched: "+result.String())
		},
		Entry("connection reset after it ran", service.ResetAfter, 1),
		Entry("connection reset before it ran", service.ResetBefore, 0),
		Entry("redirect 307", service.Redirect307, 0),
		Entry("redirect 308", service.Redirect308, 0),
		Entry("late response", service.Late, 1),
		Entry("response with another request's ID", service.WrongID, 1),
		Entry("response truncated", service.CutBody, 1),
	)

	// Guards against a booking that runs twice or never when the platform has stored
	// its claim but the response to that write is lost: the attempt that wrote the
	// claim must run, and no other one.
	It("runs a booking once when the platform's response to its claim is lost", func() {
		c, booking := startBookingCluster()
		setPlatformFaults(c, platform.Faults{LoseAnswers: 1})
		first := bookingRequest("slot-1").withHeader("Idempotency-Key", "caller-key-1").sendAndRead(c.Entries[0])
		Expect(first.status).To(BeNumerically("<", 300), first.String())
		second := bookingRequest("slot-1").withHeader("Idempotency-Key", "caller-key-1").sendAndRead(c.Entries[1])
		Expect(second.runState).NotTo(Equal("not_run"), second.String())
		Expect(executionCount("slot-1", booking)).To(Equal(1))
	})
})

var _ = Describe("Platform outage", Label("G11", "G4"), func() {
	// Guards against requests with issued IDs that fail while the platform is
	// unavailable, and against run state not_run for a key whose earlier attempt may
	// have run.
	It("serves requests with issued IDs and refuses keys of callers without running them", func() {
		c, booking := startBookingCluster()
		setPlatformFaults(c, platform.Faults{Outage: platform.OutageClose})
		for i, e := range c.Entries {
			key := fmt.Sprintf("slot-%d", i)
			result := bookingRequest(key).withHeader("Idempotency-Key", issueRequestID(e)).sendAndRead(c.Entries[(i+1)%len(c.Entries)])
			Expect(result.status).To(BeNumerically("<", 300), result.String())
			keyed := bookingRequest("own-key").withHeader("Idempotency-Key", "caller-key-1").sendAndRead(e)
			Expect(keyed.errorKind).To(Equal("claim_unavailable"), keyed.String())
			// Without the platform, an attempt before the outage cannot be ruled out.
			Expect(keyed.runState).To(Equal("unknown"))
		}
		Expect(executionCount("own-key", booking)).To(BeZero())
	})
})

var _ = Describe("Refusals", Label("G4"), func() {
	// Guards against run state not_run for a booking that runs later: the
	// deadlines pass while requests wait, are being granted, or are dispatched.
	It("reports not_run only for bookings that the service never ran", func() {
		c, booking := startBookingCluster()
		setServiceFaults(booking, service.Faults{Mode: service.Late, DelayMs: 30})
		const requestCount = 200
		var notRun sync.Map
		var refused atomic.Int32
		var senders sync.WaitGroup
		for i := range requestCount {
			senders.Go(func() {
				key := fmt.Sprintf("slot-%d", i)
				result := bookingRequest(key).withHeader("Rosemarywing-Timeout-Ms", fmt.Sprint(20+i*5)).sendAndRead(c.Entries[i%len(c.Entries)])
				if result.runState == "not_run" {
					notRun.Store(key, result)
					refused.Add(1)
				}
			})
		}
		senders.Wait()
		Expect(refused.Load()).To(BeNumerically(">", 0), "no request was refused, so the test checks nothing")
		log := serviceLog(booking)
		notRun.Range(func(key, value any) bool {
			Expect(log.ByKey[key.(string)]).To(BeZero(), fmt.Sprintf("%v: %v", key, value))
			return true
		})
	})

	// Guards against a wrong run state from an instance that was suspended between
	// its decision and its response, or past the deadline of a waiting request.
	It("reports not_run only if true after an instance was suspended past the deadline", func() {
		c, booking := startBookingCluster()
		setServiceFaults(booking, service.Faults{Mode: service.Hang})
		slots := serviceSpec("", "").Record.MaxRequests
		for i := range slots {
			go bookingRequest(fmt.Sprintf("other-%d", i)).sendAndRead(c.Entries[2])
		}
		Eventually(func() int { return len(serviceLog(booking).Calls) }, waitTimeout).Should(Equal(slots))
		id := issueRequestID(c.Entries[0])
		waiting := make(chan callResult, 1)
		request := bookingRequest("slot-1").withHeader("Idempotency-Key", id).withHeader("Rosemarywing-Timeout-Ms", "1500")
		sendAndAwaitInProgress(request, c.Entries[1], waiting)
		c.Entries[1].Suspend()
		setServiceFaults(booking, service.Faults{})
		c.Entries[2].Kill()
		probe := issueRequestID(c.Entries[0])
		Eventually(func() int {
			return bookingRequest("probe").withHeader("Idempotency-Key", probe).sendAndRead(c.Entries[0]).status
		}, waitTimeout).Should(BeNumerically(">", 0))
		c.Entries[1].Resume()
		result := <-waiting
		if result.runState == "not_run" {
			Expect(executionCount("slot-1", booking)).To(BeZero(), result.String())
		}
		Expect(executionCount("slot-1", booking)).To(BeNumerically("<=", 1))
	})
})
