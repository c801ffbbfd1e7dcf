// Command rosemarywing-gateway is the gateway daemon. It serves callers by the
// routes that are configured in a platform's store.
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

type options struct {
	Config string `long:"config" value-name:"FILE" required:"true" description:"settings file"`
	Check  bool   `long:"check" description:"check the settings file and exit"`
	Debug  bool   `long:"debug" description:"log more"`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errOut io.Writer) int {
	// Registered first and until the process ends, since an unhandled SIGHUP would end it.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	var flags options
	if code, ok := command.ParseDaemon(&flags, args, out, errOut); !ok {
		return code
	}
	settings, err := gateway.LoadSettings(flags.Config)
	if err != nil {
		return command.ReportError(errOut, err)
	}
	if flags.Check {
		_, _ = fmt.Fprintln(out, flags.Config+": ok")
		return 0
	}
	if err := serve(settings, flags, out, reloads); err != nil {
		return command.ReportError(errOut, err)
	}
	return 0
}

// runtimeMemoryShare is the fraction of limits.memory_mib that is set as the memory
// limit of the Go runtime. The rest is left for kernel buffers and code.
const runtimeMemoryShare = 0.7

func serve(settings gateway.Settings, flags options, out io.Writer, reloads <-chan os.Signal) error {
	debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryMiB) * runtimeMemoryShare * (1 << 20)))
	log, closeLog := newLog(out, flags.Debug)
	defer closeLog()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	g, err := gateway.New(gateway.Options{
		Settings:      settings,
		Store:         platform.NewStore(settings.Store.Address),
		HeaderCodec:   platform.HeaderCodec{},
		RecordDecoder: platform.RecordDecoder{},
		RolloutCodec:  platform.RolloutCodec{},
		ObjectKinds: gateway.ObjectKinds{
			Config: platform.KindConfig, ConfigName: platform.ConfigName,
			Upstreams: platform.KindUpstreams, Instances: platform.KindInstances, Usage: platform.KindUsage, Rollouts: platform.KindRollouts,
		},
		Log:   log,
		Clock: clockwork.NewRealClock(),
	})
	if err != nil {
		return err
	}
	go reloadOnSignal(ctx, g, flags.Config, log, reloads)
	return g.Run(ctx)
}

// reloadOnSignal reads the settings file again at each signal, until ctx ends.
func reloadOnSignal(ctx context.Context, g *gateway.Gateway, path string, log logr.Logger, reloads <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
		}
		settings, err := gateway.LoadSettings(path)
		if err != nil {
			log.Error(err, "new settings are invalid; the old ones stay in force")
			continue
		}
		g.Reload(settings)
	}
}

// maxBufferedLogLines bounds the log lines that wait to be written. Further lines
// are dropped and counted.
const maxBufferedLogLines = 2048

// newLog returns a logger that writes one JSON object per line without blocking on
// the output, and a function that closes it.
func newLog(out io.Writer, verbose bool) (logr.Logger, func()) {
	buffered := diode.NewWriter(out, maxBufferedLogLines, 0, func(dropped int) {
		_, _ = fmt.Fprintf(out, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", dropped)
	})
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	handler := slog.NewJSONHandler(buffered, &slog.HandlerOptions{Level: level})
	return logr.FromSlogHandler(handler), func() { _ = buffered.Close() }
}
