package sqentry

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtimer"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqheader"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqretry"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqshed"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

const (
	// deadlineGrace is what the entry waits past the deadline for the gate's
	// own word, which knows whether the call has run.
	deadlineGrace = 50 * time.Millisecond
	// maxReroutes bounds the attempts that no target saw because the daemon
	// at the other end is leaving or gone; they cost no credit.
	maxReroutes = 3
)

// request is one request on its way through the entry.
type request struct {
	Ask
	entry *Entry
	front Front

	method        string
	credit        squnit.Credit
	depth         squnit.Depth
	root          string
	share         squnit.Share
	record        *record
	headers       []*sqcallwire.Header
	contentLength int64
	body          *body
	began         time.Time
	// charged is set while a request of the workspace's rate is spent on it.
	charged bool

	// grant is the part of the parent's credit that came with a nested call.
	grant squnit.Credit

	ctx      context.Context
	cancel   context.CancelFunc
	tried    []sqtarget.ID
	reroutes int
	tries    int
	sheds    int
	// last is the sink of the last attempt.
	last *answer
	// mayHaveRun is set once the outcome of an attempt is not certain.
	mayHaveRun bool
	// repeat is set once an attempt beyond the first is made.
	repeat bool
}

func (e *Entry) newRequest(f Front, a *Ask, r *http.Request, now time.Time) *request {
	q := &request{
		Ask: *a, entry: e, front: f, method: r.Method, began: now, credit: a.Credit,
		headers: sqheader.Outward(r.Header), contentLength: r.ContentLength,
	}
	if q.Parent != nil {
		q.depth, q.root, q.share = q.Parent.Depth+1, q.Parent.Root, q.Parent.Share
	} else {
		q.root = cmp.Or(a.ID, string(sqid.NewCallID()))
	}
	q.ctx, q.cancel = context.WithDeadline(r.Context(), a.Deadline.Add(deadlineGrace))
	return q
}

// serve runs the request and answers it.
func (q *request) serve(w http.ResponseWriter, r *http.Request) {
	refusal := q.prepare(w, r)
	switch {
	case refusal != nil:
	case q.named():
		refusal = q.serveOperation(w, r)
	default:
		refusal = q.attempts(w)
	}
	if refusal != nil {
		q.refuse(w, refusal)
	}
}

// refuse answers the request in place of a target. A request that has not run
// spends nothing of its workspace's rate.
func (q *request) refuse(w http.ResponseWriter, refusal *sqerror.Error) {
	if q.charged && refusal.Run == squnit.RunNot {
		q.entry.Charger.Return(q.Workspace)
	}
	if q.Parent != nil {
		q.Parent.NestedFailed()
	}
	if q.Patience > 0 && refusal.Run == squnit.RunNot && refusal.Reason.Transient() {
		left := q.Patience - time.Since(q.began)
		refusal.RetryAfter = sqshed.RetryAfter(newRand(), left, q.Latency, q.entry.Router.Route.MeanLatency(q.Service))
	}
	q.entry.refuse(q.front, w, &q.Ask, refusal)
}

