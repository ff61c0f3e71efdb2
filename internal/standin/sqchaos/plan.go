// Package sqchaos runs a fleet of real daemon processes under load, injects
// faults that are determined by a seed, and checks the properties that must hold
// under any fault: rate limits, at most one run of non-idempotent requests,
// truthful answers and the spread of list changes.
package sqchaos

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault; its value is the description in progress lines.
type Kind string

// The kinds of faults.
const (
	KindKill                Kind = "kill and restart a daemon"
	KindPause               Kind = "pause a daemon"
	KindStop                Kind = "stop and restart a daemon in the planned way"
	KindPlatformDown        Kind = "platform down"
	KindPlatformSlow        Kind = "platform slow"
	KindPlatformLoseAnswers Kind = "platform loses answers of writes"
	KindPlatformRollback    Kind = "platform comes back with older state"
	KindChangeLists         Kind = "change the lists"
	KindBreakAnswers        Kind = "targets cross, cut and fail answers"
)

var kinds = []Kind{
	KindKill, KindPause, KindStop, KindPlatformDown, KindPlatformSlow, KindPlatformLoseAnswers, KindPlatformRollback, KindChangeLists, KindBreakAnswers,
}

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind
	// Start is the start of the fault, from the start of the load.
	Start time.Duration
	// Duration is the duration of the fault. KindChangeLists is done at
	// once, but keeps its scope busy for as long.
	Duration time.Duration
	// Daemon is the index of the affected daemon in the fleet; faults of the
	// platform and of targets ignore it.
	Daemon int
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %s, for %v, daemon %d", f.Start.Seconds(), f.Kind, f.Duration.Round(time.Millisecond), f.Daemon)
}

const (
	firstFaultAt = time.Second
	// faultFreeEnd is the time at the end of the load in which no fault starts.
	faultFreeEnd = 4 * time.Second
	// meanGap is the mean of the exponentially distributed time between the starts
	// of faults, before those that would overlap in scope are dropped.
	meanGap     = 900 * time.Millisecond
	minFaultFor = 100 * time.Millisecond
	maxFaultFor = 2500 * time.Millisecond
)

// Plan returns the faults of a run in order of time, the same ones for the same
// arguments. Faults of the same scope (one daemon, the platform, the lists or all
// targets) don't overlap; other faults may.
func Plan(seed uint64, daemons int, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 0))
	busyUntil := make(map[int]time.Duration)
	var plan []Fault
	for at := firstFaultAt; at < length-faultFreeEnd; at += time.Duration(r.ExpFloat64() * float64(meanGap)) {
		f := Fault{
			Kind: kinds[r.IntN(len(kinds))], Start: at, Daemon: r.IntN(daemons),
			Duration: minFaultFor + time.Duration(r.Int64N(int64(maxFaultFor-minFaultFor))),
		}
		scope := f.scope()
		if busyUntil[scope] > at {
			continue
		}
		busyUntil[scope] = at + f.Duration + minFaultFor
		plan = append(plan, f)
	}
	return plan
}

// The scopes of faults that affect no single daemon.
const (
	scopePlatform = -1
	scopeLists    = -2
	scopeTargets  = -3
)

// scope returns what the fault affects: the index of a daemon, or one of the
// negative scopes.
func (f Fault) scope() int {
	switch f.Kind {
	case KindPlatformDown, KindPlatformSlow, KindPlatformLoseAnswers, KindPlatformRollback:
		return scopePlatform
	case KindChangeLists:
		return scopeLists
	case KindBreakAnswers:
		return scopeTargets
	default:
		return f.Daemon
	}
}
