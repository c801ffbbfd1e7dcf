// Package listen binds the addresses that a daemon listens on.
package listen

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/go-logr/logr"
)

const (
	// DefaultWait is how long an address may be in use at a start, for example by a
	// predecessor that is still closing its connections.
	DefaultWait = 5 * time.Second
	// retryInterval is the time between two attempts to bind an address.
	retryInterval = 100 * time.Millisecond
)

// Binder binds addresses.
type Binder struct {
	Log logr.Logger
	// Wait is how long an address may be in use; DefaultWait if it is 0.
	Wait time.Duration
}

// Bind calls bind for the address of a setting until it succeeds, ctx ends, or the address
// has been in use for b.Wait. It returns other errors at once. All errors name the setting
// and the address.
func Bind[T any](ctx context.Context, b Binder, setting, address string, bind func(address string) (T, error)) (T, error) {
	if b.Wait == 0 {
		b.Wait = DefaultWait
	}
	started := time.Now()
	for attempt := 0; ; attempt++ {
		bound, err := bind(address)
		switch {
		case err == nil:
			if attempt > 0 {
				b.Log.Info("address bound after a wait", "setting", setting, "address", address, "waited_ms", time.Since(started).Milliseconds())
			}
			return bound, nil
		case !errors.Is(err, syscall.EADDRINUSE):
			return bound, fmt.Errorf("setting %s: listen on %s: %w", setting, address, err)
		case time.Since(started) >= b.Wait:
			return bound, fmt.Errorf("setting %s: address %s is still in use after %v: %w", setting, address, b.Wait, err)
		case attempt == 0:
			b.Log.Info("address is in use; waiting for it", "setting", setting, "address", address, "max_wait_ms", b.Wait.Milliseconds())
		}
		select {
		case <-ctx.Done():
			return bound, fmt.Errorf("setting %s: address %s is in use: %w", setting, address, ctx.Err())
		case <-time.After(retryInterval):
		}
	}
}
