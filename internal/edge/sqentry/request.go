package sqentry

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
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
	// deadlineGrace is how long the entry waits past the deadline for the gate's own
	// answer, which knows whether the call has run.
	deadlineGrace = 50 * time.Millisecond
	// maxReroutes bounds the attempts that reached no target because the target or
	// its daemon is leaving or gone; they cost no credit.
	maxReroutes = 3
)

// request is the state of one request while the entry serves it.
type request struct {
	RequestInfo
	entry   *Entry
	adapter CallerAdapter

	method     string
	protoMajor int

	credit squnit.Credit
	depth  squnit.Depth
	// rootID is shared by all calls of a request: the caller's id, or a new one.
	rootID string
	// share is the share of the requests of its class that load shedding admits.
	share         squnit.Share
	recorder      *recorder
	headers       []*sqcallwire.Header
	contentLength int64
	body          *body
	startedAt     time.Time
	// charged is set while a token of the workspace's rate is spent on the request.
	charged bool

	// grantedCredit is the part of the parent's credit that was granted to a nested
	// call.
	grantedCredit squnit.Credit

	ctx    context.Context
	cancel context.CancelFunc
	// tried are the targets that are not to be picked again.
	tried    []sqtarget.ID
	reroutes int
	// attemptsMade counts the attempts without reroutes, shedAttempts those of them
	// that failed because of overload.
	attemptsMade int
	shedAttempts int
	// lastAnswer received the frames of the last attempt.
	lastAnswer *answerWriter
	// mayHaveRun is set once an attempt has run or may have run.
	mayHaveRun bool
	// isRetried is set once a further attempt that costs credit is made.
	isRetried bool
}

func (e *Entry) newRequest(adapter CallerAdapter, info *RequestInfo, r *http.Request, now time.Time) *request {
	q := &request{
		RequestInfo: *info, entry: e, adapter: adapter, method: r.Method, protoMajor: r.ProtoMajor, startedAt: now, credit: info.Credit,
		headers: sqheader.Forwardable(r.Header), contentLength: r.ContentLength,
	}
	if q.Parent != nil {
		q.depth, q.rootID, q.share = q.Parent.Depth+1, q.Parent.Root, q.Parent.Share
	} else {
		q.rootID = cmp.Or(info.ID, string(sqid.NewCallID()))
	}
	q.ctx, q.cancel = context.WithDeadline(r.Context(), info.Deadline.Add(deadlineGrace))
	return q
}

// serve runs the request and answers it.
func (q *request) serve(w http.ResponseWriter, r *http.Request) {
	refusal := q.prepare(w, r)
	switch {
	case refusal != nil:
	case q.isOperation():
		refusal = q.serveOperation(w, r)
	default:
		refusal = q.runAttempts(w)
	}
	if refusal != nil {
		q.refuse(w, refusal)
	}
}

// refuse answers the request with a refusal. If the request has not run, its token
// is returned.
func (q *request) refuse(w http.ResponseWriter, refusal *sqerror.Error) {
	if q.charged && refusal.Run == squnit.RunNot {
		q.entry.Charger.Return(q.Workspace)
	}
	if q.Parent != nil {
		q.Parent.NestedFailed()
	}
	q.closeIfNextIsLate(w.Header())
	q.closeIfBodyIsLeft(w.Header())
	if q.body == nil {
		boundDiscard(w, q.contentLength)
	}
	if refusal.Run == squnit.RunNot && refusal.Reason == sqreason.Stopping && q.entry.Stop.Begun() {
		refusal.RetryAfter = q.entry.Stop.RetryAfter(time.Now())
	} else if q.CallerTimeout > 0 && refusal.Run == squnit.RunNot && refusal.Reason.Transient() {
		left := q.CallerTimeout - time.Since(q.startedAt)
		refusal.RetryAfter = sqshed.RetryAfter(newRand(), left, q.Latency, q.entry.Router.Balancer.MeanLatency(q.Service))
	}
	q.entry.refuse(q.adapter, w, &q.RequestInfo, refusal)
}

