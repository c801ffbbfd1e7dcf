// Command standin-platform runs a stand-in for the platform.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"

	standin "github.com/rosemarywing/rosemarywing/internal/standin/platform"

	"github.com/rosemarywing/rosemarywing/internal/command"
)

type options struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"host and port to listen on; port 0 takes a free one"`
}

func main() { os.Exit(command.Main(run)) }

func run(opts options) error {
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", opts.Listen, err)
	}
	startupLine := map[string]string{"program": "standin-platform", "address": listener.Addr().String()}
	if err := json.NewEncoder(os.Stdout).Encode(startupLine); err != nil {
		return err
	}
	server := &http.Server{
		Handler: standin.NewServer(clockwork.NewRealClock()),
		// Injected faults abort connections, each of which would be logged.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
