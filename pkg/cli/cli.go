// Package cli implements the operators' command-line tool.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

// globalOptions are the options that every command accepts.
type globalOptions struct {
	Platform string        `long:"platform" env:"ROSEMARYWING_PLATFORM" description:"URL of the platform, or host:port"`
	Output   string        `long:"output" short:"o" choice:"table" choice:"json" default:"table" description:"form of the output"`
	Timeout  time.Duration `long:"timeout" default:"5s" description:"time-out of each call"`
}

// app holds the state that the commands share.
type app struct {
	globalOptions
	ctx      context.Context
	in       io.Reader
	out      io.Writer
	errOut   io.Writer
	platform *platform.Client
	http     *http.Client
}

// Run runs one command and returns its exit code: 0, or the exit code that
// errkind defines for the kind of the error.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	a := &app{ctx: ctx, in: in, out: out, errOut: errOut}
	parser := flags.NewNamedParser("rosemarywing", flags.HelpFlag|flags.PassDoubleDash)
	if err := a.registerCommands(parser); err != nil {
		return a.reportError(errkind.Wrap(errkind.Internal, err, "register commands"))
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return errkind.New(errkind.BadRequest, "unexpected arguments %q", rest)
		}
		if a.Platform == "" && !worksOffline(command) {
			return errkind.New(errkind.BadRequest, "--platform is required")
		}
		a.connect()
		return command.Execute(rest)
	}
	_, err := parser.ParseArgs(args)
	if a.platform != nil {
		a.platform.Close()
		a.http.CloseIdleConnections()
	}
	if flags.WroteHelp(err) {
		// An error is ignored, since it could not be printed either.
		_, _ = fmt.Fprintln(out, err)
		return 0
	}
	if _, ok := err.(*flags.Error); ok { //nolint:errorlint // go-flags returns its own errors unwrapped.
		err = errkind.Wrap(errkind.BadRequest, err, "arguments")
	}
	return a.reportError(err)
}

// worksOffline reports whether a command does not need the platform.
func worksOffline(command flags.Commander) bool {
	switch c := command.(type) {
	case *validateCommand:
		return c.Offline
	case *explainCommand, *placementCommand:
		return true
	}
	return false
}

func (a *app) registerCommands(parser *flags.Parser) error {
	if _, err := parser.AddGroup("Global options", "", &a.globalOptions); err != nil {
		return err
	}
	commands := []struct {
		name, help string
		data       any
	}{
		{"apply", "create or update records", &applyCommand{app: a}},
		{"validate", "check records without writing", &validateCommand{app: a}},
		{"withdraw", "withdraw upstreams or a model version from service in one write", &withdrawCommand{app: a}},
		{"restore", "end a withdrawal", &restoreCommand{app: a}},
		{"list", "list records", &listCommand{app: a}},
		{"describe", "show one record", &describeCommand{app: a}},
		{"inforce", "show the configuration in effect on each instance", &inforceCommand{app: a}},
		{"placement", "show where a request would go now, and why, without sending it", &placementCommand{app: a}},
		{"explain", "show from the logs of gateway instances what happened to a request", &explainCommand{app: a}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.help, "", c.data); err != nil {
			return err
		}
	}
	return nil
}

// connect creates the clients for the platform and the instances.
func (a *app) connect() {
	a.platform = platform.NewClient(platform.Options{
		BaseURL: baseURL(a.Platform), Timeout: a.Timeout, WatchIdleTimeout: a.Timeout,
		Registry: metrics.NewRegistry(), Clock: clockwork.NewRealClock(),
	})
	a.http = &http.Client{
		Timeout: a.Timeout,
		Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: a.Timeout}).DialContext,
		},
	}
}

// baseURL accepts host:port as well as a URL, like the setting platform.address
// of the daemon.
func baseURL(text string) string {
	if strings.Contains(text, "://") {
		return text
	}
	return "http://" + text
}

// reportError prints an error and returns its exit code, or 0 if there is none.
func (a *app) reportError(err error) int {
	if err == nil {
		return 0
	}
	kind := errkind.KindOf(err)
	if a.Output == "json" {
		_ = json.NewEncoder(a.errOut).Encode(map[string]string{"error": string(kind), "message": err.Error()})
	} else {
		_, _ = fmt.Fprintln(a.errOut, "error:", err)
	}
	return errkind.ResponseFor(kind).ExitCode
}

// print writes value as JSON, or the rows as a table, depending on --output. The
// first row is the header.
func (a *app) print(value any, rows [][]string) error {
	if a.Output == "json" {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(table, "\t")
			}
			_, _ = fmt.Fprint(table, cell)
		}
		_, _ = fmt.Fprintln(table)
	}
	return table.Flush()
}
