// Command rosemarywing-local runs a small deployment in one process: three entry
// instances, and stand-ins for the platform, two engines and a booking service.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr/funcr"
	"github.com/jessevdk/go-flags"

	"github.com/rosemarywing/rosemarywing/internal/local"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

type options struct {
	Port         int `long:"port" default:"8080" description:"first port; the instances use port, port+10 and port+20, and the two ports behind each"`
	PlatformPort int `long:"platform-port" default:"8099" description:"port of the platform's stand-in"`
}

func main() { os.Exit(run()) }

func run() int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return errkind.ResponseFor(errkind.BadSettings).ExitCode
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	writeLine := func(line string) { _, _ = fmt.Fprintln(os.Stderr, line) }
	err := local.Run(ctx, local.Options{
		FirstPort: opts.Port, PlatformPort: opts.PlatformPort, Out: os.Stdout,
		Log: funcr.NewJSON(writeLine, funcr.Options{LogTimestamp: true}),
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return errkind.ResponseFor(errkind.KindOf(err)).ExitCode
	}
	return 0
}
