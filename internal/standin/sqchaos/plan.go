// Package sqchaos runs a fleet of real processes under faults that follow
// from a seed, with load running, and checks what must always hold.
package sqchaos

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	KindKill         Kind = "kill and restart a daemon"
	KindPause        Kind = "pause a daemon"
	KindStop         Kind = "stop and restart a daemon in the planned way"
	KindDown         Kind = "platform down"
	KindSlow         Kind = "platform slow"
	KindLoseAnswers  Kind = "platform loses answers of writes"
	KindOlder        Kind = "platform comes back with older state"
	KindChangeLists  Kind = "change the lists"
	KindBreakAnswers Kind = "targets cross, cut and fail answers"
)

var kinds = []Kind{
	KindKill, KindPause, KindStop, KindDown, KindSlow, KindLoseAnswers, KindOlder, KindChangeLists, KindBreakAnswers,
}

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind
	// At is counted from the start of the load.
	At time.Duration
	// For is how long the fault holds.
	For time.Duration
	// Daemon is the number of the daemon that is hit.
	Daemon int
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %s, for %v, daemon %d", f.At.Seconds(), f.Kind, f.For.Round(time.Millisecond), f.Daemon)
}

const (
	firstFault = time.Second
	// quietEnd is the time without new faults at the end.
	quietEnd    = 4 * time.Second
	meanGap     = 900 * time.Millisecond
	shortestFor = 100 * time.Millisecond
	longestFor  = 2500 * time.Millisecond
)

// Plan returns the faults of a run. No two faults hit one daemon, or the
// platform, at the same time; else they may overlap.
func Plan(seed uint64, daemons int, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 0))
	busy := make(map[int]time.Duration)
	var plan []Fault
	for at := firstFault; at < length-quietEnd; at += time.Duration(r.ExpFloat64() * float64(meanGap)) {
		f := Fault{
			Kind: kinds[r.IntN(len(kinds))], At: at, Daemon: r.IntN(daemons),
			For: shortestFor + time.Duration(r.Int64N(int64(longestFor-shortestFor))),
		}
		place := f.place()
		if busy[place] > at {
			continue
		}
		busy[place] = at + f.For + shortestFor
		plan = append(plan, f)
	}
	return plan
}

// The places of faults that hit no daemon.
const (
	placePlatform = -1
	placeLists    = -2
	placeTargets  = -3
)

func (f Fault) place() int {
	switch f.Kind {
	case KindDown, KindSlow, KindLoseAnswers, KindOlder:
		return placePlatform
	case KindChangeLists:
		return placeLists
	case KindBreakAnswers:
		return placeTargets
	default:
		return f.Daemon
	}
}
