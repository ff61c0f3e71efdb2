package sqentry

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqpeer"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqhold"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqretry"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// attempt sends the request to one target. It returns nil once a complete answer
// has been written. If an answer ends early after its head was written, attempt
// aborts the caller's connection by panicking with http.ErrAbortHandler.
func (q *request) attempt(w http.ResponseWriter, t sqtarget.Row) *sqerror.Error {
	a := &answerWriter{
		w: w, control: http.NewResponseController(w), setHeaders: q.setAnswerHeaders, recorder: q.recorder,
		holdFailure: !q.NonIdempotent && q.recorder == nil,
	}
	q.lastAnswer = a
	start := time.Now()
	q.entry.Router.Balancer.Started(t.ID)
	ctx, silent, stop := q.withSilenceTimeout(t, a)
	ctx, cancel := context.WithCancelCause(ctx)
	a.hold = func() *sqhold.Part {
		return q.entry.Budget.Open(sqpeer.HeldBytes, giveWay(cancel, a.control.SetWriteDeadline))
	}
	err := q.callTarget(ctx, t, a)
	q.body.endAttempt()
	a.part.Close()
	stop()
	gaveWay := errors.Is(context.Cause(ctx), errGaveWay)
	cancel(nil)
	refusal := q.attemptError(t, a, err)
	if gaveWay && refusal != nil && a.refusal == nil {
		refusal.Reason = sqreason.MemoryFull
	}
	if silent.Load() && refusal != nil && q.ctx.Err() == nil {
		refusal = sqerror.Uncertain(sqerror.StepTarget, sqreason.TargetSilent, nil)
		refusal.Peer = t.ID.Daemon
	}
	q.entry.Router.Balancer.SpendLink(time.Now(), t.Region, a.received+q.bodySize())
	q.entry.Router.noteAttemptEnd(q, t.ID, time.Since(start), refusal, a)
	q.updateCredit(a, refusal)
	if refusal == nil || refusal.Run != squnit.RunNot {
		q.noteDuration(time.Now())
	}
	switch {
	case refusal == nil:
		if len(q.tried) == 1 {
			q.entry.Router.budget(q.Service).Succeeded(start)
		}
		q.entry.Metrics.Calls.WithLabelValues(squnit.RunDone.String()).Inc()
	case a.headWritten:
		q.entry.Metrics.Calls.WithLabelValues(squnit.RunUnknown.String()).Inc()
		panic(http.ErrAbortHandler)
	}
	return refusal
}

const (
	// A target counts as silent after silenceFactor times the 90th percentile of latency,
	// but not before minSilenceTimeout: a queue at the target explains a shorter wait.
	silenceFactor     = 2
	minSilenceTimeout = 150 * time.Millisecond
)

// withSilenceTimeout returns the context of an attempt. It ends early if a target
// with free slots is silent for far longer than most answers take and another
// attempt is certain to follow. silent is set then, and the retry budget of the
// next attempt has already been spent.
func (q *request) withSilenceTimeout(t sqtarget.Row, a *answerWriter) (ctx context.Context, silent *atomic.Bool, stop func()) {
	silent = new(atomic.Bool)
	ctx, cancel := context.WithCancel(q.ctx)
	p90, mean := q.entry.Router.Balancer.P90Latency(q.Service), q.entry.Router.Balancer.MeanLatency(q.Service)
	wait := max(minSilenceTimeout, silenceFactor*p90)
	// The second attempt may be one of the slow ones.
	minTime := sqretry.MinTimeForRetry(max(p90, mean))
	if p90 == 0 || !q.mayAbandonAttempt() || time.Until(q.Deadline) <= wait+minTime {
		return ctx, silent, cancel
	}
	timer := time.AfterFunc(wait, func() {
		now := time.Now()
		if a.started.Load() || q.entry.Stop.Begun() || q.Deadline.Sub(now) <= minTime {
			return
		}
		if q.entry.Router.Balancer.HasFreeSlots(now, t.ID) && q.entry.Router.takeRetry(now, q) {
			silent.Store(true)
			cancel()
		}
	})
	return ctx, silent, func() {
		timer.Stop()
		cancel()
	}
}

// mayAbandonAttempt reports whether an attempt that may have run may be abandoned
// for another. It may not while load is shed for a deeper service, which explains
// a long wait.
func (q *request) mayAbandonAttempt() bool {
	return !q.NonIdempotent && q.recorder == nil && q.attemptsMade+1 < q.Attempts && q.credit > 0 && q.share >= 1 && q.body.canResend()
}

// bodySize returns the size of the request's body as far as it is known.
func (q *request) bodySize() squnit.Bytes {
	return squnit.Bytes(max(q.contentLength, int64(len(q.body.prefix))))
}

// updateCredit updates the credit after an attempt. If the answer was lost, the
// credit granted with the call is lost too, unless the call has certainly not run.
func (q *request) updateCredit(a *answerWriter, refusal *sqerror.Error) {
	granted := q.credit - q.reservedCredit()
	switch {
	case a.complete:
		q.credit = q.reservedCredit() + max(0, min(a.credit, granted))
	case refusal == nil || refusal.Run != squnit.RunNot:
		q.credit = q.reservedCredit()
	}
}

// reservedCredit is the part of the credit that is not granted with a call, so
// that one more attempt can follow if the answer is lost.
func (q *request) reservedCredit() squnit.Credit { return min(q.credit, 1) }

