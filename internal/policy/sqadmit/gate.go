// Package sqadmit decides which calls a target runs, which wait and which are
// refused. There is one Gate for each target. It holds the calls in flight to
// an adaptive limit, and keeps a short queue that is ordered by importance, by
// fairness between workspaces and by whether a request already has work done
// for it. In load reports it gives the entries, which accept callers' requests,
// the share of each workspace's calls that it can admit, so that they refuse
// the rest before any work is done (DAGOR, SoCC 2018; Breakwater, OSDI 2020;
// TopFull, SIGCOMM 2024).
//
// Only calls that have not run are refused or dropped.
package sqadmit

import (
	"math"
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	// queueTime bounds the queue to the calls that the target ends in that
	// time, and to as many as it runs at once.
	queueTime = 100 * time.Millisecond
	// nestedQueueFactor is the ratio of the queue length beyond which nested
	// calls are dropped to that beyond which new calls are, before both are
	// limited to minQueue and maxQueue.
	nestedQueueFactor = 6
	// minQueueTimeout is the time that a new call of low importance may wait
	// for a slot, or the average latency if that is longer. A call of the next
	// named level may wait twice as long, and so on.
	minQueueTimeout = 50 * time.Millisecond
	// minLatencyWeight is the least weight of one call in the average latency.
	// If few calls end, the weight is larger, with the time constant
	// latencyTimeConstant.
	minLatencyWeight    = 0.025
	latencyTimeConstant = time.Second
	// latencyHalfLife is the time without the end of a call after which the
	// expected latency begins to decay, and its half-life from then on.
	latencyHalfLife = 250 * time.Millisecond
)

// Gate admits calls to one target. The zero value has a single slot until
// Announce sets the target's slots. Its methods are safe for concurrent use and
// do not block.
type Gate struct {
	// ExactSlots says that the announced slots are what the target runs at once, so
	// that the limit does not adapt.
	ExactSlots bool

	mu      sync.Mutex
	limit   Limit
	usage   usage
	queue   queue
	demand  demand
	running map[sqid.CallID]running
	// startTimeSum is the sum of the start times of the running calls, in
	// seconds since origin.
	startTimeSum float64
	origin       time.Time
	// averageLatency is the moving average of the time that a call holds its
	// slot, in seconds.
	averageLatency float64
	latencyUpdated time.Time
	// nestedShed counts the nested calls that were dropped since the shares
	// were last updated. capacityAdjustment is the correction of the capacity
	// that follows from it and from idle slots, as a fraction of the capacity.
	nestedShed         int
	capacityAdjustment float64
	draining           bool
	sharesUpdated      time.Time
	// overloaded is set when the queue is full. It is reset recoveryTime after
	// lastShed, the last time at which the queue was full or the busy target
	// had to shed part of a class.
	overloaded bool
	lastShed   time.Time
}

// running is a call that holds a slot: the calls in flight when it started,
// itself included, and its start time in seconds since the gate's origin.
type running struct {
	inFlight int
	started  float64
}

// KnowsSlots reports whether the gate knows how many calls the target runs at
// once.
func (g *Gate) KnowsSlots() bool { return g.ExactSlots }

// Announce sets the slots that the target says it has, and ends a drain.
func (g *Gate) Announce(now time.Time, slots squnit.Slots) Effect {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = false
	g.limit.ExactSlots = g.ExactSlots
	g.limit.Announce(now, slots)
	return g.dispatch(now)
}

// Drain refuses all calls until the next Announce and drops the queued ones. It
// does not use the time.
func (g *Gate) Drain(time.Time) Effect {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	var e Effect
	for len(g.queue.waiters) > 0 {
		c := g.queue.remove(0)
		e.Dropped = append(e.Dropped, Drop{ID: c.ID, Reason: sqreason.TargetDraining})
	}
	return e
}

