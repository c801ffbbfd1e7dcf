package gateway_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// nestedMarker stands for a deeply nested value in what a test writes to the store, since
// Go's encoder refuses to write one.
const nestedMarker = "DEEP"

// maxJSONDepth is the depth beyond which Go's decoder refuses a whole document.
const maxJSONDepth = 10_000

// nestingStore forwards calls to the store and replaces nestedMarker in the answers.
func (c *testCluster) nestingStore() string {
	nested := []byte(strings.Repeat("[", 2*maxJSONDepth) + strings.Repeat("]", 2*maxJSONDepth))
	target := "http://" + c.storeAddress
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.RequestURI, r.Body)
		if err != nil {
			return
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return
		}
		w.WriteHeader(response.StatusCode)
		_, _ = w.Write(bytes.ReplaceAll(body, []byte(`"`+nestedMarker+`"`), nested))
	}))
	c.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Failure: another program leaves an odd entry among those of the upstreams. Guards
// against an instance that stops following the list, that ends, or that uses the entry.
func TestOddUpstreamEntryIsIgnored(t *testing.T) {
	odd := map[string]any{
		"deeply nested":                map[string]any{"service": "desk", "address": "127.0.0.1:9", "state": "ready", "extra": nestedMarker},
		"deeply nested itself":         nestedMarker,
		"deeply nested field":          map[string]any{"service": "desk", "address": "127.0.0.1:9", "state": nestedMarker},
		"number beyond 64 bits":        []byte(`{"service":"desk","address":"127.0.0.1:9","state":"ready","slots":99999999999999999999999}`),
		"number beyond a float":        []byte(`{"service":"desk","address":"127.0.0.1:9","state":"ready","slots":1e999}`),
		"more slots than any upstream": []byte(`{"service":"desk","address":"127.0.0.1:9","state":"ready","slots":4611686018427387904}`),
		"negative slots":               []byte(`{"service":"desk","address":"127.0.0.1:9","state":"ready","slots":-3}`),
		"port out of range":            map[string]any{"service": "desk", "address": "127.0.0.1:99999", "state": "ready"},
		"port 0":                       map[string]any{"service": "desk", "address": "127.0.0.1:0", "state": "ready"},
		"no port":                      map[string]any{"service": "desk", "address": "127.0.0.1", "state": "ready"},
		"host name":                    map[string]any{"service": "desk", "address": "upstream.example:80", "state": "ready"},
	}
	for name, entry := range odd {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, 0)
			cluster.storeAddress = cluster.nestingStore()
			// The entry is there at the start, is listed, and is watched later.
			cluster.store.Put("servers", "odd1", entry)
			cluster.startInstance("edge-0")
			upstream := cluster.startUpstream("u1", answerWith("x"))
			cluster.store.Put("servers", "odd2", entry)
			cluster.registerUpstream(upstream, "draining")
			cluster.registerUpstream(upstream, "ready")
			// A known upstream whose entry becomes odd is not used any more.
			cluster.startUpstream("u2", answerWith("x"))
			cluster.store.Put("servers", "u2", entry)
			cluster.Eventually(func() bool { return cluster.logged("upstream removed", "u2") }, eventuallyTimeout).Should(BeTrue())
			for _, ignored := range []string{"odd1", "odd2"} {
				cluster.Expect(cluster.logged("upstream entry ignored", ignored)).To(BeTrue(), ignored)
			}
			for range 4 {
				cluster.Expect(cluster.post("/once/", nil).status).To(Equal(http.StatusOK))
			}
			cluster.Expect(upstream.requests()).To(HaveLen(4))
		})
	}
}
