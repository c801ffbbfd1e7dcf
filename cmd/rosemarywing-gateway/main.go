// Command rosemarywing-gateway is the daemon that serves callers by the routes
// of a platform's store.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog/diode"

	"github.com/rosemarywing/rosemarywing/internal/command"
	"github.com/rosemarywing/rosemarywing/pkg/gateway"
	"github.com/rosemarywing/rosemarywing/platform"
)

type flagSet struct {
	Config string `long:"config" value-name:"FILE" required:"true" description:"settings file"`
	Check  bool   `long:"check" description:"check the settings file and exit"`
	Debug  bool   `long:"debug" description:"log more"`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errOut io.Writer) int {
	var chosen flagSet
	if code, ok := command.ParseDaemon(&chosen, args, out, errOut); !ok {
		return code
	}
	settings, err := gateway.LoadSettings(chosen.Config)
	if err != nil {
		return command.Fail(errOut, err)
	}
	if chosen.Check {
		_, _ = fmt.Fprintln(out, chosen.Config+": ok")
		return 0
	}
	if err := serve(settings, chosen, out); err != nil {
		return command.Fail(errOut, err)
	}
	return 0
}

// memoryShare is the part of the machine's memory that the garbage collector
// keeps the heap below; the rest is for stacks, buffers of the kernel, and code.
const memoryShare = 0.7

func serve(settings gateway.Settings, chosen flagSet, out io.Writer) error {
	debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryMiB) * memoryShare * (1 << 20)))
	log, closeLog := newLog(out, chosen.Debug)
	defer closeLog()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	g, err := gateway.New(gateway.Options{
		Settings: settings,
		Store:    platform.NewStore(settings.Store.Address),
		Protocol: platform.Protocol{},
		Records:  platform.Records{},
		Kinds: gateway.Kinds{
			Config: platform.KindConfig, ConfigName: platform.ConfigName,
			Upstreams: platform.KindUpstreams, Instances: platform.KindInstances, Usage: platform.KindUsage,
		},
		Log:   log,
		Clock: clockwork.NewRealClock(),
	})
	if err != nil {
		return err
	}
	go reload(ctx, g, chosen.Config, log)
	return g.Run(ctx)
}

// reload reads the settings again at each SIGHUP.
func reload(ctx context.Context, g *gateway.Gateway, path string, log logr.Logger) {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
		}
		settings, err := gateway.LoadSettings(path)
		if err != nil {
			log.Error(err, "new settings are not usable; the old ones stay in force")
			continue
		}
		g.Reload(settings)
	}
}

// logLines is the number of lines that may wait for the reader of the log.
// Further ones are dropped and counted.
const logLines = 2048

// newLog returns a logger that writes one JSON object per line and never waits
// for whoever reads them.
func newLog(out io.Writer, verbose bool) (logr.Logger, func()) {
	buffered := diode.NewWriter(out, logLines, 0, func(missed int) {
		_, _ = fmt.Fprintf(out, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", missed)
	})
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	handler := slog.NewJSONHandler(buffered, &slog.HandlerOptions{Level: level})
	return logr.FromSlogHandler(handler), func() { _ = buffered.Close() }
}
