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

// entry is what the cache holds for one configuration object.
type entry struct {
	object Object
	// lastValid is the record of the newest version that parsed as valid, or nil.
	// It stays in effect while newer versions are invalid.
	lastValid record.Record
	// lastValidVersion is the object version of lastValid, or 0.
	lastValidVersion uint64
}

// Cache merges objects by version and publishes snapshots. It is safe for
// concurrent use.
//
// Merging is commutative: in whatever order objects arrive, the highest version
// of a key wins. An object that the cache lacks and whose version is not above
// completeVersion was deleted, so a delayed message cannot restore it even if
// no tombstone is known.
type Cache struct {
	mu      sync.Mutex
	entries map[Key]entry
	// completeVersion is the highest store version of a merged complete listing.
	completeVersion uint64
	newest          uint64
	digest          uint64
	usable          bool
	snapshot        atomic.Pointer[Snapshot]
	changed         chan struct{}
	log             logr.Logger
}

var _ Source = (*Cache)(nil)

// NewCache returns an empty cache that is not usable and does not log.
func NewCache() *Cache {
	c := &Cache{entries: map[Key]entry{}, changed: make(chan struct{}), log: logr.Discard()}
	c.snapshot.Store(emptySnapshot())
	return c
}

// SetLogger sets the logger for records that are not valid. It must be called
// before the cache is used.
func (c *Cache) SetLogger(log logr.Logger) { c.log = log }

// Snapshot implements Source.
func (c *Cache) Snapshot() *Snapshot { return c.snapshot.Load() }

// Changed implements Source.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Merge merges objects by version, publishes one snapshot for all of them and
// reports whether an object changed. markUsable makes the cache usable: with
// these objects it holds the whole configuration of the platform or of a peer
// whose cache is usable.
func (c *Cache) Merge(objects []Object, markUsable bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := c.mergeObjects(objects)
	return c.publish(changes, markUsable)
}

// MergeListing merges a listing that is complete at a store version. It deletes
// each known object that the listing lacks, unless the object is newer than that
// version.
func (c *Cache) MergeListing(objects []Object, version uint64, markUsable bool) bool {
	listed := make(map[Key]bool, len(objects))
	for i := range objects {
		// A tombstone in the listing may be older than the known object.
		listed[objects[i].Key] = !objects[i].Deleted
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := c.mergeObjects(objects)
	for key, known := range c.entries {
		if known.object.Deleted || listed[key] || known.object.Version > version {
			continue
		}
		c.mergeObject(Object{Key: key, Version: version, Deleted: true}, true, changes)
	}
	c.completeVersion = max(c.completeVersion, version)
	return c.publish(changes, markUsable)
}

func (c *Cache) mergeObjects(objects []Object) *changeSet {
	changes := &changeSet{records: map[record.Kind]map[string]record.Record{}}
	for _, object := range objects {
		c.mergeObject(object, false, changes)
	}
	return changes
}

// mergeObject merges one object; the caller holds mu. fromListing marks the
// deletion of an object that a listing lacks: the deletion has the version of the
// listing, which may equal the version of the deleted object.
func (c *Cache) mergeObject(object Object, fromListing bool, changes *changeSet) {
	known, exists := c.entries[object.Key]
	if absent := !exists || known.object.Deleted; absent && object.Version <= c.completeVersion {
		// A listing that is complete at object.Version or later lacked the object.
		return
	}
	if exists && object.Version <= known.object.Version && !fromListing {
		return
	}
	next := entry{object: object}
	if object.Deleted {
		next.object.Body = nil
	} else if parsed, err := parseObject(object); err == nil {
		next.lastValid, next.lastValidVersion = parsed, object.Version
	} else {
		next.lastValid, next.lastValidVersion = known.lastValid, known.lastValidVersion
		c.log.Error(err, "record not understood, not applied", "kind", object.Key.Kind, "name", object.Key.Name,
			"version", object.Version, "version_in_effect", known.lastValidVersion)
	}
	c.digest ^= objectDigest(known.object) ^ objectDigest(object)
	c.newest = max(c.newest, object.Version)
	c.entries[object.Key] = next
	changes.changed = true
	if next.lastValid != known.lastValid {
		changes.add(object.Key, next.lastValid)
	}
}

// parseObject parses the record of an object. A record whose kind or name
// differs from the key is not valid.
func parseObject(object Object) (record.Record, error) {
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

// objectDigest hashes the key and version of an object. It is 0 for a
// tombstone, because an instance that never knew the object has no tombstone
// and still holds the same configuration.
func objectDigest(object Object) uint64 {
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

// publish stores the next snapshot and wakes those who wait on Changed; the
// caller holds mu. It reports whether an object changed.
func (c *Cache) publish(changes *changeSet, markUsable bool) bool {
	if !changes.changed && (c.usable || !markUsable) {
		return false
	}
	c.usable = c.usable || markUsable
	next := nextSnapshot(c.snapshot.Load(), changes)
	next.Digest = c.digest
	next.NewestVersion = c.newest
	next.Usable = c.usable
	c.snapshot.Store(next)
	close(c.changed)
	c.changed = make(chan struct{})
	return changes.changed
}

// ObjectsAfter returns the objects and tombstones with a version above after,
// in version order.
func (c *Cache) ObjectsAfter(after uint64) []Object {
	return c.collect(func(known entry) bool { return known.object.Version > after })
}

func (c *Cache) collect(include func(entry) bool) []Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	var objects []Object
	for _, known := range c.entries {
		if include(known) {
			objects = append(objects, known.object)
		}
	}
	sortByVersion(objects)
	return objects
}

func sortByVersion(objects []Object) {
	sort.Slice(objects, func(i, j int) bool { return objects[i].Version < objects[j].Version })
}

// KnownVersions returns all objects and tombstones without bodies.
func (c *Cache) KnownVersions() []Object {
	objects := c.ObjectsAfter(0)
	for i := range objects {
		objects[i].Body = nil
	}
	return objects
}

// MissingFor returns what a peer that holds the known versions lacks: newer
// objects and tombstones, and a tombstone for each object that a complete
// listing did not contain.
func (c *Cache) MissingFor(known []Object) []Object {
	versions := make(map[Key]uint64, len(known))
	for _, object := range known {
		versions[object.Key] = object.Version
	}
	missing := c.collect(func(e entry) bool { return e.object.Version > versions[e.object.Key] })
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, version := range versions {
		held, exists := c.entries[key]
		if absent := !exists || held.object.Deleted; absent && held.object.Version < version && version <= c.completeVersion {
			missing = append(missing, Object{Key: key, Version: c.completeVersion, Deleted: true})
		}
	}
	sortByVersion(missing)
	return missing
}

// CompleteVersion returns the store version at which the cache is known to be
// complete: an object that it lacks was deleted at or before that version, or
// never existed.
func (c *Cache) CompleteVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completeVersion
}
