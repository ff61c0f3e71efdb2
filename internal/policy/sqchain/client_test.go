package sqchain

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
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

// client is one workspace with its request rate, which is proportional to its weight.
type client struct {
	name   sqid.WorkspaceID
	weight squnit.Weight
	rate   func(at time.Duration) float64
	// planRate is the rate of the workspace's plan, in requests a second.
	// planTokens are the tokens in its bucket as of refilledAt.
	planRate   float64
	planTokens float64
	refilledAt time.Duration
}

// withinPlan takes a token for a request and reports whether there was one. One bucket
// stands for the rate that the daemons of the fleet share.
func (cl *client) withinPlan(at time.Duration) bool {
	cl.planTokens = min(cl.planRate*planBurst, cl.planTokens+cl.planRate*(at-cl.refilledAt).Seconds())
	cl.refilledAt = at
	if cl.planTokens < 1 {
		return false
	}
	cl.planTokens--
	return true
}

// attemptEnded handles the end of an attempt at the entry that made it: success, another
// attempt, or failure of the call. A failed nested call makes its parent answer with a
// failure.
func (s *sim) attemptEnded(c *call, reason sqreason.Refusal, run squnit.RunState) {
	c.state = stateEnded
	if p := c.parent; p != nil && (p.tries != c.parentTry || p.state != stateRunning) {
		return
	}
	if reason == sqreason.NoReason && run == squnit.RunDone {
		c.entry.budgets[c.depth].Succeeded(s.now())
		s.callSucceeded(c)
		return
	}
	if c.host != nil {
		c.exclude = append(c.exclude, c.host.row.ID)
	}
	if wait, ok := s.cfg.retry(s, c, reason, run); ok {
		try := c.tries
		s.after(wait, func() {
			if !c.req.cancelled && c.tries == try {
				s.startAttempt(c)
			}
		})
		return
	}
	if c.parent == nil {
		s.requestEnded(c.req, false)
		return
	}
	p := c.parent
	p.credit.Return(c.grant, c.credit.Remaining())
	p.nestedTime += s.elapsed
	if reason != sqreason.NoReason && reason != sqreason.TargetNone && reason != sqreason.PeerUnreachable {
		reason = sqreason.ShedDeeper
	}
	p.failedBelow = true
	s.endRun(p, sqadmit.OK, reason)
}

// callSucceeded ends a call that succeeded: the request, or the run of the parent call.
func (s *sim) callSucceeded(c *call) {
	p := c.parent
	if p == nil {
		if !c.req.ended {
			s.result.usefulWork += c.usefulWork
		}
		s.requestEnded(c.req, true)
		return
	}
	p.credit.Return(c.grant, c.credit.Remaining())
	p.nestedTime += s.elapsed
	p.usefulWork += c.usefulWork
	s.endRun(p, sqadmit.OK, sqreason.NoReason)
}

// sendRequest makes a client send a request, for the first time if resends is 0.
func (s *sim) sendRequest(cl *client, class sqshed.Class, level squnit.Importance, first time.Duration, resends int) {
	r := &request{client: cl, class: class, importance: level, firstSent: first, resends: resends, deadline: s.elapsed + clientTimeout, share: 1}
	s.after(clientLatency, func() {
		r.entry = s.randomDaemon()
		if s.cfg.fullPolicy && s.cfg.enforcePlans && !cl.withinPlan(s.elapsed) {
			s.result.discountOverPlan(first, level)
			s.requestEnded(r, false)
			return
		}
		if s.cfg.fullPolicy {
			a := r.entry.shed.Admit(s.now(), s.rng, class, level)
			r.share = a.Share
			if !a.OK {
				s.result.refused[fmt.Sprint("entry ", a.Reason, " ", level, " ", class.Workspace == surgingWorkspace)]++
				s.requestEnded(r, false)
				return
			}
		}
		c := &call{req: r, entry: r.entry, credit: sqretry.NewCredit(initialCredit)}
		r.deepestCall = c
		s.startAttempt(c)
	})
	s.after(clientTimeout, func() { s.clientTimedOut(r) })
}

func (s *sim) randomDaemon() *daemon {
	for {
		if d := s.daemons[s.rng.IntN(len(s.daemons))]; !d.down {
			return d
		}
	}
}

