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

// Tails of IDs that no issuer signed.
const (
	noTag  = ".00000000000000000000000000000000"
	noTeam = ".0123456789abcdef" + noTag
)

// unsigned returns an ID of the team "team" without a valid tag.
func unsigned(fields string) string { return fields + "." + claim.TeamHash("team") + noTag }

// Guards against a second spelling of an issued ID, which would be a second identity.
func TestParseIDIsStrict(t *testing.T) {
	g := NewWithT(t)
	id, ok := claim.ParseID("rw1.balaton-north.e_1.17.4" + noTeam)
	g.Expect(ok).To(BeTrue())
	g.Expect(id).To(Equal(claim.ID{
		Domain: "balaton-north", Instance: "e_1", Incarnation: 17, Sequence: 4, Team: "0123456789abcdef", Tag: noTag[1:],
	}))
	g.Expect(id.String()).To(Equal("rw1.balaton-north.e_1.17.4" + noTeam))
	for _, text := range []string{"", "rw1", "rw1.d.a.1", "rw1.d.a.1.2.3", "rw2.d.a.1.2", "rw1.d.a.01.2", "rw1.d.a.1.+2",
		"rw1.d.a.1.2 ", "RW1.d.a.1.2", "rw1..a.1.2", "rw1.d.é.1.2", "rw1.d.a.-1.2", "rw1.d.a.1.18446744073709551616"} {
		for _, tail := range []string{"", noTeam} {
			_, ok := claim.ParseID(text + tail)
			g.Expect(ok).To(BeFalse(), text+tail)
		}
	}
	for _, tail := range []string{"", ".", "..", noTag, ".0123456789abcdef", ".0123456789ABCDEF" + noTag, ".0123456789abcde" + noTag,
		".0123456789abcdef0" + noTag, ".0123456789abcdeg" + noTag, noTeam[:len(noTeam)-1], noTeam + "0", noTeam[:len(noTeam)-1] + "F",
		noTeam[:len(noTeam)-1] + "g", noTeam + " ", noTeam + ".", noTeam + ".1"} {
		_, ok := claim.ParseID("rw1.d.a.1.2" + tail)
		g.Expect(ok).To(BeFalse(), tail)
	}
}

// Guards against an ID that serves another team than the one it was issued to:
// one that it guessed or that leaked, and one into which it put its own hash.
func TestIDsAreBoundToTheirTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld("a", "b")
		w.immediate = true
		defer w.close()
		issued := w.instances["a"].node.NewID("team")
		g.Expect(claim.Owns("team", issued)).To(BeTrue())
		g.Expect(claim.Owns("other", issued)).To(BeFalse())
		g.Expect(claim.Owns("team", "key")).To(BeFalse())
		id, ok := claim.ParseID(issued)
		g.Expect(ok).To(BeTrue())
		id.Team = claim.TeamHash("other")
		for _, at := range []string{"a", "b"} {
			_, err := w.instances[at].node.Claim(context.Background(), "other", issued)
			g.Expect(errkind.KindOf(err)).To(Equal(errkind.Unauthorized))
			reply, err := w.instances[at].node.Claim(context.Background(), "other", id.String())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(reply.Result).To(Equal(claim.Lost))
		}
		reply, err := w.instances["b"].node.Claim(context.Background(), "team", issued)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.Result).To(Equal(claim.Granted), "the attempts of the other team held the claim")
	})
}

