package sqadmit

import (
	"math"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	// coldFraction is the fraction of the announced slots that a new target
	// gets.
	coldFraction = 0.25
	// coldGrowth is the factor by which a cold limit grows for each full
	// window.
	coldGrowth = 1.5
	// warmGrowth is the fraction by which a limit that has been lowered grows
	// for each full window.
	warmGrowth = 0.1
	// cautiousGrowth is that fraction near the limit at which calls were last
	// found to queue.
	cautiousGrowth = 0.05
	// minGrowth is the least growth in both cases, in slots.
	minGrowth = 0.34
	// excessGrowth is the growth beyond the announced slots for each window, in
	// slots.
	excessGrowth = 0.5
	// exactFraction is the fraction of exact slots that is used. Targets that
	// slow down when nearly full were found to do so from 95% on.
	exactFraction = 0.949
	// excessFactor bounds the limit, as a multiple of the announced slots.
	excessFactor = 4
	// referenceStep is the factor by which the limit must have grown beyond the
	// reference point before their latencies are compared.
	referenceStep = 1.3
	// queueingRise is the relative rise of the latency, as a fraction of the
	// relative rise of the limit, from which calls are assumed to queue within
	// the target.
	queueingRise = 0.7
	// unrelatedRise is the ratio of the latency's growth factor to that of the
	// limit from which the latency must have risen for another reason.
	unrelatedRise = 1.3
	// queueingBackoff is the fraction of the limit that is kept when a
	// regression shows that calls queue within the target.
	queueingBackoff = 0.85
	// shedBackoff is the fraction of the calls in flight that is kept as the
	// limit when the target sheds a call.
	shedBackoff = 0.9
	// fullFraction is the mean number of calls in flight, as a fraction of the
	// limit, from which a window counts as full.
	fullFraction = 0.85
	// growLatencyRatio is the ratio of the latency to the baseline up to which
	// the limit grows beyond the announced slots. Above shrinkLatencyRatio it
	// returns towards them.
	growLatencyRatio   = 1.15
	shrinkLatencyRatio = 1.3
	// riseWeight is the weight in the baseline of a window that is slower, if
	// updateBaseline counts it, fallWeight that of a window that is faster.
	riseWeight = 0.1
	fallWeight = 0.3
	// clearRise is the relative rise of the latency, as a fraction of that of
	// the limit, below which the limit is clearly not too high. latencyErrors
	// is the number of standard errors by which a rise must exceed
	// queueingRise.
	clearRise     = 0.35
	latencyErrors = 2
	// minSamples is the least number of calls in a window, slowSamples that in
	// a window older than maxWindow, and coldSamples that for a cold target. A
	// window also has at least as many calls as the limit.
	minSamples  = 60
	slowSamples = 15
	coldSamples = 4
	maxWindow   = time.Second
)

// Limit is the number of calls that a target may have in flight. It starts at a
// fraction of the announced slots and grows as long as windows are full: fast
// when cold, slowly beyond the announced slots and near the limit that was last
// found too high. A call that the target sheds lowers it at once. It is too
// high if the latency rises with it, or if a regression over single calls shows
// that those which find more calls in flight take longer. A latency that is
// merely higher than before lowers it towards the announced slots but not below
// them, since a target that has become slower needs all its slots. The
// comparison of latencies follows the gradient limiters (TCP Vegas; Netflix
// concurrency-limits).
//
// The zero value allows one call and does not grow until Announce is called. A
// Limit is not safe for concurrent use.
type Limit struct {
	// ExactSlots says that the announced slots are what the target runs at once, so
	// that the limit does not adapt. A little less is used: many targets become
	// slower when the last slots fill.
	ExactSlots bool

	limit     float64
	announced float64
	// ceiling is the limit that was last found to be too high, 0 if none was.
	// A limit that grows cautiously past it raises it as well, although nothing
	// found that limit too high.
	ceiling float64
	// baseline is the estimate of the latency with few calls in flight, in
	// seconds, which updateBaseline moves. baselineSamples is the number of
	// calls in all windows that were closed.
	baseline        float64
	baselineSamples float64
	cold            bool
	window          window
	reference       reference
	slope           slope
	// queueing is set if the last regression showed that calls queue within the
	// target.
	queueing    bool
	lastBackOff time.Time
}

// window sums up calls that ended one after another: their latencies in
// seconds, the squares of these, and the calls in flight.
type window struct {
	start    time.Time
	samples  int
	latency  float64
	squares  float64
	inFlight float64
}

// variance returns the variance of the mean latency.
func (w *window) variance() float64 {
	n := float64(w.samples)
	mean := w.latency / n
	return math.Max(0, w.squares/n-mean*mean) / n
}

// reference is a reference point: a limit at which a window was full, with the
// window's mean latency in seconds and the variance of that mean. Higher limits
// are compared with it.
type reference struct {
	limit, latency, variance float64
	// suspected is set if one window at a higher limit was too slow.
	suspected bool
}

// Announce sets the slots that the target says it has. Repeated announcements
// of the same number change nothing.
func (l *Limit) Announce(now time.Time, slots squnit.Slots) {
	announced := math.Max(1, float64(slots))
	if announced == l.announced {
		return
	}
	if l.announced == 0 {
		l.cold = true
		l.limit = math.Max(1, math.Ceil(announced*coldFraction))
		l.window = window{start: now}
	} else {
		l.limit = math.Max(1, l.limit*announced/l.announced)
		l.ceiling = 0
	}
	l.announced = announced
}

