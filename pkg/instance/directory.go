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

// LeavingReporter tells another member which upstreams are leaving.
// peer.DRPCPeerClient implements it.
type LeavingReporter interface {
	ReportLeaving(context.Context, *peer.LeavingReport) (*peer.Ack, error)
}

// directory looks up instances of all failure domains: those of the local one in the
// membership, those of the others in the last copy of the platform's instance list.
// The copy stays in use during a platform outage; a call to a listed instance
// that no longer exists fails.
//
// One member of each domain, the list reader, reads the instance list every
// instanceListInterval and reports the leaving upstreams to the other members.
// If every instance read the list of 960 instances and upstreams that often, it
// would exceed its network budget of 5 KB/s many times over.
type directory struct {
	platform platform.Instances
	domain   string
	view     func() member.View
	// readsList reports whether a member is the list reader.
	readsList func(id string) bool
	dial      func(address string) LeavingReporter
	clock     clockwork.Clock

	mu     sync.Mutex
	list   []platform.ListedInstance
	readAt time.Time
	// leavingUpstreams names the upstreams of the domain that are leaving, sorted.
	leavingUpstreams []string
	reportedAt       time.Time
	// sequence numbers the reports of this instance. received holds the last report of each
	// reader, and lastReader the reader of the one that is in effect.
	sequence   uint64
	received   map[string]reportNumber
	lastReader string
}

// reportNumber orders the reports of a list reader.
type reportNumber struct{ incarnation, sequence uint64 }

func (n reportNumber) after(other reportNumber) bool {
	if n.incarnation != other.incarnation {
		return n.incarnation > other.incarnation
	}
	return n.sequence > other.sequence
}

