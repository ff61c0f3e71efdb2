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
	"github.com/sequoiatack/sequoiatack/internal/policy/sqretry"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// attempt sends the request to one target. It returns nil once an answer has
// been passed on whole. An answer that is cut after it was begun cuts the
// caller's connection, by panicking as net/http asks.
func (q *request) attempt(w http.ResponseWriter, t sqtarget.Row) *sqerror.Error {
	a := &answer{
		w: w, control: http.NewResponseController(w), prepare: q.answerHeaders, record: q.record,
		hold: !q.NonIdempotent && q.record == nil,
	}
	q.last = a
	start := time.Now()
	q.entry.Router.Route.Started(t.ID)
	ctx, silent, stop := q.patience(t, a)
	err := q.exchange(ctx, t, a)
	stop()
	refusal := q.outcome(t, a, err)
	if silent.Load() && refusal != nil && q.ctx.Err() == nil {
		refusal = sqerror.Uncertain(sqerror.StepTarget, sqreason.TargetSilent, nil)
		refusal.Peer = t.ID.Daemon
	}
	q.entry.Router.Route.SpendLink(time.Now(), t.Region, a.received+q.sent())
	q.entry.Router.ended(q, t.ID, time.Since(start), refusal, a)
	q.settle(a, refusal)
	switch {
	case refusal == nil:
		if len(q.tried) == 1 {
			q.entry.Router.budget(q.Service).Succeeded(start)
		}
		q.entry.Metrics.Calls.WithLabelValues(squnit.RunDone.String()).Inc()
	case a.begun:
		q.entry.Metrics.Calls.WithLabelValues(squnit.RunUnknown.String()).Inc()
		panic(http.ErrAbortHandler)
	}
	return refusal
}

const (
	// silentFactor is the number of slow times after which a call that may be
	// repeated is taken for lost, silentLeast the least time for that: shorter
	// than it, a queue at the target explains the wait.
	silentFactor = 2
	silentLeast  = 150 * time.Millisecond
)

// patience returns the context of an attempt, which ends before the request's
// own if a target with free slots gives no answer in far more than the time in
// which most answers come, and another attempt is certain to be made then. silent
// tells that this was so; the budget of that attempt is taken.
func (q *request) patience(t sqtarget.Row, a *answer) (ctx context.Context, silent *atomic.Bool, stop func()) {
	silent = new(atomic.Bool)
	ctx, cancel := context.WithCancel(q.ctx)
	slow, usual := q.entry.Router.Route.P90Latency(q.Service), q.entry.Router.Route.MeanLatency(q.Service)
	wait := max(silentLeast, silentFactor*slow)
	// The second attempt may be one of the slow ones.
	needs := sqretry.MinTimeForRetry(max(slow, usual))
	if slow == 0 || !q.mayRepeat() || time.Until(q.Deadline) <= wait+needs {
		return ctx, silent, cancel
	}
	timer := time.AfterFunc(wait, func() {
		now := time.Now()
		if a.started.Load() || q.entry.Stopping() || q.Deadline.Sub(now) <= needs {
			return
		}
		if q.entry.Router.Route.HasFreeSlots(now, t.ID) && q.entry.Router.takeRetry(now, q) {
			silent.Store(true)
			cancel()
		}
	})
	return ctx, silent, func() {
		timer.Stop()
		cancel()
	}
}

// mayRepeat reports whether an attempt may be given up for another although it may
// have run. Where a service below has too little room, that explains a long wait.
func (q *request) mayRepeat() bool {
	return !q.NonIdempotent && q.record == nil && q.tries+1 < q.Attempts && q.credit > 0 && q.share >= 1 && q.body.again()
}

// sent is the size of the request's body as far as it is known.
func (q *request) sent() squnit.Bytes {
	return squnit.Bytes(max(q.contentLength, int64(len(q.body.first))))
}

// settle brings the credit up to date: what a lost answer would have brought
// back is lost, unless the call was certainly not run.
func (q *request) settle(a *answer, refusal *sqerror.Error) {
	granted := q.credit - q.held()
	switch {
	case a.last:
		q.credit = q.held() + max(0, min(a.credit, granted))
	case refusal == nil || refusal.Run != squnit.RunNot:
		q.credit = q.held()
	}
}

