package sqroute

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
)

const (
	// latencyGain and failureGain are the weights of one call in the moving averages
	// of latency and failure rate.
	latencyGain = 0.1
	failureGain = 0.15
	// bypassedTimeConstant is the time constant of the latency average of a target
	// that was bypassed for being slow. It lets the router notice within a second
	// that the target has recovered.
	bypassedTimeConstant = 500 * time.Millisecond
	// p90RiseGain and p90FallGain are the weights of an answer slower and faster than
	// the current estimate of the 90th percentile. Their ratio of 9 to 1 settles the
	// estimate where about nine in ten answers are faster, and a few fast answers
	// hardly lower it.
	p90RiseGain = 0.27
	p90FallGain = 0.03
	// minP90Samples is the number of answers needed before the estimate is used.
	minP90Samples = 8
	// loadTimeConstant is the time constant with which a reported load decays.
	loadTimeConstant = 500 * time.Millisecond
	// Loads are calls per slot. From hotLoad on, targets are compared by load instead
	// of latency. From overloadedLoad on, a target lacks capacity and the next tier
	// is tried.
	hotLoad        = 0.8
	overloadedLoad = 1.2
	// fullLoad is the load from which calls wait or soon will. A target in another
	// data centre of the region is used instead if its load is lower by
	// spilloverLoadGap.
	fullLoad         = 0.9
	spilloverLoadGap = 0.25
	// slowFactor is how many times the latency of others a target's latency must be
	// for it to be bypassed; normal differences between hosts and kinds of calls are
	// smaller. A bypassed target gets a call after probeInterval without an answer,
	// to find out whether it has recovered.
	slowFactor    = 2
	probeInterval = 250 * time.Millisecond
	// baselineGain is the weight of one answer in a service's baseline latency. It is
	// small so that a slow target doesn't soon raise the baseline that it is compared
	// with.
	baselineGain = 0.005
	// idleLoad is the load below which calls don't wait. idleReportTTL is how long a
	// load report counts for this.
	idleLoad      = 0.7
	idleReportTTL = time.Second
	// slowStart is the time over which a new target is ramped up to its full share of
	// the calls, slowStartFraction the fraction of it that it gets at first.
	slowStart         = time.Second
	slowStartFraction = 0.2
	// ejectionFailureRate is the failure rate from which a target is ejected.
	ejectionFailureRate = 0.5
	// firstEjection and maxEjection are the shortest and longest ejection; the
	// duration doubles with each consecutive one.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// avoidFor is how long a target that could not be reached is used only if there
	// is no other. Unlike ejection, this needs no limit on how many targets it
	// affects.
	avoidFor = 200 * time.Millisecond
	// maxEjectedFraction is the fraction of a service's targets that may be ejected
	// at the same time.
	maxEjectedFraction = 1.0 / 3
	// forgetAfter is how long the statistics of a target that is no longer offered
	// are kept.
	forgetAfter = time.Minute
)

// target holds the statistics that the router keeps of one target, taken from answers
// to its own calls.
type target struct {
	id          sqtarget.ID
	service     *service
	incarnation sqid.Incarnation
	slots       float64
	createdAt   time.Time
	// slowStartDone is set once the target gets its full share of the calls.
	// lastOffered is when Pick was last offered the target; inFlight counts the
	// daemon's own calls.
	slowStartDone bool
	lastOffered   time.Time
	inFlight      int
	// latency, in seconds, and failureRate, between 0 and 1, are moving averages. So
	// is shedLevel, of the reported admission level plus the fraction of calls shed
	// at that level.
	latency     float64
	failureRate float64
	shedLevel   float64
	// lastAnswer is when latency was last updated. bypassed is set if the target was
	// bypassed for being slow since then.
	lastAnswer time.Time
	bypassed   bool
	// reportedLoad is the calls in flight and queued per slot of the target's limit,
	// as reported at reportedAt.
	reportedLoad float64
	reportedAt   time.Time
	// ejectedUntil is the end of the current or last ejection. Until avoidUntil the
	// target counts as unreachable.
	ejectedUntil         time.Time
	consecutiveEjections int
	avoidUntil           time.Time
}

