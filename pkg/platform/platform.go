// Package platform defines the interface to the platform's object API and its
// instance list, and implements an HTTP client for both.
package platform

import "context"

// Object is one object of the platform.
type Object struct {
	Kind string
	Name string
	// Version is set by the platform and increases across all objects.
	Version uint64
	Body    []byte
}

// EventType is the type of a watch event.
type EventType string

// Types of events.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
)

// Event is a change reported by a watch. For a deletion, only the kind, name and
// version of the object are set.
type Event struct {
	Type   EventType
	Object Object
}

// List is the result of a listing.
type List struct {
	Objects []Object
	// Version is the store version at which the listing is complete: an object
	// that it lacks was deleted at or before this version, or never existed.
	Version uint64
}

// Precondition is the state of an object that a write requires. The zero value
// requires nothing.
type Precondition struct {
	// Absent requires that the object does not exist.
	Absent bool
	// Version, if not zero, requires this version of the object.
	Version uint64
}

// ListedInstance is an item of the platform's instance list, which holds the
// instances of the entry daemon and the upstreams.
type ListedInstance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Role is "entry" or "upstream".
	Role string `json:"role"`
	// Leaving is true once the platform has begun to remove the instance.
	Leaving bool `json:"leaving"`
	// AdminAddress is the host and port of the admin interface, if any.
	AdminAddress string `json:"adminAddress,omitempty"`
}

// Store is the object API. A call returns an error of kind PlatformUnavailable
// when the platform is unavailable or the outcome is unknown, and Conflict when
// a precondition failed. A write that returned PlatformUnavailable may have
// taken effect.
type Store interface {
	// Get returns an error of kind NotFound when the object does not exist.
	Get(ctx context.Context, kind, name string) (Object, error)
	List(ctx context.Context, kinds ...string) (List, error)
	Put(ctx context.Context, object Object, precondition Precondition) (uint64, error)
	Delete(ctx context.Context, kind, name string, precondition Precondition) (uint64, error)
	// Watch reports changes after the version until ctx ends or the watch
	// breaks. It returns Conflict for a version that the platform has compacted.
	Watch(ctx context.Context, after uint64, kinds ...string) (Watch, error)
}

// Watch is an open watch. It delivers events in version order.
type Watch interface {
	// Next blocks until an event arrives. The watch ends with the first error.
	Next() (Event, error)
	Close()
}

// Instances reads the platform's instance list, which may be out of date.
type Instances interface {
	Instances(ctx context.Context) ([]ListedInstance, error)
}
