package sqentry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqheader"
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
	entry *Entry

	service       sqid.ServiceID
	path          string
	method        string
	key           string
	workspace     sqid.WorkspaceID
	importance    squnit.Importance
	weight        squnit.Weight
	nonIdempotent bool
	deadline      time.Time
	credit        squnit.Credit
	depth         squnit.Depth
	root          string
	operation     string
	headers       []*sqcallwire.Header
	contentLength int64
	body          *body

	// parent is the call that a nested call is made for.
	parent        sqid.CallID
	parentContext context.Context

	ctx      context.Context
	cancel   context.CancelFunc
	tried    []sqtarget.ID
	reroutes int
}

func (e *Entry) newRequest(r *http.Request, s sqid.ServiceID, path string, deadline time.Time) *request {
	q := &request{
		entry: e, service: s, path: path, method: r.Method, deadline: deadline,
		headers: sqheader.Outward(r.Header), contentLength: r.ContentLength,
	}
	q.ctx, q.cancel = context.WithDeadline(r.Context(), deadline.Add(deadlineGrace))
	return q
}

// serve runs the request and answers it.
func (q *request) serve(w http.ResponseWriter, r *http.Request) {
	defer q.cancel()
	refusal := q.prepare(w, r)
	if refusal == nil {
		refusal = q.attempts(w)
	}
	if refusal != nil {
		q.entry.refuse(w, refusal)
	}
}

// prepare reads the body's first part and charges the request.
func (q *request) prepare(w http.ResponseWriter, r *http.Request) *sqerror.Error {
	if r.ContentLength > int64(MaxBodyBytes) {
		return refuse(sqreason.BodyTooLarge, nil)
	}
	if !q.entry.Router.Known(q.service) {
		return refuse(sqreason.ServiceUnknown, nil)
	}
	if refusal := q.charge(q.ctx); refusal != nil {
		return refusal
	}
	r.Body = http.MaxBytesReader(w, r.Body, int64(MaxBodyBytes))
	b, err := readBody(r)
	if err != nil {
		return bodyRefusal(err)
	}
	q.body = b
	if !b.whole {
		// Without it the server reads all of the body before it answers.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	return nil
}

func bodyRefusal(err error) *sqerror.Error {
	if _, ok := errors.Into[*http.MaxBytesError](err); ok {
		return refuse(sqreason.BodyTooLarge, nil)
	}
	return refuse(sqreason.CallerGone, errors.Wrap(err, "read body"))
}

// attempts tries targets until one answers or a refusal stands.
func (q *request) attempts(w http.ResponseWriter) *sqerror.Error {
	for {
		target, reason := q.entry.Router.Pick(q)
		if reason != sqreason.NoReason {
			return refuse(reason, nil)
		}
		q.tried = append(q.tried, target.ID)
		refusal := q.attempt(w, target)
		if refusal == nil {
			return nil
		}
		if !q.retry(refusal) {
			return refusal
		}
	}
}

// retry decides whether another attempt is made after a refusal.
func (q *request) retry(e *sqerror.Error) bool {
	verdict := q.retryReason(e)
	q.entry.Metrics.Retries.WithLabelValues(string(verdict)).Inc()
	switch verdict {
	case sqreason.RetryPeerDown:
		q.reroutes++
		return true
	case sqreason.RetryNotRun, sqreason.RetryIdempotent, sqreason.RetryShedOnce:
		q.credit--
		return true
	}
	return false
}

func (q *request) retryReason(e *sqerror.Error) sqreason.Retry {
	switch {
	case !q.body.again():
		return sqreason.NoRetryBodySpent
	case time.Until(q.deadline) <= 0 || q.ctx.Err() != nil:
		return sqreason.NoRetryDeadline
	case e.Run == squnit.RunNot && leaving(e.Reason) && q.reroutes < maxReroutes:
		return sqreason.RetryPeerDown
	case e.Run != squnit.RunNot && q.nonIdempotent:
		return sqreason.NoRetryUncertain
	case q.credit <= 0:
		return sqreason.NoRetryCredit
	case e.Run == squnit.RunNot:
		return sqreason.RetryNotRun
	default:
		return sqreason.RetryIdempotent
	}
}

// leaving reports whether a refusal says that a target is going, or gone.
func leaving(reason sqreason.Refusal) bool {
	switch reason {
	case sqreason.TargetDraining, sqreason.TargetNone, sqreason.Stopping,
		sqreason.PeerUnreachable, sqreason.TargetUnreachable:
		return true
	}
	return false
}

// returnCredit gives a nested call's unused credit back to its parent.
func (q *request) returnCredit() {
	q.entry.Calls.ReturnCredit(q.parent, max(q.credit, 0))
}

func formatLength(n int64) string { return strconv.FormatInt(n, 10) }