// service holds the statistics that the router keeps of one service.
type service struct {
	createdAt time.Time
	targets   map[sqtarget.ID]*target
	// order holds the targets in the order of the rows of the last pick.
	order []*target
	// notDraining is the number of targets that are not draining; meanLatency is a
	// moving average in seconds.
	notDraining int
	meanLatency float64
	// baselineLatency is a moving average over the last few hundred answers, in
	// seconds.
	baselineLatency float64
	// p90Latency estimates the 90th percentile of latency, in seconds. latencySamples
	// counts the answers up to minP90Samples.
	p90Latency     float64
	latencySamples int
	// ejectedUntil is when the last ejection of any of its targets ends.
	ejectedUntil time.Time
}

// observe records the outcome of a call and the load report that came with it, if
// any.
func (t *target) observe(now time.Time, latency time.Duration, o sqadmit.Outcome, load *sqadmit.Load) {
	if load != nil {
		t.reportedLoad = float64(load.InFlight+load.Queued) / float64(max(1, load.Limit))
		t.reportedAt = now
		t.shedLevel += failureGain * (float64(load.Level) + 1 - float64(load.OverallShare) - t.shedLevel)
	}
	failed := 0.0
	switch o {
	case sqadmit.OK:
		t.recordLatency(now, latency.Seconds())
		t.service.recordLatency(latency.Seconds())
	case sqadmit.Failed:
		failed = 1
	case sqadmit.Unreachable:
		failed = 1
		t.avoidUntil = now.Add(avoidFor)
	case sqadmit.Cancelled:
		return
	}
	t.failureRate += failureGain * (failed - t.failureRate)
	if t.failureRate < failureGain {
		t.consecutiveEjections = 0
	}
}

// recordLatency records the latency of a successful call, in seconds. A fast answer
// of a bypassed target has a higher weight, so that the target is soon used again.
func (t *target) recordLatency(now time.Time, seconds float64) {
	if t.bypassed && seconds < t.latency {
		gain := 1 - math.Exp(-float64(now.Sub(t.lastAnswer))/float64(bypassedTimeConstant))
		t.latency += max(latencyGain, gain) * (seconds - t.latency)
	} else {
		t.latency = movingAverage(t.latency, seconds)
	}
	t.lastAnswer, t.bypassed = now, false
}

// recordLatency records the latency of a successful call to any target, in seconds.
func (s *service) recordLatency(seconds float64) {
	s.meanLatency = movingAverage(s.meanLatency, seconds)
	gain := p90FallGain
	switch {
	case s.latencySamples == 0:
		gain, s.baselineLatency = 1, seconds
	case seconds > s.p90Latency:
		gain = p90RiseGain
	}
	s.p90Latency += gain * (seconds - s.p90Latency)
	s.baselineLatency += baselineGain * (seconds - s.baselineLatency)
	s.latencySamples = min(s.latencySamples+1, minP90Samples)
}

// load returns the calls in flight per slot: the higher of the last report, decayed
// with its age, and the daemon's own calls in flight.
func (t *target) load(now time.Time) float64 {
	reported := t.reportedLoad * math.Exp(-float64(now.Sub(t.reportedAt))/float64(loadTimeConstant))
	return max(reported, float64(t.inFlight)/t.slots)
}

// isBetterThan reports whether t is the better choice: the less loaded if either is
// hot, otherwise the one of lower expected cost.
func (t *target) isBetterThan(now time.Time, other *target) bool {
	a, b := t.load(now), other.load(now)
	if a >= hotLoad || b >= hotLoad {
		return a < b
	}
	return t.expectedCost() < other.expectedCost()
}

