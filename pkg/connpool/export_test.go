package connpool

import (
	"bufio"
	"io"
)

// IdleCount returns the number of idle connections to an address.
func (p *Pool) IdleCount(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address])
}

// IdleOpenAndEmpty reports whether all idle connections to an address are open and have
// no data to read; false if there are none.
func (p *Pool) IdleOpenAndEmpty(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[address] {
		if !isOpenAndEmpty(conn.conn) {
			return false
		}
	}
	return len(p.idle[address]) > 0
}

// NewChunkedBody returns a body that is read from source.
func NewChunkedBody(source io.Reader) ChunkedBody {
	input := &headLimitReader{source: source}
	return &chunkedBody{reader: bufio.NewReader(input), input: input}
}
