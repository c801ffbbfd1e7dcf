package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/cli"
	"github.com/rosemarywing/rosemarywing/pkg/gateway"
)

func (c *testCluster) placementCommand(input string, args ...string) (code int, output string) {
	var out, errOut bytes.Buffer
	code = cli.Run(context.Background(), append([]string{"placement", "--instance", c.instances[0].admin}, args...), strings.NewReader(input), &out, &errOut)
	return code, out.String() + errOut.String()
}

func (c *testCluster) previewPlacement(args ...string) gateway.PlacementPreview {
	c.t.Helper()
	code, output := c.placementCommand("", append([]string{"-o", "json"}, args...)...)
	c.Expect(code).To(BeZero(), output)
	var preview gateway.PlacementPreview
	c.Expect(json.Unmarshal([]byte(output), &preview)).To(Succeed(), output)
	return preview
}

// Guards against an answer that differs from where the next request goes, and against a
// question that sends a request, takes a slot, or uses up quota.
func TestPlacementPreviewOfARunningInstance(t *testing.T) {
	c := newTestCluster(t, 0)
	c.config["tenants"] = []map[string]any{{"name": "team-a", "api_keys": []string{"key-a"}, "priority": 1, "unit": "token_count", "rate_per_s": 1000.0, "burst": 1000}}
	c.publish()
	c.startInstance("edge-0")
	c.Expect(c.previewPlacement("--route", "once", "--team", "team-a").Decision).To(Equal("refused"), "no upstream")

	release := make(chan struct{})
	// Without it a failed check would wait for the answers that are held.
	endHold := sync.OnceFunc(func() { close(release) })
	t.Cleanup(endHold)
	busy := c.startUpstreamWithSlots("u-busy", 1, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.WriteHeader(http.StatusOK)
	})
	request := []string{"--route", "once", "--team", "team-a", "--prompt-tokens", "10", "--deadline-ms", "9000"}
	var first gateway.PlacementPreview
	for range 20 {
		first = c.previewPlacement(request...)
		c.Expect(first.Upstream).To(Equal("u-busy"), "%+v", first)
	}
	c.Expect(first.Decision).To(Equal("placed"))
	c.Expect(first.Service).To(Equal("desk"))
	c.Expect(first.ConfigVersion).To(BeNumerically(">", 0))
	c.Expect(first.Quota).NotTo(BeNil())
	c.Expect(first.Quota.Allowed).To(BeTrue())
	c.Expect(first.Quota.Used).To(BeZero(), "20 questions have used nothing")
	c.Expect(first.Candidates).To(HaveLen(1))
	c.Expect(first.Candidates[0].InFlight).To(BeZero())
	c.Expect(busy.requests()).To(BeEmpty())

	// The upstream gets its slot and one more request filled.
	done := make(chan answer, 2)
	for range 2 {
		go func() { done <- c.post("/once/x", nil) }()
	}
	c.Eventually(func() string { return c.previewPlacement(request...).Decision }, eventuallyTimeout).Should(Equal("waits"))
	full := c.previewPlacement(request...)
	c.Expect(full.Candidates[0].Out).To(Equal("it has no room"))
	// Its latency target of 500 ms less the time to an answer.
	c.Expect(full.MaxWaitMs).To(Equal(int64(455)))
	c.startUpstream("u-free", answerWith("sound"))
	free := c.previewPlacement(request...)
	c.Expect(free.Upstream).To(Equal("u-free"))
	c.Expect(free.Candidates).To(HaveLen(2))
	code, text := c.placementCommand("", request...)
	c.Expect(code).To(BeZero())
	c.Expect(text).To(And(ContainSubstring("placed at u-free: lowest expected time"), ContainSubstring("it has no room"), ContainSubstring("quota of team team-a has room"), ContainSubstring("configuration ")))
	c.Expect(c.post("/once/y", nil).body).To(Equal("sound"), "the request goes where the answer said")
	endHold()
	for range 2 {
		<-done
	}

	file := filepath.Join(t.TempDir(), "request.json")
	c.Expect(os.WriteFile(file, []byte(`{"route":"once","team":"team-a","promptTokens":100000000,"deadlineMs":9000}`), 0o600)).To(Succeed())
	large := c.previewPlacement("--file", file)
	c.Expect(large.Decision).To(Equal("refused"))
	c.Expect(large.Reason).To(Equal("the quota of the team is used up"))
}

// Guards against an answer about another request than the one that was meant.
func TestPlacementPreviewRefusesBadInput(t *testing.T) {
	c := newTestCluster(t, 1)
	c.startUpstream("u-1", answerWith("sound"))
	for name, bad := range map[string]struct {
		input  string
		args   []string
		reason string
	}{
		"no route":           {"", nil, "a route is required"},
		"unknown route":      {"", []string{"--route", "none"}, `no route is named "none"`},
		"no team":            {"", []string{"--route", "once"}, "requires a team"},
		"unknown team":       {"", []string{"--route", "once", "--team", "team-z"}, `no team is named "team-z"`},
		"other kind":         {"", []string{"--route", "once", "--team", "team-a", "--kind", "stream"}, "of kind once"},
		"other service":      {"", []string{"--route", "once", "--team", "team-a", "--service", "lab"}, `no requests to service "lab"`},
		"negative tokens":    {"", []string{"--route", "once", "--prompt-tokens=-1"}, "must not be negative"},
		"too many tokens":    {"", []string{"--route", "once", "--team", "team-a", "--prompt-tokens", "100000001"}, "prompt_tokens"},
		"no number":          {"", []string{"--route", "once", "--prompt-tokens", "many"}, "prompt-tokens"},
		"deadline of 0":      {"", []string{"--route", "once", "--deadline-ms", "0"}, "above 0"},
		"unknown flag":       {"", []string{"--route", "once", "--colour", "red"}, "colour"},
		"extra argument":     {"", []string{"--route", "once", "x"}, "unexpected arguments"},
		"missing file":       {"", []string{"--file", "/nonexistent/request.json"}, "request.json"},
		"malformed file":     {"{", []string{"--file", "-"}, "file -"},
		"unknown key":        {`{"route":"once","colour":"red"}`, []string{"--file", "-"}, "colour"},
		"not an address":     {"", []string{"--instance", "a b:c", "--route", "once"}, "instance"},
		"address of callers": {"", []string{"--instance", c.instances[0].ready, "--route", "once"}, "is not the admin address"},
	} {
		code, output := c.placementCommand(bad.input, bad.args...)
		c.Expect(code).To(Equal(2), "%s: %s", name, output)
		c.Expect(output).To(ContainSubstring(bad.reason), name)
	}
	for _, query := range []string{"route=once&route=safe", "rout=once", "%zz", "route=once&team=team-a&deadline_ms=1e3"} {
		response, err := http.Get("http://" + c.instances[0].admin + "/placement?" + query)
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(response.StatusCode).To(Equal(http.StatusBadRequest), query)
		c.Expect(response.Body.Close()).To(Succeed())
	}
	stopped := time.Now()
	code, output := c.placementCommand("", "--instance", reserveAddress(t), "--route", "once")
	c.Expect(code).To(Equal(5), "%s after %s", output, time.Since(stopped))
}
