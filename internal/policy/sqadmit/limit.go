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
	// warmPart is the growth for each full window of a limit that has been cut.
	warmPart = 0.1
	// cautiousPart is the growth for each full window of a limit at its ceiling.
	cautiousPart = 0.03
	// slowLatency is the ratio to the baseline from which a window is slow.
	slowLatency = 1.8
	// trialPart is the part of the limit that is kept while a slow target is
	// tried with less.
	trialPart = 0.7
	// queueingPart is the part of the limit that is kept when calls queue in
	// the target.
	queueingPart = 0.85
	// shedPart is the part of the calls in flight that is kept after a shed.
	shedPart = 0.9
	// fullPart is the part of the limit, as the mean in flight, from which a
	// window counts as full.
	fullPart = 0.85
	// goodLatency is the ratio to the baseline up to which the limit grows.
	goodLatency = 1.15
	// excessGrowth is the growth beyond the announced slots for each window.
	excessGrowth = 0.5
	// excessFactor bounds the limit by the announced slots.
	excessFactor = 4
	// minSamples is the least number of calls in a window, fewSamples that for
	// a cold target and after maxWindow.
	minSamples = 60
	fewSamples = 20
	maxWindow  = time.Second
	// riseGain and fallGain are the weights in the baseline of a window that
	// is slower and was not full, and of one that is faster.
	riseGain = 0.1
	fallGain = 0.3
)

// Limit is the number of calls that a target may have in flight. It starts
// from a part of the announced slots and grows fast as long as windows are full
// and hardly slower than the baseline; beyond the announced slots it grows
// slowly, and comes back if the latency rises. A shed answer cuts it at once. A slow window starts a
// trial with fewer calls: if the latency falls with them, calls were queueing
// within the target and the limit stays low; if not, the target itself has
// become slower, the limit is restored and the baseline moves. As long as the
// calls in flight vary by themselves, a regression shows the same. The comparison
// follows the gradient limiters (TCP Vegas; Netflix concurrency-limits), the
// trial is there because a gradient alone takes a slower target for a full
// one.
//
// The zero value is not ready; Announce comes first. It is not safe for
// concurrent use.
type Limit struct {
	limit     float64
	announced float64
	// ceiling is the limit that was last found to be too high.
	ceiling float64
	base    float64
	cold    bool
	window  window
	trial   trial
	slope   slope
	// queueing is set if the last slope showed calls queueing in the target.
	queueing bool
}

type window struct {
	start    time.Time
	samples  int
	sum      float64
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

// Ended takes the end of a call, with the numbers in flight when it started
// and before it ended.
func (l *Limit) Ended(now time.Time, started, inFlight int, r Result) {
	switch r.Outcome {
	case Shed:
		l.cut(now, inFlight)
		return
	case Failed, Cancelled:
		return
	}
	own := max(0, r.Latency-r.Nested).Seconds()
	w := &l.window
	w.samples++
	w.sum += own
	w.inFlight += float64(inFlight)
	l.slope.add(started, own)
	if l.slope.n >= slopeSamples {
		l.closeSlope()
	}
	if w.samples >= l.need(now) {
		l.closeWindow(now)
	}
}

// closeSlope lowers the limit a little if calls queue in the target.
func (l *Limit) closeSlope() {
	l.queueing = l.slope.queueing()
	l.slope = slope{}
	if l.queueing && !l.trial.running {
		l.cold = false
		l.ceiling = l.limit
		l.limit = math.Max(1, l.limit*queueingPart)
	}
}

// need is the number of samples that end the window.
func (l *Limit) need(now time.Time) int {
	switch {
	case l.trial.running && !l.trial.settled:
		return l.Slots()
	case l.cold || now.Sub(l.window.start) > maxWindow:
		return max(fewSamples, l.Slots())
	default:
		return max(minSamples, l.Slots())
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
	full := w.inFlight/float64(w.samples) >= fullPart*l.limit
	switch {
	case l.base == 0:
		l.base = latency
	case latency < l.base:
		l.base += fallGain * (latency - l.base)
	case !l.queueing && (!full || l.limit <= l.announced/2):
		l.base += riseGain * (latency - l.base)
	}
	switch {
	case l.trial.running:
		l.judge(latency)
	case full && latency > slowLatency*l.base && l.cold:
		l.cold = false
	case full && latency > slowLatency*l.base:
		l.trial = trial{running: true, limit: l.limit, latency: latency}
		l.limit = math.Max(1, l.limit*trialPart)
	case l.limit > l.announced && latency > goodLatency*l.base:
		l.limit = math.Max(l.announced, l.limit-1)
	case full && !l.queueing && (l.limit < l.announced || latency < goodLatency*l.base):
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
	case l.ceiling > 0 && l.limit+1 >= l.ceiling:
		l.limit += cautiousPart * l.limit
		l.ceiling = math.Max(l.ceiling, l.limit)
	case l.limit < l.announced && l.cold:
		l.limit = math.Min(l.announced, l.limit*coldGrowth)
	case l.limit < l.announced:
		l.limit = math.Min(l.announced, l.limit+math.Max(1, warmPart*l.limit))
	case l.limit < excessFactor*l.announced:
		l.cold = false
		l.limit += excessGrowth
	}
}
