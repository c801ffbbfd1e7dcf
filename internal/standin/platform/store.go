// Package platform is a small in-memory stand-in of the platform for tests:
// the object API, watches, the instance list, and faults that can be switched
// on and off.
package platform

import (
	"errors"
	"sort"
	"sync"

	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

// Errors of the object store.
var (
	errConflict  = errors.New("precondition failed")
	errNotFound  = errors.New("object does not exist")
	errCompacted = errors.New("version is compacted")
)

type key struct{ kind, name string }

// store holds the objects and the log of their changes.
type store struct {
	mu      sync.Mutex
	version uint64
	objects map[key]platform.Object
	// log holds the events after the compacted version, in version order.
	log       []platform.Event
	compacted uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{objects: map[key]platform.Object{}, changed: make(chan struct{})}
}

func (s *store) get(kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key{kind, name}]
	if !ok {
		return platform.Object{}, errNotFound
	}
	return object, nil
}

func (s *store) list(kinds []string) platform.List {
	wanted := kindSet(kinds)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platform.List{Version: s.version}
	for k, object := range s.objects {
		if wanted.has(k.kind) {
			list.Objects = append(list.Objects, object)
		}
	}
	sort.Slice(list.Objects, func(i, j int) bool {
		return list.Objects[i].Version < list.Objects[j].Version
	})
	return list
}

func (s *store) check(k key, pre platform.Precondition) error {
	current, exists := s.objects[k]
	if pre.Absent && exists {
		return errConflict
	}
	if pre.Version != 0 && (!exists || current.Version != pre.Version) {
		return errConflict
	}
	return nil
}

func (s *store) put(object platform.Object, pre platform.Precondition) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{object.Kind, object.Name}
	if err := s.check(k, pre); err != nil {
		return 0, err
	}
	s.version++
	object.Version = s.version
	s.objects[k] = object
	s.append(platform.Event{Type: platform.EventPut, Object: object})
	return s.version, nil
}

func (s *store) delete(kind, name string, pre platform.Precondition) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{kind, name}
	if err := s.check(k, pre); err != nil {
		return 0, err
	}
	if _, exists := s.objects[k]; !exists {
		return 0, errNotFound
	}
	s.version++
	delete(s.objects, k)
	object := platform.Object{Kind: kind, Name: name, Version: s.version}
	s.append(platform.Event{Type: platform.EventDelete, Object: object})
	return s.version, nil
}

// append requires the lock.
func (s *store) append(event platform.Event) {
	s.log = append(s.log, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact forgets the events up to the current version.
func (s *store) compact() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.version
	s.log = nil
	return s.compacted
}

// after returns the events above the version, and a channel that is closed at
// the next change.
func (s *store) after(version uint64, kinds kindFilter) ([]platform.Event, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.compacted {
		return nil, nil, errCompacted
	}
	first := sort.Search(len(s.log), func(i int) bool {
		return s.log[i].Object.Version > version
	})
	var events []platform.Event
	for _, event := range s.log[first:] {
		if kinds.has(event.Object.Kind) {
			events = append(events, event)
		}
	}
	return events, s.changed, nil
}

// kindFilter is a set of kinds; the empty set holds every kind.
type kindFilter map[string]bool

func kindSet(kinds []string) kindFilter {
	set := kindFilter{}
	for _, kind := range kinds {
		set[kind] = true
	}
	return set
}

func (f kindFilter) has(kind string) bool { return len(f) == 0 || f[kind] }
