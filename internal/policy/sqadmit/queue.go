package sqadmit

import (
	"cmp"
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
)

// standingAfter is the time without an empty queue after which it counts as a
// standing queue.
const standingAfter = 100 * time.Millisecond

// waiter is a queued call. seq numbers the calls in order of arrival.
type waiter struct {
	Call
	seq      uint64
	enqueued time.Time
}

// queue holds the calls that wait for a slot. It is so short that the best and
// the worst call are found by a linear scan.
type queue struct {
	waiters []waiter
	seq     uint64
	// lastEmpty is when the queue was last empty.
	lastEmpty time.Time
	usage     *usage
}

func (q *queue) push(now time.Time, c *Call) {
	if len(q.waiters) == 0 {
		q.lastEmpty = now
	}
	q.seq++
	q.waiters = append(q.waiters, waiter{Call: *c, seq: q.seq, enqueued: now})
	q.usage.ofCall(c).queued++
}

func (q *queue) remove(i int) Call {
	c := q.waiters[i].Call
	q.usage.ofCall(&c).queued--
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return c
}

func (q *queue) find(id sqid.CallID) int {
	return slices.IndexFunc(q.waiters, func(w waiter) bool { return w.ID == id })
}

// standing reports whether the queue has not been empty for a while.
func (q *queue) standing(now time.Time) bool {
	return len(q.waiters) > 0 && now.Sub(q.lastEmpty) > standingAfter
}

// best returns the index of the call to run next, -1 if there is none.
func (q *queue) best(now time.Time) int {
	standing := q.standing(now)
	best := -1
	for i := range q.waiters {
		if best < 0 || q.runsBefore(&q.waiters[i], &q.waiters[best], standing) {
			best = i
		}
	}
	return best
}

// runsBefore reports whether a runs before b: the higher importance first, then
// workspaces within their fair share, then nested calls, whose requests have
// already used resources, then the workspace with the lower use per weight,
// then by age.
func (q *queue) runsBefore(a, b *waiter, standing bool) bool {
	useA, useB := q.usage.ofCall(&a.Call), q.usage.ofCall(&b.Call)
	order := cmp.Or(
		-cmp.Compare(a.Importance, b.Importance),
		compareBool(q.usage.overFairShare(useA), q.usage.overFairShare(useB)),
		-compareBool(a.Depth > 0, b.Depth > 0),
		cmp.Compare(useA.perWeight(false), useB.perWeight(false)),
		compareAge(a, b, standing),
	)
	return order < 0
}

// worst returns the index of the call to drop first, -1 if there is none: the
// lowest importance first, then the workspace with the highest use per weight,
// queued calls included, then new calls before nested calls, then by age.
func (q *queue) worst(now time.Time) int {
	standing := q.standing(now)
	worst := -1
	for i := range q.waiters {
		if worst < 0 || q.droppedBefore(&q.waiters[i], &q.waiters[worst], standing) {
			worst = i
		}
	}
	return worst
}

func (q *queue) droppedBefore(a, b *waiter, standing bool) bool {
	useA, useB := q.usage.ofCall(&a.Call), q.usage.ofCall(&b.Call)
	order := cmp.Or(
		cmp.Compare(a.Importance, b.Importance),
		-cmp.Compare(useA.perWeight(true), useB.perWeight(true)),
		compareBool(a.Depth > 0, b.Depth > 0),
		-compareAge(a, b, standing),
	)
	return order < 0
}

// dropReason returns the reason to give if the call at i is dropped:
// ShedImportance if a call of higher importance is queued, else ShedFairness if
// a call of another workspace is, else ShedQueueFull.
//
// If the call at i is the worst and no queued call has a higher importance, all
// have the same one, and droppedBefore compares the use per weight next: that of
// another workspace is no higher. For a call that has waited too long the reason
// follows from the other queued calls in the same way, whatever their use, and
// ShedQueueFull does not mean that the queue is full.
func (q *queue) dropReason(i int) sqreason.Refusal {
	reason := sqreason.ShedQueueFull
	for j := range q.waiters {
		switch {
		case q.waiters[j].Importance > q.waiters[i].Importance:
			return sqreason.ShedImportance
		case q.waiters[j].Workspace != q.waiters[i].Workspace:
			reason = sqreason.ShedFairness
		}
	}
	return reason
}

// compareAge orders the older call first, or the newer one if the queue is
// standing: the older ones have used up most of their time (CoDel's answer to a
// standing queue; adaptive LIFO as at Facebook, "Fail at Scale", 2015).
func compareAge(a, b *waiter, standing bool) int {
	if standing {
		return -cmp.Compare(a.seq, b.seq)
	}
	return cmp.Compare(a.seq, b.seq)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