// Instances returns the platform's instance list. The list reader reads it at
// each call; other members read it when their copy is older than
// instanceListMaxAge or a look-up in it has failed.
func (d *directory) Instances(ctx context.Context) ([]platform.ListedInstance, error) {
	self := d.view().Self()
	isReader := d.readsList(self.ID)
	now := d.clock.Now()
	d.mu.Lock()
	if !isReader && !d.readAt.IsZero() && now.Sub(d.readAt) < instanceListMaxAge {
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
	if d.readAt.After(now) {
		// A read that began later was answered first.
		return d.list, nil
	}
	d.list, d.readAt = list, now
	leavingUpstreams := d.leavingInDomain(list)
	changed := !slices.Equal(leavingUpstreams, d.leavingUpstreams)
	d.leavingUpstreams = leavingUpstreams
	if isReader && (changed || now.Sub(d.reportedAt) >= leavingReportInterval) {
		d.reportedAt = now
		d.sequence++
		go d.reportLeaving(context.WithoutCancel(ctx), &peer.LeavingReport{
			Upstreams: leavingUpstreams, Sequence: d.sequence,
			Reader: &peer.InstanceRef{Id: self.ID, Incarnation: self.Incarnation},
		})
	}
	return list, nil
}

// leavingInDomain returns the upstreams of the local domain that are listed as
// leaving, sorted.
func (d *directory) leavingInDomain(list []platform.ListedInstance) []string {
	var leavingUpstreams []string
	for _, listed := range list {
		if listed.Role == "upstream" && listed.Domain == d.domain && listed.Leaving {
			leavingUpstreams = append(leavingUpstreams, listed.Name)
		}
	}
	slices.Sort(leavingUpstreams)
	return leavingUpstreams
}

// reportLeaving sends a report of leaving upstreams to the other members. Failures are
// ignored, since the report is repeated.
func (d *directory) reportLeaving(ctx context.Context, report *peer.LeavingReport) {
	for _, address := range d.peerAddresses() {
		_, _ = d.dial(address).ReportLeaving(ctx, report)
	}
}

// ReportLeaving implements peer.LeavingHandler. It ignores a report that arrives after a
// later one.
func (d *directory) ReportLeaving(_ context.Context, in *peer.LeavingReport) (*peer.Ack, error) {
	reader := in.GetReader().GetId()
	isReader := d.readsList(reader)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isLateReport(in, isReader) {
		return &peer.Ack{}, nil
	}
	d.leavingUpstreams, d.lastReader = slices.Sorted(slices.Values(in.GetUpstreams())), reader
	return &peer.Ack{}, nil
}

// isLateReport reports whether a later report of the reader was received, or one of the
// member that has replaced it as reader. Members of earlier versions don't number their
// reports. The caller holds mu.
func (d *directory) isLateReport(in *peer.LeavingReport, isReader bool) bool {
	reader := in.GetReader().GetId()
	if in.GetSequence() == 0 {
		return false
	}
	number := reportNumber{in.GetReader().GetIncarnation(), in.GetSequence()}
	if last, known := d.received[reader]; known && !number.after(last) {
		return true
	}
	if d.received == nil {
		d.received = map[string]reportNumber{}
	}
	d.received[reader] = number
	return !isReader && reader != d.lastReader && d.lastReader != "" && d.readsList(d.lastReader)
}

// entries returns the instances of the entry daemon in a failure domain, from the
// copy of the platform's instance list.
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

// isLeaving reports whether an upstream of the local domain is listed as leaving.
func (d *directory) isLeaving(upstream string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, found := slices.BinarySearch(d.leavingUpstreams, upstream)
	return found
}

// find returns the instance with the given failure domain and ID. For the local
// domain it looks in the membership first; otherwise, and if that lacks the
// instance, it looks in the platform's instance list. That list has no
// incarnations: an instance found only there is returned with incarnation zero,
// and when called, it compares the requested incarnation with its own.
func (d *directory) find(domain, id string) (member.Member, bool) {
	if domain == d.domain {
		// An instance that has not joined yet may already be in the instance list.
		if found, ok := d.view().Find(id); ok {
			return found, true
		}
	}
	for _, listed := range d.entries(domain) {
		if listed.Name == id {
			return member.Member{ID: id, Address: listed.Address, AdminAddress: listed.AdminAddress, Status: member.Alive}, true
		}
	}
	d.invalidate()
	return member.Member{}, false
}

// invalidate makes the next call of Instances read the platform's
// instance list again.
func (d *directory) invalidate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readAt = time.Time{}
}

// ownerAddresses returns the peer addresses of another domain's instances that are
// not leaving, in rendezvous order for the key.
func (d *directory) ownerAddresses(domain, key string) []string {
	var members []member.Member
	for _, listed := range d.entries(domain) {
		if !listed.Leaving {
			members = append(members, member.Member{ID: listed.Name, Address: listed.Address})
		}
	}
	if len(members) == 0 {
		d.invalidate()
	}
	var addresses []string
	for _, m := range member.RendezvousOrder(members, key) {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// peerAddresses returns the addresses of the other live members of the local
// domain.
func (d *directory) peerAddresses() []string {
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

// holdsRole reports whether this instance holds the role with the given key.
func holdsRole(view member.View, key string, count int) bool {
	return memberHoldsRole(view, view.Self().ID, key, count)
}

// memberHoldsRole reports whether a member holds the role with the given key. Of
// the owners of the key, the first count that reach the platform hold the role;
// if no owner reaches the platform, the first count of all owners do.
func memberHoldsRole(view member.View, id, key string, count int) bool {
	owners := view.Owners(key)
	reachable := slices.DeleteFunc(slices.Clone(owners), func(m member.Member) bool { return m.Detached })
	if len(reachable) == 0 {
		reachable = owners
	}
	return slices.ContainsFunc(reachable[:min(count, len(reachable))], func(m member.Member) bool { return m.ID == id })
}

// hashID returns a hash of an instance ID, from which random sources are seeded.
func hashID(id string) uint64 { return xxhash.Sum64String(id) }
