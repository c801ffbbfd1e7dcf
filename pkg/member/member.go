// Package member keeps the list of live instances of a failure domain.
package member

// Status is the status of a member.
type Status int

// Statuses of a member, in increasing order of precedence at equal refutation.
const (
	Alive Status = iota + 1
	Suspect
	Leaving
	Dead
)

// Member is one incarnation of an instance.
type Member struct {
	ID string
	// Incarnation is the start time of the process in nanoseconds since the epoch.
	Incarnation uint64
	// Address is the host and port of the peer interface.
	Address string
	// AdminAddress is the host and port of the admin interface.
	AdminAddress string
	Status       Status
	// Refutation orders updates about one incarnation.
	Refutation uint32
	// Detached is true while the instance does not reach the platform; roles
	// that need the platform pass to the next owner.
	Detached bool
}

// View is a read-only view of the members; it is safe for concurrent use.
type View interface {
	// Self returns this instance.
	Self() Member
	// Live returns the members that are alive or suspect, this instance included
	// unless it is leaving, sorted by ID.
	Live() []Member
	// Find returns the member with the ID, dead ones included as long as they are kept.
	Find(id string) (Member, bool)
	// Owners returns the live members in rendezvous order for the key.
	Owners(key string) []Member
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
