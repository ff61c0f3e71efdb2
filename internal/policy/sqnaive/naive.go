// Package sqnaive implements two naive admission policies as a comparison for
// sqadmit: no limit at all, and a fixed concurrency limit with a FIFO queue. A daemon
// uses them only if its settings ask for it.
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

// queuedPerSlot is the maximum number of queued calls for each slot.
const queuedPerSlot = 10

// Admission admits calls in order of arrival, regardless of importance, workspace or
// deadline. Its methods are safe for concurrent use and do not block.
type Admission struct {
	// Unlimited admits every call at once.
	Unlimited bool

	mu       sync.Mutex
	slots    int
	running  int
	draining bool
	queue    []sqid.CallID
}

// Announce sets the concurrency limit to the announced number of slots, ends a drain
// and starts queued calls that fit.
func (a *Admission) Announce(_ time.Time, slots squnit.Slots) sqadmit.Effect {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots, a.draining = int(slots), false
	return a.startQueued()
}

// Drain refuses all further calls and drops the queued ones.
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

// Offer runs, queues or refuses a call.
func (a *Admission) Offer(_ time.Time, c sqadmit.Call) sqadmit.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.draining:
		return sqadmit.Decision{Verdict: sqadmit.Refused, Reason: sqreason.TargetDraining}
	case a.Unlimited || a.running < a.slots:
		a.running++
		return sqadmit.Decision{Verdict: sqadmit.Run}
	case len(a.queue) >= queuedPerSlot*a.slots:
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
	return a.startQueued()
}

// Cancel removes a call from the queue and reports whether it was queued.
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

// Load returns a load report that shows no shedding.
func (a *Admission) Load(time.Time, sqid.WorkspaceID) sqadmit.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return sqadmit.Load{InFlight: a.running, Limit: a.slots, Queued: len(a.queue), Share: 1, OverallShare: 1}
}

func (a *Admission) startQueued() sqadmit.Effect {
	var e sqadmit.Effect
	for len(a.queue) > 0 && a.running < a.slots {
		a.running++
		e.Run = append(e.Run, a.queue[0])
		a.queue = a.queue[1:]
	}
	return e
}
