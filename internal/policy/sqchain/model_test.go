// Package sqchain tests the overload control policies together, by discrete-event
// simulation. TestExperiments drives them and naive baselines through the same faults
// on a chain of four services; TestScenarios simulates a mix of requests that compete
// for one scarce service. It has tests only.
package sqchain

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqretry"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqroute"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqshed"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
)

const (
	chainDepth = 4
	instances  = 4
	// meanWorkTime is the mean of a target's own work for a call.
	meanWorkTime = 20 * time.Millisecond
	// hopLatency is the one-way latency between daemons, clientLatency that
	// between a client and its entry.
	hopLatency    = 500 * time.Microsecond
	clientLatency = 3 * time.Millisecond
	clientTimeout = time.Second
	tickPeriod    = 20 * time.Millisecond
	// initialCredit is the number of further attempts of a request and its nested
	// calls.
	initialCredit = 3
	naiveRetries  = 2
)

// instanceSlots are the slots that an instance of each service has. The deepest service
// is the bottleneck: it serves 2,000 calls/s.
var instanceSlots = [chainDepth]int{75, 55, 35, 10}

// simStart is the wall-clock time at which a simulation starts.
var simStart = time.Unix(1_000_000, 0)

// event is an action that is due at a simulated time. Events that are due at the same
// time happen in the order of seq.
type event struct {
	due    time.Duration
	seq    int
	action func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].due < e[j].due || e[i].due == e[j].due && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// gate is the admission control of a target: sqadmit.Gate or a naive one.
type gate interface {
	Announce(now time.Time, slots squnit.Slots) sqadmit.Effect
	Offer(now time.Time, c sqadmit.Call) sqadmit.Decision
	Done(now time.Time, id sqid.CallID, r sqadmit.Result) sqadmit.Effect
	Cancel(now time.Time, id sqid.CallID) (bool, sqadmit.Effect)
	Tick(now time.Time) sqadmit.Effect
	Load(now time.Time, w sqid.WorkspaceID) sqadmit.Load
}

// daemon is one host: its target, the target's gate, and the state of its entry.
type daemon struct {
	row     sqtarget.Row
	gate    gate
	router  sqroute.Router
	shed    sqshed.Table
	budgets [chainDepth]sqretry.Budget
	calls   map[sqid.CallID]*call
	// targetSlots is the number of slots that the target has, whatever it announces.
	// busySlots of them are in use, and waiting are calls that the gate admitted
	// beyond them.
	targetSlots, busySlots int
	waiting                []*call
	// slowdown is the factor on the target's work times.
	slowdown func(at time.Duration) float64
	// listed is set while the target is in the entries' tables.
	listed bool
	down   bool
	// reportsIdle is set if the target's load endpoint always reports no load.
	// reportedCalls is what it reported at the last tick.
	reportsIdle   bool
	reportedCalls int
}

// clock is the simulated time, as the time elapsed since simStart, and the queue of
// scheduled events.
type clock struct {
	elapsed time.Duration
	seq     int
	queue   eventQueue
}

func (k *clock) now() time.Time { return simStart.Add(k.elapsed) }

func (k *clock) after(d time.Duration, action func()) {
	k.seq++
	heap.Push(&k.queue, event{k.elapsed + d, k.seq, action})
}

func (k *clock) runUntil(end time.Duration) {
	for len(k.queue) > 0 {
		e := heap.Pop(&k.queue).(event)
		if e.due > end {
			return
		}
		k.elapsed = e.due
		e.action()
	}
}

// sim simulates the chain of services under one experiment and one policy.
type sim struct {
	clock
	cfg     config
	rng     *rand.Rand
	daemons []*daemon
	rows    [chainDepth][]sqtarget.Row
	calls   int
	result  *result
}

// request is one send of a client's request: the first, or a resend after a failure.
type request struct {
	firstSent     time.Duration
	deadline      time.Duration
	client        *client
	class         sqshed.Class
	importance    squnit.Importance
	resends       int
	share         squnit.Share
	entry         *daemon
	deepestCall   *call
	extraAttempts int
	ended         bool
	admitted      bool
	// cancelled is set once the request's calls have been cancelled.
	cancelled bool
}

