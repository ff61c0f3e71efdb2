package sqadmit

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	// reviewPeriod is the time between two divisions of the capacity.
	reviewPeriod = 20 * time.Millisecond
	// demandSpan and demandFactor give the time constant of the demand's
	// average: demandSpan, or demandFactor usual times if that is longer.
	demandSpan   = 200 * time.Millisecond
	demandFactor = 4
	// correctSpan and correctFactor give the time in which the shares aim to
	// bring the queue to its reference length. It is longer than the way of a
	// new share to the entries and of their calls back to the gate.
	correctSpan   = 400 * time.Millisecond
	correctFactor = 8
	// trimSpan is the time constant in which the capacity follows the calls
	// under way that are shed, down to minTrim, and idle slots, up to maxTrim.
	trimSpan = time.Second
	// shedWeight is what a shed call counts for in idle ones.
	shedWeight = 2
	minTrim    = -0.05
	maxTrim    = 0.15
	// maxCorrection is the greatest part of the capacity that is taken to
	// shorten the queue. What is on its way is more than the queue shows, and
	// the queue drops it better than a cut that ends too late.
	maxCorrection = 0.3
	// referencePart is the reference length of the queue as part of its bound.
	referencePart = 0.2
	// minQueue and maxQueue bound the queue, in calls.
	minQueue = 4
	maxQueue = 256
	// calmFor is the time without need to shed, or with less than busyPart of
	// the limit in flight, after which a target that was strained is so no more.
	calmFor  = 200 * time.Millisecond
	busyPart = 0.8
	// ageFactor is the mean age of the running calls, in usual times, from
	// which the usual time counts as outdated; minAged is the least of them.
	ageFactor = 1.5
	minAged   = 4
)

// span is the longest of a time and a number of usual times.
func (g *Gate) span(least time.Duration, factor float64) time.Duration {
	return max(least, seconds(factor*g.usual))
}

// reviewShares divides the capacity between the classes of calls.
func (g *Gate) reviewShares(now time.Time) {
	if now.Sub(g.review) < reviewPeriod {
		return
	}
	dt := now.Sub(g.review)
	g.review = now
	g.usage.decay(now)
	g.adjustTrim(min(dt, trimSpan).Seconds())
	if g.usual == 0 || !g.strained {
		g.demand.admitAll()
		return
	}
	g.demand.divide(now, g.span(demandSpan, demandFactor), g.capacity(now))
	shedding := g.demand.level > squnit.ImportanceLow || g.demand.all < 1
	if shedding && float64(len(g.running)+len(g.queue.waiters)) >= busyPart*float64(g.limit.Slots()) {
		g.shed = now
	}
	g.strained = now.Sub(g.shed) <= calmFor
}

// adjustTrim moves the trim down by the part of the capacity that was shed
// under way, and up by the part that was idle, over a time in seconds.
func (g *Gate) adjustTrim(dt float64) {
	lost := g.lost
	g.lost = 0
	if g.usual == 0 || !g.strained {
		g.trim = 0
		return
	}
	limit := float64(g.limit.Slots())
	shed := float64(lost) * g.usual / limit
	idle := max(0, limit-float64(len(g.running))) / limit * dt
	g.trim = min(maxTrim, max(minTrim, g.trim+(idle-shedWeight*shed)/trimSpan.Seconds()))
}

// holdTime is the time that a call holds its slot, in seconds: the usual time,
// or what the age of the running calls shows if the target has just become
// slower, so that the calls which will tell have not ended yet.
func (g *Gate) holdTime(now time.Time) float64 {
	n := float64(len(g.running))
	if n < minAged {
		return g.usual
	}
	age := now.Sub(g.origin).Seconds() - g.ages/n
	return max(g.usual, age/ageFactor)
}

// capacity is the calls a second that the target should get, so that the
// queue reaches its reference length within a span.
func (g *Gate) capacity(now time.Time) float64 {
	limit := float64(g.limit.Slots())
	reference := referencePart * float64(g.bound())
	missing := reference + limit - float64(len(g.queue.waiters)+len(g.running))
	usual := limit / g.holdTime(now)
	correction := max(-maxCorrection, missing/g.span(correctSpan, correctFactor).Seconds()/usual)
	return max(0, (1+g.trim+correction)*usual)
}
