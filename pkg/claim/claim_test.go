package claim_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/claim"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/member"
)

// Last fields of IDs that no issuer signed.
const (
	zeroTag        = ".00000000000000000000000000000000"
	teamAndZeroTag = ".0123456789abcdef" + zeroTag
)

// zeroTagID returns an ID of the team "team" without a valid tag.
func zeroTagID(fields string) string { return fields + "." + claim.TeamHash("team") + zeroTag }

// Guards against accepting two text forms of one issued ID, which would be two
// identities of one request.
func TestParseIDRejectsNonCanonicalText(t *testing.T) {
	g := NewWithT(t)
	id, ok := claim.ParseID("rw1.balaton-north.e_1.17.4" + teamAndZeroTag)
	g.Expect(ok).To(BeTrue())
	g.Expect(id).To(Equal(claim.ID{
		Domain: "balaton-north", Instance: "e_1", Incarnation: 17, Sequence: 4, Team: "0123456789abcdef", Tag: zeroTag[1:],
	}))
	g.Expect(id.String()).To(Equal("rw1.balaton-north.e_1.17.4" + teamAndZeroTag))
	for _, text := range []string{"", "rw1", "rw1.d.a.1", "rw1.d.a.1.2.3", "rw2.d.a.1.2", "rw1.d.a.01.2", "rw1.d.a.1.+2",
		"rw1.d.a.1.2 ", "RW1.d.a.1.2", "rw1..a.1.2", "rw1.d.é.1.2", "rw1.d.a.-1.2", "rw1.d.a.1.18446744073709551616"} {
		for _, tail := range []string{"", teamAndZeroTag} {
			_, ok := claim.ParseID(text + tail)
			g.Expect(ok).To(BeFalse(), text+tail)
		}
	}
	for _, tail := range []string{"", ".", "..", zeroTag, ".0123456789abcdef", ".0123456789ABCDEF" + zeroTag, ".0123456789abcde" + zeroTag,
		".0123456789abcdef0" + zeroTag, ".0123456789abcdeg" + zeroTag, teamAndZeroTag[:len(teamAndZeroTag)-1], teamAndZeroTag + "0", teamAndZeroTag[:len(teamAndZeroTag)-1] + "F",
		teamAndZeroTag[:len(teamAndZeroTag)-1] + "g", teamAndZeroTag + " ", teamAndZeroTag + ".", teamAndZeroTag + ".1"} {
		_, ok := claim.ParseID("rw1.d.a.1.2" + tail)
		g.Expect(ok).To(BeFalse(), tail)
	}
}

// Guards against use of a request ID by another team, be it guessed, leaked, or
// modified to contain the hash of that team.
func TestClaimOfAnotherTeamsRequestID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cl := newCluster("a", "b")
		cl.immediate = true
		defer cl.close()
		issued := cl.instances["a"].node.NewID("team")
		g.Expect(claim.IsIssuedTo("team", issued)).To(BeTrue())
		g.Expect(claim.IsIssuedTo("other", issued)).To(BeFalse())
		g.Expect(claim.IsIssuedTo("team", "key")).To(BeFalse())
		id, ok := claim.ParseID(issued)
		g.Expect(ok).To(BeTrue())
		id.Team = claim.TeamHash("other")
		for _, at := range []string{"a", "b"} {
			_, err := cl.instances[at].node.Claim(context.Background(), "other", issued)
			g.Expect(errkind.KindOf(err)).To(Equal(errkind.Unauthorized))
			reply, err := cl.instances[at].node.Claim(context.Background(), "other", id.String())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(reply.Result).To(Equal(claim.Lost))
		}
		reply, err := cl.instances["b"].node.Claim(context.Background(), "team", issued)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.Result).To(Equal(claim.Granted), "an attempt of the other team holds the claim")
	})
}

// Guards against wrong results when a request is repeated in different states
// of its first attempt.
func TestClaimResults(t *testing.T) {
	granted := claim.Granted
	type step struct {
		// do changes the state of the cluster before the claim.
		do   func(cl *cluster, requestID string)
		at   string
		want claim.Result
	}
	abandon := func(at string) func(*cluster, string) {
		return func(cl *cluster, id string) { cl.instances[at].node.UpdatePhase(id, claim.Abandoned, "") }
	}
	dispatch := func(cl *cluster, id string) { cl.instances["b"].node.UpdatePhase(id, claim.Dispatched, "u") }
	finish := func(cl *cluster, id string) { cl.instances["b"].node.UpdatePhase(id, claim.Finished, "u") }
	cases := []struct {
		name  string
		steps []step
	}{
		{"retry at another instance after abandoning", []step{{nil, "b", granted}, {abandon("b"), "c", granted}}},
		{"retry at the same instance after abandoning", []step{{nil, "b", granted}, {abandon("b"), "b", granted}}},
		{"two attempts at one instance", []step{{nil, "b", granted}, {nil, "b", claim.InProgress}}},
		{"two attempts at two instances", []step{{nil, "b", granted}, {nil, "c", claim.InProgress}}},
		{"attempt after dispatch", []step{{nil, "b", granted}, {dispatch, "c", claim.InProgress}, {finish, "c", claim.AlreadyFinished}}},
		{"holder restarted", []step{{nil, "b", granted}, {func(cl *cluster, _ string) { cl.start("b") }, "c", claim.Lost}}},
	}
	for _, identity := range []string{"issued", "key"} {
		for _, c := range cases {
			t.Run(identity+": "+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					cl := newCluster("a", "b", "c")
					cl.immediate = true
					defer cl.close()
					identity := identity
					if identity == "issued" {
						identity = cl.instances["a"].node.NewID("team")
					}
					requestID := ""
					for _, s := range c.steps {
						if s.do != nil {
							s.do(cl, requestID)
							synctest.Wait()
						}
						reply, err := cl.instances[s.at].node.Claim(context.Background(), "team", identity)
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(reply.Result).To(Equal(s.want))
						if reply.Result == claim.AlreadyFinished {
							g.Expect(reply.Upstream).To(Equal("u"))
						}
						if reply.Result == granted {
							requestID = reply.RequestID
						} else if s.want != claim.Lost && identity == "key" {
							g.Expect(reply.RequestID).To(Equal(requestID))
						}
					}
				})
			})
		}
	}
}

