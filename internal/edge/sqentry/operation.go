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

// Operations keeps the dedup records of requests with idempotency keys.
type Operations interface {
	// Begin claims an operation. It returns finish, which must be called with the
	// run's outcome, if the operation may run; the earlier answer if it has run; or
	// the refusal.
	Begin(ctx context.Context, k sqoperation.Key, f sqoperation.Fingerprint, deadline time.Time) (finish func(sqoperation.Outcome), replay *sqoperation.Answer, refusal *sqerror.Error)
	// Mint returns a fresh key, empty if none is available now.
	Mint(now time.Time) string
}

// isOperation reports whether the request is an operation with a key. On routes
// that are open to all, keys are ignored: callers can't be told apart there.
func (q *request) isOperation() bool {
	return q.OperationKey != "" && q.NonIdempotent && q.Workspace != ""
}

// serveOperation runs a request with an idempotency key. The run continues if the
// caller leaves, so that a repeat finds the answer.
func (q *request) serveOperation(w http.ResponseWriter, r *http.Request) *sqerror.Error {
	if len(q.OperationKey) > MaxKeyBytes {
		return entryRefusal(sqreason.BadRequest, errors.Errorf("%s has more than %d bytes", sqheader.IdempotencyKey, MaxKeyBytes))
	}
	q.cancel()
	q.ctx, q.cancel = context.WithDeadline(context.WithoutCancel(r.Context()), q.Deadline.Add(deadlineGrace))
	key := sqoperation.Key{Workspace: q.Workspace, Text: q.OperationKey}
	fingerprint := sqoperation.FingerprintOf(q.method, string(q.Service), q.Path, q.contentLength, q.body.prefix)
	finish, replay, refusal := q.entry.Operations.Begin(q.ctx, key, fingerprint, q.Deadline)
	switch {
	case refusal != nil:
		return refusal
	case replay != nil:
		return q.replay(w, replay)
	}
	outcome := sqoperation.Outcome{Run: squnit.RunUnknown}
	defer func() { finish(outcome) }()
	q.recorder = new(recorder)
	refusal = q.runAttempts(w)
	switch {
	case refusal != nil:
		outcome.Run = refusal.Run
	case q.recorder.complete:
		outcome = sqoperation.Outcome{Run: squnit.RunDone, Answer: q.recorder.answer()}
	default:
		outcome.Run = squnit.RunDone
	}
	return refusal
}

// replay answers a repeat with the operation's first answer, which may come from another
// daemon.
func (q *request) replay(w http.ResponseWriter, a *sqoperation.Answer) *sqerror.Error {
	head := &sqcallwire.AnswerHead{Status: uint32(a.Status)}
	for _, x := range a.Headers {
		head.Headers = append(head.Headers, &sqcallwire.Header{Name: x.Name, Value: []byte(x.Value)})
	}
	if err := sqheader.CheckForwarded(head); err != nil {
		return sqerror.Uncertain(sqerror.StepOperation, sqreason.OperationUnknown, errors.Wrap(err, "recorded answer"))
	}
	h := w.Header()
	sqheader.Add(h, head.GetHeaders())
	q.setAnswerHeaders(h, squnit.RunDone)
	h.Set(sqheader.Replayed, "true")
	h.Set("Content-Length", formatLength(int64(len(a.Body))))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
	q.entry.Metrics.Calls.WithLabelValues(squnit.RunDone.String()).Inc()
	return nil
}

// recorder keeps a copy of an answer for repeats while it is passed on.
type recorder struct {
	head *sqcallwire.AnswerHead
	body []byte
	// tooLarge is set once the body exceeds maxReplayBytes; it is not kept then.
	tooLarge bool
	complete bool
}

// add copies a frame. A new head starts the recording anew.
func (k *recorder) add(frame *sqcallwire.AnswerFrame) {
	if frame.GetHead() != nil {
		*k = recorder{head: frame.GetHead()}
	}
	if len(k.body)+len(frame.GetBody()) > maxReplayBytes {
		k.tooLarge, k.body = true, nil
	}
	if !k.tooLarge {
		k.body = append(k.body, frame.GetBody()...)
	}
	k.complete = frame.GetLast() && !k.tooLarge
}

func (k *recorder) answer() *sqoperation.Answer {
	a := &sqoperation.Answer{Status: int(k.head.GetStatus()), Body: k.body}
	for _, h := range k.head.GetHeaders() {
		a.Headers = append(a.Headers, sqoperation.Header{Name: h.GetName(), Value: string(h.GetValue())})
	}
	return a
}
