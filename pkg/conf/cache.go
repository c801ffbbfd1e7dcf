package conf

import (
	"encoding/binary"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// entry is what the cache holds for one key.
type entry struct {
	object Object
	// understood is the last version of the record that this build could parse;
	// nil if there is none.
	understood record.Record
	// inEffect is the version of understood; 0 if there is none.
	inEffect uint64
}

// Cache merges objects by version and publishes snapshots. It is safe for
// concurrent use.
//
// Merging commutes: whatever order objects arrive in, the highest version of a
// key wins. An object that is absent at or below the floor was deleted, so a
// late message cannot bring it back even when its tombstone is not known.
type Cache struct {
	mu      sync.Mutex
	entries map[Key]entry
	// floor is the highest store version at which a complete listing was merged.
	floor    uint64
	newest   uint64
	digest   uint64
	usable   bool
	snapshot atomic.Pointer[Snapshot]
	changed  chan struct{}
	log      logr.Logger
}

var _ Source = (*Cache)(nil)

// NewCache returns an empty cache, which is not usable and does not log.
func NewCache() *Cache {
	c := &Cache{entries: map[Key]entry{}, changed: make(chan struct{}), log: logr.Discard()}
	c.snapshot.Store(emptySnapshot())
	return c
}

// LogTo logs each version of a record that is not understood. It is called
// before the cache is used.
func (c *Cache) LogTo(log logr.Logger) { c.log = log }

// Snapshot implements Source.
func (c *Cache) Snapshot() *Snapshot { return c.snapshot.Load() }

// Changed implements Source.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Merge merges objects by version and publishes one snapshot for all of them.
// fromUsable says that, with these objects, the cache holds the whole
// configuration of the platform or of a peer whose cache is usable. It returns
// whether the cache changed.
func (c *Cache) Merge(objects []Object, fromUsable bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := c.mergeAll(objects)
	return c.publish(changes, fromUsable)
}

// MergeComplete merges a listing that is complete at a store version. An object
// that the listing lacks, known at a version not above it, was deleted.
func (c *Cache) MergeComplete(objects []Object, version uint64, fromUsable bool) bool {
	listed := make(map[Key]bool, len(objects))
	for i := range objects {
		// A tombstone in the listing may be older than the object that is known.
		listed[objects[i].Key] = !objects[i].Deleted
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := c.mergeAll(objects)
	for key, known := range c.entries {
		if known.object.Deleted || listed[key] || known.object.Version > version {
			continue
		}
		c.mergeOne(Object{Key: key, Version: version, Deleted: true}, true, changes)
	}
	c.floor = max(c.floor, version)
	return c.publish(changes, fromUsable)
}

func (c *Cache) mergeAll(objects []Object) *changeSet {
	changes := &changeSet{records: map[record.Kind]map[string]record.Record{}}
	for _, object := range objects {
		c.mergeOne(object, false, changes)
	}
	return changes
}

// mergeOne requires the lock. A deletion that a listing implies has the
// listing's version, which may equal that of the deleted object.
func (c *Cache) mergeOne(object Object, implied bool, changes *changeSet) {
	known, exists := c.entries[object.Key]
	if gone := !exists || known.object.Deleted; gone && object.Version <= c.floor {
		// The object existed for a while between the tombstone and the floor.
		return
	}
	if exists && object.Version <= known.object.Version && !implied {
		return
	}
	next := entry{object: object}
	if object.Deleted {
		next.object.Body = nil
	} else if parsed, err := understand(object); err == nil {
		next.understood, next.inEffect = parsed, object.Version
	} else {
		next.understood, next.inEffect = known.understood, known.inEffect
		c.log.Error(err, "record not understood, not applied", "kind", object.Key.Kind, "name", object.Key.Name,
			"version", object.Version, "version_in_effect", known.inEffect)
	}
	c.digest ^= digestOf(known.object) ^ digestOf(object)
	c.newest = max(c.newest, object.Version)
	c.entries[object.Key] = next
	changes.any = true
	if next.understood != known.understood {
		changes.add(object.Key, next.understood)
	}
}

// understand parses a record. A record of another kind or name than its key is
// not understood.
func understand(object Object) (record.Record, error) {
	envelope, parsed, err := record.Parse(object.Body)
	switch {
	case err != nil:
		return nil, err
	case envelope.Kind != object.Key.Kind:
		return nil, errkind.New(errkind.InvalidRecord, "%s %s: field kind: is %q in the body", object.Key.Kind, object.Key.Name, envelope.Kind)
	case envelope.Name != object.Key.Name:
		return nil, errkind.New(errkind.InvalidRecord, "%s %s: field name: is %q in the body", object.Key.Kind, object.Key.Name, envelope.Name)
	}
	return parsed, nil
}

// digestOf is 0 for a tombstone: an instance that never knew the object has
// none, and both hold the same configuration.
func digestOf(object Object) uint64 {
	if object.Deleted || object.Version == 0 {
		return 0
	}
	hash := xxhash.NewWithSeed(object.Version)
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(object.Key.Kind)))
	// Writes to this hash cannot fail.
	_, _ = hash.Write(size[:])
	_, _ = hash.WriteString(string(object.Key.Kind))
	_, _ = hash.WriteString(object.Key.Name)
	return hash.Sum64()
}

// publish requires the lock.
func (c *Cache) publish(changes *changeSet, fromUsable bool) bool {
	if !changes.any && (c.usable || !fromUsable) {
		return false
	}
	c.usable = c.usable || fromUsable
	next := nextSnapshot(c.snapshot.Load(), changes)
	next.Digest = c.digest
	next.NewestVersion = c.newest
	next.Usable = c.usable
	c.snapshot.Store(next)
	close(c.changed)
	c.changed = make(chan struct{})
	return changes.any
}

// Delta returns the objects and tombstones with a version above after, in
// version order.
func (c *Cache) Delta(after uint64) []Object {
	return c.collect(func(known entry) bool { return known.object.Version > after })
}

func (c *Cache) collect(wanted func(entry) bool) []Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	var objects []Object
	for _, known := range c.entries {
		if wanted(known) {
			objects = append(objects, known.object)
		}
	}
	sortByVersion(objects)
	return objects
}

func sortByVersion(objects []Object) {
	sort.Slice(objects, func(i, j int) bool { return objects[i].Version < objects[j].Version })
}

// Known returns the key and version of each object, without bodies.
func (c *Cache) Known() []Object {
	objects := c.Delta(0)
	for i := range objects {
		objects[i].Body = nil
	}
	return objects
}

// Missing returns what an asker lacks that holds the known versions: newer
// objects, and a tombstone for each object that was deleted.
func (c *Cache) Missing(known []Object) []Object {
	has := make(map[Key]uint64, len(known))
	for _, object := range known {
		has[object.Key] = object.Version
	}
	missing := c.collect(func(e entry) bool { return e.object.Version > has[e.object.Key] })
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, version := range has {
		held, exists := c.entries[key]
		if gone := !exists || held.object.Deleted; gone && held.object.Version < version && version <= c.floor {
			missing = append(missing, Object{Key: key, Version: c.floor, Deleted: true})
		}
	}
	sortByVersion(missing)
	return missing
}

// Floor returns the store version at which the cache is known to be complete:
// an object that is absent was deleted at or before it, or never existed.
func (c *Cache) Floor() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.floor
}
