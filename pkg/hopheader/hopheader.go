// Package hopheader removes hop-by-hop headers, which a proxy must not forward.
package hopheader

import (
	"net/http"
	"strings"
)

// hopByHopHeaders also holds Expect, since waiting for 100 Continue would delay
// the body by a timeout.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the headers without the hop-by-hop headers and those that
// the Connection header lists. The copy is never nil.
func EndToEnd(original http.Header) http.Header {
	header := original.Clone()
	if header == nil {
		header = http.Header{}
	}
	for _, listed := range original.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	return header
}