// prepare checks whether the request can be served, charges it and reads the first
// part of its body.
func (q *request) prepare(w http.ResponseWriter, r *http.Request) *sqerror.Error {
	if !q.canEnd(q.startedAt) {
		return entryRefusal(sqreason.Stopping, nil)
	}
	maxBytes := int64(cmp.Or(q.MaxBody, MaxBodyBytes))
	if r.ContentLength > maxBytes {
		return entryRefusal(sqreason.BodyTooLarge, nil)
	}
	if !q.entry.Router.HasTargets(q.Service) {
		return entryRefusal(q.unknownServiceReason(), nil)
	}
	if refusal := q.shed(); refusal != nil {
		return refusal
	}
	if refusal := q.charge(q.ctx); refusal != nil {
		return refusal
	}
	// The server's own Request.Body stays, so that the server sees how much of it is left.
	limited := http.MaxBytesReader(serverWriter(w), r.Body, maxBytes)
	control := http.NewResponseController(w)
	b, err := readBody(limited, r.ContentLength, control.SetReadDeadline)
	if err != nil {
		return bodyRefusal(err)
	}
	q.body = b
	if b.complete {
		q.contentLength = int64(len(b.prefix))
	} else {
		// Otherwise the server reads the whole body before it answers.
		_ = control.EnableFullDuplex()
	}
	return nil
}

// closeIfBodyIsLeft has the caller's connection closed after the answer if a part of the
// request's body may be left on it, which would be read as the next request. In HTTP/2 each
// request has a stream of its own.
func (q *request) closeIfBodyIsLeft(h http.Header) {
	if q.protoMajor == 1 && q.body != nil && q.body.isLeft() {
		h.Set("Connection", "close")
	}
}

// linger sends what there is of the answer and reads the rest of the request's body.
func (q *request) linger(w http.ResponseWriter) {
	if q.protoMajor != 1 || q.body == nil || !q.body.isLeft() {
		return
	}
	_ = http.NewResponseController(w).Flush()
	if !q.body.linger() {
		avoidReset(w)
	}
}

// avoidReset has the server end its side of the connection and wait, before it closes the
// connection and thereby resets it: a caller that still sends would lose what it has not read
// of the answer. The server does that for bodies past a limit.
func avoidReset(w http.ResponseWriter) {
	const limit = 0
	past := http.MaxBytesReader(serverWriter(w), io.NopCloser(strings.NewReader("x")), limit)
	_, _ = past.Read(make([]byte, 1))
}

// boundDiscard bounds the time for which the server reads the body of a request before it
// sends the refusal. If the body is not at its end then, it closes the connection.
func boundDiscard(w http.ResponseWriter, length int64) {
	if length != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
	}
}

// serverWriter returns the server's own writer. http.MaxBytesReader needs that to have the
// connection of a body that is too large closed.
func serverWriter(w http.ResponseWriter) http.ResponseWriter {
	for {
		u, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return w
		}
		w = u.Unwrap()
	}
}

// unknownServiceReason returns the reason to refuse a request to a service without
// known targets: a configured service has none now, but may have some later.
func (q *request) unknownServiceReason() sqreason.Refusal {
	if q.Configured {
		return sqreason.TargetNone
	}
	return sqreason.ServiceUnknown
}

func bodyRefusal(err error) *sqerror.Error {
	if _, ok := errors.Into[*http.MaxBytesError](err); ok {
		return entryRefusal(sqreason.BodyTooLarge, nil)
	}
	return entryRefusal(sqreason.CallerGone, errors.Wrap(err, "read body"))
}

// runAttempts tries targets until one answers or a refusal is final. The refusal
// applies to the whole request: it says not-run only if no attempt may have run.
func (q *request) runAttempts(w http.ResponseWriter) *sqerror.Error {
	refusal := q.tryTargets(w)
	if refusal != nil && q.mayHaveRun && refusal.Run == squnit.RunNot {
		refusal.Run = squnit.RunUnknown
	}
	return refusal
}

func (q *request) tryTargets(w http.ResponseWriter) *sqerror.Error {
	q.entry.Router.noteRequest(q.startedAt, q)
	var last *sqerror.Error
	for {
		if !q.canEnd(time.Now()) {
			if last != nil {
				return q.passFailureOn(last)
			}
			return entryRefusal(sqreason.Stopping, nil)
		}
		target, reason := q.entry.Router.pick(q)
		if reason != sqreason.NoReason {
			if last != nil {
				return q.passFailureOn(last)
			}
			return entryRefusal(reason, nil)
		}
		q.tried = append(q.tried, target.ID)
		refusal := q.attempt(w, target)
		if refusal == nil {
			return nil
		}
		q.mayHaveRun = q.mayHaveRun || refusal.Run != squnit.RunNot
		if !q.retry(refusal) {
			return q.passFailureOn(refusal)
		}
		last = refusal
	}
}

