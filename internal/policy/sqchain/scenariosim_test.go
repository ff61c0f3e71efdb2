package sqchain

import (
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

const (
	// maxResubmissions is how often a caller sends a failed request again, maxAttempts
	// how many attempts a call gets at each hop.
	maxResubmissions = 1
	maxAttempts      = 2
	// naiveResubmitAfter is the wait of callers that are given no retry-after time. It
	// is also the least time that must be left for a caller to send again.
	naiveResubmitAfter = 100 * time.Millisecond
)

var (
	// retryBound bounds the retries at each service, over the fleet. daemonBound is the
	// tighter bound that the daemons divide among themselves.
	retryBound  = sqretry.Bound{Ratio: 0.2, Window: 5 * time.Second, Slack: 24}
	daemonBound = sqretry.Bound{Ratio: 0.9 * retryBound.Ratio, Window: retryBound.Window, Slack: 0.9 * retryBound.Slack}
)

// host is one daemon with its target.
type host struct {
	row      sqtarget.Row
	gate     gate
	router   sqroute.Router
	shed     sqshed.Table
	windows  map[sqid.ServiceID]*sqretry.Window
	calls    map[sqid.CallID]*serviceCall
	slowdown float64
}

// scenarioSim simulates a scenario under a policy.
type scenarioSim struct {
	clock
	scenarioPolicy
	scenario *scenario
	rng      *rand.Rand
	hosts    []*host
	rows     map[sqid.ServiceID][]sqtarget.Row
	attempts int
	result   scenarioResult
	// firstAttempts and retries are the times of these at each service.
	firstAttempts map[sqid.ServiceID][]time.Duration
	retries       map[sqid.ServiceID][]time.Duration
}

// submission is one send of a caller's request: the first, or a later one after a
// failure.
type submission struct {
	kind  *requestKind
	entry *host
	// first is the time of the first submission.
	first         time.Duration
	resubmissions int
	share         squnit.Share
	deadline      time.Duration
	ended         bool
	// liveCalls are the calls that have not ended.
	liveCalls map[*serviceCall]bool
}

// serviceCall is one call of a service within a submission, including its retries.
type serviceCall struct {
	*submission
	plan   *callPlan
	caller *host
	parent *serviceCall
	onEnd  func(sqreason.Refusal, squnit.RunState)

	// tries counts the attempts, sheds those of them that were refused for overload.
	tries, sheds int
	tried        []sqtarget.ID
	// isRetry is set once a retry may run the call a second time: its nested calls
	// then count as retries too.
	isRetry bool
	// The fields below are about the current attempt.
	id                sqid.CallID
	host              *host
	sentAt, startedAt time.Duration
	nestedTime        time.Duration
	running           bool
	deeperLoad        sqshed.DeeperReports
	failedBelow       bool
}

// startCall makes a call from the daemon caller, and calls onEnd with its result. A call
// that a retried parent makes again counts as a retry.
func (s *scenarioSim) startCall(v *submission, plan *callPlan, caller *host, parent *serviceCall, onEnd func(sqreason.Refusal, squnit.RunState)) {
	l := &serviceCall{submission: v, plan: plan, caller: caller, parent: parent, onEnd: onEnd}
	v.liveCalls[l] = true
	s.firstAttempts[plan.Service] = append(s.firstAttempts[plan.Service], s.elapsed)
	w := s.window(l)
	w.AddRequest(s.now(), daemonBound)
	if parent != nil && parent.isRetry {
		l.isRetry = true
		w.AddExtraAttempt(s.now(), daemonBound, s.retryImportance(l))
		s.retries[plan.Service] = append(s.retries[plan.Service], s.elapsed)
	}
	s.startAttempt(l)
}

// window returns the retry window of the calling daemon for the service.
func (s *scenarioSim) window(l *serviceCall) *sqretry.Window {
	w := l.caller.windows[l.plan.Service]
	if w == nil {
		w = new(sqretry.Window)
		l.caller.windows[l.plan.Service] = w
	}
	return w
}

// startAttempt makes the next attempt of a call, unless its submission has ended.
func (s *scenarioSim) startAttempt(l *serviceCall) {
	if l.ended {
		return
	}
	l.tries++
	s.attempts++
	l.id, l.deeperLoad, l.failedBelow, l.nestedTime, l.running = sqid.CallID(fmt.Sprint(s.attempts)), sqshed.DeeperReports{}, false, 0, false
	l.host = s.pick(s, l)
	if l.host == nil {
		s.endCall(l, sqreason.TargetNone, squnit.RunNot)
		return
	}
	l.tried = append(l.tried, l.host.row.ID)
	l.sentAt = s.elapsed
	l.caller.router.Started(l.host.row.ID)
	s.after(hopLatency, func() { s.offerToGate(l) })
}

// offerToGate offers a call that has reached its daemon to the gate.
func (s *scenarioSim) offerToGate(l *serviceCall) {
	if l.ended {
		l.caller.router.Ended(s.now(), l.host.row.ID, s.elapsed-l.sentAt, sqadmit.Cancelled, nil)
		return
	}
	l.host.calls[l.id] = l
	d := l.host.gate.Offer(s.now(), sqadmit.Call{
		ID: l.id, Workspace: "w", Weight: 1, Importance: l.kind.Importance, Depth: squnit.Depth(s.depth(l)),
		Deadline: simStart.Add(l.deadline), Share: l.share,
	})
	s.applyEffect(l.host, d.Effect)
	switch d.Verdict {
	case sqadmit.Run:
		s.handToTarget(l)
	case sqadmit.Refused:
		s.callRefused(l, d.Reason)
	}
}

// depth returns the number of calls above a call.
func (s *scenarioSim) depth(l *serviceCall) int {
	depth := 0
	for p := l.parent; p != nil; p = p.parent {
		depth++
	}
	return depth
}

// applyEffect hands on the queued calls that a gate has admitted, and ends those that it
// has dropped.
func (s *scenarioSim) applyEffect(h *host, e sqadmit.Effect) {
	for _, id := range e.Run {
		s.handToTarget(h.calls[id])
	}
	for _, drop := range e.Dropped {
		s.callRefused(h.calls[drop.ID], drop.Reason)
	}
}

func (s *scenarioSim) callRefused(l *serviceCall, reason sqreason.Refusal) {
	delete(l.host.calls, l.id)
	s.sendAnswer(l, reason, squnit.RunNot)
}

// handToTarget hands an admitted call to its target, which during an incident may refuse
// it although it has a free slot.
func (s *scenarioSim) handToTarget(l *serviceCall) {
	l.running, l.startedAt = true, s.elapsed
	if l.ended {
		s.releaseSlot(l, sqadmit.Cancelled)
		return
	}
	if s.scenario.Refusing.affects(s.elapsed, l.plan.Service) && s.rng.Float64() < s.scenario.Refusing.Fraction {
		s.releaseSlot(l, sqadmit.Failed)
		s.sendAnswer(l, sqreason.TargetRefused, squnit.RunNot)
		return
	}
	work := time.Duration((0.3 + 0.7*s.rng.ExpFloat64()) * l.plan.Work * l.host.slowdown * float64(time.Millisecond))
	id := l.id
	s.after(work, func() {
		if l.id == id && l.running {
			s.callNested(l, 0, 0)
		}
	})
}

// callNested makes the nested calls of a run one after the other, starting with the one at
// index i, which has already been made n times.
func (s *scenarioSim) callNested(l *serviceCall, i, n int) {
	if i == len(l.plan.Nested) {
		s.releaseSlot(l, sqadmit.OK)
		s.sendAnswer(l, sqreason.NoReason, squnit.RunDone)
		return
	}
	plan, began, id := &l.plan.Nested[i], s.elapsed, l.id
	s.startCall(l.submission, plan, l.host, l, func(reason sqreason.Refusal, _ squnit.RunState) {
		if l.id != id || !l.running {
			return
		}
		l.nestedTime += s.elapsed - began
		if reason != sqreason.NoReason {
			l.failedBelow = true
			s.releaseSlot(l, sqadmit.OK)
			s.sendAnswer(l, sqreason.TargetFailed, squnit.RunUnknown)
			return
		}
		if n++; n >= max(1, plan.Times) {
			i, n = i+1, 0
		}
		s.callNested(l, i, n)
	})
}

// releaseSlot ends a run at the gate, which may then admit other calls.
func (s *scenarioSim) releaseSlot(l *serviceCall, o sqadmit.Outcome) {
	l.running = false
	delete(l.host.calls, l.id)
	s.applyEffect(l.host, l.host.gate.Done(s.now(), l.id, sqadmit.Result{Outcome: o, Latency: s.elapsed - l.startedAt, Nested: l.nestedTime}))
}

// sendAnswer takes the end of an attempt, with the gate's load report, to the daemon that
// made it, which may retry.
func (s *scenarioSim) sendAnswer(l *serviceCall, reason sqreason.Refusal, run squnit.RunState) {
	load, id := l.host.gate.Load(s.now(), "w"), l.id
	s.after(hopLatency, func() {
		o := sqadmit.OK
		switch {
		case l.failedBelow:
			o = sqadmit.Cancelled
		case reason == sqreason.TargetRefused:
			o = sqadmit.Failed
		case run == squnit.RunNot:
			o = sqadmit.Shed
		}
		l.caller.router.Ended(s.now(), l.host.row.ID, s.elapsed-l.sentAt, o, &load)
		s.recordLoad(l, load)
		if l.ended || l.id != id {
			return
		}
		if reason == sqreason.NoReason || !s.retryCall(l, reason, run) {
			s.endCall(l, reason, run)
		}
	})
}

// recordLoad records the load report of an answer: in the entry's table for a caller's own
// call, otherwise with the parent call, whose answer passes it on.
func (s *scenarioSim) recordLoad(l *serviceCall, load sqadmit.Load) {
	report := sqshed.LoadReport{Service: l.plan.Service, Level: load.Level, Share: load.Share, OverallShare: load.OverallShare, MedianShare: load.MedianShare}
	if l.parent != nil {
		l.parent.deeperLoad.Add(report, l.deeperLoad.Reports())
		return
	}
	l.caller.shed.Update(s.now(), l.kind.class(), report, l.deeperLoad.Reports())
}

// retryCall schedules another attempt if the policy allows one, and reports whether it
// did.
func (s *scenarioSim) retryCall(l *serviceCall, reason sqreason.Refusal, run squnit.RunState) bool {
	if reason.Overload() {
		l.sheds++
	}
	wait, ok := s.retry(s, l, reason, run)
	if !ok {
		return false
	}
	// A target that refused the call has not run it, so that no nested call is made
	// a second time.
	l.isRetry = l.isRetry || reason != sqreason.TargetRefused
	s.retries[l.plan.Service] = append(s.retries[l.plan.Service], s.elapsed)
	s.after(wait, func() { s.startAttempt(l) })
	return true
}

// endCall ends a call for good.
func (s *scenarioSim) endCall(l *serviceCall, reason sqreason.Refusal, run squnit.RunState) {
	delete(l.liveCalls, l)
	if !l.ended {
		l.onEnd(reason, run)
	}
}

// submit sends a caller's request, for the first time if resubmissions is 0.
func (s *scenarioSim) submit(k *requestKind, first time.Duration, resubmissions int) {
	v := &submission{
		kind: k, first: first, resubmissions: resubmissions, share: 1, deadline: first + k.patience(),
		entry: s.hosts[s.rng.IntN(len(s.hosts))], liveCalls: make(map[*serviceCall]bool),
	}
	if resubmissions > 0 {
		s.result.resubmissions++
	}
	if !s.admit(s, v) {
		s.submissionEnded(v, sqreason.ShedImportance, squnit.RunNot)
		return
	}
	s.after(v.deadline-s.elapsed, func() {
		if !v.ended {
			s.cancelCalls(v)
			s.submissionEnded(v, sqreason.DeadlineExceeded, squnit.RunUnknown)
		}
	})
	s.startCall(v, &k.Calls, v.entry, nil, func(reason sqreason.Refusal, run squnit.RunState) { s.submissionEnded(v, reason, run) })
}

// cancelCalls cancels the calls of a submission whose caller has given up, the deepest
// first.
func (s *scenarioSim) cancelCalls(v *submission) {
	live := make([]*serviceCall, 0, len(v.liveCalls))
	for l := range v.liveCalls {
		live = append(live, l)
	}
	slices.SortFunc(live, func(a, b *serviceCall) int { return s.depth(b) - s.depth(a) })
	for _, l := range live {
		switch {
		case l.running:
			s.releaseSlot(l, sqadmit.Cancelled)
		case l.host != nil && l.host.calls[l.id] == l:
			ok, e := l.host.gate.Cancel(s.now(), l.id)
			s.applyEffect(l.host, e)
			if !ok {
				continue
			}
			delete(l.host.calls, l.id)
		default:
			continue
		}
		l.caller.router.Ended(s.now(), l.host.row.ID, s.elapsed-l.sentAt, sqadmit.Cancelled, nil)
	}
}

// submissionEnded counts the result of a submission. After a failure the caller may send
// the request again.
func (s *scenarioSim) submissionEnded(v *submission, reason sqreason.Refusal, run squnit.RunState) {
	v.ended = true
	took := s.elapsed - v.first
	if reason == sqreason.NoReason {
		s.result.countServed(v.kind, v.first, took)
		return
	}
	if v.resubmissions > 0 && run == squnit.RunNot {
		s.result.refusedAgain++
	}
	left := v.kind.patience() - took
	if v.resubmissions >= maxResubmissions || v.kind.NonIdempotent && run != squnit.RunNot || left <= naiveResubmitAfter {
		return
	}
	s.after(s.resubmitAfter(s, v, left), func() { s.submit(v.kind, v.first, v.resubmissions+1) })
}

// scheduleArrival schedules the next request of a kind, and so on: a Poisson process.
func (s *scenarioSim) scheduleArrival(k *requestKind) {
	rate := k.Rate * s.scenario.Surge.factor(s.elapsed)
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.elapsed < scenarioDuration-quietTail {
			s.result.countSent(k, s.elapsed)
			s.submit(k, s.elapsed, 0)
		}
		s.scheduleArrival(k)
	})
}

