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
	// cautiousPart is that growth from where calls were last found to queue.
	cautiousPart = 0.05
	// minGrowth is the least of both, in slots.
	minGrowth = 0.34
	// excessGrowth is the growth beyond the announced slots for each window.
	excessGrowth = 0.5
	// exactPart is the part of exact slots that is used; 95% full is where
	// targets that slow down when nearly full were found to begin.
	exactPart = 0.949
	// excessFactor bounds the limit by the announced slots.
	excessFactor = 4
	// anchorStep is the growth after which a limit is compared with that before.
	anchorStep = 1.3
	// queueingRise is the rise of the latency, as part of that of the limit,
	// from which calls are taken to queue within the target.
	queueingRise = 0.7
	// otherRise is the ratio of the rise to that of the limit from which it has
	// another cause.
	otherRise = 1.3
	// queueingPart is the part of the limit that is kept when a slope shows
	// that calls queue within the target.
	queueingPart = 0.85
	// shedPart is the part of the calls in flight that is kept after a shed.
	shedPart = 0.9
	// fullPart is the part of the limit, as the mean in flight, from which a
	// window counts as full.
	fullPart = 0.85
	// goodLatency is the ratio to the baseline up to which the limit grows
	// beyond the announced slots, badLatency that from which it comes back.
	goodLatency = 1.15
	badLatency  = 1.3
	// riseGain and fallGain are the weights in the baseline of a window that
	// is slower and was not full, and of one that is faster.
	riseGain = 0.1
	fallGain = 0.3
	// clearRise is the rise, as part of that of the limit, up to which the limit
	// is clearly not too high; latencyErrors is the number of standard errors
	// by which a rise must be beyond queueingRise.
	clearRise     = 0.35
	latencyErrors = 2
	// minSamples is the least number of calls in a window, fewSamples that
	// after maxWindow, and coldSamples that for a cold target. There is at
	// least one for each call in flight.
	minSamples  = 60
	fewSamples  = 15
	coldSamples = 4
	maxWindow   = time.Second
)

// Limit is the number of calls that a target may have in flight. It starts
// from a part of the announced slots and grows as long as windows are full,
// fast when cold, and slowly beyond the announced slots and from where it was
// last found too high. A shed answer cuts it at once. It is too high if the
// latency rises with it, or if a regression over single calls shows that those
// which find more calls in flight take longer; a latency that is merely higher
// than before does not cut it, since a target that has become slower needs all
// its slots. The comparison of latencies follows the gradient limiters (TCP
// Vegas; Netflix concurrency-limits).
//
// The zero value is not ready; Announce comes first. It is not safe for
// concurrent use.
type Limit struct {
	// Exact says that the announced slots are what the target runs at once, so
	// that nothing has to be learned. A little less is used: many targets become
	// slower when the last slots fill.
	Exact bool

	limit     float64
	announced float64
	// ceiling is the limit that was last found to be too high.
	ceiling float64
	// base is the latency with few calls in flight, in seconds, learnt from
	// the number of calls seen.
	base   float64
	seen   float64
	cold   bool
	window window
	anchor anchor
	slope  slope
	// queueing is set if the last slope showed calls queueing in the target.
	queueing bool
	cutAt    time.Time
}

// window averages calls that ended one after another.
type window struct {
	start    time.Time
	samples  int
	latency  float64
	squares  float64
	inFlight float64
}

// variance is that of the mean latency.
func (w *window) variance() float64 {
	n := float64(w.samples)
	mean := w.latency / n
	return math.Max(0, w.squares/n-mean*mean) / n
}

// anchor is a limit that was full, with its latency.
type anchor struct {
	limit, latency, variance float64
	// doubted is set if one window beyond it was too slow.
	doubted bool
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
	if l.Exact {
		return max(1, int(exactPart*l.announced))
	}
	return max(1, int(l.limit))
}

// Ended takes the end of a call, with the numbers in flight when it started
// and before it ended.
func (l *Limit) Ended(now time.Time, started, inFlight int, r Result) {
	if l.Exact {
		return
	}
	switch r.Outcome {
	case Shed:
		l.cut(now, inFlight)
		return
	case Failed, Cancelled, Unreachable:
		return
	}
	own := max(0, r.Latency-r.Nested).Seconds()
	w := &l.window
	w.samples++
	w.latency += own
	w.squares += own * own
	w.inFlight += float64(inFlight)
	l.slope.add(started, own)
	if l.slope.n >= slopeSamples {
		l.closeSlope()
	}
	if w.samples >= max(l.need(now), l.Slots()) {
		l.closeWindow(now)
	}
}