// Offer decides on a call. Its ID must not be that of a running or queued call.
func (g *Gate) Offer(now time.Time, c Call) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return Decision{Verdict: Refused, Reason: sqreason.TargetDraining}
	}
	g.init(now)
	g.demand.add(now, g.latencyMultiple(demandTimeConstant, demandFactor), &c)
	g.updateShares(now)
	if !now.Add(g.expectedLatency(now)).Before(c.Deadline) {
		return g.refuse(sqreason.ShedDeadline)
	}
	if len(g.queue.waiters) == 0 && len(g.running) < g.limit.Slots() {
		g.start(now, &c)
		return Decision{Verdict: Run}
	}
	g.queue.push(now, &c)
	if len(g.queue.waiters) >= g.queueBound() {
		g.overloaded, g.lastShed = true, now
	}
	effect := g.dispatch(now)
	if drop, ok := g.evict(now); ok {
		effect.Dropped = append(effect.Dropped, drop)
	}
	return g.decisionFor(c.ID, effect)
}

// decisionFor takes the offered call out of the effect and returns the decision
// on it.
func (g *Gate) decisionFor(id sqid.CallID, e Effect) Decision {
	for i, run := range e.Run {
		if run == id {
			e.Run = append(e.Run[:i], e.Run[i+1:]...)
			return Decision{Verdict: Run, Effect: e}
		}
	}
	for i, drop := range e.Dropped {
		if drop.ID == id {
			e.Dropped = append(e.Dropped[:i], e.Dropped[i+1:]...)
			d := g.refuse(drop.Reason)
			d.Effect = e
			return d
		}
	}
	return Decision{Verdict: Queued, Effect: e}
}

// Done ends a call that held a slot. It has no effect for an ID without a slot.
func (g *Gate) Done(now time.Time, id sqid.CallID, r Result) Effect {
	g.mu.Lock()
	defer g.mu.Unlock()
	run, ok := g.running[id]
	if !ok {
		return Effect{}
	}
	g.limit.Ended(now, run.inFlight, len(g.running), r)
	delete(g.running, id)
	g.startTimeSum -= run.started
	g.measure(now, r)
	g.updateShares(now)
	return g.dispatch(now)
}

// Cancel removes a queued call and reports whether it was in the queue, in
// which case it has not run. A call that holds a slot keeps it until Done.
func (g *Gate) Cancel(now time.Time, id sqid.CallID) (bool, Effect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.queue.find(id)
	if i < 0 {
		return false, Effect{}
	}
	g.queue.remove(i)
	// The removal frees no slot, but other queued calls may have expired.
	return true, g.dispatch(now)
}

// Tick drops queued calls whose deadline can't be met and updates the shares.
// It must be called every 20 ms while calls wait.
func (g *Gate) Tick(now time.Time) Effect {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateShares(now)
	return g.dispatch(now)
}

// Load returns the load report for a workspace.
func (g *Gate) Load(now time.Time, w sqid.WorkspaceID) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateShares(now)
	return Load{
		Level:          g.demand.level,
		Share:          squnit.Share(g.demand.share(w)),
		OverallShare:   squnit.Share(g.demand.overallShare),
		MedianShare:    squnit.Share(g.demand.medianShare),
		InFlight:       len(g.running),
		Limit:          g.limit.Slots(),
		Queued:         len(g.queue.waiters),
		AverageLatency: seconds(g.averageLatency),
	}
}

func (g *Gate) init(now time.Time) {
	if g.running == nil {
		g.running = make(map[sqid.CallID]running)
		g.origin = now
		g.queue.usage = &g.usage
	}
}

func (g *Gate) start(now time.Time, c *Call) {
	r := running{inFlight: len(g.running) + 1, started: now.Sub(g.origin).Seconds()}
	g.running[c.ID] = r
	g.startTimeSum += r.started
	g.usage.start(c)
}

// measure adds the latency of a call to the average. The latency of a call that
// did not end with an answer is only a lower bound, so it counts only if it is
// above the average.
func (g *Gate) measure(now time.Time, r Result) {
	sample := r.Latency.Seconds()
	unanswered := r.Outcome == Failed || r.Outcome == Cancelled
	if r.Outcome != OK && (!unanswered || sample <= g.averageLatency) {
		return
	}
	weight := max(minLatencyWeight, 1-math.Exp(-float64(now.Sub(g.latencyUpdated))/float64(latencyTimeConstant)))
	if g.averageLatency == 0 {
		weight = 1
	}
	g.averageLatency = g.expectedLatency(now).Seconds()
	g.averageLatency += weight * (sample - g.averageLatency)
	g.latencyUpdated = now
}

