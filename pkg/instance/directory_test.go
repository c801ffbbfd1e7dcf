package instance

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/member"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

// countingList is an instance list that counts the calls.
type countingList struct {
	list  []platform.ListedInstance
	calls int
}

func (c *countingList) Instances(context.Context) ([]platform.ListedInstance, error) {
	c.calls++
	return c.list, nil
}

// twoMemberView is the view of member a, with member b as the other member.
type twoMemberView struct{ member.View }

func (twoMemberView) Self() member.Member { return member.Member{ID: "a"} }
func (twoMemberView) Live() []member.Member {
	return []member.Member{{ID: "a"}, {ID: "b", Address: "b"}}
}
func (twoMemberView) Find(string) (member.Member, bool) { return member.Member{}, false }

// reportRecorder receives the reports.
type reportRecorder chan *peer.LeavingReport

func (r reportRecorder) ReportLeaving(_ context.Context, in *peer.LeavingReport) (*peer.Ack, error) {
	r <- in
	return &peer.Ack{}, nil
}

func newDirectory(list *countingList, isReader bool, sent reportRecorder) (*directory, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return &directory{
		platform: list, domain: "north", clock: clock,
		view:      func() member.View { return twoMemberView{} },
		readsList: func(id string) bool { return isReader && id == "a" },
		dial:      func(string) LeavingReporter { return sent },
	}, clock
}

