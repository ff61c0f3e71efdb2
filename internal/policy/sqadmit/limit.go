package sqadmit

import (
	"math"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	// coldPart is the part of the announced slots that a new target gets.
	coldPart = 0.25
	// coldGrowth is the growth of a cold limit for each full window.
	coldGrowth = 1.5
	// slowLatency is the ratio to the baseline from which a window is slow.
	slowLatency = 1.6
	// trialPart is the part of the limit that is kept while a slow target is
	// tried with less.
	trialPart = 0.7
	// shedPart is the part of the calls in flight that is kept after a shed.
	shedPart = 0.9
	// busyPart is the part of the limit from which a window counts as full.
	busyPart = 0.8
	// excessFactor bounds the limit by the announced slots.
	excessFactor = 4
	// minSamples and maxWindow bound a window.
	minSamples = 40
	maxWindow  = time.Second
	// baseGain is the weight of an unloaded window in the baseline.
	baseGain = 0.1
)

// Limit is the number of calls that a target may have in flight. It starts
// from a part of the announced slots and doubles as long as windows are full
// and no slower than the baseline; beyond the announced slots it grows by one
// for each full window. A shed answer cuts it at once. A slow window starts a
// trial with fewer calls: if the latency falls with them, calls were queueing
// within the target and the limit stays low; if not, the target itself has
// become slower, the limit is restored and the baseline moves. The comparison
// follows the gradient limiters (TCP Vegas; Netflix concurrency-limits), the
// trial is there because a gradient alone takes a slower target for a full
// one.
//
// The zero value is not ready; Announce comes first. It is not safe for
// concurrent use.
type Limit struct {
	limit     float64
	announced float64
	// ceiling is the limit that a shed answer has shown to be too high.
	ceiling float64
	base    float64
	cold    bool
	window  window
	trial   trial
}

type window struct {
	start    time.Time
	samples  int
	sum      float64
	busiest  int
	cutAt    time.Time
	inFlight float64
}

// trial compares the latency with fewer calls to that before.
type trial struct {
	running bool
	settled bool
	limit   float64
	latency float64
}

// Announce sets the slots that the target says it has. Renewals with the same
// number change nothing.
func (l *Limit) Announce(now time.Time, slots squnit.Slots) {
	announced := math.Max(1, float64(slots))
	if announced == l.announced {
		return
	}
	if l.announced == 0 {
		l.cold = true
		l.limit = math.Max(1, math.Ceil(announced*coldPart))
		l.window = window{start: now}
	} else {
		l.limit = math.Max(1, l.limit*announced/l.announced)
		l.ceiling = 0
	}
	l.announced = announced
}

// Slots returns the limit, at least 1.
func (l *Limit) Slots() int {
	return max(1, int(l.limit))
}

// Ended takes the end of a call, with the number in flight before it ended.
func (l *Limit) Ended(now time.Time, inFlight int, r Result) {
	switch r.Outcome {
	case Shed:
		l.cut(now, inFlight)
		return
	case Failed:
		return
	}
	own := max(0, r.Latency-r.Nested).Seconds()
	w := &l.window
	w.samples++
	w.sum += own
	w.inFlight += float64(inFlight)
	w.busiest = max(w.busiest, inFlight)
	need := max(minSamples, l.Slots())
	if l.cold {
		need = max(minSamples/4, l.Slots())
	}
	if w.samples >= need || now.Sub(w.start) > maxWindow && w.samples >= minSamples/4 {
		l.closeWindow(now)
	}
}

// cut lowers the limit below the calls in flight, once in each usual time.
func (l *Limit) cut(now time.Time, inFlight int) {
	w := &l.window
	wait := time.Duration(l.base * float64(time.Second))
	if now.Sub(w.cutAt) <= wait {
		return
	}
	l.cold = false
	l.ceiling = float64(inFlight)
	l.limit = math.Max(1, math.Min(l.limit, float64(inFlight)*shedPart))
	l.trial = trial{}
	l.window = window{start: now, cutAt: now}
}

func (l *Limit) closeWindow(now time.Time) {
	w := l.window
	l.window = window{start: now, cutAt: w.cutAt}
	latency := w.sum / float64(w.samples)
	full := float64(w.busiest) >= busyPart*l.limit
	if l.base == 0 || latency < l.base {
		l.base = latency
	} else if !full {
		l.base += baseGain * (latency - l.base)
	}
	switch {
	case l.trial.running:
		l.judge(latency)
	case full && latency > slowLatency*l.base:
		l.cold = false
		l.trial = trial{running: true, limit: l.limit, latency: latency}
		l.limit = math.Max(1, l.limit*trialPart)
	case full:
		l.grow()
	}
}

// judge ends a trial after the window in which the calls above the new limit
// drained and one more.
func (l *Limit) judge(latency float64) {
	if !l.trial.settled {
		l.trial.settled = true
		return
	}
	t := l.trial
	l.trial = trial{}
	if latency > t.latency*(1+trialPart)/2 {
		l.base = math.Max(l.base, math.Min(latency, t.latency))
		l.limit = t.limit
	}
}

func (l *Limit) grow() {
	switch {
	case l.limit < l.announced && l.cold:
		l.limit = math.Min(l.announced, l.limit*coldGrowth)
	case l.ceiling > 0 && l.limit+1 >= l.ceiling:
		l.limit += 1 / math.Max(1, l.limit)
		l.ceiling = math.Max(l.ceiling, l.limit)
	case l.limit < excessFactor*l.announced:
		l.cold = false
		l.limit++
	}
}
