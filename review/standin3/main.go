//go:build review

// Command standin3 plays the cases 11 to 15 of the review: it starts gateway processes with
// the command of the deploy file, and stands in for the platform's store, the servers and the
// clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// errCannotRun means that a case could not be played.
var errCannotRun = errors.New("the case could not run")

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"idle-channels":   playIdleChannels,
	"split":           playSplit,
	"restart":         playRestart,
	"quoted-text":     playQuotedText,
	"refused-capture": playRefusedCapture,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	const held, broken, cannotRun = 0, 1, 2
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		return cannotRun
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		w.close()
		os.Exit(cannotRun)
	}()
	rec.note("case %s, disruption %t", args[0], trouble)
	isBroken, err := cases[args[0]](w, trouble)
	switch {
	case err != nil:
		rec.note("%v: %v", errCannotRun, err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	case isBroken:
		rec.note("result: the rule was broken")
		return broken
	}
	rec.note("result: the rule held")
	return held
}
