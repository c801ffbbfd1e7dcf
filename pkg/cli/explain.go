package cli

import (
	"os"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/explain"
)

// stdinName stands for the standard input among the names of files.
const stdinName = "-"

type explainCommand struct {
	app        *app
	Positional struct {
		Request string   `positional-arg-name:"REQUEST-ID"`
		Logs    []string `positional-arg-name:"LOGFILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var entries []explain.Entry
	skipped := 0
	for _, name := range c.Positional.Logs {
		n, err := c.read(name, func(entry explain.Entry) { entries = append(entries, entry) })
		if err != nil {
			return errkind.Wrap(errkind.BadRequest, err, "log %s", name)
		}
		skipped += n
	}
	story, found := explain.BuildTimeline(c.Positional.Request, entries)
	if !found {
		return errkind.New(errkind.NotFound, "no line names the request (%d entries read, %d lines skipped)", len(entries), skipped)
	}
	var rows [][]string
	for _, line := range story.Lines() {
		rows = append(rows, []string{line})
	}
	return c.app.print(story, rows)
}

func (c *explainCommand) read(name string, each func(explain.Entry)) (int, error) {
	log := c.app.in
	if name != stdinName {
		file, err := os.Open(name)
		if err != nil {
			return 0, err
		}
		// The file is only read.
		defer func() { _ = file.Close() }()
		log = file
	}
	return explain.Read(log, each)
}
