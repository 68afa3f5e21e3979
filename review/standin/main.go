// Command standin plays one case of the review: a small deployment on loopback addresses with stand-ins for the platform's store,
// the backends and the clients, and the project's own program as separate processes.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"drain":    playDrain,
	"lost":     playLost,
	"quota":    playQuota,
	"takeover": playTakeover,
	"config":   playConfig,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD WORK PROGRAM")
		return exitFailed
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = file.Close() }()
	program, err := filepath.Abs(os.Args[4])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	r := &record{file: file, start: time.Now()}
	f := newFleet(r, os.Args[3], program)
	defer f.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case=%s trouble=%v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](f, trouble)
	switch {
	case err != nil:
		r.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		return exitBroken
	default:
		return exitHeld
	}
}

// verdict records and prints the result of a case.
func (f *fleet) verdict(rule string, count int, detail string) {
	word := "held"
	if count > 0 {
		word = "BROKEN"
	}
	f.record.add("verdict rule=%s %s count=%d %s", rule, word, count, detail)
	fmt.Printf("%s %s: %d; %s\n", rule, word, count, detail)
}
