package connpool_test

import (
	"bufio"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/connpool"
)

// Upstreams send heads, or bytes that are no head, that do not end. Guards against a
// request that reads them until its deadline.
func TestEndlessHeadsFailAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		start, repeated string
		// stalls is true if the upstream sends nothing after start.
		stalls bool
	}{
		"short lines":              {start: "HTTP/1.1 200 OK\r\n", repeated: "a:\n"},
		"one line":                 {start: "HTTP/1.1 200 OK\r\nX-Pad: ", repeated: "xxxx"},
		"status line":              {start: "HTTP/1.1 200 ", repeated: "xxxx"},
		"interim responses":        {repeated: "HTTP/1.1 103 Early\r\n\r\n"},
		"empty lines":              {repeated: "\r\n"},
		"no response":              {repeated: "xxxx"},
		"no response, then stalls": {start: "\x16\x03\x01\x02\x00", stalls: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			block := strings.Repeat(test.repeated, 1000)
			u := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, ok := readRequest(reader); !ok {
					return
				}
				write(conn, test.start)
				for !test.stalls {
					if _, err := conn.Write([]byte(block)); err != nil {
						return
					}
				}
				_, _ = reader.ReadByte()
			})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			conn, _, err := f.pool.Get(ctx, u.address(), "u", 1)
			f.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = conn.RoundTrip(ctx, connpool.Request{Method: "GET", Target: "/", Host: "h"}, idHeader, "a")
			f.Expect(err).To(HaveOccurred())
			f.Expect(ctx.Err()).NotTo(HaveOccurred(), "%v", err)
		})
	}
}
