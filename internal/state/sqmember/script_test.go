package sqmember

import (
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
)

// script runs the lines of a case against a fleet.
type script struct {
	*qt.C
	n    *network
	line string
}

// TestScripts runs the cases of testdata/*.txtar. Each file of an archive is a
// case, named TestScripts/FILE/CASE.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		qt.Assert(t, err, qt.IsNil)
		for _, f := range archive.Files {
			name := strings.TrimSuffix(filepath.Base(file), ".txtar") + "/" + f.Name
			t.Run(name, func(t *testing.T) {
				s := &script{C: qt.New(t), n: newNetwork(1)}
				for line := range strings.Lines(string(f.Data)) {
					s.run(strings.TrimSpace(line))
				}
			})
		}
	}
}

func (s *script) run(line string) {
	s.line = line
	args := strings.Fields(line)
	if len(args) == 0 || args[0] == "#" {
		return
	}
	command, ok := commands[args[0]]
	s.Assert(ok, qt.IsTrue, qt.Commentf("unknown command in %q", line))
	command(s, args[1:])
}

// commands are the commands that a line can begin with.
var commands = map[string]func(s *script, args []string){
	// fleet DC/SIZE... starts daemons DC1, DC2, ... and waits until their views
	// agree.
	"fleet": func(s *script, args []string) {
		sizes := make(map[string]int)
		for _, a := range args {
			dc, size, _ := strings.Cut(a, "/")
			sizes[dc] = s.int(size)
		}
		s.n.fleet(sizes)
		s.awaitWithin("1m", s.n.converged)
	},
	"loss":   func(s *script, args []string) { s.n.loss = float64(s.int(args[0])) / 100 },
	"double": func(s *script, args []string) { s.n.duplicate = float64(s.int(args[0])) / 100 },
	"skew":   func(s *script, args []string) { s.n.skew = s.duration(args[0]) },
	"run":    func(s *script, args []string) { s.n.run(s.duration(args[0]), nil) },
	// cut A,B|C,D cuts daemons or data centres from each other, cut A,B>C,D drops
	// what the first send to the others.
	"cut": func(s *script, args []string) {
		left, right, oneWay := strings.Cut(args[0], ">")
		if !oneWay {
			left, right, _ = strings.Cut(args[0], "|")
		}
		s.n.cuts = append(s.n.cuts, func(from, to *node) bool {
			return inList(from, left) && inList(to, right) || !oneWay && inList(from, right) && inList(to, left)
		})
	},
	"heal":   func(s *script, _ []string) { s.n.cuts = nil },
	"kill":   func(s *script, args []string) { s.node(args[0]).dead = true },
	"pause":  func(s *script, args []string) { s.node(args[0]).paused = true },
	"resume": func(s *script, args []string) { s.n.resume(s.node(args[0])) },
	// start NAME DC SEED starts a daemon, or restarts it.
	"start": func(s *script, args []string) { s.n.add(args[0], args[1], s.node(args[2])) },
	// twin NAME DC SEED starts a second daemon with the same name, called
	// NAME-twin.
	"twin": func(s *script, args []string) {
		s.n.addAt("10.100.addr-"+args[0]+"-twin", args[0], args[1], s.node(args[2]))
	},
	"leave": func(s *script, args []string) { s.node(args[0]).Leave() },
	"target": func(s *script, args []string) {
		id := sqtarget.ID{Target: sqid.TargetID(args[1])}
		s.Assert(s.node(args[0]).SetTarget(sqtarget.Row{ID: id, Service: "orders", Slots: 4}), qt.IsNil)
	},
	"drain":   func(s *script, args []string) { s.node(args[0]).DrainTarget(sqid.TargetID(args[1])) },
	"remove":  func(s *script, args []string) { s.node(args[0]).RemoveTarget(sqid.TargetID(args[1])) },
	"suspect": func(s *script, args []string) { s.node(args[0]).ReportFailure(sqid.DaemonID(args[1])) },
	// publish NAME VERSION BYTES publishes the fact "lists".
	"publish": func(s *script, args []string) {
		body := make([]byte, s.int(args[2]))
		_, err := s.node(args[0]).Publish("lists", uint64(s.int(args[1])), body)
		s.Assert(err, qt.IsNil)
	},
	// expect WHAT ARGS... within SPAN fails if the condition does not hold in
	// time.
	"expect": func(s *script, args []string) {
		what, ok := expectations[args[0]]
		s.Assert(ok && len(args) > 2 && args[len(args)-2] == "within", qt.IsTrue, qt.Commentf("%q", s.line))
		s.awaitWithin(args[len(args)-1], func() bool { return what(s, args[1:len(args)-2]) })
	},
}

