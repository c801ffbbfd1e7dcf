// Command standin-service runs the stand-in of a plain service.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"

	"github.com/rosemarywing/rosemarywing/internal/standin/daemon"
	"github.com/rosemarywing/rosemarywing/internal/standin/service"
)

type options struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"address to listen on; port 0 chooses a free one"`
	Name   string `long:"name" default:"service" description:"name of the upstream"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	standin := service.New(clockwork.NewRealClock())
	if err := daemon.Serve(opts.Name, opts.Listen, standin.Handler()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
