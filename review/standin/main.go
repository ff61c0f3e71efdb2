// Command standin runs the scripted cases of the review: small deployments of the
// project's daemons as processes, with stand-ins of the store, the instances and the
// clients.
//
// It exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment it runs without the disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitCouldNotRun
)

// scenario runs a case and returns the findings that break its rule.
type scenario func(r *record, root string, trouble, keepLogs bool) ([]string, error)

var scenarios = map[string]scenario{
	"second-copy":  secondCopy,
	"late-beat":    lateBeat,
	"odd-beat":     oddBeat,
	"fraction":     fraction,
	"endless-body": endlessBody,
	"planned-stop": plannedStop,
}

func main() {
	dir := flag.String("dir", ".", "folder of the case, in which record.txt is written")
	root := flag.String("root", "../..", "the project's root")
	keepLogs := flag.Bool("logs", false, "keep the daemons' logs and print their folder")
	flag.Parse()
	os.Exit(play(flag.Arg(0), *dir, *root, *keepLogs))
}

func play(name, dir, root string, keepLogs bool) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such scenario:", name)
		return exitCouldNotRun
	}
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	r := &record{start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("scenario %s, disruption %v", name, trouble)
	broken, err := s(r, root, trouble, keepLogs)
	for _, b := range broken {
		r.add("BROKEN %s", b)
		fmt.Println(b)
	}
	if err != nil {
		r.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
	}
	if err := r.write(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	switch {
	case err != nil:
		return exitCouldNotRun
	case len(broken) > 0:
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
