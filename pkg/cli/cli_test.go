package cli_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	standin "github.com/rosemarywing/rosemarywing/internal/standin/platform"
	"github.com/rosemarywing/rosemarywing/pkg/cli"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

type fixture struct {
	server *standin.Server
	url    string
	mu     sync.Mutex
	// beforeWrite, if not nil, runs once before the next write reaches the platform.
	beforeWrite func()
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{server: standin.NewServer(clockwork.NewFakeClock())}
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		beforeWrite := f.beforeWrite
		if r.Method == http.MethodPut {
			f.beforeWrite = nil
		}
		f.mu.Unlock()
		if r.Method == http.MethodPut && beforeWrite != nil {
			beforeWrite()
		}
		f.server.ServeHTTP(w, r)
	}))
	t.Cleanup(listener.Close)
	f.url = listener.URL
	return f
}

func (f *fixture) run(input string, args ...string) (code int, output string) {
	var out, errOut bytes.Buffer
	code = cli.Run(context.Background(), append([]string{"--platform", f.url}, args...), strings.NewReader(input), &out, &errOut)
	return code, out.String() + errOut.String()
}

func tier(name string, priority int) string {
	return fmt.Sprintf(`{"schema":"rosemarywing/v2","kind":"Tier","name":%q,"spec":{"priority":%d,"deadlineMs":1000}}`, name, priority)
}

func team(highest string) string {
	return fmt.Sprintf(`{"schema":"rosemarywing/v2","kind":"Team","name":"a","spec":{"weight":1,"defaultTier":"low","highestTier":%q}}`, highest)
}

func exitCode(kind errkind.Kind) int { return errkind.ResponseFor(kind).ExitCode }

// Guards against a command that reports success without a write, or a failure
// although the write took effect; against lost updates of two operators; against
// an invalid record that reaches the platform; and against success for a misspelt
// kind or an empty file.
func TestCommands(t *testing.T) {
	const e1 = `{"schema":"rosemarywing/v1","kind":"Upstream","name":"e1","spec":{"address":"h:1","domain":"d","model":"m@1","limit":1}}`
	apply := []string{"apply", "-f", "-"}
	withdraw := []string{"withdraw", "--name", "w", "--batch", "b"}
	table := []struct {
		name, before, input string
		args                []string
		faults              standin.Faults
		concurrentWrite     bool
		code                int
		output              string
		objects             int
	}{
		{"apply several records", "", tier("low", 1) + tier("high", 2) + team("high"), apply, standin.Faults{}, false, 0, "created", 3},
		{"apply again", tier("low", 1), tier("low", 2), apply, standin.Faults{}, false, 0, "updated", 1},
		{"apply, lost response", "", tier("low", 1), apply, standin.Faults{LoseAnswers: 1}, false, 0, "created", 1},
		{"apply, concurrent write", "", tier("low", 1), apply, standin.Faults{}, true, exitCode(errkind.Conflict), "conflict", 1},
		{"apply, outage", "", tier("low", 1), apply, standin.Faults{Outage: standin.Outage503}, false, exitCode(errkind.PlatformUnavailable), "platform_unavailable", 0},
		{"apply, dangling reference", tier("low", 1), team("high"), apply, standin.Faults{}, false, exitCode(errkind.InvalidRecord), "highestTier", 1},
		{"apply, second record invalid", "", tier("low", 1) + e1, apply, standin.Faults{}, false, exitCode(errkind.InvalidRecord), "m@1", 0},
		{"validate", "", tier("low", 1), []string{"validate", "-f", "-"}, standin.Faults{}, false, 0, "valid", 0},
		{"validate offline", "", e1, []string{"validate", "--offline", "-f", "-"}, standin.Faults{Outage: standin.Outage503}, false, 0, "valid", 0},
		{"withdraw", "", "", withdraw, standin.Faults{}, false, 0, "created", 1},
		{"withdraw, lost response", "", "", withdraw, standin.Faults{LoseAnswers: 1}, false, 0, "created", 1},
		{"apply an empty file", "", " ", apply, standin.Faults{}, false, exitCode(errkind.InvalidRecord), "no record", 0},
		{"withdraw under a name in use", `{"schema":"rosemarywing/v2","kind":"Withdrawal","name":"w","spec":{"batch":"a"}}`, "",
			withdraw, standin.Faults{}, false, exitCode(errkind.Conflict), "Withdrawal w exists", 1},
		{"list an unknown kind", tier("low", 1), "", []string{"list", "Tiers"}, standin.Faults{}, false, exitCode(errkind.BadRequest), "Tiers", 1},
		{"describe an unknown kind", tier("low", 1), "", []string{"describe", "tier", "low"}, standin.Faults{}, false, exitCode(errkind.BadRequest), "Tier", 1},
		{"withdraw without a selection", "", "", []string{"withdraw", "--name", "w"}, standin.Faults{}, false, exitCode(errkind.InvalidRecord), "batch", 0},
		{"restore", `{"schema":"rosemarywing/v2","kind":"Withdrawal","name":"w","spec":{"batch":"b"}}`, "",
			[]string{"restore", "w"}, standin.Faults{LoseAnswers: 1}, false, 0, "deleted", 0},
		{"restore a missing withdrawal", "", "", []string{"restore", "w"}, standin.Faults{}, false, exitCode(errkind.NotFound), "not_found", 0},
		{"list as JSON", tier("low", 1), "", []string{"list", "--output", "json"}, standin.Faults{}, false, 0, `"name": "low"`, 1},
		{"describe", tier("low", 7), "", []string{"describe", "Tier", "low"}, standin.Faults{}, false, 0, `"priority": 7`, 1},
		{"unknown command", "", "", []string{"erase"}, standin.Faults{}, false, exitCode(errkind.BadRequest), "erase", 0},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(t)
			if row.before != "" {
				code, output := f.run(row.before, "apply", "-f", "-")
				g.Expect(code).To(Equal(0), output)
			}
			if row.concurrentWrite {
				f.beforeWrite = func() { f.run(tier("low", 99), "apply", "-f", "-") }
			}
			f.server.SetFaults(row.faults)
			code, output := f.run(row.input, row.args...)
			g.Expect(code).To(Equal(row.code), output)
			g.Expect(output).To(ContainSubstring(row.output))
			f.server.SetFaults(standin.Faults{})
			_, listing := f.run("", "list", "--output", "json")
			g.Expect(strings.Count(listing, `"kind"`)).To(Equal(row.objects))
		})
	}
}