// expectations are the conditions that a script can wait for on all running
// daemons.
var expectations = map[string]func(s *script, args []string) bool{
	"agree": func(s *script, _ []string) bool { return s.n.converged() },
	// unused NAME: no daemon uses its targets.
	"unused": func(s *script, args []string) bool { return s.n.removed(sqid.DaemonID(args[0])) },
	"used":   func(s *script, args []string) bool { return !s.n.removed(sqid.DaemonID(args[0])) },
	// target NAME TARGET STATE DC: all of a data centre see it as open, draining
	// or gone.
	"target": func(s *script, args []string) bool {
		id := sqtarget.ID{Daemon: sqid.DaemonID(args[0]), Target: sqid.TargetID(args[1])}
		for _, v := range s.n.running() {
			row, ok := v.Targets.Get(id)
			state := "open"
			if !ok {
				state = "gone"
			} else if row.Draining {
				state = "draining"
			}
			if inList(v, args[3]) && state != args[2] {
				return false
			}
		}
		return true
	},
	"fact": func(s *script, args []string) bool {
		return s.n.countWithFact("lists", uint64(s.int(args[0]))) == len(s.n.running())
	},
	"watchers": func(s *script, args []string) bool {
		count := 0
		for _, v := range s.n.running() {
			if inList(v, args[0]) && v.IsWatcher() {
				count++
			}
		}
		return count == s.int(args[1])
	},
	// replaced NAME COUNT: how often OnReplaced was called at the daemon.
	"replaced": func(s *script, args []string) bool { return s.node(args[0]).replacements == s.int(args[1]) },
	// forgotten NAME: no running daemon holds its row.
	"forgotten": func(s *script, args []string) bool {
		for _, v := range s.n.running() {
			if _, ok := v.Row(sqid.DaemonID(args[0])); ok {
				return false
			}
		}
		return true
	},
	// address NAME ADDRESS: the address at which all others find the daemon.
	"address": func(s *script, args []string) bool {
		for _, v := range s.n.running() {
			if r, _ := v.Row(sqid.DaemonID(args[0])); r.PeerAddress != args[1] && v.name != args[0] {
				return false
			}
		}
		return true
	},
}

func (s *script) awaitWithin(duration string, what func() bool) {
	took, ok := s.n.run(s.duration(duration), what)
	s.Logf("%s: %v", s.line, took)
	s.Assert(ok, qt.IsTrue, qt.Commentf("%q did not hold in time; seed 1", s.line))
}

func (s *script) node(name string) *node {
	v := s.n.node(name)
	s.Assert(v, qt.IsNotNil, qt.Commentf("unknown daemon in %q", s.line))
	return v
}

func (s *script) int(text string) int {
	n, err := strconv.Atoi(strings.TrimSuffix(text, "%"))
	s.Assert(err, qt.IsNil, qt.Commentf("%q", s.line))
	return n
}

func (s *script) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	s.Assert(err, qt.IsNil, qt.Commentf("%q", s.line))
	return d
}

// inList reports whether a daemon or its data centre is in a list.
func inList(v *node, list string) bool {
	for name := range strings.SplitSeq(list, ",") {
		if name == v.name || name == string(v.Local.DataCentre) || name == "all" {
			return true
		}
	}
	return false
}
