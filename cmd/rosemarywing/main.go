// Command rosemarywing is the operators' command-line tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rosemarywing/rosemarywing/pkg/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
