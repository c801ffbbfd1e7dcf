//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"first-part":     firstPart,
	"quiet-entry":    quietEntry,
	"quiet-fraction": quietFraction,
	"config-memory":  configMemory,
	"large-bodies":   largeBodies,
	"late-beat":      lateBeat,
	"deadly-part":    deadlyPartAtNight,
}

// main runs a case: standin NAME DIRECTORY. TROUBLE=0 leaves out the disruption.
func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIRECTORY")
		return notRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = file.Close() }()
	w, err := newWorld(&recorder{file: file})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](w, trouble)
	switch {
	case err != nil:
		w.logf("not run: %v", err)
		fmt.Fprintln(os.Stderr, errors.Join(errSetup, err))
		return notRun
	case broken:
		w.logf("verdict: the rule was broken (trouble: %t)", trouble)
		fmt.Println("the rule was broken")
		return ruleBroken
	}
	w.logf("verdict: the rule held (trouble: %t)", trouble)
	fmt.Println("the rule held")
	return ruleHeld
}
