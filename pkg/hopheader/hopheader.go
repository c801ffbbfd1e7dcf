// Package hopheader knows the headers that concern one connection only and are
// not passed on.
package hopheader

import (
	"net/http"
	"strings"
)

// names lists them. Expect is among them because waiting for 100 Continue would
// delay the body by a timer.
var names = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Without returns a copy of the headers without those of the connection, listed
// ones included; never nil.
func Without(from http.Header) http.Header {
	header := from.Clone()
	if header == nil {
		header = http.Header{}
	}
	for _, listed := range from.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range names {
		header.Del(name)
	}
	return header
}