// held is the part of the credit that is not granted with a call, so that a
// lost answer can be followed by one more attempt.
func (q *request) held() squnit.Credit { return min(q.credit, 1) }

func (q *request) answerHeaders(h http.Header, run squnit.RunState) {
	q.front.Answer(h, &q.Ask, run)
}

func (q *request) exchange(ctx context.Context, t sqtarget.Row, a *answer) error {
	head := q.head(t)
	if t.ID.Daemon == q.entry.Daemon {
		return q.entry.Gate.Serve(ctx, head, q.body.reader(), q.body.whole, a)
	}
	return q.remote(ctx, t, head, a)
}

func (q *request) head(t sqtarget.Row) *sqcallwire.CallHead {
	return &sqcallwire.CallHead{
		Service: string(q.Service), Target: string(t.ID.Target), Method: q.method, Path: q.Path, Host: q.Host,
		Headers: q.headers, Workspace: string(q.Workspace), RequestId: q.ID, Caller: string(q.entry.Service),
		Importance: uint32(q.Importance), Weight: float64(q.Weight),
		TimeLeftUs: time.Until(q.Deadline).Microseconds(),
		Credit:     int32(q.credit - q.held()), Depth: uint32(q.depth), NonIdempotent: q.NonIdempotent,
		Share: float64(q.share),
		Root:  q.root, Repeat: q.repeat || q.Parent != nil && q.Parent.Repeat, ContentLength: q.contentLength, Entry: string(q.entry.Daemon), Operation: q.Operation,
	}
}

// errNotSent says that no byte of a call has left the daemon.
var errNotSent = errors.New("call was not sent")

// remote has the call served by the target's own daemon.
func (q *request) remote(ctx context.Context, t sqtarget.Row, head *sqcallwire.CallHead, a *answer) error {
	conn, err := q.entry.Conns.Conn(t.PeerAddress)
	if err != nil {
		return errors.Wrap(errNotSent, err.Error())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := sqcallwire.NewGateClient(conn).Call(ctx)
	if err != nil {
		return errors.Wrap(errNotSent, err.Error())
	}
	first := &sqcallwire.CallFrame{Head: head, Body: q.body.first, Last: q.body.whole}
	if err := stream.Send(first); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if !q.body.whole {
		defer q.upload(stream, cancel, a.control)()
	}
	return receive(stream, a)
}

// upload streams the rest of the body in the background. The function that it
// returns ends that, also in the middle of a read.
func (q *request) upload(stream sqcallwire.Gate_CallClient, cancel func(), c *http.ResponseController) func() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := q.body.frames(stream.Send); err != nil && !errors.Is(err, io.EOF) {
			cancel()
		}
	}()
	return func() {
		cancel()
		select {
		case <-done:
		default:
			_ = c.SetReadDeadline(time.Now())
			<-done
		}
	}
}

func receive(stream sqcallwire.Gate_CallClient, out sqgate.Sink) error {
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

// outcome says what an attempt's end means; nil is a whole answer.
func (q *request) outcome(t sqtarget.Row, a *answer, err error) *sqerror.Error {
	if a.refusal != nil {
		return a.refusal
	}
	if err == nil && a.last {
		return q.failure(t, a)
	}
	e := sqerror.Uncertain(sqerror.StepPeer, sqreason.PeerBroken, err)
	e.Peer = t.ID.Daemon
	switch {
	case errors.Is(err, errNotSent) && q.ctx.Err() == nil:
		e.Reason, e.Run = sqreason.PeerUnreachable, squnit.RunNot
		q.entry.Suspect(t.ID.Daemon)
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

// failure returns the refusal that stands for a held failure of the target.
func (q *request) failure(t sqtarget.Row, a *answer) *sqerror.Error {
	if a.failed == nil {
		return nil
	}
	e := sqerror.Uncertain(sqerror.StepTarget, sqreason.TargetFailed, nil)
	e.Peer = t.ID.Daemon
	return e
}
