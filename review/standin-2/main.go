// Command review-standin-2 runs the scripted cases of the second review: it starts daemons
// as separate processes, with stand-ins of the platform's store, instances and clients, and
// checks one rule by what clients and instances see.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripted cases by their names. A case returns what broke the rule, one line
// each, or an error if it could not run.
var cases = map[string]func(*fleet) ([]string, error){
	"early-answer":        earlyAnswer,
	"forgotten-departure": forgottenDeparture,
	"cut-answer":          cutAnswer,
	"holed-upload":        holedUpload,
	"refused-upload":      refusedUpload,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE DAEMON-PROGRAM RECORD-FILE")
		os.Exit(exitNotRun)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run, os.Args[2], os.Args[3]))
}

func runCase(run func(*fleet) ([]string, error), program, recordFile string) int {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	program, err = filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f := newFleet(dir, program, rec, os.Getenv("TROUBLE") != "0")
	defer f.close()
	rec.printf("trouble: %v", f.trouble)
	broken, err := run(f)
	if err != nil {
		rec.printf("case could not run: %v", err)
		return exitNotRun
	}
	for _, line := range broken {
		rec.printf("BROKEN: %s", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.printf("the rule held")
	return exitHeld
}