// Guards against a list reader that does not tell the other members which upstreams
// are leaving, and against a report that names upstreams of another domain.
func TestListReaderReportsLeavingUpstreams(t *testing.T) {
	g := NewWithT(t)
	list := &countingList{list: []platform.ListedInstance{
		{Name: "booking-1", Domain: "north", Role: "upstream", Leaving: true},
		{Name: "booking-2", Domain: "north", Role: "upstream"},
		{Name: "booking-3", Domain: "south", Role: "upstream", Leaving: true},
	}}
	sent := make(reportRecorder)
	reader, _ := newDirectory(list, true, sent)
	_, err := reader.Instances(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	report := <-sent
	g.Expect(report.GetUpstreams()).To(Equal([]string{"booking-1"}))
	other, _ := newDirectory(&countingList{}, false, nil)
	_, err = other.ReportLeaving(context.Background(), report)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(other.isLeaving("booking-1")).To(BeTrue())
	g.Expect(other.isLeaving("booking-2")).To(BeFalse())
}

// Failure: a report of leaving upstreams arrives after a later one, of the same reader, of an
// earlier process of it, or of the reader before it. Guards against an upstream that is used
// again although it leaves, until the next report half a minute later.
func TestLateLeavingReportIsIgnored(t *testing.T) {
	report := func(reader string, incarnation, sequence uint64, upstreams ...string) *peer.LeavingReport {
		return &peer.LeavingReport{Upstreams: upstreams, Reader: &peer.InstanceRef{Id: reader, Incarnation: incarnation}, Sequence: sequence}
	}
	for name, test := range map[string]struct {
		before, late *peer.LeavingReport
		ignored      bool
	}{
		"same reader":                    {report("a", 5, 2, "booking-1"), report("a", 5, 1), true},
		"twice":                          {report("a", 5, 2, "booking-1"), report("a", 5, 2), true},
		"earlier process of the reader":  {report("a", 5, 1, "booking-1"), report("a", 4, 9), true},
		"former reader":                  {report("a", 5, 1, "booking-1"), report("b", 9, 9), true},
		"next report":                    {report("a", 5, 1, "booking-1"), report("a", 5, 2), false},
		"next process of the reader":     {report("a", 5, 9, "booking-1"), report("a", 6, 1), false},
		"new reader":                     {report("b", 9, 9, "booking-1"), report("a", 5, 1), false},
		"member without report numbers":  {report("a", 5, 9, "booking-1"), &peer.LeavingReport{}, false},
		"first report of another reader": {&peer.LeavingReport{Upstreams: []string{"booking-1"}}, report("b", 5, 1), false},
	} {
		g := NewWithT(t)
		d, _ := newDirectory(&countingList{}, true, nil)
		for _, in := range []*peer.LeavingReport{test.before, test.late} {
			_, err := d.ReportLeaving(context.Background(), in)
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(d.isLeaving("booking-1")).To(Equal(test.ignored), name)
	}
}

// slowList is an instance list whose first answer waits for the second one.
type slowList struct {
	answers       [2][]platform.ListedInstance
	first, second chan struct{}
	calls         atomic.Int32
}

func (s *slowList) Instances(context.Context) ([]platform.ListedInstance, error) {
	if s.calls.Add(1) > 1 {
		return s.answers[1], nil
	}
	close(s.first)
	<-s.second
	return s.answers[0], nil
}

// Failure: the answer to a read of the instance list arrives after that to a later read.
// Guards against an upstream that is used again although it leaves.
func TestSlowReadOfTheListDoesNotReplaceALaterOne(t *testing.T) {
	g := NewWithT(t)
	leaving := func(leaves bool) []platform.ListedInstance {
		return []platform.ListedInstance{{Name: "booking-1", Domain: "north", Role: "upstream", Leaving: leaves}}
	}
	list := &slowList{answers: [2][]platform.ListedInstance{leaving(false), leaving(true)}, first: make(chan struct{}), second: make(chan struct{})}
	sent := make(reportRecorder, 4)
	d, clock := newDirectory(nil, true, sent)
	d.platform = list
	done := make(chan error, 1)
	go func() {
		_, err := d.Instances(context.Background())
		done <- err
	}()
	<-list.first
	clock.Advance(time.Second)
	_, err := d.Instances(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	close(list.second)
	g.Expect(<-done).To(Succeed())
	g.Expect(d.isLeaving("booking-1")).To(BeTrue())
	g.Expect((<-sent).GetUpstreams()).To(Equal([]string{"booking-1"}))
	g.Consistently(sent, "20ms").ShouldNot(Receive())
}

// Guards against members other than the list reader that read the list every few
// seconds, which exceeds their network budget, and against a copy that is never
// refreshed.
func TestOtherMembersUseListCopy(t *testing.T) {
	g := NewWithT(t)
	list := &countingList{}
	d, clock := newDirectory(list, false, nil)
	read := func() int {
		_, err := d.Instances(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		return list.calls
	}
	g.Expect([]int{read(), read()}).To(Equal([]int{1, 1}))
	_, found := d.find("south", "new")
	g.Expect(found).To(BeFalse())
	g.Expect([]int{read(), read()}).To(Equal([]int{2, 2}))
	clock.Advance(instanceListMaxAge + time.Second)
	g.Expect(read()).To(Equal(3))
}

// ownerView is the view of member self, with ordered as the owners of any key.
type ownerView struct {
	member.View
	self    string
	ordered []member.Member
}

func (o ownerView) Self() member.Member           { return member.Member{ID: o.self} }
func (o ownerView) Owners(string) []member.Member { return o.ordered }

// Guards against roles that stay with instances that cannot reach the platform,
// and against roles that nobody holds when no instance reaches it.
func TestDetachedMembersHoldNoRoles(t *testing.T) {
	g := NewWithT(t)
	holders := func(detached ...string) string {
		var ordered []member.Member
		for _, id := range []string{"a", "b", "c", "d"} {
			ordered = append(ordered, member.Member{ID: id, Detached: slices.Contains(detached, id)})
		}
		held := ""
		for _, m := range ordered {
			if holdsRole(ownerView{self: m.ID, ordered: ordered}, "role", 2) {
				held += m.ID
			}
		}
		return held
	}
	g.Expect(holders()).To(Equal("ab"))
	g.Expect(holders("a")).To(Equal("bc"))
	g.Expect(holders("a", "b")).To(Equal("cd"))
	g.Expect(holders("a", "b", "c")).To(Equal("d"))
	g.Expect(holders("a", "b", "c", "d")).To(Equal("ab"))
}