func (q *request) setAnswerHeaders(h http.Header, run squnit.RunState) {
	q.closeIfNextIsLate(h)
	q.closeIfBodyIsLeft(h)
	q.adapter.SetAnswerHeaders(h, &q.RequestInfo, run)
}

// callTarget sends the call to the gate of the target's daemon.
func (q *request) callTarget(ctx context.Context, t sqtarget.Row, a *answerWriter) error {
	callHead := q.callHead(t)
	if t.ID.Daemon == q.entry.Daemon {
		return q.entry.Gate.Serve(ctx, callHead, q.body.reader(), q.body.complete, a)
	}
	return q.callPeer(ctx, t, callHead, a)
}

// callHead returns the head of the call to a target.
func (q *request) callHead(t sqtarget.Row) *sqcallwire.CallHead {
	return &sqcallwire.CallHead{
		Service: string(q.Service), Target: string(t.ID.Target), Method: q.method, Path: q.Path, Host: q.Host,
		Headers: q.headers, Workspace: string(q.Workspace), RequestId: q.ID, Caller: string(q.entry.Service),
		Importance: uint32(q.Importance), Weight: float64(q.Weight),
		TimeLeftUs: time.Until(q.Deadline).Microseconds(),
		Credit:     int32(q.credit - q.reservedCredit()), Depth: uint32(q.depth), NonIdempotent: q.NonIdempotent,
		Share: float64(q.share),
		Root:  q.rootID, Repeat: q.isRetried || q.Parent != nil && q.Parent.Repeat, ContentLength: q.contentLength, Entry: string(q.entry.Daemon), Operation: q.OperationKey,
	}
}

// errGaveWay is the cause of the end of an attempt that gave way to others.
var errGaveWay = errors.New("calls hold too much memory")

// giveWay returns the function that ends an attempt, so that others have memory. unblock
// ends the wait for a caller that reads slowly, by a deadline.
func giveWay(cancel context.CancelCauseFunc, unblock func(time.Time) error) func() {
	return func() {
		cancel(errGaveWay)
		_ = unblock(time.Now())
	}
}

// errNotSent is returned if no byte of a call has left the daemon.
var errNotSent = errors.New("call was not sent")

// callPeer sends the call to the gate of another daemon.
func (q *request) callPeer(ctx context.Context, t sqtarget.Row, head *sqcallwire.CallHead, a *answerWriter) error {
	conn, err := q.entry.Conns.Conn(t.PeerAddress)
	if err != nil {
		return errors.Wrap(errNotSent, err.Error())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !q.body.complete {
		bodyCtx, end := context.WithCancelCause(ctx)
		defer end(nil)
		ctx = bodyCtx
		q.body.part = q.entry.Budget.Open(sqpeer.HeldBytes, func() {
			end(errGaveWay)
			q.body.interrupt()
		})
		defer q.body.part.Close()
	}
	stream, err := sqcallwire.NewGateClient(conn).Call(ctx)
	if err != nil {
		return errors.Wrap(errNotSent, err.Error())
	}
	first := &sqcallwire.CallFrame{Head: head, Body: q.body.prefix, Last: q.body.complete}
	if err := stream.Send(first); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if !q.body.complete {
		defer q.streamBody(stream, cancel)()
	}
	return receiveAnswer(stream, &peerAnswer{out: a, method: q.method})
}

// streamBody sends the rest of the body in the background. The returned function
// stops it, even while it reads from the caller, and waits for its end.
func (q *request) streamBody(stream sqcallwire.Gate_CallClient, cancel func()) func() {
	done := make(chan struct{})
	rest := q.body.restReader()
	go func() {
		defer close(done)
		if err := q.body.sendRest(rest, stream.Send); err != nil && !errors.Is(err, io.EOF) {
			cancel()
		}
	}()
	return func() {
		cancel()
		q.body.endAttempt()
		<-done
	}
}

func receiveAnswer(stream sqcallwire.Gate_CallClient, out sqgate.Sink) error {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := out.Send(frame); err != nil {
			return err
		}
		if frame.GetLast() {
			return nil
		}
	}
}

// attemptError returns the error that an attempt ended with, nil for a complete
// answer.
func (q *request) attemptError(t sqtarget.Row, a *answerWriter, err error) *sqerror.Error {
	if a.refusal != nil {
		return a.refusal
	}
	if err == nil && a.complete {
		return q.heldFailureError(t, a)
	}
	e := sqerror.Uncertain(sqerror.StepPeer, sqreason.PeerBroken, err)
	e.Peer = t.ID.Daemon
	switch {
	case errors.Is(err, errNotSent) && q.ctx.Err() == nil:
		e.Reason, e.Run = sqreason.PeerUnreachable, squnit.RunNot
		q.entry.ReportUnreachable(t.ID.Daemon)
	case errors.Is(q.ctx.Err(), context.Canceled) || a.writeErr != nil:
		e.Reason = sqreason.CallerGone
	case q.ctx.Err() != nil || status.Code(err) == codes.DeadlineExceeded:
		e.Reason = sqreason.DeadlineExceeded
	}
	if errors.Is(err, errNotSent) {
		e.Run = squnit.RunNot
	}
	return e
}

// heldFailureError returns an error for a held failure of the target, nil if none
// is held.
func (q *request) heldFailureError(t sqtarget.Row, a *answerWriter) *sqerror.Error {
	if a.heldFailure == nil {
		return nil
	}
	e := sqerror.Uncertain(sqerror.StepTarget, sqreason.TargetFailed, nil)
	e.Peer = t.ID.Daemon
	return e
}