// stopDaemon stops a daemon and its target. The outcome of the calls at its gate is
// unknown to their entries.
func (s *sim) stopDaemon(d *daemon) {
	d.down = true
	interrupted := make([]*call, 0, len(d.calls))
	for _, c := range d.calls {
		interrupted = append(interrupted, c)
	}
	slices.SortFunc(interrupted, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	for _, c := range interrupted {
		c.state, c.holdsSlot = stateEnded, false
		c.entry.router.Ended(s.now(), d.row.ID, s.elapsed-c.sentAt, sqadmit.Failed, nil)
		s.attemptEnded(c, sqreason.NoReason, squnit.RunUnknown)
	}
	clear(d.calls)
	d.busySlots, d.waiting = 0, nil
}

// restartDaemon starts a stopped daemon again, without any of its earlier state.
func (s *sim) restartDaemon(d *daemon) {
	d.down = false
	d.gate = s.cfg.newGate()
	d.gate.Announce(s.now(), d.row.Slots)
	d.router = sqroute.Router{DataCentre: d.row.DataCentre, Region: d.row.Region}
	d.shed = sqshed.Table{}
	d.row.Incarnation++
}

// clientTimedOut handles the client's timeout. Only the full policy cancels the calls of
// the request.
func (s *sim) clientTimedOut(r *request) {
	if r.ended {
		return
	}
	if s.cfg.fullPolicy {
		s.cancelCalls(r)
	}
	s.requestEnded(r, false)
}

// cancelCalls cancels the calls of a request, from the deepest one up.
func (s *sim) cancelCalls(r *request) {
	r.cancelled = true
	for c := r.deepestCall; c != nil; c = c.parent {
		if c.host != nil && c.state != stateEnded {
			c.entry.router.Ended(s.now(), c.host.row.ID, s.elapsed-c.sentAt, sqadmit.Cancelled, nil)
		}
		switch c.state {
		case stateQueued:
			delete(c.host.calls, c.id)
			_, e := c.host.gate.Cancel(s.now(), c.id)
			s.applyEffect(c.host, e)
		case stateRunning:
			s.releaseSlot(c, sqadmit.Cancelled)
		}
		c.state = stateEnded
	}
}

// requestEnded counts the result of a request, or has the client send it again after a
// failure.
func (s *sim) requestEnded(r *request, ok bool) {
	if r.ended {
		return
	}
	r.ended = true
	s.result.maxExtraAttempts = max(s.result.maxExtraAttempts, r.extraAttempts)
	s.after(clientLatency, func() {
		if !ok && r.resends < s.cfg.maxResends {
			s.after(s.cfg.resendPause, func() { s.sendRequest(r.client, r.class, r.importance, r.firstSent, r.resends+1) })
			return
		}
		s.result.countEnded(s.elapsed, r, ok)
	})
}

// importanceMix holds the importance of ten typical requests of any workspace.
var importanceMix = [...]squnit.Importance{
	squnit.ImportanceLow, squnit.ImportanceLow, squnit.ImportanceLow, squnit.ImportanceNormal,
	squnit.ImportanceNormal, squnit.ImportanceNormal, squnit.ImportanceNormal, squnit.ImportanceHigh,
	squnit.ImportanceHigh, squnit.ImportanceCritical,
}

// scheduleArrival schedules the client's next request, and so on: a Poisson process.
func (s *sim) scheduleArrival(cl *client) {
	rate := cl.rate(s.elapsed)
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		class := sqshed.Class{Service: serviceName(0), Workspace: cl.name}
		level := importanceMix[s.rng.IntN(len(importanceMix))]
		if s.cfg.sameImportance {
			level = squnit.ImportanceNormal
		}
		s.result.countSent(s.elapsed, cl.name, level)
		s.sendRequest(cl, class, level, s.elapsed, 0)
		s.scheduleArrival(cl)
	})
}

func serviceName(depth int) sqid.ServiceID { return sqid.ServiceID(rune('a' + depth)) }

func newSim(cfg config, seed uint64) *sim {
	s := &sim{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 7)), result: newResult()}
	for depth := range chainDepth {
		for i := range instances {
			s.addDaemon(depth, i)
		}
	}
	for _, cl := range cfg.clients() {
		s.scheduleArrival(cl)
	}
	return s
}

// addDaemon adds the daemon and target of instance i of the service at depth.
func (s *sim) addDaemon(depth, i int) {
	name := fmt.Sprintf("%s%d", serviceName(depth), i)
	d := &daemon{
		gate: s.cfg.newGate(), listed: true, calls: make(map[sqid.CallID]*call), targetSlots: instanceSlots[depth],
		slowdown: func(time.Duration) float64 { return 1 },
		row: sqtarget.Row{
			ID:      sqtarget.ID{Daemon: sqid.DaemonID(name), Target: sqid.TargetID(name)},
			Service: serviceName(depth), Slots: squnit.Slots(instanceSlots[depth]), DataCentre: "one", Region: "one",
		},
	}
	d.router.DataCentre, d.router.Region = "one", "one"
	s.daemons = append(s.daemons, d)
	if s.cfg.setUp != nil {
		s.cfg.setUp(s, depth, i, d)
	}
	d.gate.Announce(s.now(), d.row.Slots)
	s.updateRows(depth)
	s.scheduleTick(d)
}

// updateRows sets the targets of a service that entries know to those that are listed.
func (s *sim) updateRows(depth int) {
	s.rows[depth] = nil
	for _, d := range s.daemons {
		if d.row.Service == serviceName(depth) && d.listed {
			s.rows[depth] = append(s.rows[depth], d.row)
		}
	}
}

// scheduleTick schedules the periodic work of a daemon.
func (s *sim) scheduleTick(d *daemon) {
	s.after(tickPeriod, func() {
		if !d.down {
			s.applyEffect(d, d.gate.Tick(s.now()))
		}
		d.shed.Tick(s.now())
		if !d.reportsIdle {
			d.reportedCalls = len(d.calls)
		}
		s.scheduleTick(d)
	})
}
