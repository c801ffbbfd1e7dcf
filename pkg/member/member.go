// Package member maintains the membership of a failure domain: which instances
// are alive, suspect, leaving or dead. It implements a SWIM-style protocol with
// direct and indirect probes, suspicion and piggybacked updates.
package member

// Status is the liveness status of a member.
type Status int

// Statuses of a member. A suspect did not answer a probe and is declared dead
// unless it refutes that in time. Between updates with the same refutation number,
// the higher status wins.
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
	// Refutation is the version of the updates about one incarnation. Only the
	// member itself increases it.
	Refutation uint32
	// Detached is true while the instance cannot reach the platform. Roles that
	// need the platform pass to the next owner.
	Detached bool
}

// View is a read-only view of the members; it is safe for concurrent use.
type View interface {
	// Self returns this instance.
	Self() Member
	// Live returns the members that are alive or suspect, sorted by ID. This
	// instance is included unless it is leaving.
	Live() []Member
	// Find returns the member with the ID. Dead members are found until their
	// retention ends.
	Find(id string) (Member, bool)
	// Owners returns the live members in rendezvous hashing order for the key.
	Owners(key string) []Member
	// Changed returns a channel that is closed when the members next change.
	Changed() <-chan struct{}
}
