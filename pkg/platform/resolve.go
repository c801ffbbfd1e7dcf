package platform

import (
	"bytes"
	"context"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// resolveAttempts bounds the repetitions of a conditional write. A lost
// answer is usually a single event; a longer outage is the caller's to wait for.
const resolveAttempts = 3

// PutResolved writes an object and, when the outcome is unknown, reads the
// object back. It repeats a write only under a precondition that the first
// attempt, had it taken effect, would have made false. An object with the same
// body that replaced the required version counts as this write.
//
// Conflict means that the object now holds something else; PlatformUnavailable
// means that the outcome is still unknown.
func PutResolved(ctx context.Context, store Store, object Object, pre Precondition) (uint64, error) {
	conditional := pre.Absent || pre.Version != 0
	var err error
	for attempt := range resolveAttempts {
		var version uint64
		version, err = store.Put(ctx, object, pre)
		kind := errkind.KindOf(err)
		if err == nil || kind != errkind.PlatformUnavailable && (attempt == 0 || kind != errkind.Conflict) {
			return version, err
		}
		current, getErr := store.Get(ctx, object.Kind, object.Name)
		absent := errkind.KindOf(getErr) == errkind.NotFound
		if getErr != nil && !absent {
			return 0, errkind.Wrap(errkind.PlatformUnavailable, err, "outcome of the write of %s %s is unknown", object.Kind, object.Name)
		}
		if !absent && current.Version != pre.Version && bytes.Equal(current.Body, object.Body) {
			return current.Version, nil
		}
		unchanged := absent && pre.Absent || !absent && pre.Version != 0 && current.Version == pre.Version
		if conditional && !unchanged {
			return 0, errkind.Wrap(errkind.Conflict, err, "%s %s was changed by another writer", object.Kind, object.Name)
		}
		if !conditional {
			break
		}
	}
	return 0, err
}

// DeleteResolved deletes a version of an object and, when the outcome is
// unknown, reads back whether the object is gone. The version that is returned
// is 0 when the answer of the deletion was lost.
func DeleteResolved(ctx context.Context, store Store, kind, name string, version uint64) (uint64, error) {
	var err error
	for attempt := range resolveAttempts {
		var deleted uint64
		deleted, err = store.Delete(ctx, kind, name, Precondition{Version: version})
		failure := errkind.KindOf(err)
		if err == nil || failure != errkind.PlatformUnavailable && (attempt == 0 || failure != errkind.Conflict) {
			return deleted, err
		}
		current, getErr := store.Get(ctx, kind, name)
		if errkind.KindOf(getErr) == errkind.NotFound {
			return 0, nil
		}
		if getErr != nil {
			return 0, errkind.Wrap(errkind.PlatformUnavailable, err, "outcome of the deletion of %s %s is unknown", kind, name)
		}
		if current.Version != version {
			return 0, errkind.Wrap(errkind.Conflict, err, "%s %s was changed by another writer", kind, name)
		}
	}
	return 0, err
}