// Guards against a wrong result or error kind when the platform, the issuer or
// the holder fails, or the ID is malformed, was never issued or is too old.
func TestClaimResultsUnderFailure(t *testing.T) {
	cases := []struct {
		name     string
		identity func(cl *cluster) string
		do       func(cl *cluster)
		want     claim.Result
		wantKind errkind.Kind
	}{
		{"platform reply lost", nil, func(cl *cluster) { cl.losePutReply = true }, claim.Granted, ""},
		{"platform down", nil, func(cl *cluster) { cl.platformDown = true }, 0, errkind.ClaimUnavailable},
		{"holder not a member", nil, func(cl *cluster) {
			_, _ = cl.instances["c"].node.Claim(context.Background(), "team", "key")
			delete(cl.view, "c")
		}, claim.Lost, ""},
		{"issuer not a member", func(*cluster) string { return zeroTagID("rw1.d.x.1.1") }, nil, claim.Lost, ""},
		{"malformed ID", func(*cluster) string { return zeroTagID("rw1.d.a.1") }, nil, claim.Lost, ""},
		{"ID never issued", func(*cluster) string { return zeroTagID("rw1.d.a.1.77") }, nil, claim.Lost, ""},
		{"issuer unreachable", func(cl *cluster) string { return cl.instances["a"].node.NewID("team") },
			func(cl *cluster) { cl.instances["a"].dead = true }, 0, errkind.IssuerLost},
		{"issuer restarted", func(cl *cluster) string { return cl.instances["a"].node.NewID("team") },
			func(cl *cluster) { cl.start("a") }, claim.Lost, ""},
		{"issuer dead", func(cl *cluster) string { return cl.instances["a"].node.NewID("team") },
			func(cl *cluster) { cl.view["a"] = member.Member{ID: "a", Incarnation: 1, Status: member.Dead} }, claim.Lost, ""},
		{"ID older than the maximum age", func(cl *cluster) string {
			id := cl.instances["a"].node.NewID("team")
			cl.clock.Advance(2 * time.Hour)
			return id
		}, nil, claim.Lost, ""},
		{"ID below the retention floor", func(cl *cluster) string {
			a := cl.instances["a"].node
			id := a.NewID("team")
			for range 7 {
				_, _ = a.Claim(context.Background(), "team", a.NewID("team"))
			}
			return id
		}, nil, claim.Lost, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				cl := newCluster("a", "b", "c")
				cl.immediate = true
				defer cl.close()
				identity := "key"
				if c.identity != nil {
					identity = c.identity(cl)
				}
				if c.do != nil {
					c.do(cl)
				}
				reply, err := cl.instances["b"].node.Claim(context.Background(), "team", identity)
				g.Expect(reply.Result).To(Equal(c.want))
				if c.wantKind != "" {
					g.Expect(errkind.KindOf(err)).To(Equal(c.wantKind))
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				if c.name == "issuer not a member" {
					g.Expect(cl.dialCount).To(BeZero())
				}
			})
		})
	}
}

// Guards against one claim for the keys of two teams, whether the keys are equal or
// only team and key together form the same text.
func TestKeysAreScopedByTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cl := newCluster("a")
		cl.immediate = true
		defer cl.close()
		for _, pair := range [][2]string{{"t", "ab"}, {"ta", "b"}, {"u", "ab"}} {
			reply, err := cl.instances["a"].node.Claim(context.Background(), pair[0], pair[1])
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(reply.Result).To(Equal(claim.Granted))
		}
	})
}

// Guards against claim objects that accumulate, and against deletion of a claim
// under which its holder may still dispatch.
func TestJanitorDeletesOldClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cl := newCluster("a", "b")
		cl.immediate = true
		defer cl.close()
		claimKey := func(key string, phase claim.Phase) {
			reply, err := cl.instances["b"].node.Claim(context.Background(), "team", key)
			g.Expect(err).NotTo(HaveOccurred())
			cl.instances["b"].node.UpdatePhase(reply.RequestID, phase, "u")
		}
		claimKey("old", claim.Finished)
		claimKey("held", claim.Held)
		cl.clock.Advance(24 * time.Hour)
		claimKey("young", claim.Finished)
		ctx, cancel := context.WithCancel(context.Background())
		owner := false
		go cl.instances["a"].node.RunJanitor(ctx, claim.JanitorOptions{
			Interval: time.Minute, MaxAge: 24 * time.Hour, DeleteInterval: time.Second, IsOwner: func() bool { return owner },
		})
		for _, want := range []int{3, 2} {
			for range 5 {
				synctest.Wait()
				cl.clock.Advance(time.Minute)
			}
			synctest.Wait()
			g.Expect(cl.objects).To(HaveLen(want))
			owner = true
		}
		cancel()
	})
}
