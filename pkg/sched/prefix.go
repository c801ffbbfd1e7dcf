package sched

// prefixIndex records which upstream is believed to have which prompt prefix in
// its cache. Grants, releases and cache events update it. Events arrive late
// and some are lost, so the index is only an estimate; it affects cost, never
// correctness.
type prefixIndex struct {
	// upstreamsByPrefix lists, for each prefix, the indexes of the upstreams
	// that hold it.
	upstreamsByPrefix map[uint64][]int32
	caches            []prefixCache
	limitPerUpstream  int
	// cached is scratch space: the cached tokens per upstream for the request
	// last passed to match. matchedUpstreams lists the upstreams whose cached
	// tokens are set.
	cached           []int
	matchedUpstreams []int32
	// version counts changes to the index. matched and matchedVersion are the
	// request and the version for which cached was computed.
	version        uint64
	matched        *Work
	matchedVersion uint64
}

// prefixCache is the index of one upstream: a bounded LRU list.
type prefixCache struct {
	slots map[uint64]int32
	nodes []prefixNode
	// newest is the most recently used node, oldest the least recently used
	// one.
	newest, oldest int32
	free           []int32
}

type prefixNode struct {
	hash       uint64
	prev, next int32
}

const noNode = -1

func newPrefixIndex(limit int) prefixIndex {
	return prefixIndex{upstreamsByPrefix: map[uint64][]int32{}, limitPerUpstream: limit}
}

// grow adds caches up to the given number of upstreams.
func (p *prefixIndex) grow(upstreams int) {
	for len(p.caches) < upstreams {
		p.caches = append(p.caches, prefixCache{slots: map[uint64]int32{}, newest: noNode, oldest: noNode})
		p.cached = append(p.cached, 0)
	}
}

// add records that an upstream holds a prefix, and evicts the least recently
// used one if the index of the upstream is full.
func (p *prefixIndex) add(upstream int32, hash uint64) {
	c := &p.caches[upstream]
	if slot, ok := c.slots[hash]; ok {
		c.unlink(slot)
		c.linkNewest(slot)
		return
	}
	for len(c.slots) >= p.limitPerUpstream {
		p.remove(upstream, c.nodes[c.oldest].hash)
	}
	p.version++
	slot := c.allocate(hash)
	c.slots[hash] = slot
	c.linkNewest(slot)
	p.upstreamsByPrefix[hash] = append(p.upstreamsByPrefix[hash], upstream)
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
	upstreams := p.upstreamsByPrefix[hash]
	for i, indexed := range upstreams {
		if indexed == upstream {
			upstreams[i] = upstreams[len(upstreams)-1]
			upstreams = upstreams[:len(upstreams)-1]
			break
		}
	}
	if len(upstreams) == 0 {
		delete(p.upstreamsByPrefix, hash)
		return
	}
	p.upstreamsByPrefix[hash] = upstreams
}

// reset removes all entries of an upstream, whose cache is empty after a
// restart.
func (p *prefixIndex) reset(upstream int32) {
	c := &p.caches[upstream]
	for c.newest != noNode {
		p.remove(upstream, c.nodes[c.newest].hash)
	}
	*c = prefixCache{slots: map[uint64]int32{}, newest: noNode, oldest: noNode}
}

// match computes cached: for each upstream, the tokens of the longest prefix of
// the request that it holds.
func (p *prefixIndex) match(work *Work) {
	if p.matched == work && p.matchedVersion == p.version {
		return
	}
	p.matched = work
	p.matchedVersion = p.version
	for _, index := range p.matchedUpstreams {
		p.cached[index] = 0
	}
	p.matchedUpstreams = p.matchedUpstreams[:0]
	for i, hash := range work.PrefixHashes {
		if i >= len(work.PrefixTokens) {
			return
		}
		for _, upstream := range p.upstreamsByPrefix[hash] {
			if p.cached[upstream] == 0 {
				p.matchedUpstreams = append(p.matchedUpstreams, upstream)
			}
			p.cached[upstream] = min(work.PrefixTokens[i], work.PromptTokens)
		}
	}
}

// applyResult corrects the index after a request. A completed request leaves
// all its prefixes cached, any other only those of up to cachedTokens tokens.
func (p *prefixIndex) applyResult(upstream int32, work *Work, cachedTokens int, completed bool) {
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

func (c *prefixCache) linkNewest(slot int32) {
	c.nodes[slot].prev = noNode
	c.nodes[slot].next = c.newest
	if c.newest != noNode {
		c.nodes[c.newest].prev = slot
	}
	c.newest = slot
	if c.oldest == noNode {
		c.oldest = slot
	}
}

func (c *prefixCache) unlink(slot int32) {
	node := c.nodes[slot]
	if node.prev != noNode {
		c.nodes[node.prev].next = node.next
	} else {
		c.newest = node.next
	}
	if node.next != noNode {
		c.nodes[node.next].prev = node.prev
	} else {
		c.oldest = node.prev
	}
}