// Slots returns the limit, at least 1.
func (l *Limit) Slots() int {
	if l.ExactSlots {
		return max(1, int(exactFraction*l.announced))
	}
	return max(1, int(l.limit))
}

// Ended records the end of a call, with the numbers of calls in flight when it
// started and just before it ended.
func (l *Limit) Ended(now time.Time, started, inFlight int, r Result) {
	if l.ExactSlots {
		return
	}
	switch r.Outcome {
	case Shed:
		l.backOff(now, inFlight)
		return
	case Failed, Cancelled, Unreachable:
		return
	}
	ownLatency := max(0, r.Latency-r.Nested).Seconds()
	w := &l.window
	w.samples++
	w.latency += ownLatency
	w.squares += ownLatency * ownLatency
	w.inFlight += float64(inFlight)
	l.slope.add(started, ownLatency)
	if l.slope.n >= slopeSamples {
		l.closeSlope()
	}
	if w.samples >= max(l.minWindowSamples(now), l.Slots()) {
		l.closeWindow(now)
	}
}

// minWindowSamples returns the least number of samples that complete the
// window.
func (l *Limit) minWindowSamples(now time.Time) int {
	switch {
	case l.cold:
		return coldSamples
	case now.Sub(l.window.start) > maxWindow:
		return slowSamples
	default:
		return minSamples
	}
}

// backOff lowers the limit below the calls in flight, at most once in each
// baseline latency.
func (l *Limit) backOff(now time.Time, inFlight int) {
	if now.Sub(l.lastBackOff) <= seconds(l.baseline) {
		return
	}
	l.lastBackOff = now
	l.lower(math.Min(l.limit, float64(inFlight)), shedBackoff*math.Min(l.limit, float64(inFlight)))
	l.window = window{start: now}
}

// lower sets a lower limit and remembers the ceiling, the limit that was too
// high.
func (l *Limit) lower(ceiling, limit float64) {
	l.cold = false
	l.ceiling = ceiling
	l.limit = math.Max(1, limit)
	l.reference = reference{}
}

// closeSlope lowers the limit if two regressions in a row show that calls queue
// within the target. A single one may come from a latency that has changed over
// time.
func (l *Limit) closeSlope() {
	queueingBefore := l.queueing
	l.queueing = l.slope.queueing()
	l.slope = slope{}
	if l.queueing && queueingBefore {
		l.lower(l.limit, l.limit*queueingBackoff)
	}
}

func (l *Limit) closeWindow(now time.Time) {
	w := l.window
	l.window = window{start: now}
	n := float64(w.samples)
	latency, full := w.latency/n, w.inFlight/n >= fullFraction*float64(l.Slots())
	l.updateBaseline(n, latency, full)
	switch {
	case l.limit > l.announced && latency > shrinkLatencyRatio*l.baseline:
		l.limit = math.Max(l.announced, l.limit-1)
	case !full || l.queueing || l.limit >= excessFactor*l.announced:
	case l.limit < l.announced || latency < growLatencyRatio*l.baseline:
		l.probe(latency, w.variance())
	}
}

// updateBaseline moves the baseline. While there are at most 2*minSamples
// calls, it is their mean. From then on it is a moving average over windows, in
// which a window weighs less if it has fewer than minSamples calls. A window that
// is slower than the baseline counts only if the last regression showed no
// queueing, and if the window was not full or the limit is at most half of the
// announced slots.
func (l *Limit) updateBaseline(n, latency float64, full bool) {
	weight := math.Min(1, n/minSamples)
	l.baselineSamples += n
	switch {
	case l.baselineSamples <= 2*minSamples:
		l.baseline += n / l.baselineSamples * (latency - l.baseline)
	case latency < l.baseline:
		l.baseline += fallWeight * weight * (latency - l.baseline)
	case !l.queueing && (!full || l.limit <= l.announced/2):
		l.baseline += riseWeight * weight * (latency - l.baseline)
	}
}

// probe raises a full limit unless the latency has risen with it since the
// reference point.
func (l *Limit) probe(latency, variance float64) {
	ref := &l.reference
	if ref.limit == 0 || l.limit < ref.limit {
		*ref = reference{limit: l.limit, latency: latency, variance: variance}
	}
	if step := l.limit / ref.limit; step >= referenceStep {
		rise := latency / ref.latency
		noise := latencyErrors * math.Sqrt(ref.variance+variance) / ref.latency
		switch {
		case rise > step*unrelatedRise+noise || rise < 1+clearRise*(step-1):
			*ref = reference{limit: l.limit, latency: latency, variance: variance}
		case rise > 1+queueingRise*(step-1)+noise:
			l.suspect()
			return
		}
	}
	l.grow()
}

// suspect lowers the limit to its reference point when a second window has been
// too slow.
func (l *Limit) suspect() {
	if l.reference.suspected {
		l.lower(l.limit, l.reference.limit)
		return
	}
	l.reference.suspected = true
}

func (l *Limit) grow() {
	switch {
	case l.limit >= l.announced:
		l.cold = false
		l.limit += excessGrowth
	case l.ceiling > 0 && l.limit*(1+cautiousGrowth) >= l.ceiling:
		l.limit += math.Max(minGrowth, l.limit*cautiousGrowth)
		l.ceiling = math.Max(l.ceiling, l.limit)
	case l.cold:
		l.limit = math.Min(l.announced, math.Max(l.limit+1, l.limit*coldGrowth))
	default:
		l.limit = math.Min(l.announced, l.limit+math.Max(minGrowth, l.limit*warmGrowth))
	}
}
