// Command rosemarywing-entry is the entry daemon.
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

type flagSet struct {
	Config        string `long:"config" value-name:"FILE" description:"settings file"`
	Check         bool   `long:"check" description:"check the settings file and exit"`
	PrintDefaults bool   `long:"print-defaults" description:"print a settings file with all defaults and exit"`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errOut io.Writer) int {
	var chosen flagSet
	if code, ok := command.ParseDaemon(&chosen, args, out, errOut); !ok {
		return code
	}
	switch {
	case chosen.PrintDefaults:
		_, _ = io.WriteString(out, settings.Defaults())
		return 0
	case chosen.Config == "":
		return command.Fail(errOut, errkind.New(errkind.BadSettings, "command line: --config is missing"))
	}
	loaded, err := settings.Load(chosen.Config)
	if err != nil {
		return command.Fail(errOut, err)
	}
	if chosen.Check {
		_, _ = fmt.Fprintln(out, chosen.Config+": ok")
		return 0
	}
	if err := serve(loaded, newLog(loaded.Log.Level, errOut)); err != nil {
		return command.Fail(errOut, err)
	}
	return 0
}

func serve(loaded settings.Settings, log logr.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	i, err := instance.New(instance.Options{
		Settings: loaded,
		Log:      log,
		Clock:    clockwork.NewRealClock(),
		Build:    instance.Build,
	})
	if err != nil {
		return err
	}
	return i.Run(ctx)
}

// newLog returns a logger that writes one JSON object per line.
func newLog(level string, out io.Writer) logr.Logger {
	verbosity := map[string]int{"debug": 1, "info": 0, "error": -1}[level]
	write := func(line string) { _, _ = fmt.Fprintln(out, line) }
	return funcr.NewJSON(write, funcr.Options{LogTimestamp: true, Verbosity: verbosity})
}