// call is one call of a service within a request, including its retries.
type call struct {
	req    *request
	parent *call
	depth  int
	// parentTry is the parent's attempt that made the call. The call's end is
	// ignored if the parent has moved on to another attempt.
	parentTry int
	entry     *daemon
	credit    sqretry.Credit
	// grant is the credit that the parent gave to the call.
	grant squnit.Credit
	// tries counts the attempts, sheds those of them that were refused for overload.
	tries   int
	sheds   int
	exclude []sqtarget.ID
	// The fields below are about the current attempt.
	id        sqid.CallID
	host      *daemon
	startedAt time.Duration
	workStart time.Duration
	sentAt    time.Duration
	// nestedTime is the time spent in the nested call. While that is under way, it
	// is minus the time at which it started.
	nestedTime time.Duration
	workTime   time.Duration
	// usefulWork is the work of this attempt and of its nested call, once that has
	// succeeded. It stays 0 until the attempt's own work is done.
	usefulWork time.Duration
	state      callState
	deeperLoad sqshed.DeeperReports
	// holdsSlot is set while the call holds a slot of the target, rather than
	// waiting for one.
	holdsSlot bool
	// failedBelow is set if a nested call has failed after all its retries.
	failedBelow bool
}

type callState int

const (
	stateInTransit callState = iota
	stateQueued
	stateRunning
	stateEnded
)

// startAttempt makes the next attempt of a call: it picks a target and sends the call.
func (s *sim) startAttempt(c *call) {
	c.state, c.deeperLoad, c.workTime, c.usefulWork, c.nestedTime = stateInTransit, sqshed.DeeperReports{}, 0, 0, 0
	c.failedBelow = false
	c.tries++
	if c.tries > 1 {
		c.req.extraAttempts++
	}
	s.calls++
	c.id = sqid.CallID(fmt.Sprint(s.calls))
	choice := s.cfg.pick(s, c)
	if choice == nil {
		s.attemptEnded(c, sqreason.TargetNone, squnit.RunNot)
		return
	}
	c.host, c.sentAt = choice, s.elapsed
	c.entry.router.Started(choice.row.ID)
	try := c.tries
	s.after(hopLatency, func() {
		if c.state == stateInTransit && c.tries == try {
			s.offerToGate(c)
		}
	})
}

// offerToGate offers a call that has reached its daemon to the gate.
func (s *sim) offerToGate(c *call) {
	d := c.host
	s.result.offered[c.depth]++
	if d.down {
		c.entry.router.Ended(s.now(), d.row.ID, hopLatency, sqadmit.Unreachable, nil)
		s.attemptEnded(c, sqreason.PeerUnreachable, squnit.RunNot)
		return
	}
	d.calls[c.id] = c
	c.state = stateQueued
	v := d.gate.Offer(s.now(), sqadmit.Call{
		ID: c.id, Workspace: c.req.class.Workspace, Weight: c.req.client.weight, Importance: c.req.importance,
		Depth: squnit.Depth(c.depth), Deadline: simStart.Add(c.req.deadline), Share: c.req.share,
	})
	s.applyEffect(d, v.Effect)
	switch v.Verdict {
	case sqadmit.Run:
		s.handToTarget(c)
	case sqadmit.Refused:
		s.callRefused(c, v.Reason)
	}
}

// applyEffect hands on the queued calls that a gate has admitted, and ends those that it
// has dropped.
func (s *sim) applyEffect(d *daemon, e sqadmit.Effect) {
	for _, id := range e.Run {
		s.handToTarget(d.calls[id])
	}
	for _, drop := range e.Dropped {
		s.callRefused(d.calls[drop.ID], drop.Reason)
	}
}

func (s *sim) callRefused(c *call, reason sqreason.Refusal) {
	delete(c.host.calls, c.id)
	c.state = stateEnded
	s.result.refused[fmt.Sprint(c.depth, " ", reason, " ", c.req.importance, " ", c.req.class.Workspace == surgingWorkspace)]++
	s.sendAnswer(c, reason, squnit.RunNot)
}

// handToTarget hands an admitted call to its target. The call waits there if the target
// has fewer slots than its gate assumes.
func (s *sim) handToTarget(c *call) {
	c.state, c.startedAt = stateRunning, s.elapsed
	if c.depth == 0 && !c.req.admitted {
		c.req.admitted = true
		s.result.admitted++
	}
	if c.host.busySlots >= c.host.targetSlots {
		c.host.waiting = append(c.host.waiting, c)
		return
	}
	s.startWork(c)
}

