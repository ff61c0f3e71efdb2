// Package sqadmit decides which calls a target runs, which wait, and which are
// refused. A Gate stands before one target. It holds calls in flight to a
// limit that it learns, keeps a short queue ordered by importance, fairness
// and what is under way, and tells the entries which part of each workspace's
// calls there is room for, so that they refuse the rest before any work is
// done (DAGOR, SoCC 2018; Breakwater, OSDI 2020; TopFull, SIGCOMM 2024).
//
// Every refusal and every drop is of a call that has not run.
package sqadmit

import (
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	// reviewPeriod is the time between two divisions of the capacity.
	reviewPeriod = 20 * time.Millisecond
	// correctSpan is the time in which the shares aim to bring the queue to
	// its reference length.
	correctSpan = 200 * time.Millisecond
	// queueFactor is the longest queue for each call in flight.
	queueFactor = 1.0
	// referencePart is the reference length of the queue as part of its bound.
	referencePart = 0.2
	// minQueue and maxQueue bound the queue, in calls.
	minQueue = 4
	maxQueue = 256
	// pressedPart is the part of the limit in flight from which the target
	// counts as pressed, and pressedFor how long that stands.
	pressedPart = 0.9
	pressedFor  = 300 * time.Millisecond
	// usualGain is the weight of one call in the usual time.
	usualGain = 0.05
)

// Gate admits calls to one target. The zero value refuses nothing but has one
// slot; Announce comes first. Its methods are safe for concurrent use and do
// not block.
type Gate struct {
	mu      sync.Mutex
	limit   Limit
	usage   usage
	queue   queue
	demand  demand
	running map[sqid.CallID]struct{}
	// usual is the usual time that a call holds its slot, in seconds.
	usual    float64
	draining bool
	review   time.Time
	pressed  time.Time
}

// Announce sets the slots that the target says it has, and ends a drain.
func (g *Gate) Announce(now time.Time, slots squnit.Slots) Effect {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = false
	g.limit.Announce(now, slots)
	return g.advance(now)
}

// Drain refuses every call from now on; queued calls are dropped.
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

// Offer decides on a call. Its id must not be one that runs or waits.
func (g *Gate) Offer(now time.Time, c Call) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return Decision{Verdict: Refused, Reason: sqreason.TargetDraining}
	}
	g.init()
	g.demand.add(now, &c)
	g.reviewShares(now)
	if !now.Add(g.need()).Before(c.Deadline) {
		return g.refuse(sqreason.ShedDeadline)
	}
	if len(g.queue.waiters) == 0 && len(g.running) < g.limit.Slots() {
		g.start(now, &c)
		return Decision{Verdict: Run}
	}
	g.press(now)
	g.queue.push(now, &c)
	effect := g.advance(now)
	if len(g.queue.waiters) > g.bound() {
		effect.Dropped = append(effect.Dropped, g.evict(now))
	}
	return g.decide(c.ID, effect)
}

// decide takes the offered call out of the effect.
func (g *Gate) decide(id sqid.CallID, e Effect) Decision {
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

// Done ends a call that held a slot. An id that holds none has no effect.
func (g *Gate) Done(now time.Time, id sqid.CallID, r Result) Effect {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.running[id]; !ok {
		return Effect{}
	}
	g.limit.Ended(now, len(g.running), r)
	delete(g.running, id)
	g.measure(r)
	g.reviewShares(now)
	return g.advance(now)
}

// Cancel takes a queued call out of the queue, and reports whether it was
// there: if so it has not run. A call that holds a slot keeps it until Done.
func (g *Gate) Cancel(now time.Time, id sqid.CallID) (bool, Effect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.queue.find(id)
	if i < 0 {
		return false, Effect{}
	}
	g.queue.remove(i)
	return true, g.advance(now)
}

// Tick drops queued calls whose deadline can't be met and renews the shares.
// It is due every 20 ms while calls wait.
func (g *Gate) Tick(now time.Time) Effect {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reviewShares(now)
	return g.advance(now)
}

// Load returns the gate's state for a workspace and an importance.
func (g *Gate) Load(now time.Time, w sqid.WorkspaceID, i squnit.Importance) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reviewShares(now)
	return Load{
		Level:    g.demand.level,
		InFlight: len(g.running),
		Limit:    g.limit.Slots(),
		Queued:   len(g.queue.waiters),
		Usual:    seconds(g.usual),
		Share:    squnit.Share(g.demand.share(w, i)),
	}
}

func (g *Gate) init() {
	if g.running == nil {
		g.running = make(map[sqid.CallID]struct{})
		g.queue.usage = &g.usage
	}
}

func (g *Gate) start(now time.Time, c *Call) {
	g.running[c.ID] = struct{}{}
	g.usage.start(c)
	if float64(len(g.running)) >= pressedPart*float64(g.limit.Slots()) {
		g.press(now)
	}
}

// measure takes the time of a call into the usual time. A fast failure says
// nothing; a slow one held its slot as long as any.
func (g *Gate) measure(r Result) {
	sample := r.Latency.Seconds()
	if r.Outcome == OK || r.Outcome == Failed && sample > g.usual {
		g.usual = average(g.usual, sample)
	}
}

func (g *Gate) press(now time.Time) { g.pressed = now }

// advance drops what is late and fills free slots from the queue.
func (g *Gate) advance(now time.Time) Effect {
	var e Effect
	if len(g.queue.waiters) == 0 {
		return e
	}
	e.Dropped = g.queue.late(now, g.need())
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

func (g *Gate) evict(now time.Time) Drop {
	i := g.queue.worst(now)
	reason := g.queue.why(i)
	return Drop{ID: g.queue.remove(i).ID, Reason: reason}
}

// refuse returns a refusal that advises to wait for the queue to drain.
func (g *Gate) refuse(reason sqreason.Refusal) Decision {
	wait := g.usual * float64(len(g.queue.waiters)) / float64(g.limit.Slots())
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: max(reviewPeriod, seconds(wait))}
}

// need is the time that a call is sure to take once it has a slot.
func (g *Gate) need() time.Duration {
	return seconds(g.usual)
}

func (g *Gate) bound() int {
	return min(maxQueue, max(minQueue, int(queueFactor*float64(g.limit.Slots()))))
}

// reviewShares divides the capacity between the classes of calls.
func (g *Gate) reviewShares(now time.Time) {
	if now.Sub(g.review) < reviewPeriod {
		return
	}
	g.review = now
	g.usage.decay(now)
	if g.usual == 0 || now.Sub(g.pressed) > pressedFor {
		g.demand.admitAll()
		return
	}
	g.demand.divide(now, g.capacity())
}

// capacity is the calls a second that the target should get, so that the
// queue reaches its reference length within correctSpan.
func (g *Gate) capacity() float64 {
	limit := float64(g.limit.Slots())
	reference := referencePart * float64(g.bound())
	missing := reference + limit - float64(len(g.queue.waiters)+len(g.running))
	return max(0, limit/g.usual+missing/correctSpan.Seconds())
}

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + usualGain*(sample-old)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
