// Package daemon runs the HTTP server of a stand-in program.
package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// readHeaderTimeout limits the time that a client may take to send a request header.
const readHeaderTimeout = 30 * time.Second

// ReadyLine is the JSON line that a stand-in prints once it accepts connections.
type ReadyLine struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Serve listens on address, prints a ReadyLine to standard output, and serves until
// SIGTERM or SIGINT. It then closes all open connections.
func Serve(name, address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	serveResult := make(chan error, 1)
	go func() { serveResult <- server.Serve(listener) }()
	line := ReadyLine{Name: name, Address: listener.Addr().String()}
	if err := json.NewEncoder(os.Stdout).Encode(line); err != nil {
		return fmt.Errorf("print the address: %w", err)
	}
	select {
	case <-ctx.Done():
		return server.Close()
	case err := <-serveResult:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}
}
