package sqchain

import (
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqretry"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqroute"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
)

// config is one experiment under one policy.
type config struct {
	policy
	experiment
}

// policy is a set of overload control policies: admission, load balancing and retries.
type policy struct {
	name string
	// fullPolicy is set for the policy under test, with which entries also shed load
	// by the gates' load reports and cancel calls after a timeout.
	fullPolicy bool
	newGate    func() gate
	pick       func(s *sim, c *call) *daemon
	retry      func(s *sim, c *call, reason sqreason.Refusal, run squnit.RunState) (time.Duration, bool)
}

// policies are the two baselines and the full policy, which testdata calls "real".
var policies = []policy{
	{name: "none", newGate: func() gate { return &naiveGate{} }, pick: naivePick, retry: naiveRetry},
	{name: "fixed", newGate: func() gate { return &naiveGate{bounded: true} }, pick: naivePick, retry: naiveRetry},
	{name: "real", fullPolicy: true, newGate: func() gate { return &sqadmit.Gate{} }, pick: fullPick, retry: fullRetry},
}

// fullPick picks a target with the entry's router.
func fullPick(s *sim, c *call) *daemon {
	choice := c.entry.router.Pick(s.now(), s.rng, s.rows[c.depth], sqroute.Request{
		Service: serviceName(c.depth), Importance: c.req.importance, Exclude: c.exclude,
	})
	if choice.Reason != sqreason.NoReason {
		return nil
	}
	return s.daemonOf(choice.Row.ID)
}

func (s *sim) daemonOf(id sqtarget.ID) *daemon {
	return s.daemons[slices.IndexFunc(s.daemons, func(d *daemon) bool { return d.row.ID == id })]
}

// fullRetry decides with sqretry, by the request's credit and the entry's retry budget.
func fullRetry(s *sim, c *call, reason sqreason.Refusal, run squnit.RunState) (time.Duration, bool) {
	switch reason {
	case sqreason.ShedDeadline, sqreason.ShedFairness, sqreason.ShedImportance, sqreason.ShedQueueFull:
		c.sheds++
	}
	v := sqretry.Decide(s.rng, sqretry.Attempt{
		Run: run, Reason: reason, AttemptsMade: c.tries, ShedAttempts: c.sheds,
		TimeLeft: c.req.deadline - s.elapsed, MeanLatency: c.entry.router.MeanLatency(serviceName(c.depth)),
		Credit: c.credit.Remaining(), BudgetAllows: c.entry.budgets[c.depth].Allows(s.now()),
		ServiceShedding:  c.entry.router.IsShedding(s.now(), serviceName(c.depth)),
		NestedCallFailed: c.failedBelow,
		OtherTarget:      len(c.exclude) < len(s.rows[c.depth]),
	})
	if !v.Retry {
		return 0, false
	}
	c.entry.budgets[c.depth].Take(s.now())
	return v.Backoff, c.credit.Take()
}

// naiveRetry makes a fixed number of retries at each hop, whatever the failure.
func naiveRetry(_ *sim, c *call, _ sqreason.Refusal, _ squnit.RunState) (time.Duration, bool) {
	return 10 * time.Millisecond, c.tries <= naiveRetries
}

// naivePick picks the better of two random targets by the load that they reported at
// their last tick.
func naivePick(s *sim, c *call) *daemon {
	rows := s.rows[c.depth]
	if len(rows) == 0 {
		return nil
	}
	a, b := s.daemonOf(rows[s.rng.IntN(len(rows))].ID), s.daemonOf(rows[s.rng.IntN(len(rows))].ID)
	if b.reportedCalls < a.reportedCalls {
		return b
	}
	return a
}

// naiveGate admits every call at once, or if bounded, as many as the target has announced
// slots, in order of arrival and with a long queue.
type naiveGate struct {
	bounded bool
	slots   int
	running int
	waiting []sqid.CallID
}

// naiveQueuePerSlot is the length of a bounded naiveGate's queue for each slot.
const naiveQueuePerSlot = 20

func (g *naiveGate) Announce(_ time.Time, slots squnit.Slots) sqadmit.Effect {
	g.slots = int(slots)
	return sqadmit.Effect{}
}

func (g *naiveGate) Offer(_ time.Time, c sqadmit.Call) sqadmit.Decision {
	switch {
	case !g.bounded || g.running < g.slots:
		g.running++
		return sqadmit.Decision{Verdict: sqadmit.Run}
	case len(g.waiting) < naiveQueuePerSlot*g.slots:
		g.waiting = append(g.waiting, c.ID)
		return sqadmit.Decision{Verdict: sqadmit.Queued}
	default:
		return sqadmit.Decision{Verdict: sqadmit.Refused, Reason: sqreason.ShedQueueFull}
	}
}

func (g *naiveGate) Done(time.Time, sqid.CallID, sqadmit.Result) sqadmit.Effect {
	g.running--
	if len(g.waiting) == 0 || !g.bounded || g.running >= g.slots {
		return sqadmit.Effect{}
	}
	next := g.waiting[0]
	g.waiting = g.waiting[1:]
	g.running++
	return sqadmit.Effect{Run: []sqid.CallID{next}}
}

func (g *naiveGate) Cancel(time.Time, sqid.CallID) (bool, sqadmit.Effect) {
	return false, sqadmit.Effect{}
}

func (g *naiveGate) Tick(time.Time) sqadmit.Effect { return sqadmit.Effect{} }

func (g *naiveGate) Load(time.Time, sqid.WorkspaceID) sqadmit.Load {
	return sqadmit.Load{Share: 1, OverallShare: 1}
}
