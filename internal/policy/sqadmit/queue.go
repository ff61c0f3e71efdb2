package sqadmit

import (
	"cmp"
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
)

// standingAfter is the time without an empty queue after which it is standing.
const standingAfter = 100 * time.Millisecond

type waiter struct {
	Call
	seq uint64
	at  time.Time
}

// queue holds the calls that wait for a slot. It is short, so that a scan
// finds the best and the worst of them.
type queue struct {
	waiters []waiter
	seq     uint64
	// since is when the queue was last empty.
	since time.Time
	usage *usage
}

func (q *queue) push(now time.Time, c *Call) {
	if len(q.waiters) == 0 {
		q.since = now
	}
	q.seq++
	q.waiters = append(q.waiters, waiter{Call: *c, seq: q.seq, at: now})
	q.usage.row(c).queued++
}

func (q *queue) remove(i int) Call {
	c := q.waiters[i].Call
	q.usage.row(&c).queued--
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return c
}

func (q *queue) find(id sqid.CallID) int {
	return slices.IndexFunc(q.waiters, func(w waiter) bool { return w.ID == id })
}

// standing reports whether the queue has lately not been empty.
func (q *queue) standing(now time.Time) bool {
	return len(q.waiters) > 0 && now.Sub(q.since) > standingAfter
}

// best returns the index of the call to run next, -1 if there is none.
func (q *queue) best(now time.Time) int {
	standing := q.standing(now)
	best := -1
	for i := range q.waiters {
		if best < 0 || q.before(&q.waiters[i], &q.waiters[best], standing) {
			best = i
		}
	}
	return best
}

// before reports whether a runs before b: by importance, then within the fair
// part before over it, then work under way before new work, then the
// workspace with less use for its weight, then by age.
func (q *queue) before(a, b *waiter, standing bool) bool {
	ra, rb := q.usage.row(&a.Call), q.usage.row(&b.Call)
	order := cmp.Or(
		-cmp.Compare(a.Importance, b.Importance),
		compareBool(q.usage.over(ra), q.usage.over(rb)),
		-compareBool(a.Depth > 0, b.Depth > 0),
		cmp.Compare(ra.part(false), rb.part(false)),
		compareAge(a, b, standing),
	)
	return order < 0
}

// worst returns the index of the call to give up first, -1 if there is none:
// by importance, then of the workspace that wants most for its weight, then
// new work before work under way, then by age.
func (q *queue) worst(now time.Time) int {
	standing := q.standing(now)
	worst := -1
	for i := range q.waiters {
		if worst < 0 || q.gives(&q.waiters[i], &q.waiters[worst], standing) {
			worst = i
		}
	}
	return worst
}

func (q *queue) gives(a, b *waiter, standing bool) bool {
	ra, rb := q.usage.row(&a.Call), q.usage.row(&b.Call)
	order := cmp.Or(
		cmp.Compare(a.Importance, b.Importance),
		-cmp.Compare(ra.part(true), rb.part(true)),
		compareBool(a.Depth > 0, b.Depth > 0),
		-compareAge(a, b, standing),
	)
	return order < 0
}

// why returns the reason for which the call at i is the worst.
func (q *queue) why(i int) sqreason.Refusal {
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

// compareAge orders the older call first, or the newer if the queue stands:
// the older ones have used up most of their time (CoDel's answer to a standing
// queue; adaptive LIFO as at Facebook, "Fail at Scale", 2015).
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
