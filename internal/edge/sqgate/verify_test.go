package sqgate_test

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
)

const announceEvery = 1500 * time.Millisecond

// answers are the answers to the probes of a script. A probe waits for its answer.
type answers chan sqgate.Liveness

// Probe returns the next answer.
func (a answers) Probe(ctx context.Context, _ sqgate.LocalTarget) sqgate.Liveness {
	select {
	case l := <-a:
		return l
	case <-ctx.Done():
		return sqgate.LivenessUnknown
	}
}

var livenesses = map[string]sqgate.Liveness{
	"running": sqgate.LivenessRunning, "leaving": sqgate.LivenessLeaving, "unknown": sqgate.LivenessUnknown,
}

// verifyScript runs a script of what a daemon hears of its targets after its start.
type verifyScript struct {
	t       *testing.T
	targets *sqgate.Targets
	answers answers
	start   time.Time
}

// The commands of the scripts:
//
//	at TIME                     waits until a time after the start
//	restore                     ends the wait for departures
//	announce ID INCARNATION SEQUENCE
//	probe ANSWER|none           answers the probe in progress; none: there is none
//	depart ID INCARNATION       a departure from before the start is found
//	leave ID INCARNATION ended|draining
//	used ID...|none             checks the targets that accept calls
func (s *verifyScript) run(line string) {
	f := strings.Fields(line)
	number := func(i int) uint64 {
		n, err := strconv.ParseUint(f[i], 10, 64)
		qt.Assert(s.t, err, qt.IsNil, qt.Commentf("%s", line))
		return n
	}
	switch f[0] {
	case "at":
		d, err := time.ParseDuration(f[1])
		qt.Assert(s.t, err, qt.IsNil)
		time.Sleep(time.Until(s.start.Add(d)))
		s.targets.Tick(time.Now())
	case "restore":
		s.targets.Restore()
	case "announce":
		s.targets.Announce(sqgate.LocalTarget{
			ID: sqid.TargetID(f[1]), Service: "s", Address: "10.0.0.1:80", Slots: 4,
			Incarnation: sqid.Incarnation(number(2)), Sequence: number(3),
		}, time.Now())
	case "probe":
		synctest.Wait()
		answer, ok := livenesses[f[1]]
		qt.Assert(s.t, ok || f[1] == "none", qt.IsTrue, qt.Commentf("%s", line))
		select {
		case s.answers <- answer:
			qt.Assert(s.t, ok, qt.IsTrue, qt.Commentf("%s: there is one", line))
			synctest.Wait()
		default:
			qt.Assert(s.t, ok, qt.IsFalse, qt.Commentf("%s: there is none", line))
		}
	case "depart":
		s.targets.Depart(sqid.TargetID(f[1]), sqid.Incarnation(number(2)))
	case "leave":
		s.targets.Leave(s.t.Context(), sqid.TargetID(f[1]), sqid.Incarnation(number(2)), f[3] == "ended")
	case "used":
		synctest.Wait()
		var used []string
		for _, l := range s.targets.All() {
			if !l.Draining {
				used = append(used, string(l.ID))
			}
		}
		if used == nil {
			used = []string{"none"}
		}
		qt.Check(s.t, used, qt.DeepEquals, f[1:], qt.Commentf("at %v: %s", time.Since(s.start), line))
	default:
		s.t.Fatalf("unknown command %q", line)
	}
}

// TestVerification guards against a target that has left and is in use again after a restart
// that all that knew of its leaving shared, when an announcement from before arrives late.
func TestVerification(t *testing.T) {
	scripts, err := filepath.Glob(filepath.Join("testdata", "verify", "*.txt"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(scripts) > 0, qt.IsTrue)
	for _, name := range scripts {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(name)
			qt.Assert(t, err, qt.IsNil)
			synctest.Test(t, func(t *testing.T) {
				s := &verifyScript{t: t, answers: make(answers), start: time.Now()}
				s.targets = &sqgate.Targets{Prober: s.answers, AnnounceEvery: announceEvery, ExpireAfter: 8 * announceEvery}
				s.targets.Hold()
				for line := range strings.Lines(string(text)) {
					if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
						s.run(line)
					}
				}
			})
		})
	}
}