// dispatch drops expired calls and fills free slots from the queue.
func (g *Gate) dispatch(now time.Time) Effect {
	var e Effect
	if len(g.queue.waiters) == 0 {
		return e
	}
	g.dropExpired(now, &e)
	for len(g.running) < g.limit.Slots() {
		i := g.queue.best(now)
		if i < 0 {
			break
		}
		c := g.queue.remove(i)
		g.start(now, &c)
		e.Run = append(e.Run, c.ID)
	}
	return e
}

// dropExpired drops the calls that can't end before their deadline if they take
// the expected latency, and new calls that have waited too long.
func (g *Gate) dropExpired(now time.Time, e *Effect) {
	expectedLatency, timeout := g.expectedLatency(now), max(minQueueTimeout, seconds(g.averageLatency))
	for i := 0; i < len(g.queue.waiters); {
		w := &g.queue.waiters[i]
		switch {
		case !now.Add(expectedLatency).Before(w.Deadline):
			e.Dropped = append(e.Dropped, g.drop(i, sqreason.ShedDeadline))
		case w.Depth == 0 && now.Sub(w.enqueued) > timeout*time.Duration(1+w.Importance.NamedIndex()):
			e.Dropped = append(e.Dropped, g.drop(i, g.queue.dropReason(i)))
		default:
			i++
		}
	}
}

// evict drops the worst call if the queue is too long. The length counts new
// and nested calls. Beyond queueBound the worst call is dropped if it is new, a
// nested one only beyond the bound for nestedQueueFactor. While the worst call
// is nested and may stay, no new call is dropped either.
func (g *Gate) evict(now time.Time) (Drop, bool) {
	queueBound := g.queueBound()
	if len(g.queue.waiters) <= queueBound {
		return Drop{}, false
	}
	i := g.queue.worst(now)
	if len(g.queue.waiters) <= g.scaledQueueBound(nestedQueueFactor) && g.queue.waiters[i].Depth > 0 {
		return Drop{}, false
	}
	reason := g.queue.dropReason(i)
	return g.drop(i, reason), true
}

// drop removes the queued call at index i.
func (g *Gate) drop(i int, reason sqreason.Refusal) Drop {
	c := g.queue.remove(i)
	if c.Depth > 0 {
		g.nestedShed++
	}
	return Drop{ID: c.ID, Reason: reason}
}

// refuse returns a refusal whose retry-after is the time in which the queue
// drains.
func (g *Gate) refuse(reason sqreason.Refusal) Decision {
	wait := g.averageLatency * float64(len(g.queue.waiters)) / float64(g.limit.Slots())
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: max(updatePeriod, seconds(wait))}
}

// expectedLatency returns the time that a call is likely to take once it has a
// slot. It decays while no call ends. Otherwise a target that was slow once
// would never get the calls that could show that it has recovered.
func (g *Gate) expectedLatency(now time.Time) time.Duration {
	if idle := now.Sub(g.latencyUpdated) - latencyHalfLife; idle > 0 {
		return seconds(g.averageLatency * math.Exp2(-float64(idle)/float64(latencyHalfLife)))
	}
	return seconds(g.averageLatency)
}

// queueBound returns the queue length, new and nested calls together, beyond
// which evict drops new calls.
func (g *Gate) queueBound() int { return g.scaledQueueBound(1) }

// scaledQueueBound returns the number of calls that the target ends in n times
// queueTime, but at most n times as many as it runs at once. The result is
// between minQueue and maxQueue.
func (g *Gate) scaledQueueBound(n float64) int {
	slots := float64(g.limit.Slots())
	rounds := n
	if g.averageLatency > 0 {
		rounds = min(n, n*queueTime.Seconds()/g.averageLatency)
	}
	return min(maxQueue, max(minQueue, int(slots*rounds)))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
