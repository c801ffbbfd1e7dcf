package cli

import (
	"os"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/explain"
)

// stdinName is the file name that stands for standard input.
const stdinName = "-"

type explainCommand struct {
	app        *app
	Positional struct {
		Request string   `positional-arg-name:"REQUEST-ID"`
		Logs    []string `positional-arg-name:"LOGFILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute reads the log files and prints the timeline of the request.
func (c *explainCommand) Execute([]string) error {
	var entries []explain.Entry
	skipped := 0
	for _, name := range c.Positional.Logs {
		n, err := c.readLog(name, func(entry explain.Entry) { entries = append(entries, entry) })
		if err != nil {
			return errkind.Wrap(errkind.BadRequest, err, "log %s", name)
		}
		skipped += n
	}
	timeline, found := explain.BuildTimeline(c.Positional.Request, entries)
	if !found {
		return errkind.New(errkind.NotFound, "no log line names the request (%d entries read, %d lines skipped)", len(entries), skipped)
	}
	var rows [][]string
	for _, line := range timeline.Lines() {
		rows = append(rows, []string{line})
	}
	return c.app.print(timeline, rows)
}

// readLog calls handle for each entry of a log file and returns the number of
// lines that hold no entry.
func (c *explainCommand) readLog(name string, handle func(explain.Entry)) (int, error) {
	log := c.app.in
	if name != stdinName {
		file, err := os.Open(name)
		if err != nil {
			return 0, err
		}
		// Nothing was written, so an error on closing loses no data.
		defer func() { _ = file.Close() }()
		log = file
	}
	return explain.Read(log, handle)
}