// Guards against records with dangling references, or without effect, that pass
// without an error or a warning: a team whose tier does not exist, an upstream
// whose model does not exist, a model that no upstream serves, a withdrawal that
// selects no upstream, and a change that breaks references of other records.
func TestValidateReportsDanglingReferences(t *testing.T) {
	const v2 = `{"schema":"rosemarywing/v2","kind":%q,"name":%q,"spec":%s}`
	model := func(version string) string { return fmt.Sprintf(v2, "Model", "m", `{"versions":["`+version+`"]}`) }
	upstream := func(version string) string {
		return fmt.Sprintf(v2, "Upstream", "e", `{"type":"engine","address":"h:1","domain":"d","models":["m@`+version+`"],"maxRequests":1,"batch":"b"}`)
	}
	withdrawal := func(spec string) string { return fmt.Sprintf(v2, "Withdrawal", "w", spec) }
	before := tier("low", 1) + tier("high", 2) + team("high") + model("1") + upstream("1")
	table := []struct {
		name, input string
		code        int
		output      string
	}{
		{"team whose tier does not exist", team("none"), exitCode(errkind.InvalidRecord), "highestTier"},
		{"upstream whose model version does not exist", upstream("2"), exitCode(errkind.InvalidRecord), "m@2"},
		{"model version that an upstream needs", model("2"), exitCode(errkind.InvalidRecord), "Upstream e: field spec.models[0]"},
		{"model version and upstream together", model("2") + upstream("2"), 0, "valid"},
		{"default tier of a team above its highest tier", tier("low", 3), exitCode(errkind.InvalidRecord), "Team a: field spec.defaultTier"},
		{"model that no upstream serves", fmt.Sprintf(v2, "Model", "n", `{"versions":["1"]}`), 0, "valid, but no upstream serves version 1"},
		{"model that is served", model("1"), 0, "valid\n"},
		{"withdrawal of no batch", withdrawal(`{"batch":"c"}`), 0, "valid, but no upstream is selected"},
		{"withdrawal of no model version", withdrawal(`{"modelVersion":"m@2"}`), 0, "valid, but no upstream is selected"},
		{"withdrawal of a batch", withdrawal(`{"batch":"b"}`), 0, "valid\n"},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(t)
			code, output := f.run(before, "apply", "-f", "-")
			g.Expect(code).To(Equal(0), output)
			code, output = f.run(row.input, "validate", "-f", "-")
			g.Expect(code).To(Equal(row.code), output)
			g.Expect(output).To(ContainSubstring(row.output))
		})
	}
}

