package sched

// prefixIndex records which upstream is believed to hold which prompt prefix.
// It is fed by grants, releases and cache events. Events arrive late and with
// gaps, so the index is only an estimate; it affects cost, never correctness.
type prefixIndex struct {
	// holders lists, for each prefix, the indices of upstreams that hold it.
	holders map[uint64][]int32
	caches  []prefixCache
	limit   int
	// cached is scratch space: the tokens cached per upstream for the request
	// under consideration; touched lists the entries that are set.
	cached  []int
	touched []int32
	// version counts the changes; matched and matchedVersion tell for which
	// request and which state of the index cached holds.
	version        uint64
	matched        *Work
	matchedVersion uint64
}

// prefixCache is the index of one upstream: a bounded list in order of use.
type prefixCache struct {
	slots map[uint64]int32
	nodes []prefixNode
	// first is the most recently used node, last the least recently used one.
	first, last int32
	free        []int32
}

type prefixNode struct {
	hash       uint64
	prev, next int32
}

const noNode = -1

func newPrefixIndex(limit int) prefixIndex {
	return prefixIndex{holders: map[uint64][]int32{}, limit: limit}
}

// grow makes room for an upstream index.
func (p *prefixIndex) grow(upstreams int) {
	for len(p.caches) < upstreams {
		p.caches = append(p.caches, prefixCache{slots: map[uint64]int32{}, first: noNode, last: noNode})
		p.cached = append(p.cached, 0)
	}
}

// add records that an upstream holds a prefix, and forgets the least recently
// used one when the index of the upstream is full.
func (p *prefixIndex) add(upstream int32, hash uint64) {
	c := &p.caches[upstream]
	if slot, ok := c.slots[hash]; ok {
		c.unlink(slot)
		c.linkFirst(slot)
		return
	}
	for len(c.slots) >= p.limit {
		p.remove(upstream, c.nodes[c.last].hash)
	}
	p.version++
	slot := c.allocate(hash)
	c.slots[hash] = slot
	c.linkFirst(slot)
	p.holders[hash] = append(p.holders[hash], upstream)
}

// remove records that an upstream no longer holds a prefix.
func (p *prefixIndex) remove(upstream int32, hash uint64) {
	c := &p.caches[upstream]
	slot, ok := c.slots[hash]
	if !ok {
		return
	}
	p.version++
	c.unlink(slot)
	c.free = append(c.free, slot)
	delete(c.slots, hash)
	holders := p.holders[hash]
	for i, holder := range holders {
		if holder == upstream {
			holders[i] = holders[len(holders)-1]
			holders = holders[:len(holders)-1]
			break
		}
	}
	if len(holders) == 0 {
		delete(p.holders, hash)
		return
	}
	p.holders[hash] = holders
}

// reset forgets everything about an upstream, whose cache is empty after a
// restart.
func (p *prefixIndex) reset(upstream int32) {
	c := &p.caches[upstream]
	for c.first != noNode {
		p.remove(upstream, c.nodes[c.first].hash)
	}
	*c = prefixCache{slots: map[uint64]int32{}, first: noNode, last: noNode}
}

// match fills cached with the tokens of the longest prefix each upstream holds.
func (p *prefixIndex) match(work *Work) {
	if p.matched == work && p.matchedVersion == p.version {
		return
	}
	p.matched = work
	p.matchedVersion = p.version
	for _, index := range p.touched {
		p.cached[index] = 0
	}
	p.touched = p.touched[:0]
	for i, hash := range work.PrefixHashes {
		if i >= len(work.PrefixTokens) {
			return
		}
		for _, holder := range p.holders[hash] {
			if p.cached[holder] == 0 {
				p.touched = append(p.touched, holder)
			}
			p.cached[holder] = min(work.PrefixTokens[i], work.PromptTokens)
		}
	}
}

// learn corrects the index with the cached tokens that an upstream reported
// for a request that it has completed.
func (p *prefixIndex) learn(upstream int32, work *Work, cachedTokens int, completed bool) {
	for i, hash := range work.PrefixHashes {
		if i >= len(work.PrefixTokens) {
			return
		}
		if completed || work.PrefixTokens[i] <= cachedTokens {
			p.add(upstream, hash)
			continue
		}
		p.remove(upstream, hash)
	}
}

func (c *prefixCache) allocate(hash uint64) int32 {
	if n := len(c.free); n > 0 {
		slot := c.free[n-1]
		c.free = c.free[:n-1]
		c.nodes[slot].hash = hash
		return slot
	}
	c.nodes = append(c.nodes, prefixNode{hash: hash})
	return int32(len(c.nodes) - 1)
}

func (c *prefixCache) linkFirst(slot int32) {
	c.nodes[slot].prev = noNode
	c.nodes[slot].next = c.first
	if c.first != noNode {
		c.nodes[c.first].prev = slot
	}
	c.first = slot
	if c.last == noNode {
		c.last = slot
	}
}

func (c *prefixCache) unlink(slot int32) {
	node := c.nodes[slot]
	if node.prev != noNode {
		c.nodes[node.prev].next = node.next
	} else {
		c.first = node.next
	}
	if node.next != noNode {
		c.nodes[node.next].prev = node.prev
	} else {
		c.last = node.prev
	}
}