func newScenarioSim(d *scenario, p scenarioPolicy, seed uint64) *scenarioSim {
	s := &scenarioSim{
		scenarioPolicy: p, scenario: d, rng: rand.New(rand.NewPCG(seed, 11)), rows: make(map[sqid.ServiceID][]sqtarget.Row),
		firstAttempts: make(map[sqid.ServiceID][]time.Duration), retries: make(map[sqid.ServiceID][]time.Duration),
	}
	for _, service := range d.Services {
		for i := range service.Targets {
			s.addHost(&service, i)
		}
	}
	for i := range d.Kinds {
		s.scheduleArrival(&d.Kinds[i])
	}
	return s
}

// addHost adds the host of target i of a service.
func (s *scenarioSim) addHost(service *scenarioService, i int) {
	name := fmt.Sprint(service.Name, i)
	h := &host{
		gate: s.newGate(), windows: make(map[sqid.ServiceID]*sqretry.Window), calls: make(map[sqid.CallID]*serviceCall), slowdown: 1,
		row: sqtarget.Row{
			ID:      sqtarget.ID{Daemon: sqid.DaemonID(name), Target: sqid.TargetID(name)},
			Service: service.Name, Slots: service.Slots, DataCentre: "one", Region: "one",
		},
	}
	if i < len(service.Slowdowns) {
		h.slowdown = service.Slowdowns[i]
	}
	h.router.DataCentre, h.router.Region = "one", "one"
	h.shed.FineLevels = true
	h.gate.Announce(s.now(), h.row.Slots)
	s.hosts = append(s.hosts, h)
	s.rows[service.Name] = append(s.rows[service.Name], h.row)
	s.scheduleTick(h)
}

// scheduleTick schedules the periodic work of a host.
func (s *scenarioSim) scheduleTick(h *host) {
	s.after(tickPeriod, func() {
		s.applyEffect(h, h.gate.Tick(s.now()))
		h.shed.Tick(s.now())
		s.scheduleTick(h)
	})
}
