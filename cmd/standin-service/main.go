// Command standin-service runs a stand-in for a service whose calls must not be
// repeated.
package main

import (
	"os"

	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/internal/command"
	"github.com/rosemarywing/rosemarywing/internal/standin/daemon"
	"github.com/rosemarywing/rosemarywing/internal/standin/service"
)

type options struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"address to listen on; port 0 chooses a free one"`
	Name   string `long:"name" default:"service" description:"name of the upstream"`
}

func main() { os.Exit(command.Main(run)) }

func run(opts options) error {
	standin := service.New(clockwork.NewRealClock())
	return daemon.Serve(opts.Name, opts.Listen, standin.Handler())
}
