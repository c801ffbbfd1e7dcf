package member_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/member"
	"github.com/rosemarywing/rosemarywing/pkg/peer"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

type directTransport struct{ handler peer.MemberHandler }

func (d directTransport) Ping(ctx context.Context, in *peer.PingRequest) (*peer.PingReply, error) {
	if d.handler == nil {
		return nil, errors.New("connection refused")
	}
	return d.handler.Ping(ctx, in)
}

type staticInstances []platform.ListedInstance

func (i staticInstances) Instances(context.Context) ([]platform.ListedInstance, error) { return i, nil }

// Guards against a runner that does not join through the instance list, does
// not exchange configuration digests, or does not close the channel of Changed.
// The clock of the synctest bubble is virtual.
func TestRunnersJoinAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var mu sync.Mutex
		digests := map[string]uint64{}
		runners := map[string]*member.Runner{}
		list := staticInstances{{Name: "other", Address: "other", Domain: "south", Role: "entry"}, {Name: "u", Address: "u", Domain: "north", Role: "upstream"}}
		for i := range 3 {
			list = append(list, platform.ListedInstance{Name: fmt.Sprint("e", i), Address: fmt.Sprint("e", i), Domain: "north", Role: "entry"})
		}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for i := range 3 {
			id := fmt.Sprint("e", i)
			runners[id] = member.NewRunner(member.Options{
				Self: member.Member{ID: id, Incarnation: 1, Address: id}, Domain: "north",
				Instances: list, ListInterval: 10 * time.Second, Clock: clockwork.NewRealClock(),
				Random: rand.New(rand.NewPCG(uint64(i), 0)), Log: logr.Discard(),
				Dial: func(address string) member.Transport {
					if r, ok := runners[address]; ok {
						return directTransport{r}
					}
					g.Expect(address).NotTo(BeElementOf("other", "u"))
					return directTransport{}
				},
				Digest: func() uint64 { return uint64(i) + 7 },
				OnDigest: func(from member.Member, digest uint64) {
					mu.Lock()
					defer mu.Unlock()
					digests[from.ID] = digest
				},
			})
		}
		for _, r := range runners {
			running.Go(func() { r.Run(ctx) })
		}
		time.Sleep(20 * time.Second)
		for _, r := range runners {
			g.Expect(r.Live()).To(HaveLen(3))
			g.Expect(r.Owners("pool")).To(Equal(runners["e0"].Owners("pool")))
		}
		mu.Lock()
		g.Expect(digests).To(Equal(map[string]uint64{"e0": 7, "e1": 8, "e2": 9}))
		mu.Unlock()
		changed := runners["e1"].Changed()
		runners["e0"].Leave(ctx)
		g.Expect(runners["e0"].Self().Status).To(Equal(member.Leaving))
		<-changed
		time.Sleep(5 * time.Second)
		for _, r := range runners {
			g.Expect(r.Live()).To(HaveLen(2))
		}
		_, err := runners["e1"].Ping(ctx, &peer.PingRequest{Domain: "south"})
		g.Expect(err).To(HaveOccurred())
		cancel()
		running.Wait()
	})
}

// Guards against a new instance that knows no other member for several seconds,
// because it probes a newly listed address only in its regular rotation.
func TestNewCandidateProbedInNextInterval(t *testing.T) {
	g := NewWithT(t)
	core := member.NewCore(member.Config{}, member.Member{ID: "a", Address: "a"}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	core.SetCandidates(now, nil)
	g.Expect(core.Tick(now)).To(BeEmpty())
	core.SetCandidates(now, []member.Candidate{{ID: "b", Address: "b"}})
	probes := core.Tick(core.NextTickAt())
	g.Expect(probes).To(HaveLen(1))
	g.Expect(probes[0].To.Address).To(Equal("b"))
}
