package engine

import (
	"container/list"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// blockTokens is the number of tokens in one cache block.
const blockTokens = upstream.PrefixBlockBytes / upstream.BytesPerToken

// maxCacheEvents limits the number of cache events that are kept.
const maxCacheEvents = 10_000

// blockCache is a prefix cache that evicts the least recently used blocks.
type blockCache struct {
	capacityBlocks int
	// recency holds the hashes of the blocks, the most recently used one first.
	recency  *list.List
	blocks   map[uint64]*list.Element
	events   []timedCacheEvent
	sequence uint64
}

type timedCacheEvent struct {
	at    time.Time
	event upstream.CacheEvent
}

func newBlockCache(tokens int) *blockCache {
	return &blockCache{
		capacityBlocks: tokens / blockTokens,
		recency:        list.New(),
		blocks:         map[uint64]*list.Element{},
	}
}

// matchPrefix returns the number of leading blocks that are cached, and marks them
// as used.
func (c *blockCache) matchPrefix(hashes []uint64) int {
	for count, hash := range hashes {
		element, ok := c.blocks[hash]
		if !ok {
			return count
		}
		c.recency.MoveToFront(element)
	}
	return len(hashes)
}

// store adds blocks, evicts blocks beyond the capacity, and records a cache event.
func (c *blockCache) store(now time.Time, hashes []uint64) {
	var stored, removed []uint64
	for _, hash := range hashes {
		if element, ok := c.blocks[hash]; ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[hash] = c.recency.PushFront(hash)
		stored = append(stored, hash)
	}
	for c.recency.Len() > c.capacityBlocks {
		hash := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.blocks, hash)
		removed = append(removed, hash)
	}
	if len(stored)+len(removed) == 0 {
		return
	}
	c.sequence++
	event := upstream.CacheEvent{Sequence: c.sequence, Stored: stored, Removed: removed}
	c.events = append(c.events, timedCacheEvent{at: now, event: event})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events after a sequence number that are no later than
// latest. It omits every dropEvery-th event.
func (c *blockCache) eventsAfter(after uint64, latest time.Time, dropEvery int) []upstream.CacheEvent {
	events := []upstream.CacheEvent{}
	for _, timed := range c.events {
		if timed.event.Sequence <= after || timed.at.After(latest) {
			continue
		}
		if dropEvery > 0 && timed.event.Sequence%uint64(dropEvery) == 0 {
			continue
		}
		events = append(events, timed.event)
	}
	return events
}