// Guards against a listing that is not grouped by kind.
func TestListIsOrderedByKindAndName(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	for _, input := range []string{tier("low", 1), team("low"), tier("high", 2)} {
		code, output := f.run(input, "apply", "-f", "-")
		g.Expect(code).To(Equal(0), output)
	}
	_, listing := f.run("", "list")
	g.Expect(listing).To(MatchRegexp(`(?s)Tier +high .*Tier +low .*Team +a `))
}

// Guards against a platform address that the daemon accepts but the command-line
// tool rejects: host:port is not a URL, since it has no scheme.
func TestPlatformAddressForms(t *testing.T) {
	f := newFixture(t)
	for _, address := range []string{f.url, strings.TrimPrefix(f.url, "http://")} {
		t.Run(address, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := cli.Run(context.Background(), []string{"--platform", address, "list"}, strings.NewReader(""), &out, &errOut)
			NewWithT(t).Expect(code).To(Equal(0), errOut.String())
		})
	}
}

// Guards against an unreachable instance that is missing from the output.
func TestInforceListsUnreachableInstances(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/status/config" {
			_, _ = fmt.Fprint(w, `{"instance":"entry-1","domain":"north","usable":true,"digest":"ab12","newestVersion":42}`)
		}
	}))
	defer admin.Close()
	unreachable := httptest.NewServer(http.NotFoundHandler())
	unreachable.Close()
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	f.server.SetInstance(platform.ListedInstance{Name: "entry-1", Role: "entry", AdminAddress: address(admin)})
	code, output := f.run("", "inforce")
	g.Expect(code).To(Equal(0), output)
	f.server.SetInstance(platform.ListedInstance{Name: "entry-2", Role: "entry", AdminAddress: address(unreachable)})
	f.server.SetInstance(platform.ListedInstance{Name: "engine-1", Role: "upstream"})
	code, output = f.run("", "inforce")
	g.Expect(code).To(Equal(exitCode(errkind.NotReady)))
	g.Expect(output).To(MatchRegexp(`entry-1 +north +true +42 +"ab12"`))
	g.Expect(output).To(ContainSubstring("entry-2"))
	g.Expect(output).To(ContainSubstring("1 of 2 instances could not be asked"))
	g.Expect(output).NotTo(ContainSubstring("engine-1"))
}

func TestExplainWorksWithoutPlatform(t *testing.T) {
	g := NewWithT(t)
	line := `{"time":"2026-12-04T10:00:10.4Z","msg":"not answered","instance":"edge-1","request":"r1","elapsed_ms":400,"kind":"overloaded","status":429}`
	run := func(args ...string) (int, string) {
		var out, errOut bytes.Buffer
		code := cli.Run(context.Background(), args, strings.NewReader(line), &out, &errOut)
		return code, out.String() + errOut.String()
	}
	code, output := run("explain", "r1", "-")
	g.Expect(code).To(BeZero())
	g.Expect(output).To(ContainSubstring("request r1 arrived at 2026-12-04T10:00:10Z, at instance edge-1"))
	code, output = run("--output", "json", "explain", "r1", "-")
	g.Expect(code).To(BeZero())
	g.Expect(output).To(ContainSubstring(`"request": "r1"`))
	code, _ = run("explain", "r2", "-")
	g.Expect(code).To(Equal(errkind.ResponseFor(errkind.NotFound).ExitCode))
	code, _ = run("explain", "r1", "no-such-file")
	g.Expect(code).NotTo(BeZero())
	code, _ = run("explain", "r1")
	g.Expect(code).NotTo(BeZero())
}
