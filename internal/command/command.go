// Package command holds the parts of main functions that the daemons and the
// development tools share.
package command

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of development tools.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Main parses the command line into T, calls run with it and returns the exit
// code of the process.
func Main[T any](run func(T) error) int {
	var options T
	if _, err := flags.Parse(&options); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitUsage
	}
	if err := run(options); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}
