package instance

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/pkg/member"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

// LeavingTransport tells a member which upstreams are leaving;
// peer.DRPCPeerClient implements it.
type LeavingTransport interface {
	ReportLeaving(context.Context, *peer.LeavingReport) (*peer.Ack, error)
}

// directory knows the instances of all failure domains: those of the own one
// from membership, the others from the platform's list as last read. During a
// platform outage the last list stays; an instance in it that is gone costs a
// failed call.
//
// One member of the domain, the reader, reads the list often and tells the
// others which upstreams are leaving. If every instance did so, the list of
// 960 instances and upstreams would exceed the budget of 5 KB/s many times.
type directory struct {
	platform platform.Instances
	domain   string
	view     func() member.View
	isReader func() bool
	dial     func(address string) LeavingTransport
	clock    clockwork.Clock

	mu   sync.Mutex
	list []platform.ListedInstance
	read time.Time
	// away names the upstreams of the domain that are leaving, sorted.
	away     []string
	reported time.Time
}

// Instances returns the platform's list. The reader reads it at each call, the
// other members when their copy is older than copyAge or lacked an instance
// that was looked for.
func (d *directory) Instances(ctx context.Context) ([]platform.ListedInstance, error) {
	reader := d.isReader()
	now := d.clock.Now()
	d.mu.Lock()
	if !reader && !d.read.IsZero() && now.Sub(d.read) < copyAge {
		defer d.mu.Unlock()
		return d.list, nil
	}
	d.mu.Unlock()
	list, err := d.platform.Instances(ctx)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list, d.read = list, now
	away := d.leavingOf(list)
	changed := !slices.Equal(away, d.away)
	d.away = away
	if reader && (changed || now.Sub(d.reported) >= reportInterval) {
		d.reported = now
		go d.report(context.WithoutCancel(ctx), away)
	}
	return list, nil
}

// leavingOf returns the upstreams of the own domain that a list shows as leaving.
func (d *directory) leavingOf(list []platform.ListedInstance) []string {
	var away []string
	for _, listed := range list {
		if listed.Role == "upstream" && listed.Domain == d.domain && listed.Leaving {
			away = append(away, listed.Name)
		}
	}
	slices.Sort(away)
	return away
}

// report tells the other members. A member that misses it hears the next one.
func (d *directory) report(ctx context.Context, away []string) {
	for _, address := range d.peers() {
		// A failure is left to the next report.
		_, _ = d.dial(address).ReportLeaving(ctx, &peer.LeavingReport{Upstreams: away})
	}
}

// ReportLeaving implements peer.LeavingHandler.
func (d *directory) ReportLeaving(_ context.Context, in *peer.LeavingReport) (*peer.Ack, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = slices.Sorted(slices.Values(in.Upstreams))
	return &peer.Ack{}, nil
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
	_, found := slices.BinarySearch(d.away, upstream)
	return found
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
	d.expire()
	return member.Member{}, false
}

// expire lets the next call of Instances read the list again.
func (d *directory) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.read = time.Time{}
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
	if len(members) == 0 {
		d.expire()
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

// ownsAttached reports whether this instance is among the first count owners
// of a key that reach the platform. If none does, the first owners try.
func ownsAttached(view member.View, key string, count int) bool {
	owners := view.Owners(key)
	attached := slices.DeleteFunc(slices.Clone(owners), func(m member.Member) bool { return m.Detached })
	if len(attached) == 0 {
		attached = owners
	}
	self := view.Self().ID
	return slices.ContainsFunc(attached[:min(count, len(attached))], func(m member.Member) bool { return m.ID == self })
}

// seed returns a seed for random numbers that differs between instances and
// between incarnations.
func seed(id string) uint64 { return xxhash.Sum64String(id) }
