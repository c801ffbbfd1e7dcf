package instance

import (
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarywing/rosemarywing/pkg/member"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

// directory knows the instances of all failure domains: those of the own one
// from membership, the others from the platform's list as last read. During a
// platform outage the last list stays; an instance in it that is gone costs a
// failed call.
type directory struct {
	platform platform.Instances
	domain   string
	view     func() member.View

	mu   sync.Mutex
	list []platform.ListedInstance
}

// Instances reads the platform's list and keeps it. Membership calls it
// periodically, so that the list is read once per interval.
func (d *directory) Instances(ctx context.Context) ([]platform.ListedInstance, error) {
	list, err := d.platform.Instances(ctx)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = list
	return list, nil
}

func (d *directory) entries(domain string) []platform.ListedInstance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []platform.ListedInstance
	for _, listed := range d.list {
		if listed.Role == "entry" && listed.Domain == domain {
			found = append(found, listed)
		}
	}
	return found
}

// leaving reports whether the platform lists an upstream as leaving.
func (d *directory) leaving(upstream string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.list, func(listed platform.ListedInstance) bool {
		return listed.Role == "upstream" && listed.Name == upstream && listed.Leaving
	})
}

// find returns an instance of any failure domain. The incarnation of one that
// is only listed is not known and is zero; the instance itself compares it.
func (d *directory) find(domain, id string) (member.Member, bool) {
	if domain == d.domain {
		// An instance that has just started may not have joined yet.
		if found, ok := d.view().Find(id); ok {
			return found, true
		}
	}
	for _, listed := range d.entries(domain) {
		if listed.Name == id {
			return member.Member{ID: id, Address: listed.Address, AdminAddress: listed.AdminAddress, Status: member.Alive}, true
		}
	}
	return member.Member{}, false
}

// addresses returns the peer addresses of another domain's instances in the
// order in which they own the key.
func (d *directory) addresses(domain, key string) []string {
	var members []member.Member
	for _, listed := range d.entries(domain) {
		if !listed.Leaving {
			members = append(members, member.Member{ID: listed.Name, Address: listed.Address})
		}
	}
	var addresses []string
	for _, m := range member.Order(members, key) {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// peers returns the addresses of the other live members of the own domain.
func (d *directory) peers() []string {
	view := d.view()
	self := view.Self().ID
	var addresses []string
	for _, m := range view.Live() {
		if m.ID != self {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// owns reports whether this instance is among the first count owners of a key.
func owns(view member.View, key string, count int) bool {
	owners := view.Owners(key)
	self := view.Self().ID
	return slices.ContainsFunc(owners[:min(count, len(owners))], func(m member.Member) bool { return m.ID == self })
}

// seed returns a seed for random numbers that differs between instances and
// between incarnations.
func seed(id string) uint64 { return xxhash.Sum64String(id) }