// prepare reads the body's first part and charges the request.
func (q *request) prepare(w http.ResponseWriter, r *http.Request) *sqerror.Error {
	most := int64(cmp.Or(q.BodyMost, MaxBodyBytes))
	if r.ContentLength > most {
		return refuse(sqreason.BodyTooLarge, nil)
	}
	if !q.entry.Router.Known(q.Service) {
		return refuse(q.unknown(), nil)
	}
	if refusal := q.shed(); refusal != nil {
		return refusal
	}
	if refusal := q.charge(q.ctx); refusal != nil {
		return refusal
	}
	r.Body = http.MaxBytesReader(w, r.Body, most)
	b, err := readBody(r)
	if err != nil {
		return bodyRefusal(err)
	}
	q.body = b
	if b.whole {
		q.contentLength = int64(len(b.first))
	} else {
		// Without it the server reads all of the body before it answers.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	return nil
}

// unknown is the reason to refuse a request to a service of which no target is
// known: one that is named by the operators has none now, and may have later.
func (q *request) unknown() sqreason.Refusal {
	if q.Named {
		return sqreason.TargetNone
	}
	return sqreason.ServiceUnknown
}

func bodyRefusal(err error) *sqerror.Error {
	if _, ok := errors.Into[*http.MaxBytesError](err); ok {
		return refuse(sqreason.BodyTooLarge, nil)
	}
	return refuse(sqreason.CallerGone, errors.Wrap(err, "read body"))
}

// attempts tries targets until one answers or a refusal stands. A refusal is
// of the whole request: it says not-run only if no attempt may have run.
func (q *request) attempts(w http.ResponseWriter) *sqerror.Error {
	refusal := q.try(w)
	if refusal != nil && q.mayHaveRun && refusal.Run == squnit.RunNot {
		refusal.Run = squnit.RunUnknown
	}
	return refusal
}

func (q *request) try(w http.ResponseWriter) *sqerror.Error {
	q.entry.Router.asked(q.began, q)
	var last *sqerror.Error
	for {
		target, reason := q.entry.Router.pick(q)
		if reason != sqreason.NoReason {
			if last != nil {
				return q.final(last)
			}
			return refuse(reason, nil)
		}
		q.tried = append(q.tried, target.ID)
		refusal := q.attempt(w, target)
		if refusal == nil {
			return nil
		}
		q.mayHaveRun = q.mayHaveRun || refusal.Run != squnit.RunNot
		if !q.retry(refusal) {
			return q.final(refusal)
		}
		last = refusal
	}
}

// final passes a failure of the target's own on, if that is what the last
// attempt ended with, and returns any other refusal.
func (q *request) final(refusal *sqerror.Error) *sqerror.Error {
	if q.last.failed == nil {
		return refusal
	}
	q.last.pass()
	if q.Parent != nil {
		q.Parent.NestedFailed()
	}
	q.entry.Metrics.Calls.WithLabelValues(squnit.RunDone.String()).Inc()
	return nil
}

// retry decides whether another attempt is made after a refusal, and waits
// for as long as it should be put off.
func (q *request) retry(e *sqerror.Error) bool {
	retry := q.decide(e)
	q.entry.Decisions.Info("attempt failed", append(q.fields(),
		"reason", e.Reason, "run", e.Run.String(), "step", e.Step, "peer", e.Peer, "again", retry,
		"attempts", q.tries+q.reroutes, "credit", int(q.credit), "cause", causeOf(e))...)
	return retry
}

// decide decides whether another attempt is made.
func (q *request) decide(e *sqerror.Error) bool {
	if q.reroute(e) {
		q.entry.Metrics.Retries.WithLabelValues(string(sqreason.RetryPeerDown)).Inc()
		return true
	}
	q.tries++
	now := time.Now()
	// An attempt that was given up for another one has its budget already.
	taken := e.Reason == sqreason.TargetSilent
	if e.Reason.Overload() {
		q.sheds++
	}
	verdict := sqretry.Decide(newRand(), sqretry.Attempt{
		NonIdempotent:    q.NonIdempotent,
		Run:              e.Run,
		Reason:           e.Reason,
		AttemptsMade:     q.tries,
		MaxAttempts:      q.Attempts,
		ShedAttempts:     q.sheds,
		TimeLeft:         q.Deadline.Sub(now),
		MeanLatency:      q.entry.Router.Route.MeanLatency(q.Service),
		Credit:           q.credit,
		BudgetAllows:     taken || q.entry.Router.mayRetry(now, q),
		ServiceShedding:  q.entry.Router.Route.IsShedding(now, q.Service),
		OtherTarget:      len(q.entry.Router.Targets.Service(q.Service)) > len(q.tried),
		BodySpent:        !q.body.again(),
		NestedCallFailed: q.last.failedBelow,
	})
	q.entry.Metrics.Retries.WithLabelValues(string(verdict.Reason)).Inc()
	if verdict.Reason == sqreason.NoRetryBudget {
		q.entry.Router.deniedRetry(now, q)
	}
	if !verdict.Retry || !taken && !q.entry.Router.takeRetry(now, q) {
		return false
	}
	if !verdict.CostsNoCredit {
		q.credit--
		q.repeat = true
	}
	if !verdict.OtherTargetOnly {
		q.tried = nil
	}
	return sqtimer.Sleep(q.ctx, verdict.Backoff) == nil
}

// reroute reports whether a refusal only says that the target is leaving or
// gone: another place is asked then at no credit, a bounded number of times.
func (q *request) reroute(e *sqerror.Error) bool {
	if e.Run != squnit.RunNot || !e.Reason.Unavailable() || q.reroutes >= maxReroutes || !q.body.again() {
		return false
	}
	if q.ctx.Err() != nil || !time.Now().Before(q.Deadline) {
		return false
	}
	q.reroutes++
	return true
}

// class is what the request's shedding is decided by.
func (q *request) class() sqshed.Class {
	return sqshed.Class{Service: q.Service, Route: q.Route, Workspace: q.Workspace}
}

// shed refuses a request that the services have no room for.
func (q *request) shed() *sqerror.Error {
	if q.Parent != nil {
		return nil
	}
	admit := q.entry.Router.Shed.Admit
	if q.Returning {
		admit = q.entry.Router.Shed.AdmitRetry
	}
	d := admit(time.Now(), newRand(), q.class(), q.Importance)
	q.share = d.Share
	if !d.OK {
		return refuse(d.Reason, nil)
	}
	return nil
}

// end gives a nested call's unused credit back to its parent.
func (q *request) end() {
	q.Parent.NestedEnded(time.Now(), q.grant, max(q.credit, 0))
}

func formatLength(n int64) string { return strconv.FormatInt(n, 10) }
