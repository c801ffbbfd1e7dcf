package engine

import (
	"container/list"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// blockTokens is the number of tokens in one cache block.
const blockTokens = upstream.PrefixBlockBytes / upstream.BytesPerToken

// maxCacheEvents bounds the cache events that are kept for readers.
const maxCacheEvents = 10_000

// blockCache is a prefix cache with least-recently-used eviction of blocks.
type blockCache struct {
	capacity int
	order    *list.List
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
		capacity: tokens / blockTokens,
		order:    list.New(),
		blocks:   map[uint64]*list.Element{},
	}
}

// match returns how many leading blocks are cached, and marks them as used.
func (c *blockCache) match(hashes []uint64) int {
	for count, hash := range hashes {
		element, ok := c.blocks[hash]
		if !ok {
			return count
		}
		c.order.MoveToFront(element)
	}
	return len(hashes)
}

// store adds blocks, evicts what exceeds the capacity, and records an event.
func (c *blockCache) store(now time.Time, hashes []uint64) {
	var stored, removed []uint64
	for _, hash := range hashes {
		if element, ok := c.blocks[hash]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[hash] = c.order.PushFront(hash)
		stored = append(stored, hash)
	}
	for c.order.Len() > c.capacity {
		hash := c.order.Remove(c.order.Back()).(uint64)
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

// eventsAfter returns the events after a sequence number that are no younger
// than until. Every loseEvery-th event is lost.
func (c *blockCache) eventsAfter(after uint64, until time.Time, loseEvery int) []upstream.CacheEvent {
	events := []upstream.CacheEvent{}
	for _, timed := range c.events {
		if timed.event.Sequence <= after || timed.at.After(until) {
			continue
		}
		if loseEvery > 0 && timed.event.Sequence%uint64(loseEvery) == 0 {
			continue
		}
		events = append(events, timed.event)
	}
	return events
}
