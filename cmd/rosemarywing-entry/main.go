// Command rosemarywing-entry runs one instance, which accepts requests from
// callers over HTTP and dispatches them to engines and services.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/internal/command"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/instance"
	"github.com/rosemarywing/rosemarywing/pkg/settings"
)

// commandFlags holds the command-line flags.
type commandFlags struct {
	Config        string `long:"config" value-name:"FILE" description:"settings file"`
	Check         bool   `long:"check" description:"check the settings file and exit"`
	PrintDefaults bool   `long:"print-defaults" description:"print a settings file with all defaults and exit"`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes the command and returns its exit status.
func run(args []string, out, errOut io.Writer) int {
	var flags commandFlags
	if code, ok := command.ParseDaemon(&flags, args, out, errOut); !ok {
		return code
	}
	switch {
	case flags.PrintDefaults:
		_, _ = io.WriteString(out, settings.DefaultsFile())
		return 0
	case flags.Config == "":
		return command.ReportError(errOut, errkind.New(errkind.BadSettings, "command line: --config is missing"))
	}
	config, err := settings.Load(flags.Config)
	if err != nil {
		return command.ReportError(errOut, err)
	}
	if flags.Check {
		_, _ = fmt.Fprintln(out, flags.Config+": ok")
		return 0
	}
	if err := serve(config, newLogger(config.Log.Level, errOut)); err != nil {
		return command.ReportError(errOut, err)
	}
	return 0
}

// serve runs the instance until SIGTERM or SIGINT, and then drains it.
func serve(config settings.Settings, log logr.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	inst, err := instance.New(instance.Options{
		Settings: config,
		Log:      log,
		Clock:    clockwork.NewRealClock(),
		Build:    instance.Build,
	})
	if err != nil {
		return err
	}
	return inst.Run(ctx)
}

// newLogger returns a logger that writes one JSON object per line.
func newLogger(level string, out io.Writer) logr.Logger {
	verbosity := map[string]int{"debug": 1, "info": 0, "error": -1}[level]
	write := func(line string) { _, _ = fmt.Fprintln(out, line) }
	return funcr.NewJSON(write, funcr.Options{LogTimestamp: true, Verbosity: verbosity})
}