// startWork gives a call a slot of its target and does the target's own work; the call
// then ends, or makes its nested call.
func (s *sim) startWork(c *call) {
	d := c.host
	d.busySlots++
	c.holdsSlot = true
	c.workTime = time.Duration((0.3 + 0.7*s.rng.ExpFloat64()) * float64(meanWorkTime) * d.slowdown(s.elapsed))
	c.workStart = s.elapsed
	try := c.tries
	s.after(c.workTime, func() {
		if c.state != stateRunning || c.tries != try {
			return
		}
		s.result.work += c.workTime
		c.usefulWork = c.workTime
		if c.depth == chainDepth-1 {
			s.endRun(c, sqadmit.OK, sqreason.NoReason)
			return
		}
		s.callNested(c)
	})
}

// callNested makes the target's nested call to the next service of the chain.
func (s *sim) callNested(c *call) {
	n := &call{req: c.req, parent: c, parentTry: c.tries, depth: c.depth + 1, entry: c.host}
	n.grant = c.credit.Grant(sqretry.GrantFor(c.credit.Remaining()))
	n.credit = sqretry.NewCredit(n.grant)
	c.req.deepestCall = n
	c.nestedTime = -s.elapsed
	s.startAttempt(n)
}

// endRun releases the slot of a call and sends the answer, unless it was cancelled.
func (s *sim) endRun(c *call, o sqadmit.Outcome, reason sqreason.Refusal) {
	s.releaseSlot(c, o)
	run := squnit.RunDone
	if o == sqadmit.Failed {
		run = squnit.RunUnknown
	}
	if o != sqadmit.Cancelled {
		s.sendAnswer(c, reason, run)
	}
}

// releaseSlot ends a call at its target and at the gate, and starts the work of calls
// that waited for a slot.
func (s *sim) releaseSlot(c *call, o sqadmit.Outcome) {
	d := c.host
	c.state = stateEnded
	delete(d.calls, c.id)
	if c.nestedTime < 0 {
		c.nestedTime += s.elapsed
	}
	if c.holdsSlot && c.usefulWork == 0 {
		s.result.work += s.elapsed - c.workStart
	}
	r := sqadmit.Result{Outcome: o, Latency: s.elapsed - c.startedAt, Nested: c.nestedTime}
	if c.holdsSlot {
		d.busySlots--
		c.holdsSlot = false
	}
	for d.busySlots < d.targetSlots && len(d.waiting) > 0 {
		next := d.waiting[0]
		d.waiting = d.waiting[1:]
		if next.state == stateRunning && next.host == d && !next.holdsSlot {
			s.startWork(next)
		}
	}
	s.applyEffect(d, d.gate.Done(s.now(), c.id, r))
}

// sendAnswer takes the answer, with the gate's load report, to the entry that made the
// call.
func (s *sim) sendAnswer(c *call, reason sqreason.Refusal, run squnit.RunState) {
	load := c.host.gate.Load(s.now(), c.req.class.Workspace)
	latency, host, try := s.elapsed-c.sentAt+hopLatency, c.host, c.tries
	s.after(hopLatency, func() {
		o := sqadmit.OK
		if run == squnit.RunNot {
			o = sqadmit.Shed
		} else if run == squnit.RunUnknown {
			o = sqadmit.Failed
		}
		c.entry.router.Ended(s.now(), host.row.ID, latency, o, &load)
		s.recordLoad(c, host, load)
		if c.tries == try && !c.req.cancelled {
			s.attemptEnded(c, reason, run)
		}
	})
}

// recordLoad records the load report of an answer: in the entry's table for a call at
// depth 0, otherwise with the parent call, whose answer passes it on.
func (s *sim) recordLoad(c *call, host *daemon, load sqadmit.Load) {
	report := sqshed.LoadReport{Service: host.row.Service, Level: load.Level, Share: load.Share, OverallShare: load.OverallShare, MedianShare: load.MedianShare}
	if c.parent == nil {
		c.entry.shed.Update(s.now(), c.req.class, report, c.deeperLoad.Reports())
		return
	}
	c.parent.deeperLoad.Add(report, c.deeperLoad.Reports())
}
