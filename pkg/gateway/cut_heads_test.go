package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// An upstream ends or resets its connection within the head of its answer, or within the
// body, or its head runs into a second one. Guards against a 2xx that looks complete at
// callers of HTTP/1.0 and HTTP/1.1, on each kind of route.
func TestCutHeadNeverBecomesAnswer(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	cuts := map[string]string{
		"status line":       "HTTP/1.1 200",
		"after a line":      "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n",
		"in the signature":  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig",
		"in the length":     signedHead + "Content-Length: 1",
		"after the length":  signedHead + "Content-Length: 15\r\n",
		"in the coding":     signedHead + "Transfer-Encoding: chun",
		"in the empty line": signedHead + "Content-Length: 15\r\n\r",
		"in a folded line":  signedHead + "X: a\r\n ",
		"after the head":    signedHead + "Content-Length: 15\r\n\r\n",
		"in the body":       signedHead + "Content-Length: 15\r\n\r\nid: 1",
		"in a chunk size":   signedHead + "Transfer-Encoding: chunked\r\n\r\n0",
		"in the last chunk": signedHead + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + event + "\r\n0\r\n",
		"second head":       "HTTP/1.1 200 OK\r\nDate: SaHTTP/1.1 500 No\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nno",
		"status below 100":  "HTTP/1.1 020 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nno",
		"reset, no length":  signedHead + "\r\n" + event,
	}
	paths := []string{"/once/", "/safe/", "/stream/", "/resume/"}
	for name, text := range cuts {
		t.Run(name, func(t *testing.T) {
			// Each way gets a cluster of its own, since an upstream that fails often is
			// not used for some time.
			for _, isReset := range []bool{false, true} {
				if strings.HasPrefix(name, "reset") && !isReset {
					continue
				}
				cluster := newTestCluster(t, 1)
				upstream := cluster.startUpstream("u1", rawUpstream(func(conn net.Conn, id string) {
					_, _ = io.WriteString(conn, strings.Replace(text, "%s", id, 1))
					if isReset {
						time.Sleep(time.Millisecond)
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
				}))
				refused := 0
				for n, path := range paths {
					version := fmt.Sprint("1.", n%2)
					if isReset {
						version = fmt.Sprint("1.", 1-n%2)
					}
					sentBefore := len(upstream.requests())
					got, err := cluster.sendRaw(path, version)
					label := fmt.Sprintf("reset %t, %s, HTTP/%s: %.80q", isReset, path, version, got)
					response, parseErr := http.ReadResponse(bufio.NewReader(strings.NewReader(got)), nil)
					switch {
					case parseErr != nil:
						cluster.Expect(err).To(HaveOccurred(), label)
					case response.StatusCode == http.StatusTooManyRequests && len(upstream.requests()) == sentBefore:
						refused++
					case response.StatusCode/100 != 2:
						cluster.Expect(response.StatusCode).To(Equal(http.StatusBadGateway), label)
					default:
						if err == nil {
							_, err = io.ReadAll(response.Body)
						}
						cluster.Expect(err).To(HaveOccurred(), label)
					}
				}
				cluster.Expect(refused).To(BeNumerically("<=", len(paths)/2))
			}
		})
	}
}
