package sqentry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqheader"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqoperation"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// maxReplayBytes bounds the body of an answer that is kept for repeats.
const maxReplayBytes = 64 << 10

// Operations decides on requests that carry an idempotency key.
type Operations interface {
	// Begin claims an operation. It returns a function that takes the run's
	// outcome if the operation may run, the earlier answer if it has run, or
	// the refusal.
	Begin(ctx context.Context, k sqoperation.Key, f sqoperation.Fingerprint, deadline time.Time) (finish func(sqoperation.Outcome), replay *sqoperation.Answer, refusal *sqerror.Error)
	// Mint returns a fresh key, empty if none can be had now.
	Mint(now time.Time) string
}

// named reports whether the request is an operation with a key. On routes that
// are open to all a key names nothing: callers can't be told apart there.
func (q *request) named() bool {
	return q.Operation != "" && q.NonIdempotent && q.Workspace != ""
}

// serveOperation runs a request with an idempotency key. It goes on when the
// caller leaves, so that a repeat finds the answer.
func (q *request) serveOperation(w http.ResponseWriter, r *http.Request) *sqerror.Error {
	if len(q.Operation) > MaxKeyBytes {
		return refuse(sqreason.BadRequest, errors.Errorf("%s has more than %d bytes", sqheader.IdempotencyKey, MaxKeyBytes))
	}
	q.cancel()
	q.ctx, q.cancel = context.WithDeadline(context.WithoutCancel(r.Context()), q.Deadline.Add(deadlineGrace))
	key := sqoperation.Key{Workspace: q.Workspace, Text: q.Operation}
	fingerprint := sqoperation.FingerprintOf(q.method, string(q.Service), q.Path, q.contentLength, q.body.first)
	finish, replay, refusal := q.entry.Operations.Begin(q.ctx, key, fingerprint, q.Deadline)
	switch {
	case refusal != nil:
		return refusal
	case replay != nil:
		q.replay(w, replay)
		return nil
	}
	outcome := sqoperation.Outcome{Run: squnit.RunUnknown}
	defer func() { finish(outcome) }()
	q.record = new(record)
	refusal = q.attempts(w)
	switch {
	case refusal != nil:
		outcome.Run = refusal.Run
	case q.record.whole:
		outcome = sqoperation.Outcome{Run: squnit.RunDone, Answer: q.record.answer()}
	default:
		outcome.Run = squnit.RunDone
	}
	return refusal
}

// replay answers a repeat with the operation's first answer.
func (q *request) replay(w http.ResponseWriter, a *sqoperation.Answer) {
	h := w.Header()
	for _, x := range a.Headers {
		h.Add(x.Name, x.Value)
	}
	q.answerHeaders(h, squnit.RunDone)
	h.Set(sqheader.Replayed, "true")
	h.Set("Content-Length", formatLength(int64(len(a.Body))))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
	q.entry.Metrics.Calls.WithLabelValues(squnit.RunDone.String()).Inc()
}

// record keeps an answer for repeats while it is passed on.
type record struct {
	head  *sqcallwire.AnswerHead
	body  []byte
	large bool
	whole bool
}

// add takes a frame. What it keeps is its own copy.
func (k *record) add(frame *sqcallwire.AnswerFrame) {
	if frame.GetHead() != nil {
		*k = record{head: frame.GetHead()}
	}
	if len(k.body)+len(frame.GetBody()) > maxReplayBytes {
		k.large, k.body = true, nil
	}
	if !k.large {
		k.body = append(k.body, frame.GetBody()...)
	}
	k.whole = frame.GetLast() && !k.large
}

func (k *record) answer() *sqoperation.Answer {
	a := &sqoperation.Answer{Status: int(k.head.GetStatus()), Body: k.body}
	for _, h := range k.head.GetHeaders() {
		a.Headers = append(a.Headers, sqoperation.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return a
}
