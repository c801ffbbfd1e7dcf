package connpool

// Idle returns the number of idle connections to an address.
func (p *Pool) Idle(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address])
}

// Quiet reports whether all idle connections to an address are quiet; false if
// there are none.
func (p *Pool) Quiet(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[address] {
		if !quiet(conn.conn) {
			return false
		}
	}
	return len(p.idle[address]) > 0
}
