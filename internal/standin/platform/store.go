// Package platform is an in-memory stand-in for the platform, for tests. It serves
// the object API, watches and the instance list, and injects faults that can be
// changed at run time.
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
	errCompacted = errors.New("required version has been compacted")
)

type objectKey struct{ kind, name string }

// store holds the objects and the events of their changes.
type store struct {
	mu      sync.Mutex
	version uint64
	objects map[objectKey]platform.Object
	// events holds the events after the compacted version, in order of version.
	events    []platform.Event
	compacted uint64
	// changed is closed and replaced at each change of an object.
	changed chan struct{}
}

func newStore() *store {
	return &store{objects: map[objectKey]platform.Object{}, changed: make(chan struct{})}
}

func (s *store) get(kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[objectKey{kind, name}]
	if !ok {
		return platform.Object{}, errNotFound
	}
	return object, nil
}

func (s *store) list(kinds []string) platform.List {
	filter := newKindFilter(kinds)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platform.List{Version: s.version}
	for k, object := range s.objects {
		if filter.matches(k.kind) {
			list.Objects = append(list.Objects, object)
		}
	}
	sort.Slice(list.Objects, func(i, j int) bool {
		return list.Objects[i].Version < list.Objects[j].Version
	})
	return list
}

func (s *store) checkPrecondition(k objectKey, pre platform.Precondition) error {
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
	k := objectKey{object.Kind, object.Name}
	if err := s.checkPrecondition(k, pre); err != nil {
		return 0, err
	}
	s.version++
	object.Version = s.version
	s.objects[k] = object
	s.appendEvent(platform.Event{Type: platform.EventPut, Object: object})
	return s.version, nil
}

func (s *store) delete(kind, name string, pre platform.Precondition) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := objectKey{kind, name}
	if err := s.checkPrecondition(k, pre); err != nil {
		return 0, err
	}
	if _, exists := s.objects[k]; !exists {
		return 0, errNotFound
	}
	s.version++
	delete(s.objects, k)
	object := platform.Object{Kind: kind, Name: name, Version: s.version}
	s.appendEvent(platform.Event{Type: platform.EventDelete, Object: object})
	return s.version, nil
}

// appendEvent records an event and wakes up the watches. The caller holds the lock.
func (s *store) appendEvent(event platform.Event) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact discards the events up to the current version, which it returns.
func (s *store) compact() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.version
	s.events = nil
	return s.compacted
}

// eventsAfter returns the events after a version that match the filter, and a channel
// that is closed at the next change.
func (s *store) eventsAfter(version uint64, kinds kindFilter) ([]platform.Event, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.compacted {
		return nil, nil, errCompacted
	}
	first := sort.Search(len(s.events), func(i int) bool {
		return s.events[i].Object.Version > version
	})
	var events []platform.Event
	for _, event := range s.events[first:] {
		if kinds.matches(event.Object.Kind) {
			events = append(events, event)
		}
	}
	return events, s.changed, nil
}

// kindFilter is a set of kinds. The empty set matches every kind.
type kindFilter map[string]bool

func newKindFilter(kinds []string) kindFilter {
	set := kindFilter{}
	for _, kind := range kinds {
		set[kind] = true
	}
	return set
}

func (f kindFilter) matches(kind string) bool { return len(f) == 0 || f[kind] }
