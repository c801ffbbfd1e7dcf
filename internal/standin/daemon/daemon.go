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

// headerTimeout bounds how long a client may take to send a request's header.
const headerTimeout = 30 * time.Second

// Ready is the line that a stand-in prints once it accepts connections.
type Ready struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Serve listens on address, prints a Ready line on standard output, and serves
// until SIGTERM or SIGINT. Connections still open are then closed.
func Serve(name, address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	ready := Ready{Name: name, Address: listener.Addr().String()}
	if err := json.NewEncoder(os.Stdout).Encode(ready); err != nil {
		return fmt.Errorf("print the address: %w", err)
	}
	select {
	case <-ctx.Done():
		return server.Close()
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}
}
