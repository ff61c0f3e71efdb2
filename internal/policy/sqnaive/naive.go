// Package sqnaive has the admissions that sqadmit is compared with: none at
// all, and a fixed limit in order of arrival. A daemon uses them only if its
// settings ask for it.
package sqnaive

import (
	"slices"
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
)

// fixedQueue is the number of calls that may wait for each slot.
const fixedQueue = 10

// Admission admits calls in order of arrival. Its methods are safe for
// concurrent use and do not block.
type Admission struct {
	// Unlimited admits every call at once.
	Unlimited bool

	mu       sync.Mutex
	slots    int
	running  int
	draining bool
	queue    []sqid.CallID
}

// Announce sets the limit to the announced slots.
func (a *Admission) Announce(_ time.Time, slots squnit.Slots) sqadmit.Effect {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots, a.draining = int(slots), false
	return a.advance()
}

// Drain refuses every call from now on; queued calls are dropped.
func (a *Admission) Drain(time.Time) sqadmit.Effect {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	var e sqadmit.Effect
	for _, id := range a.queue {
		e.Dropped = append(e.Dropped, sqadmit.Drop{ID: id, Reason: sqreason.TargetDraining})
	}
	a.queue = nil
	return e
}

// Offer decides on a call by the order of arrival alone.
func (a *Admission) Offer(_ time.Time, c sqadmit.Call) sqadmit.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.draining:
		return sqadmit.Decision{Verdict: sqadmit.Refused, Reason: sqreason.TargetDraining}
	case a.Unlimited || a.running < a.slots:
		a.running++
		return sqadmit.Decision{Verdict: sqadmit.Run}
	case len(a.queue) >= fixedQueue*a.slots:
		return sqadmit.Decision{Verdict: sqadmit.Refused, Reason: sqreason.ShedQueueFull}
	}
	a.queue = append(a.queue, c.ID)
	return sqadmit.Decision{Verdict: sqadmit.Queued}
}

// Done ends a call that held a slot.
func (a *Admission) Done(time.Time, sqid.CallID, sqadmit.Result) sqadmit.Effect {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	return a.advance()
}

// Cancel takes a queued call out of the queue.
func (a *Admission) Cancel(_ time.Time, id sqid.CallID) (bool, sqadmit.Effect) {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.queue, id)
	if i < 0 {
		return false, sqadmit.Effect{}
	}
	a.queue = slices.Delete(a.queue, i, i+1)
	return true, sqadmit.Effect{}
}

// Tick does nothing.
func (a *Admission) Tick(time.Time) sqadmit.Effect { return sqadmit.Effect{} }

// Load tells of no shedding.
func (a *Admission) Load(time.Time, sqid.WorkspaceID) sqadmit.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return sqadmit.Load{InFlight: a.running, Limit: a.slots, Queued: len(a.queue), Share: 1, All: 1}
}

func (a *Admission) advance() sqadmit.Effect {
	var e sqadmit.Effect
	for len(a.queue) > 0 && a.running < a.slots {
		a.running++
		e.Run = append(e.Run, a.queue[0])
		a.queue = a.queue[1:]
	}
	return e
}
