package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/quota"
	"github.com/rosemarywing/rosemarywing/pkg/storesync"
	"github.com/rosemarywing/rosemarywing/pkg/traffic"
)

// fakeSource counts its List calls and fails while err is set.
type fakeSource struct {
	storesync.Source
	calls int
	err   error
}

func (s *fakeSource) List(context.Context, string) (storesync.Listing, error) {
	s.calls++
	return storesync.Listing{Position: storesync.Position{Revision: 7}, Objects: []storesync.Object{{Name: "north", Spec: []byte("{}")}}}, s.err
}

// All instances of a failure domain have restarted and ask their relay for the usage
// records. Guards against a call of the store by each of them, and against an answer
// without records while the store cannot be read.
func TestRelayReadsUsageRecordsOnceForItsFollowers(t *testing.T) {
	g := NewWithT(t)
	source, now := &fakeSource{err: errors.New("store down")}, time.Minute
	server := storeServer{usage: &usageRecords{store: source, kind: "usage", now: func() time.Duration { return now }}, now: func() time.Duration { return now }, contain: func(_ string, _ func() string, f func()) error { f(); return nil }}
	ask := func() (*peer.FollowStoreReply, error) {
		return server.FollowStore(context.Background(), &peer.FollowStoreRequest{Kind: "usage"})
	}
	_, err := ask()
	g.Expect(err).To(HaveOccurred())
	source.err, source.calls = nil, 0
	for range 49 {
		reply, err := ask()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.GetChanged()).To(HaveLen(1))
	}
	g.Expect(source.calls).To(Equal(1))
	now += usageListingTTL
	_, err = ask()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(source.calls).To(Equal(2), "the records change while teams use their quotas")
}

// Failure: the key of a request moves to another team while the request is queued, and the
// request does not run. Guards against a refund to a team that was not charged.
func TestRefundGoesToTeamThatWasCharged(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	c := newTestControlLoop(t, &now, true)
	limit := quota.Limit{PerSecond: 100}
	for _, team := range []string{"desk", "lab"} {
		c.quotas.Charge(now, team, limit, 50)
	}
	x := &exchange{g: c.g, team: &traffic.Team{Name: "lab"}, charge: quota.Charge{Team: "desk", Amount: 50, At: now}}
	x.refundQuota()
	(<-c.inbox).apply(c)
	g.Expect(c.quotas.OwnUsage(now)).To(Equal(map[string]float64{"lab": 50}))
}
