package platform

import (
	"bytes"
	"context"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// maxWriteAttempts limits the attempts of a conditional write. A lost response
// is usually a single event; callers must wait out a longer outage.
const maxWriteAttempts = 3

// PutWithReadback writes an object and, when the outcome is unknown, reads the
// object back. It repeats only writes with a precondition, which would fail if
// an earlier attempt had taken effect. A different version with the same body
// counts as this write.
//
// It returns Conflict when the object has been changed by another writer, and
// PlatformUnavailable when the outcome is still unknown.
func PutWithReadback(ctx context.Context, store Store, object Object, precondition Precondition) (uint64, error) {
	conditional := precondition.Absent || precondition.Version != 0
	var err error
	for attempt := range maxWriteAttempts {
		var version uint64
		version, err = store.Put(ctx, object, precondition)
		errKind := errkind.KindOf(err)
		if err == nil || errKind != errkind.PlatformUnavailable && (attempt == 0 || errKind != errkind.Conflict) {
			return version, err
		}
		current, readErr := store.Get(ctx, object.Kind, object.Name)
		absent := errkind.KindOf(readErr) == errkind.NotFound
		if readErr != nil && !absent {
			return 0, errkind.Wrap(errkind.PlatformUnavailable, err, "outcome of the write of %s %s is unknown", object.Kind, object.Name)
		}
		if !absent && current.Version != precondition.Version && bytes.Equal(current.Body, object.Body) {
			return current.Version, nil
		}
		unchanged := absent && precondition.Absent || !absent && precondition.Version != 0 && current.Version == precondition.Version
		if conditional && !unchanged {
			return 0, errkind.Wrap(errkind.Conflict, err, "%s %s was changed by another writer", object.Kind, object.Name)
		}
		if !conditional {
			break
		}
	}
	return 0, err
}

// DeleteWithReadback deletes a version of an object and, when the outcome is
// unknown, reads the object back. It returns the version of the deletion, or 0
// when the response was lost.
func DeleteWithReadback(ctx context.Context, store Store, kind, name string, version uint64) (uint64, error) {
	var err error
	for attempt := range maxWriteAttempts {
		var deleted uint64
		deleted, err = store.Delete(ctx, kind, name, Precondition{Version: version})
		errKind := errkind.KindOf(err)
		if err == nil || errKind != errkind.PlatformUnavailable && (attempt == 0 || errKind != errkind.Conflict) {
			return deleted, err
		}
		current, readErr := store.Get(ctx, kind, name)
		if errkind.KindOf(readErr) == errkind.NotFound {
			return 0, nil
		}
		if readErr != nil {
			return 0, errkind.Wrap(errkind.PlatformUnavailable, err, "outcome of the deletion of %s %s is unknown", kind, name)
		}
		if current.Version != version {
			return 0, errkind.Wrap(errkind.Conflict, err, "%s %s was changed by another writer", kind, name)
		}
	}
	return 0, err
}
