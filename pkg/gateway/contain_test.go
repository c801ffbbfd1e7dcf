package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
	"github.com/rosemarywing/rosemarywing/pkg/traffic"
)

// panicMsg is a message whose handling panics.
type panicMsg struct{}

func (panicMsg) apply(*controlLoop) { panic("unexpected") }

// faultyDecoder panics on objects whose spec says so.
type faultyDecoder struct{ RecordDecoder }

const faultySpec = "panic"

func (faultyDecoder) Config(spec []byte) (traffic.Config, error) {
	if string(spec) == faultySpec {
		panic("unexpected")
	}
	return traffic.Config{Version: 1}, nil
}

func (faultyDecoder) Upstream(id string, spec []byte) (admission.UpstreamInfo, error) {
	if string(spec) == faultySpec {
		panic("unexpected")
	}
	return admission.UpstreamInfo{ID: id, Service: "desk", Address: "127.0.0.1:9", Domain: "north", Slots: 4}, nil
}

func (c *controlLoop) panics() int64 { return c.g.metrics.panics.Count() }

// A message makes the control loop panic. Guards against the end of the process, against
// callers that wait for ever, and against pools that are lost.
func TestPanicInControlMessageIsContained(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	c := newTestControlLoop(t, &now, true)
	c.g.recordDecoder = faultyDecoder{}
	c.applyUpstreamUpdate(storesync.Update{Changed: []storesync.Object{{Name: "u1", Spec: []byte("{}")}}})
	reply := make(chan admission.Decision, 1)
	submitMsg{request: &admission.Request{Key: 1, Service: "other", Arrived: now, Deadline: now + time.Minute}, reply: reply}.apply(c)
	c.applyMessage(panicMsg{})
	g.Expect(c.panics()).To(Equal(int64(1)))
	g.Expect((<-reply).Action).To(Equal(admission.Refuse), "a queued request is refused")

	submitMsg{request: &admission.Request{Key: 2, Service: "desk", Arrived: now, Deadline: now + time.Minute}, reply: reply}.apply(c)
	c.update()
	g.Expect((<-reply).Upstream.ID).To(Equal("u1"), "the upstreams are known again")
}

// One object of an update from the store makes its decoder panic. Guards against losing
// the others, or the configuration in force.
func TestPanicInStoreObjectIsContained(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	c := newTestControlLoop(t, &now, true)
	c.g.recordDecoder = faultyDecoder{}
	c.applyUpstreamUpdate(storesync.Update{Changed: []storesync.Object{{Name: "bad", Spec: []byte(faultySpec)}, {Name: "u1", Spec: []byte("{}")}}})
	g.Expect(c.services).To(Equal(map[string]string{"u1": "desk"}))
	c.g.objectKinds.ConfigName = "main"
	c.applyConfigUpdate(storesync.Update{AsOf: now, Changed: []storesync.Object{{Name: "main", Spec: []byte("{}")}}})
	c.applyConfigUpdate(storesync.Update{AsOf: 2 * now, Changed: []storesync.Object{{Name: "main", Spec: []byte(faultySpec)}}})
	g.Expect(c.g.table.Load().Version()).To(Equal(uint64(1)))
	g.Expect(time.Duration(c.g.configCurrentAt.Load())).To(Equal(now), "the configuration in force is outdated")
	g.Expect(c.panics()).To(Equal(int64(2)))
}

// A background task panics. Guards against a task that never runs again.
func TestPanickedTaskIsRestarted(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	c := newTestControlLoop(t, &now, true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	runs := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.g.supervise(ctx, "task", func() {
			if runs++; runs < 3 {
				panic("unexpected")
			}
		})
	}()
	clock := c.g.clock.(interface {
		BlockUntilContext(ctx context.Context, waiters int) error
		Advance(d time.Duration)
	})
	for range 2 {
		g.Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		clock.Advance(restartPause)
	}
	<-done
	g.Expect(runs).To(Equal(3))
}

// faultyCodec panics on requests.
type faultyCodec struct{ HeaderCodec }

func (faultyCodec) DecodeRequest(http.Header) RequestInfo { panic("unexpected") }

func (faultyCodec) SetErrorHeader(http.Header, string, time.Duration) {}

// The handling of a request panics. Guards against a connection that ends without an
// answer, and against a wrong statement of whether the request has run.
func TestPanicInRequestIsAnswered(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	c := newTestControlLoop(t, &now, true)
	c.g.headerCodec = faultyCodec{}
	recorder := httptest.NewRecorder()
	c.g.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/", strings.NewReader("")))
	g.Expect(recorder.Code).To(Equal(http.StatusServiceUnavailable))
	body, err := io.ReadAll(recorder.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("not_ready\n"))
	g.Expect(c.g.inFlight.Load()).To(BeZero())
	g.Expect(c.panics()).To(Equal(int64(1)))

	x := &exchange{g: c.g, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodPost, "/", nil), mayHaveRun: true,
		request: &admission.Request{Key: 7}, placement: &admission.Decision{Upstream: admission.UpstreamInfo{ID: "u1"}}}
	func() {
		defer x.recoverRequest()
		panic("unexpected")
	}()
	g.Expect(x.w.(*httptest.ResponseRecorder).Code).To(Equal(http.StatusBadGateway))
	g.Expect(<-c.inbox).To(Equal(finishMsg{upstream: "u1", key: 7, result: admission.Result{Outcome: admission.Cancelled, Process: admission.Process{ID: "u1"}}}), "the slot is released")
}
