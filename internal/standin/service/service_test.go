package service_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/internal/standin/service"
)

// The timeout only bounds failing tests.
func init() { SetDefaultEventuallyTimeout(time.Minute) }

// Guards against injected faults without effect, and against executions that are not
// counted: tests of at-most-once execution rely on the counts.
func TestFaultsAndExecutionCounts(t *testing.T) {
	cases := []struct {
		mode     service.Mode
		status   int
		failed   bool
		executed int
	}{
		{service.None, http.StatusOK, false, 1},
		{service.ResetBefore, 0, true, 0},
		{service.ResetAfter, 0, true, 1},
		{service.Redirect307, http.StatusTemporaryRedirect, false, 0},
		{service.Redirect308, http.StatusPermanentRedirect, false, 0},
		{service.WrongID, http.StatusOK, false, 1},
		{service.CutBody, http.StatusOK, true, 1},
	}
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, c := range cases {
		t.Run(string(c.mode), func(t *testing.T) {
			g := NewWithT(t)
			standin := service.New(clockwork.NewFakeClock())
			standin.SetFaults(service.Faults{Mode: c.mode, WrongRequestID: "other", Times: 1})
			server := httptest.NewServer(standin.Handler())
			defer server.Close()
			request, _ := http.NewRequest(http.MethodPost, server.URL+"/locks/7", strings.NewReader(`{"key":"buggy 7"}`))
			request.Header.Set("X-Request-Id", "r1")
			response, err := client.Do(request)
			status := 0
			if err == nil {
				status = response.StatusCode
				_, err = io.ReadAll(response.Body)
				response.Body.Close()
			}
			g.Expect(status).To(Equal(c.status))
			g.Expect(err != nil).To(Equal(c.failed))
			log := standin.Log()
			g.Expect(log.Calls).To(HaveLen(1))
			g.Expect(log.ByRequestID["r1"]).To(Equal(c.executed))
			g.Expect(log.ByKey["buggy 7"]).To(Equal(c.executed))
		})
	}
}

// Guards against a service that does not execute a request because it does not answer
// it, and against an answer that is sent before the injected delay has passed.
func TestHangAndLateModes(t *testing.T) {
	for _, mode := range []service.Mode{service.Hang, service.Late} {
		t.Run(string(mode), func(t *testing.T) {
			g := NewWithT(t)
			clock := clockwork.NewFakeClock()
			standin := service.New(clock)
			standin.SetFaults(service.Faults{Mode: mode, DelayMs: 100})
			server := httptest.NewServer(standin.Handler())
			defer server.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			answered := make(chan error, 1)
			go func() {
				request, _ := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/x", strings.NewReader("{}"))
				request.Header.Set("X-Request-Id", "r1")
				response, err := http.DefaultClient.Do(request)
				if err == nil {
					response.Body.Close()
				}
				answered <- err
			}()
			g.Eventually(func() int { return standin.Log().ByRequestID["r1"] }).Should(Equal(1))
			g.Expect(answered).To(BeEmpty())
			if mode == service.Hang {
				cancel()
				g.Eventually(answered).Should(Receive(MatchError(context.Canceled)))
				return
			}
			g.Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
			clock.Advance(100 * time.Millisecond)
			g.Eventually(answered).Should(Receive(BeNil()))
		})
	}
}
