//go:build review2

package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldntRun = 2
)

// cases holds the cases by name. A case returns the violations of its rule.
var cases = map[string]func(d *deployment, trouble bool) (violations []string, err error){
	"served-503":     servedRefusal,
	"spoiled-stream": spoiledStream,
	"drill":          drillAndRestart,
	"refused-upload": refusedUpload,
}

func main() { os.Exit(play(os.Args[1:])) }

// play runs CASE with the repository's root and the path of the record.
func play(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: CASE ROOT RECORD")
		return couldntRun
	}
	out, err := os.Create(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer func() { _ = out.Close() }()
	d, err := newDeployment(args[1], out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	violations, err := cases[args[0]](d, os.Getenv("TROUBLE") != "0")
	d.close()
	for _, text := range violations {
		d.record.log("BROKEN: %s", text)
		fmt.Println("BROKEN:", text)
	}
	switch {
	case err != nil:
		d.record.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	case len(violations) > 0:
		return ruleBroken
	}
	d.record.log("the rule held")
	fmt.Println("the rule held")
	return ruleHeld
}
