package instance

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/member"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

type countedList struct {
	list  []platform.ListedInstance
	calls int
}

func (c *countedList) Instances(context.Context) ([]platform.ListedInstance, error) {
	c.calls++
	return c.list, nil
}

type twoMembers struct{ member.View }

func (twoMembers) Self() member.Member { return member.Member{ID: "a"} }
func (twoMembers) Live() []member.Member {
	return []member.Member{{ID: "a"}, {ID: "b", Address: "b"}}
}
func (twoMembers) Find(string) (member.Member, bool) { return member.Member{}, false }

type reports chan []string

func (r reports) ReportLeaving(_ context.Context, in *peer.LeavingReport) (*peer.Ack, error) {
	r <- in.Upstreams
	return &peer.Ack{}, nil
}

func newDirectory(list *countedList, reader bool, sent reports) (*directory, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return &directory{
		platform: list, domain: "north", clock: clock,
		view:     func() member.View { return twoMembers{} },
		isReader: func() bool { return reader },
		dial:     func(string) LeavingTransport { return sent },
	}, clock
}

// Guards against leaving upstreams that the reader keeps to itself, and against
// upstreams of another domain taken for leaving ones of this domain.
func TestReaderReportsLeavingUpstreams(t *testing.T) {
	g := NewWithT(t)
	list := &countedList{list: []platform.ListedInstance{
		{Name: "booking-1", Domain: "north", Role: "upstream", Leaving: true},
		{Name: "booking-2", Domain: "north", Role: "upstream"},
		{Name: "booking-3", Domain: "south", Role: "upstream", Leaving: true},
	}}
	sent := make(reports)
	reader, _ := newDirectory(list, true, sent)
	_, err := reader.Instances(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	report := <-sent
	g.Expect(report).To(Equal([]string{"booking-1"}))
	other, _ := newDirectory(&countedList{}, false, nil)
	_, err = other.ReportLeaving(context.Background(), &peer.LeavingReport{Upstreams: report})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(other.leaving("booking-1")).To(BeTrue())
	g.Expect(other.leaving("booking-2")).To(BeFalse())
}

// Guards against a list read by every member every few seconds, which exceeds
// the budget of an instance, and against a copy that is never renewed.
func TestOtherMembersReadTheListRarely(t *testing.T) {
	g := NewWithT(t)
	list := &countedList{}
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
	clock.Advance(copyAge + time.Second)
	g.Expect(read()).To(Equal(3))
}

type owners struct {
	member.View
	self    string
	ordered []member.Member
}

func (o owners) Self() member.Member           { return member.Member{ID: o.self} }
func (o owners) Owners(string) []member.Member { return o.ordered }

// Guards against roles that stay with instances which do not reach the
// platform, and against roles that nobody takes when none reaches it.
func TestRolesPassToMembersThatReachThePlatform(t *testing.T) {
	g := NewWithT(t)
	holders := func(detached ...string) string {
		var ordered []member.Member
		for _, id := range []string{"a", "b", "c", "d"} {
			ordered = append(ordered, member.Member{ID: id, Detached: slices.Contains(detached, id)})
		}
		held := ""
		for _, m := range ordered {
			if ownsAttached(owners{self: m.ID, ordered: ordered}, "role", 2) {
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
