package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// ParseDaemon parses the command line of a daemon into options. If help was
// requested or the command line is not valid, it prints the help or the error and
// returns false and the exit code of the process.
func ParseDaemon(options any, args []string, out, errOut io.Writer) (code int, ok bool) {
	rest, err := flags.NewParser(options, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, err)
		return 0, false
	case err != nil:
		return ReportError(errOut, errkind.Wrap(errkind.BadSettings, err, "command line")), false
	case len(rest) > 0:
		return ReportError(errOut, errkind.New(errkind.BadSettings, "command line: unexpected argument %q", rest[0])), false
	}
	return 0, true
}

// ReportError prints an error and returns the exit code that errkind defines
// for its kind.
func ReportError(errOut io.Writer, err error) int {
	_, _ = fmt.Fprintln(errOut, err)
	return errkind.ResponseFor(errkind.KindOf(err)).ExitCode
}