// Guards against wrong answers in the cases that callers meet; each row says which.
func TestClaims(t *testing.T) {
	granted := claim.Granted
	type step struct {
		// do changes the world before the claim.
		do   func(w *world, requestID string)
		at   string
		want claim.Result
	}
	abandon := func(at string) func(*world, string) {
		return func(w *world, id string) { w.instances[at].node.Update(id, claim.Abandoned, "") }
	}
	dispatch := func(w *world, id string) { w.instances["b"].node.Update(id, claim.Dispatched, "u") }
	finish := func(w *world, id string) { w.instances["b"].node.Update(id, claim.Finished, "u") }
	cases := []struct {
		name  string
		steps []step
	}{
		{"retry elsewhere after a refusal", []step{{nil, "b", granted}, {abandon("b"), "c", granted}}},
		{"retry at the same instance after a refusal", []step{{nil, "b", granted}, {abandon("b"), "b", granted}}},
		{"two attempts at one instance", []step{{nil, "b", granted}, {nil, "b", claim.InProgress}}},
		{"two attempts at two instances", []step{{nil, "b", granted}, {nil, "c", claim.InProgress}}},
		{"attempt after a dispatch", []step{{nil, "b", granted}, {dispatch, "c", claim.InProgress}, {finish, "c", claim.AlreadyFinished}}},
		{"holder restarted", []step{{nil, "b", granted}, {func(w *world, _ string) { w.start("b") }, "c", claim.Lost}}},
	}
	for _, identity := range []string{"issued", "key"} {
		for _, c := range cases {
			t.Run(identity+": "+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					w := newWorld("a", "b", "c")
					w.immediate = true
					defer w.close()
					identity := identity
					if identity == "issued" {
						identity = w.instances["a"].node.NewID("team")
					}
					requestID := ""
					for _, s := range c.steps {
						if s.do != nil {
							s.do(w, requestID)
							synctest.Wait()
						}
						reply, err := w.instances[s.at].node.Claim(context.Background(), "team", identity)
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

// Guards against wrong run states when the platform or the issuer fails.
func TestClaimsUnderFailure(t *testing.T) {
	cases := []struct {
		name     string
		identity func(w *world) string
		do       func(w *world)
		want     claim.Result
		wantKind errkind.Kind
	}{
		{"the answer of the platform is lost", nil, func(w *world) { w.lost = true }, claim.Granted, ""},
		{"the platform is out", nil, func(w *world) { w.out = true }, 0, errkind.ClaimUnavailable},
		{"the holder is not known", nil, func(w *world) {
			_, _ = w.instances["c"].node.Claim(context.Background(), "team", "key")
			delete(w.view, "c")
		}, claim.Lost, ""},
		{"the issuer is not known", func(*world) string { return unsigned("rw1.d.x.1.1") }, nil, claim.Lost, ""},
		{"the ID is damaged", func(*world) string { return unsigned("rw1.d.a.1") }, nil, claim.Lost, ""},
		{"the ID was never issued", func(*world) string { return unsigned("rw1.d.a.1.77") }, nil, claim.Lost, ""},
		{"the issuer does not answer", func(w *world) string { return w.instances["a"].node.NewID("team") },
			func(w *world) { w.instances["a"].dead = true }, 0, errkind.IssuerLost},
		{"the issuer restarted", func(w *world) string { return w.instances["a"].node.NewID("team") },
			func(w *world) { w.start("a") }, claim.Lost, ""},
		{"the issuer is dead", func(w *world) string { return w.instances["a"].node.NewID("team") },
			func(w *world) { w.view["a"] = member.Member{ID: "a", Incarnation: 1, Status: member.Dead} }, claim.Lost, ""},
		{"the ID is past its age", func(w *world) string {
			id := w.instances["a"].node.NewID("team")
			w.clock.Advance(2 * time.Hour)
			return id
		}, nil, claim.Lost, ""},
		{"the ID is below the retention floor", func(w *world) string {
			a := w.instances["a"].node
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
				w := newWorld("a", "b", "c")
				w.immediate = true
				defer w.close()
				identity := "key"
				if c.identity != nil {
					identity = c.identity(w)
				}
				if c.do != nil {
					c.do(w)
				}
				reply, err := w.instances["b"].node.Claim(context.Background(), "team", identity)
				g.Expect(reply.Result).To(Equal(c.want))
				if c.wantKind != "" {
					g.Expect(errkind.KindOf(err)).To(Equal(c.wantKind))
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				if c.name == "the issuer is not known" {
					g.Expect(w.dialled).To(BeZero())
				}
			})
		})
	}
}

// Guards against keys that are shared between teams.
func TestKeysAreScopedByTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld("a")
		w.immediate = true
		defer w.close()
		for _, pair := range [][2]string{{"t", "ab"}, {"ta", "b"}, {"u", "ab"}} {
			reply, err := w.instances["a"].node.Claim(context.Background(), pair[0], pair[1])
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(reply.Result).To(Equal(claim.Granted))
		}
	})
}

// Guards against claim objects that pile up, and against the deletion of a
// claim under which its holder may still dispatch.
func TestJanitorDeletesOldClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld("a", "b")
		w.immediate = true
		defer w.close()
		claimKey := func(key string, phase claim.Phase) {
			reply, err := w.instances["b"].node.Claim(context.Background(), "team", key)
			g.Expect(err).NotTo(HaveOccurred())
			w.instances["b"].node.Update(reply.RequestID, phase, "u")
		}
		claimKey("old", claim.Finished)
		claimKey("held", claim.Held)
		w.clock.Advance(24 * time.Hour)
		claimKey("young", claim.Finished)
		ctx, cancel := context.WithCancel(context.Background())
		owner := false
		go w.instances["a"].node.RunJanitor(ctx, claim.JanitorOptions{
			Interval: time.Minute, MaxAge: 24 * time.Hour, Pause: time.Second, Owner: func() bool { return owner },
		})
		for _, want := range []int{3, 2} {
			for range 5 {
				synctest.Wait()
				w.clock.Advance(time.Minute)
			}
			synctest.Wait()
			g.Expect(w.objects).To(HaveLen(want))
			owner = true
		}
		cancel()
	})
}
