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
// refused. Daemons use sqadmit.Gate, or one of the naive policies of sqnaive if
// their settings ask for it as a comparison. Implementations must be safe for
// concurrent use: an admitter calls Load without its lock.
type Admission interface {
	// Announce sets the slots that the target announced, and ends a drain. Targets
	// never calls it for a draining target.
	Announce(now time.Time, slots squnit.Slots) sqadmit.Effect
	// Drain refuses all calls until the next Announce and drops the queued ones.
	Drain(now time.Time) sqadmit.Effect
	// Offer decides on a call: it runs, waits or is refused.
	Offer(now time.Time, c sqadmit.Call) sqadmit.Decision
	// Done ends a call that held a slot.
	Done(now time.Time, id sqid.CallID, r sqadmit.Result) sqadmit.Effect
	// Cancel removes a queued call, and reports whether it was in the queue.
	Cancel(now time.Time, id sqid.CallID) (bool, sqadmit.Effect)
	// Tick drops queued calls whose deadline can't be met. sqadmit.Gate needs it
	// every 20 ms while calls wait.
	Tick(now time.Time) sqadmit.Effect
	// Load returns the load report for a workspace.
	Load(now time.Time, w sqid.WorkspaceID) sqadmit.Load
}

// admitter holds the calls to one target until its admission policy lets them
// run or refuses them.
type admitter struct {
	admission Admission

	// mu guards the fields below, and is held while a decision of admission is
	// applied to them.
	mu sync.Mutex
	// waiting has a channel for each queued call, on which it receives
	// NoReason when it may run, or why it was refused.
	waiting map[sqid.CallID]chan sqreason.Refusal
	// numRunning is the number of calls that hold a slot. Admission has this
	// number too, but only in the load report for a workspace.
	numRunning int
}

func newAdmitter(a Admission) *admitter {
	return &admitter{admission: a, waiting: make(map[sqid.CallID]chan sqreason.Refusal)}
}

func (a *admitter) setSlots(now time.Time, slots squnit.Slots) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.admission.Announce(now, slots))
}

// drain refuses all waiting and later calls.
func (a *admitter) drain(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.admission.Drain(now))
}

// pending returns the number of running and waiting calls.
func (a *admitter) pending() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.numRunning + len(a.waiting)
}

func (a *admitter) callCounts() (running, queued int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.numRunning, len(a.waiting)
}

func (a *admitter) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.admission.Tick(now))
}

// apply wakes the waiting calls that the policy has admitted or dropped.
func (a *admitter) apply(e sqadmit.Effect) {
	for _, id := range e.Run {
		a.resolve(id, sqreason.NoReason)
	}
	for _, drop := range e.Dropped {
		a.resolve(drop.ID, drop.Reason)
	}
}

// resolve ends the wait of a queued call; NoReason admits it. The send does not
// block, as each channel has room for the one value that it gets. A call that is not
// waiting is ignored; no Effect lists one if the policy lists each queued call once.
func (a *admitter) resolve(id sqid.CallID, reason sqreason.Refusal) {
	c, ok := a.waiting[id]
	if !ok {
		return
	}
	delete(a.waiting, id)
	if reason == sqreason.NoReason {
		a.numRunning++
	}
	c <- reason
}

// offer requests a slot. The channel is nil unless the call has to wait.
func (a *admitter) offer(now time.Time, c sqadmit.Call) (sqadmit.Decision, <-chan sqreason.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	decision := a.admission.Offer(now, c)
	a.apply(decision.Effect)
	switch decision.Verdict {
	case sqadmit.Run:
		a.numRunning++
	case sqadmit.Queued:
		wait := make(chan sqreason.Refusal, 1)
		a.waiting[c.ID] = wait
		return decision, wait
	}
	return decision, nil
}

// admit waits until the call may be sent to the target. If it returns an error,
// the call has certainly not run. The reservation then holds no slot, but still
// gives the target's load report for the refusal. Only a call that is refused at once
// gets a retry-after: sqadmit.Drop has none.
func (a *admitter) admit(ctx context.Context, c sqadmit.Call) (*reservation, *sqerror.Error) {
	start := time.Now()
	res := &reservation{admitter: a, call: c}
	decision, wait := a.offer(start, c)
	switch decision.Verdict {
	case sqadmit.Run:
		return res, nil
	case sqadmit.Refused:
		e := gateRefusal(decision.Reason, nil)
		e.RetryAfter = decision.RetryAfter
		return res, e
	}
	select {
	case reason := <-wait:
		res.waited = time.Since(start)
		if reason == sqreason.NoReason {
			return res, nil
		}
		return res, gateRefusal(reason, nil)
	case <-ctx.Done():
		return res, res.cancel(ctx, wait)
	}
}

// cancel removes a call whose context has ended from the queue. If it was
// admitted at the same time, its slot is released. The returned reason is that of
// the context, even if the policy has dropped the call at the same time.
func (res *reservation) cancel(ctx context.Context, wait <-chan sqreason.Refusal) *sqerror.Error {
	reason := sqreason.CallerGone
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = sqreason.DeadlineExceeded
	}
	a := res.admitter
	a.mu.Lock()
	delete(a.waiting, res.call.ID)
	queued, effect := a.admission.Cancel(time.Now(), res.call.ID)
	a.apply(effect)
	a.mu.Unlock()
	if queued {
		return gateRefusal(reason, nil)
	}
	// The call left the queue by an earlier effect. It was applied under a.mu, so
	// the channel already has a value.
	if <-wait == sqreason.NoReason {
		// The call was not sent. sqadmit.Gate changes neither its limit nor its
		// average latency for a failed call with no latency.
		res.release(sqadmit.Result{Outcome: sqadmit.Failed})
	}
	return gateRefusal(reason, nil)
}

// reservation is an offered call. It holds a slot of its target from the success
// of admit until release, which is called once.
type reservation struct {
	admitter *admitter
	call     sqadmit.Call
	// address is the target's.
	address string
	// waited is the time that the call spent in the queue.
	waited time.Duration
}

// release returns the slot and reports the call's result to the policy.
func (res *reservation) release(r sqadmit.Result) {
	a := res.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	a.numRunning--
	a.apply(a.admission.Done(time.Now(), res.call.ID, r))
}

// loadReport returns the target's load report for the call's answer, nil if there
// is no target. On the wire, Shed and ShedAll are the fractions of calls that can't
// be admitted, and Typical is the median workspace's share that can, 0 if it is
// not known; UsualUs is the average latency. sqadmit.Load defines the values.
func (res *reservation) loadReport() *sqcallwire.Load {
	if res == nil {
		return nil
	}
	l := res.admitter.admission.Load(time.Now(), res.call.Workspace)
	return &sqcallwire.Load{
		Level: uint32(l.Level), InFlight: uint32(l.InFlight), Limit: uint32(l.Limit), Queued: uint32(l.Queued),
		UsualUs: l.AverageLatency.Microseconds(), Shed: float64(1 - l.Share), ShedAll: float64(1 - l.OverallShare), Typical: float64(l.MedianShare),
	}
}
