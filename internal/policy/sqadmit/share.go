package sqadmit

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	// updatePeriod is the time between two divisions of the capacity.
	updatePeriod = 20 * time.Millisecond
	// demandTimeConstant and demandFactor give the time constant of the average
	// of the demand: demandTimeConstant, or demandFactor times the average
	// latency if that is longer.
	demandTimeConstant = 200 * time.Millisecond
	demandFactor       = 4
	// correctionTime and correctionFactor give, in the same way, the time in
	// which the shares aim to bring the queue to its reference length. It is
	// longer than the delay until a new share has reached the entries and the
	// calls that they then admit have reached the gate.
	correctionTime   = 400 * time.Millisecond
	correctionFactor = 8
	// adjustmentTimeConstant is the time constant of the capacity adjustment.
	// Nested calls that are shed lower it, down to minAdjustment, and idle
	// slots raise it, up to maxAdjustment.
	adjustmentTimeConstant = time.Second
	// shedWeight is the weight of shed calls relative to idle slots.
	shedWeight    = 2
	minAdjustment = -0.05
	maxAdjustment = 0.15
	// maxCorrection is the largest fraction of the capacity that is withheld to
	// shorten the queue. Calls that the entries have admitted and that are
	// still on their way do not show in the queue. If they make it too long, it
	// is better to drop calls from it than to reduce the shares further, since
	// a larger reduction ends too late.
	maxCorrection = 0.3
	// referenceFraction is the reference length of the queue as a fraction of
	// its bound.
	referenceFraction = 0.2
	// minQueue and maxQueue limit the bound of the queue, in calls.
	minQueue = 4
	maxQueue = 256
	// recoveryTime is the time without a need to shed, or with less than
	// busyFraction of the limit in flight or queued, after which a target no
	// longer counts as overloaded.
	recoveryTime = 200 * time.Millisecond
	busyFraction = 0.8
	// ageFactor is the mean age of the running calls, in average latencies,
	// from which the average latency counts as outdated. minAgedCalls is the
	// least number of running calls for this.
	ageFactor    = 1.5
	minAgedCalls = 4
)

// latencyMultiple returns factor times the average latency, but no less than
// minimum.
func (g *Gate) latencyMultiple(minimum time.Duration, factor float64) time.Duration {
	return max(minimum, seconds(factor*g.averageLatency))
}

// updateShares divides the capacity between the classes of calls, at most once
// in each updatePeriod.
func (g *Gate) updateShares(now time.Time) {
	if now.Sub(g.sharesUpdated) < updatePeriod {
		return
	}
	dt := now.Sub(g.sharesUpdated)
	g.sharesUpdated = now
	g.usage.decay(now)
	g.updateAdjustment(min(dt, adjustmentTimeConstant).Seconds())
	if g.averageLatency == 0 || !g.overloaded {
		g.demand.admitAll()
		return
	}
	g.demand.divide(now, g.latencyMultiple(demandTimeConstant, demandFactor), g.capacity(now))
	shedding := g.demand.level > squnit.ImportanceLow || g.demand.overallShare < 1
	if shedding && float64(len(g.running)+len(g.queue.waiters)) >= busyFraction*float64(g.limit.Slots()) {
		g.lastShed = now
	}
	g.overloaded = now.Sub(g.lastShed) <= recoveryTime
}

// updateAdjustment lowers the capacity adjustment by the fraction of the
// capacity that was lost to shed nested calls, and raises it by the fraction
// that was idle, over dt seconds. shed and idle are in seconds per slot: the time
// for which the shed calls would have held it, and the time for which it was
// idle. Division by the time constant makes them fractions like the adjustment.
func (g *Gate) updateAdjustment(dt float64) {
	nestedShed := g.nestedShed
	g.nestedShed = 0
	if g.averageLatency == 0 || !g.overloaded {
		g.capacityAdjustment = 0
		return
	}
	limit := float64(g.limit.Slots())
	shed := float64(nestedShed) * g.averageLatency / limit
	idle := max(0, limit-float64(len(g.running))) / limit * dt
	g.capacityAdjustment = min(maxAdjustment, max(minAdjustment, g.capacityAdjustment+(idle-shedWeight*shed)/adjustmentTimeConstant.Seconds()))
}

// holdTime returns the time that a call holds its slot, in seconds: the average
// latency, or a longer time that follows from the age of the running calls. The
// age shows that a target has just become slower, before the slow calls end.
func (g *Gate) holdTime(now time.Time) float64 {
	n := float64(len(g.running))
	if n < minAgedCalls {
		return g.averageLatency
	}
	age := now.Sub(g.origin).Seconds() - g.startTimeSum/n
	return max(g.averageLatency, age/ageFactor)
}

// capacity returns the rate of calls, per second, that the target should get so
// that the queue reaches its reference length within the correction time. The
// two corrections together are no less than minAdjustment-maxCorrection, which
// is above -1, so the result is positive and max(0, ...) changes nothing.
func (g *Gate) capacity(now time.Time) float64 {
	limit := float64(g.limit.Slots())
	reference := referenceFraction * float64(g.queueBound())
	deficit := reference + limit - float64(len(g.queue.waiters)+len(g.running))
	throughput := limit / g.holdTime(now)
	correction := max(-maxCorrection, deficit/g.latencyMultiple(correctionTime, correctionFactor).Seconds()/throughput)
	return max(0, (1+g.capacityAdjustment+correction)*throughput)
}