// need is the least number of samples that end the window.
func (l *Limit) need(now time.Time) int {
	switch {
	case l.cold:
		return coldSamples
	case now.Sub(l.window.start) > maxWindow:
		return fewSamples
	default:
		return minSamples
	}
}

// cut lowers the limit below the calls in flight, once in each usual time.
func (l *Limit) cut(now time.Time, inFlight int) {
	if now.Sub(l.cutAt) <= seconds(l.base) {
		return
	}
	l.cutAt = now
	l.tooHigh(math.Min(l.limit, float64(inFlight)), shedPart*math.Min(l.limit, float64(inFlight)))
	l.window = window{start: now}
}

// tooHigh lowers the limit, and remembers where it was found too high.
func (l *Limit) tooHigh(ceiling, limit float64) {
	l.cold = false
	l.ceiling = ceiling
	l.limit = math.Max(1, limit)
	l.anchor = anchor{}
}

// closeSlope lowers the limit if calls queue in the target. One slope alone may
// come from a latency that has changed with time.
func (l *Limit) closeSlope() {
	before := l.queueing
	l.queueing = l.slope.queueing()
	l.slope = slope{}
	if l.queueing && before {
		l.tooHigh(l.limit, l.limit*queueingPart)
	}
}

func (l *Limit) closeWindow(now time.Time) {
	w := l.window
	l.window = window{start: now}
	n := float64(w.samples)
	latency, full := w.latency/n, w.inFlight/n >= fullPart*float64(l.Slots())
	l.learnBase(n, latency, full)
	switch {
	case l.limit > l.announced && latency > badLatency*l.base:
		l.limit = math.Max(l.announced, l.limit-1)
	case !full || l.queueing || l.limit >= excessFactor*l.announced:
	case l.limit < l.announced || latency < goodLatency*l.base:
		l.probe(latency, w.variance())
	}
}

// learnBase moves the baseline: at first to the mean of all calls, then by
// windows, in proportion to their calls.
func (l *Limit) learnBase(n, latency float64, full bool) {
	part := math.Min(1, n/minSamples)
	l.seen += n
	switch {
	case l.seen <= 2*minSamples:
		l.base += n / l.seen * (latency - l.base)
	case latency < l.base:
		l.base += fallGain * part * (latency - l.base)
	case !l.queueing && (!full || l.limit <= l.announced/2):
		l.base += riseGain * part * (latency - l.base)
	}
}

// probe lets a full limit grow, unless the latency has grown with it since the
// anchor.
func (l *Limit) probe(latency, variance float64) {
	a := &l.anchor
	if a.limit == 0 || l.limit < a.limit {
		*a = anchor{limit: l.limit, latency: latency, variance: variance}
	}
	if step := l.limit / a.limit; step >= anchorStep {
		rise := latency / a.latency
		noise := latencyErrors * math.Sqrt(a.variance+variance) / a.latency
		switch {
		case rise > step*otherRise+noise || rise < 1+clearRise*(step-1):
			*a = anchor{limit: l.limit, latency: latency, variance: variance}
		case rise > 1+queueingRise*(step-1)+noise:
			l.doubt()
			return
		}
	}
	l.grow()
}

// doubt lowers the limit to its anchor when two windows have been too slow.
func (l *Limit) doubt() {
	if l.anchor.doubted {
		l.tooHigh(l.limit, l.anchor.limit)
		return
	}
	l.anchor.doubted = true
}

func (l *Limit) grow() {
	switch {
	case l.limit >= l.announced:
		l.cold = false
		l.limit += excessGrowth
	case l.ceiling > 0 && l.limit*(1+cautiousPart) >= l.ceiling:
		l.limit += math.Max(minGrowth, l.limit*cautiousPart)
		l.ceiling = math.Max(l.ceiling, l.limit)
	case l.cold:
		l.limit = math.Min(l.announced, math.Max(l.limit+1, l.limit*coldGrowth))
	default:
		l.limit = math.Min(l.announced, l.limit+math.Max(minGrowth, l.limit*warmPart))
	}
}
