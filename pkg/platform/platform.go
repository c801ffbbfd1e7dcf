// Package platform is the interface to the platform's object API and to its
// instance list, and the HTTP client for both.
package platform

import "context"

// Object is one object of the platform.
type Object struct {
	Kind string
	Name string
	// Version is set by the platform. Versions grow over all objects.
	Version uint64
	Body    []byte
}

// EventType tells a change from a deletion.
type EventType string

// The types of events.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
)

// Event is one change that a watch reports. In a deletion only kind, name and
// version of the object are set.
type Event struct {
	Type   EventType
	Object Object
}

// List is the result of a listing.
type List struct {
	Objects []Object
	// Version is the store's version at which the listing is complete: an
	// object that is absent was deleted at or before it, or never existed.
	Version uint64
}

// Precondition of a write.
type Precondition struct {
	// Absent requires that the object does not exist.
	Absent bool
	// Version, if not zero, requires this version of the object.
	Version uint64
}

// ListedInstance is an entry of the platform's instance list.
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

// Store is the object API. Each call returns an error of kind
// PlatformUnavailable when the outcome is unknown or the platform is out, and
// Conflict when a precondition failed. A write that returned
// PlatformUnavailable may have taken effect.
type Store interface {
	// Get returns an error of kind NotFound when the object does not exist.
	Get(ctx context.Context, kind, name string) (Object, error)
	List(ctx context.Context, kinds ...string) (List, error)
	Put(ctx context.Context, object Object, pre Precondition) (uint64, error)
	Delete(ctx context.Context, kind, name string, pre Precondition) (uint64, error)
	// Watch reports changes after the version until ctx ends or the watch
	// breaks. A version that the platform has compacted gives Conflict.
	Watch(ctx context.Context, after uint64, kinds ...string) (Watch, error)
}

// Watch delivers events in version order.
type Watch interface {
	// Next blocks until an event arrives. Any error ends the watch.
	Next() (Event, error)
	Close()
}

// Instances is the platform's instance list, which lags.
type Instances interface {
	Instances(ctx context.Context) ([]ListedInstance, error)
}
