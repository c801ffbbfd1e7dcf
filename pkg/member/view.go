package member

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// snapshot is an immutable list of members with its indexes.
type snapshot struct {
	self    Member
	byID    map[string]Member
	live    []Member
	changed chan struct{}
	// owners caches the rendezvous order by key. Keys are the names of pools and
	// roles, of which there are a few dozen.
	owners sync.Map
}

func newSnapshot(self Member, members []Member) *snapshot {
	s := &snapshot{self: self, byID: map[string]Member{}, changed: make(chan struct{})}
	for _, m := range members {
		s.byID[m.ID] = m
		if m.Status == Alive || m.Status == Suspect {
			s.live = append(s.live, m)
		}
	}
	return s
}

// ownersOf returns the live members in rendezvous hashing order for the key.
func (s *snapshot) ownersOf(key string) []Member {
	if found, ok := s.owners.Load(key); ok {
		return found.([]Member)
	}
	ordered := RendezvousOrder(s.live, key)
	s.owners.Store(key, ordered)
	return ordered
}

// RendezvousOrder returns the members in rendezvous hashing order for the key.
// The library returns only the first member, so it is called again without the
// members already found.
func RendezvousOrder(members []Member, key string) []Member {
	ids := make([]string, 0, len(members))
	byID := make(map[string]Member, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
		byID[m.ID] = m
	}
	ordered := make([]Member, 0, len(ids))
	for len(ids) > 0 {
		first := rendezvous.New(ids, xxhash.Sum64String).Lookup(key)
		ordered = append(ordered, byID[first])
		rest := ids[:0]
		for _, id := range ids {
			if id != first {
				rest = append(rest, id)
			}
		}
		ids = rest
	}
	return ordered
}
