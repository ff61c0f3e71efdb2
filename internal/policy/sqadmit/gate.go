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
	"math"
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	// queueTime bounds the queue to the calls that the target ends in that
	// time, and to those that it runs at once.
	queueTime = 100 * time.Millisecond
	// underWayFactor is the ratio of the queue's bounds for calls under way
	// to those for new ones.
	underWayFactor = 6
	// minWait is the time that a new call of low importance may wait for a
	// slot; beyond it, it may wait for the usual time. One of the next level
	// may wait twice as long, and so on.
	minWait = 50 * time.Millisecond
	// usualGain is the least weight of one call in the usual time, usualSpan
	// the time constant of that weight if few calls end.
	usualGain = 0.025
	usualSpan = time.Second
	// usualHalf is the time without the end of a call after which the usual
	// time is halved in each such time.
	usualHalf = 250 * time.Millisecond
)

// Gate admits calls to one target. The zero value refuses nothing but has one
// slot; Announce comes first. Its methods are safe for concurrent use and do
// not block.
type Gate struct {
	// Exact says that announced slots are what the target runs at once.
	Exact bool

	mu      sync.Mutex
	limit   Limit
	usage   usage
	queue   queue
	demand  demand
	running map[sqid.CallID]running
	// ages is the sum over the running calls of the time since origin at
	// which they started, in seconds.
	ages   float64
	origin time.Time
	// usual is the usual time that a call holds its slot, in seconds.
	usual    float64
	measured time.Time
	// lost counts calls under way that were shed since the last review; trim
	// is the correction of the capacity that follows from it, as a part.
	lost     int
	trim     float64
	draining bool
	review   time.Time
	// strained is set from a full queue on, until calmFor after the time shed,
	// at which a class was last shed for good reason.
	strained bool
	shed     time.Time
}

// running is a call that holds a slot: the calls in flight when it got it, and
// the time since the gate's origin, in seconds.
type running struct {
	inFlight int
	at       float64
}

// KnowsSlots reports whether the gate knows what the target runs at once.
func (g *Gate) KnowsSlots() bool { return g.Exact }

// Announce sets the slots that the target says it has, and ends a drain.
func (g *Gate) Announce(now time.Time, slots squnit.Slots) Effect {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = false
	g.limit.Exact = g.Exact
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
	g.init(now)
	g.demand.add(now, g.span(demandSpan, demandFactor), &c)
	g.reviewShares(now)
	if !now.Add(g.need(now)).Before(c.Deadline) {
		return g.refuse(sqreason.ShedDeadline)
	}
	if len(g.queue.waiters) == 0 && len(g.running) < g.limit.Slots() {
		g.start(now, &c)
		return Decision{Verdict: Run}
	}
	g.queue.push(now, &c)
	if len(g.queue.waiters) >= g.bound() {
		g.strained, g.shed = true, now
	}
	effect := g.advance(now)
	if drop, ok := g.evict(now); ok {
		effect.Dropped = append(effect.Dropped, drop)
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
	run, ok := g.running[id]
	if !ok {
		return Effect{}
	}
	g.limit.Ended(now, run.inFlight, len(g.running), r)
	delete(g.running, id)
	g.ages -= run.at
	g.measure(now, r)
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

// Load returns the gate's state for a workspace.
func (g *Gate) Load(now time.Time, w sqid.WorkspaceID) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reviewShares(now)
	return Load{
		Level:    g.demand.level,
		Share:    squnit.Share(g.demand.share(w)),
		All:      squnit.Share(g.demand.all),
		Typical:  squnit.Share(g.demand.typical),
		InFlight: len(g.running),
		Limit:    g.limit.Slots(),
		Queued:   len(g.queue.waiters),
		Usual:    seconds(g.usual),
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
	r := running{inFlight: len(g.running) + 1, at: now.Sub(g.origin).Seconds()}
	g.running[c.ID] = r
	g.ages += r.at
	g.usage.start(c)
}

// measure takes the time of a call into the usual time. A call that ended
// early says nothing, unless it had held its slot for longer than usual.
func (g *Gate) measure(now time.Time, r Result) {
	sample := r.Latency.Seconds()
	slow := r.Outcome == Failed || r.Outcome == Cancelled
	if r.Outcome != OK && (!slow || sample <= g.usual) {
		return
	}
	weight := max(usualGain, 1-math.Exp(-float64(now.Sub(g.measured))/float64(usualSpan)))
	if g.usual == 0 {
		weight = 1
	}
	g.usual = g.need(now).Seconds()
	g.usual += weight * (sample - g.usual)
	g.measured = now
}

// advance drops what is late and fills free slots from the queue.
func (g *Gate) advance(now time.Time) Effect {
	var e Effect
	if len(g.queue.waiters) == 0 {
		return e
	}
	g.dropLate(now, &e)
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

// dropLate drops the calls that can't end before their deadline if they take
// the usual time, and new ones that have waited too long.
func (g *Gate) dropLate(now time.Time, e *Effect) {
	need, patience := g.need(now), max(minWait, seconds(g.usual))
	for i := 0; i < len(g.queue.waiters); {
		w := &g.queue.waiters[i]
		switch {
		case !now.Add(need).Before(w.Deadline):
			e.Dropped = append(e.Dropped, g.drop(i, sqreason.ShedDeadline))
		case w.Depth == 0 && now.Sub(w.at) > patience*time.Duration(1+w.Importance.Named()):
			e.Dropped = append(e.Dropped, g.drop(i, g.queue.why(i)))
		default:
			i++
		}
	}
}

// evict drops the worst call if the queue is too long. New calls alone make it
// too long from its bound, with calls under way from underWayFactor times that.
func (g *Gate) evict(now time.Time) (Drop, bool) {
	bound := g.bound()
	if len(g.queue.waiters) <= bound {
		return Drop{}, false
	}
	i := g.queue.worst(now)
	if len(g.queue.waiters) <= g.calls(underWayFactor) && g.queue.waiters[i].Depth > 0 {
		return Drop{}, false
	}
	reason := g.queue.why(i)
	return g.drop(i, reason), true
}

// drop removes the waiting call at i.
func (g *Gate) drop(i int, reason sqreason.Refusal) Drop {
	c := g.queue.remove(i)
	if c.Depth > 0 {
		g.lost++
	}
	return Drop{ID: c.ID, Reason: reason}
}

// refuse returns a refusal that advises to wait for the queue to drain.
func (g *Gate) refuse(reason sqreason.Refusal) Decision {
	wait := g.usual * float64(len(g.queue.waiters)) / float64(g.limit.Slots())
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: max(reviewPeriod, seconds(wait))}
}

// need is the time that a call is likely to take once it has a slot. It fades
// while no call ends, or a target that was slow once would be refused for good
// the calls that could show that it no longer is.
func (g *Gate) need(now time.Time) time.Duration {
	if quiet := now.Sub(g.measured) - usualHalf; quiet > 0 {
		return seconds(g.usual * math.Exp2(-float64(quiet)/float64(usualHalf)))
	}
	return seconds(g.usual)
}

// bound is the longest queue of new calls.
func (g *Gate) bound() int { return g.calls(1) }

// calls is the number of calls that the target ends in n times queueTime, but
// no more than n times as many as it runs at once.
func (g *Gate) calls(n float64) int {
	slots := float64(g.limit.Slots())
	turns := n
	if g.usual > 0 {
		turns = min(n, n*queueTime.Seconds()/g.usual)
	}
	return min(maxQueue, max(minQueue, int(slots*turns)))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
