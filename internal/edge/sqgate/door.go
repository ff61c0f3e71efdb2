package sqgate

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// Admission decides which calls a target runs, which wait and which are
// refused; sqadmit.Gate is the one in use, others are for comparison.
type Admission interface {
	Announce(now time.Time, slots squnit.Slots) sqadmit.Effect
	Drain(now time.Time) sqadmit.Effect
	Offer(now time.Time, c sqadmit.Call) sqadmit.Decision
	Done(now time.Time, id sqid.CallID, r sqadmit.Result) sqadmit.Effect
	Cancel(now time.Time, id sqid.CallID) (bool, sqadmit.Effect)
	Tick(now time.Time) sqadmit.Effect
	Load(now time.Time, w sqid.WorkspaceID) sqadmit.Load
}

// door lets calls through to one target as its admission decides.
type door struct {
	admission Admission

	mu      sync.Mutex
	waiting map[sqid.CallID]chan sqreason.Refusal
	inside  int
}

func newDoor(a Admission) *door {
	return &door{admission: a, waiting: make(map[sqid.CallID]chan sqreason.Refusal)}
}

func (d *door) resize(now time.Time, slots squnit.Slots) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.admission.Announce(now, slots))
}

// close refuses all that waits and comes.
func (d *door) close(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.admission.Drain(now))
}

// busy returns the number of calls that run or wait.
func (d *door) busy() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inside + len(d.waiting)
}

func (d *door) load() (running, queued int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inside, len(d.waiting)
}

func (d *door) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.admission.Tick(now))
}

// apply tells the calls that waited what has become of them.
func (d *door) apply(e sqadmit.Effect) {
	for _, id := range e.Run {
		d.resolve(id, sqreason.NoReason)
	}
	for _, drop := range e.Dropped {
		d.resolve(drop.ID, drop.Reason)
	}
}

func (d *door) resolve(id sqid.CallID, reason sqreason.Refusal) {
	c, ok := d.waiting[id]
	if !ok {
		return
	}
	delete(d.waiting, id)
	if reason == sqreason.NoReason {
		d.inside++
	}
	c <- reason
}

// offer asks for a slot. The channel is nil unless the call has to wait.
func (d *door) offer(now time.Time, c sqadmit.Call) (sqadmit.Decision, <-chan sqreason.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	decision := d.admission.Offer(now, c)
	d.apply(decision.Effect)
	switch decision.Verdict {
	case sqadmit.Run:
		d.inside++
	case sqadmit.Queued:
		wait := make(chan sqreason.Refusal, 1)
		d.waiting[c.ID] = wait
		return decision, wait
	}
	return decision, nil
}

// enter waits until the call may go to the target. The error says why it may
// not, and is true: the call has not run.
func (d *door) enter(ctx context.Context, c sqadmit.Call) (*ticket, *sqerror.Error) {
	start := time.Now()
	t := &ticket{door: d, call: c}
	decision, wait := d.offer(start, c)
	switch decision.Verdict {
	case sqadmit.Run:
		return t, nil
	case sqadmit.Refused:
		e := refuse(decision.Reason, nil)
		e.RetryAfter = decision.RetryAfter
		return t, e
	}
	select {
	case reason := <-wait:
		t.waited = time.Since(start)
		if reason == sqreason.NoReason {
			return t, nil
		}
		return t, refuse(reason, nil)
	case <-ctx.Done():
		return t, t.abandon(ctx, wait)
	}
}

// abandon takes a call whose caller has gone out of the queue. If it got its
// slot at the same time, the slot goes back.
func (t *ticket) abandon(ctx context.Context, wait <-chan sqreason.Refusal) *sqerror.Error {
	reason := sqreason.CallerGone
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = sqreason.DeadlineExceeded
	}
	d := t.door
	d.mu.Lock()
	delete(d.waiting, t.call.ID)
	queued, effect := d.admission.Cancel(time.Now(), t.call.ID)
	d.apply(effect)
	d.mu.Unlock()
	if queued {
		return refuse(reason, nil)
	}
	if <-wait == sqreason.NoReason {
		t.leave(sqadmit.Result{Outcome: sqadmit.Failed})
	}
	return refuse(reason, nil)
}

// ticket is a call's place at a door.
type ticket struct {
	door    *door
	call    sqadmit.Call
	address string
	waited  time.Duration
}

// leave gives the slot back.
func (t *ticket) leave(r sqadmit.Result) {
	d := t.door
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inside--
	d.apply(d.admission.Done(time.Now(), t.call.ID, r))
}

// load returns what the answer says of the target's state.
func (t *ticket) load() *sqcallwire.Load {
	if t == nil {
		return nil
	}
	l := t.door.admission.Load(time.Now(), t.call.Workspace)
	return &sqcallwire.Load{
		Level: uint32(l.Level), InFlight: uint32(l.InFlight), Limit: uint32(l.Limit), Queued: uint32(l.Queued),
		UsualUs: l.AverageLatency.Microseconds(), Shed: float64(1 - l.Share), ShedAll: float64(1 - l.OverallShare), Typical: float64(l.MedianShare),
	}
}
