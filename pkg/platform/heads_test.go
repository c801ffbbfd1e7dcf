package platform_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

// newRawClient returns a client of a platform that answers each call with text and then
// closes the connection.
func newRawClient(t *testing.T, text string) *platform.Client {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
			}
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		}
	}()
	client := platform.NewClient(platform.Options{BaseURL: "http://" + listener.Addr().String(), Timeout: longTimeout,
		WatchIdleTimeout: longTimeout, Registry: metrics.NewRegistry(), Clock: clockwork.NewRealClock()})
	t.Cleanup(client.Close)
	return client
}

// The head of an answer of the platform is that of two answers, or is none. Guards against
// the status of one head with the body of another.
func TestDefectiveHeadOfThePlatformIsAnError(t *testing.T) {
	ctx := context.Background()
	framed := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }
	for way, test := range map[string]struct {
		body string
		call func(client *platform.Client) error
	}{
		"get":       {`{"version":7}`, func(client *platform.Client) error { _, err := client.Get(ctx, "Tier", "a"); return err }},
		"list":      {`{"version":7}`, func(client *platform.Client) error { _, err := client.List(ctx, "Tier"); return err }},
		"instances": {`[]`, func(client *platform.Client) error { _, err := client.Instances(ctx); return err }},
		"put": {`{"version":7}`, func(client *platform.Client) error {
			_, err := client.Put(ctx, object("a", "{}"), platform.Precondition{})
			return err
		}},
		"delete": {`{"version":7}`, func(client *platform.Client) error {
			_, err := client.Delete(ctx, "Tier", "a", platform.Precondition{})
			return err
		}},
		"watch": {`{"type":"put"}`, func(client *platform.Client) error {
			watch, err := client.Watch(ctx, 1, "Tier")
			if err != nil {
				return err
			}
			defer watch.Close()
			_, err = watch.Next()
			return err
		}},
	} {
		for name, head := range map[string]struct {
			text  string
			valid bool
		}{
			"sound":                          {"HTTP/1.1 200 OK\r\n", true},
			"status 000":                     {"HTTP/1.1 000 \r\n", false},
			"status 099":                     {"HTTP/1.1 099 Odd\r\n", false},
			"status of four digits":          {"HTTP/1.1 0200 OK\r\n", false},
			"status of letters":              {"HTTP/1.1 abc OK\r\n", false},
			"no status":                      {"HTTP/1.1 \r\n", false},
			"status 600":                     {"HTTP/1.1 600 Odd\r\n", false},
			"interim without end":            {"HTTP/1.1 103 Early Hints\r\n\r\n", false},
			"other protocol":                 {"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n", false},
			"second head in a value":         {"HTTP/1.1 200 OK\r\nDate: SaHTTP/1.1 500 No\r\n", false},
			"second head in the status line": {"HTTP/1.1 200 OHTTP/1.1 500 No\r\n", false},
			"name with a space":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n", false},
		} {
			t.Run(way+"/"+name, func(t *testing.T) {
				err := test.call(newRawClient(t, head.text+framed(test.body)))
				NewWithT(t).Expect(err == nil).To(Equal(head.valid), "%v", err)
			})
		}
	}
}

// The platform closes the connection at each position of an answer. Guards against a write
// that counts as made, or an object that counts as read, though the answer was cut.
func TestCutAnswerOfThePlatformIsAnError(t *testing.T) {
	const body = `{"version":7}`
	for name, text := range map[string]string{
		"length":      fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"until close": "HTTP/1.1 200 OK\r\n\r\n" + body,
		"HTTP/1.0":    "HTTP/1.0 200 OK\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for cut := range len(text) {
				client := newRawClient(t, text[:cut])
				_, err := client.Put(context.Background(), object("a", "{}"), platform.Precondition{})
				g.Expect(err).To(HaveOccurred(), "cut at %d of %d", cut, len(text))
				_, err = client.Get(context.Background(), "Tier", "a")
				g.Expect(err).To(HaveOccurred(), "cut at %d of %d", cut, len(text))
			}
		})
	}
}