// passFailureOn writes the target's own failure to the caller if the last attempt
// ended with one, and returns any other refusal.
func (q *request) passFailureOn(refusal *sqerror.Error) *sqerror.Error {
	if q.lastAnswer.heldFailure == nil {
		return refusal
	}
	q.lastAnswer.writeHeldFailure()
	if q.Parent != nil {
		q.Parent.NestedFailed()
	}
	q.entry.Metrics.Calls.WithLabelValues(squnit.RunDone.String()).Inc()
	return nil
}

// retry logs a failed attempt and reports whether another is to be made. If so, it
// has waited for the backoff.
func (q *request) retry(e *sqerror.Error) bool {
	retry := q.decideRetry(e)
	q.entry.Decisions.Info("attempt failed", append(q.logFields(),
		"reason", e.Reason, "run", e.Run.String(), "step", e.Step, "peer", e.Peer, "again", retry,
		"attempts", q.attemptsMade+q.reroutes, "credit", int(q.credit), "cause", causeText(e))...)
	return retry
}

// decideRetry decides whether another attempt is made, spends its budget and
// credit, and waits for its backoff.
func (q *request) decideRetry(e *sqerror.Error) bool {
	if q.reroute(e) {
		q.entry.Metrics.Retries.WithLabelValues(string(sqreason.RetryPeerDown)).Inc()
		return true
	}
	q.attemptsMade++
	now := time.Now()
	// The budget of the attempt after a silent target was spent by
	// withSilenceTimeout.
	budgetTaken := e.Reason == sqreason.TargetSilent
	if e.Reason.Overload() {
		q.shedAttempts++
	}
	verdict := sqretry.Decide(newRand(), sqretry.Attempt{
		NonIdempotent:    q.NonIdempotent,
		Run:              e.Run,
		Reason:           e.Reason,
		AttemptsMade:     q.attemptsMade,
		MaxAttempts:      q.Attempts,
		ShedAttempts:     q.shedAttempts,
		TimeLeft:         q.Deadline.Sub(now),
		MeanLatency:      q.entry.Router.Balancer.MeanLatency(q.Service),
		Credit:           q.credit,
		BudgetAllows:     budgetTaken || q.entry.Router.mayRetry(now, q),
		ServiceShedding:  q.entry.Router.Balancer.IsShedding(now, q.Service),
		OtherTarget:      len(q.entry.Router.Targets.Service(q.Service)) > len(q.tried),
		BodySpent:        !q.body.canResend(),
		NestedCallFailed: q.lastAnswer.failedBelow,
	})
	q.entry.Metrics.Retries.WithLabelValues(string(verdict.Reason)).Inc()
	if verdict.Reason == sqreason.NoRetryBudget {
		q.entry.Router.noteDeniedRetry(now, q)
	}
	if !verdict.Retry || !budgetTaken && !q.entry.Router.takeRetry(now, q) {
		return false
	}
	if !verdict.CostsNoCredit {
		q.credit--
		q.isRetried = true
	}
	if !verdict.OtherTargetOnly {
		q.tried = nil
	}
	return sqtimer.Sleep(q.ctx, verdict.Backoff) == nil
}

// reroute reports whether a refusal only means that the target is leaving or gone.
// Another target is tried then without spending credit, at most maxReroutes times.
func (q *request) reroute(e *sqerror.Error) bool {
	if e.Run != squnit.RunNot || !e.Reason.Unavailable() || q.reroutes >= maxReroutes || !q.body.canResend() {
		return false
	}
	if q.ctx.Err() != nil || !time.Now().Before(q.Deadline) {
		return false
	}
	q.reroutes++
	return true
}

// shedClass returns the class by which load is shed.
func (q *request) shedClass() sqshed.Class {
	return sqshed.Class{Service: q.Service, Route: q.Route, Workspace: q.Workspace}
}

// shed refuses a caller's request that load shedding does not admit.
func (q *request) shed() *sqerror.Error {
	if q.Parent != nil {
		return nil
	}
	admit := q.entry.Router.Shed.Admit
	if q.LikelyRetry {
		admit = q.entry.Router.Shed.AdmitRetry
	}
	d := admit(time.Now(), newRand(), q.shedClass(), q.Importance)
	q.share = d.Share
	if !d.OK {
		return entryRefusal(d.Reason, nil)
	}
	return nil
}

// endNestedCall reports the end of a nested call to its parent, and returns its
// unused credit.
func (q *request) endNestedCall() {
	q.Parent.NestedEnded(time.Now(), q.grantedCredit, max(q.credit, 0))
}

func formatLength(n int64) string { return strconv.FormatInt(n, 10) }