// expectedCost is the expected time of a call in seconds, in which failures count as
// lost time.
func (t *target) expectedCost() float64 {
	return t.latency * (1 + float64(t.inFlight)/t.slots) / max(1-t.failureRate, 0.05)
}

// isSlow reports whether the target is far slower than its service. Once its last
// answer is older than probeInterval and it has no call in flight, it reports false,
// so that the target gets a call to find out.
func (t *target) isSlow(now time.Time) bool {
	return t.latency > slowFactor*t.service.baselineLatency && (t.inFlight > 0 || now.Sub(t.lastAnswer) < probeInterval)
}

// lacksCapacity reports whether the target is overloaded.
func (t *target) lacksCapacity(now time.Time) bool { return t.load(now) >= overloadedLoad }

func (t *target) ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// passesSlowStart reports whether a target may get this call. During slow start that
// is decided at random, with a probability that grows with the target's age.
func (t *target) passesSlowStart(now time.Time, rng *rand.Rand) bool {
	if t.slowStartDone {
		return true
	}
	age := now.Sub(t.createdAt)
	if age >= slowStart {
		t.slowStartDone = true
		return true
	}
	probability := slowStartFraction + (1-slowStartFraction)*float64(age)/float64(slowStart)
	return rng.Float64() < probability
}

// limitEjections ends the ejections that would end soonest until no more than the
// allowed fraction of targets is ejected.
func (s *service) limitEjections(now time.Time, notDraining int) {
	s.notDraining = notDraining
	if !now.Before(s.ejectedUntil) {
		return
	}
	for s.countEjected(now) > s.maxEjected() {
		var endsFirst *target
		for _, t := range s.targets {
			if t.ejected(now) && (endsFirst == nil || t.ejectedUntil.Before(endsFirst.ejectedUntil)) {
				endsFirst = t
			}
		}
		endsFirst.ejectedUntil = now
	}
}

// maybeEject ejects a target whose failure rate is high, and at least twice the mean
// of the other targets. It returns the duration of the ejection, 0 if the target is
// not ejected.
func (s *service) maybeEject(now time.Time, t *target) time.Duration {
	if t.failureRate < ejectionFailureRate || t.ejected(now) || s.countEjected(now) >= s.maxEjected() {
		return 0
	}
	if s.meanFailureRateOfOthers(t) > t.failureRate/2 {
		return 0
	}
	duration := min(maxEjection, firstEjection<<min(t.consecutiveEjections, 10))
	t.ejectedUntil = now.Add(duration)
	s.ejectedUntil = laterOf(s.ejectedUntil, t.ejectedUntil)
	t.consecutiveEjections++
	t.failureRate = ejectionFailureRate
	return duration
}

func (s *service) maxEjected() int { return int(maxEjectedFraction * float64(s.notDraining)) }

func (s *service) countEjected(now time.Time) int {
	n := 0
	for _, t := range s.targets {
		if t.ejected(now) {
			n++
		}
	}
	return n
}

// meanFailureRateOfOthers returns the mean failure rate of the other targets.
func (s *service) meanFailureRateOfOthers(t *target) float64 {
	sum := 0.0
	for _, o := range s.targets {
		if o != t {
			sum += o.failureRate
		}
	}
	return sum / float64(max(1, len(s.targets)-1))
}

// isShedding reports whether more than half of the targets with a recent load report
// shed most calls or are over capacity.
func (s *service) isShedding(now time.Time) bool {
	shedding, reporting := 0, 0
	for _, t := range s.targets {
		if now.Sub(t.reportedAt) > loadTimeConstant {
			continue
		}
		reporting++
		if t.shedLevel > 0.5 || t.reportedLoad >= overloadedLoad {
			shedding++
		}
	}
	return shedding*2 > reporting
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// movingAverage adds a sample to an exponentially weighted moving average; an average
// of 0 has no samples yet.
func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + latencyGain*(sample-old)
}

func toDuration(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
