package sqgate

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqpool"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqconn"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqheader"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
	"github.com/sequoiatack/sequoiatack/internal/state/sqcall"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// FrameBytes is the size of a body's part in one frame.
const FrameBytes = 64 << 10

// buffers holds the buffers of answers under way.
var buffers = sqpool.Pool[[FrameBytes]byte]{New: func() *[FrameBytes]byte { return new([FrameBytes]byte) }}

// exchange is one call with its target.
type exchange struct {
	gate   *Gate
	head   *sqcallwire.CallHead
	call   *sqcall.Call
	ticket *ticket
	out    Sink

	// short is set if the request's body is at hand as a whole.
	short bool
}

// answerBuffer returns a buffer for an answer of a length, -1 if unknown. A
// short answer fits with a byte to spare, so that its end is seen at once.
func answerBuffer(length int64) (buf []byte, release func()) {
	if length >= 0 && length < FrameBytes {
		return make([]byte, length+1), func() {}
	}
	frame := buffers.Get()
	return frame[:], func() { buffers.Put(frame) }
}

func (x *exchange) run(ctx context.Context, body io.Reader) error {
	start := time.Now()
	resp, err := x.gate.Conns.Do(ctx, x.ticket.address, x.request(ctx, body))
	if err != nil {
		return x.fail(classify(ctx, err), start)
	}
	defer resp.Body.Close()
	v := x.gate.speech().Judge(resp)
	if v != (Verdict{}) && !v.Broken {
		// A refusal's body is read, so that its connection can be used again.
		if _, err := io.CopyN(io.Discard, resp.Body, refusalBytes); err != nil && !errors.Is(err, io.EOF) {
			x.gate.Logger.V(1).Info("target's refusal was cut", "target", x.call.Target, "error", err.Error())
		}
	}
	switch {
	case v.Moved:
		x.gate.moved(x.head, x.ticket.address)
		return x.fail(sqerror.Refuse(sqerror.StepTarget, sqreason.TargetNone, errMoved), start)
	case v.Refused != sqreason.NoReason:
		return x.fail(sqerror.Refuse(sqerror.StepTarget, x.refusedBy(v.Refused), nil), start)
	case v.Broken:
		err := errors.Errorf("answer with status %d can't be passed on", resp.StatusCode)
		return x.fail(sqerror.Uncertain(sqerror.StepTarget, sqreason.TargetBroken, err), start)
	}
	return x.answer(ctx, resp, start)
}

// refusedBy returns the reason of a target's refusal. Where the gate knows the
// slots, a target that says it is full is at fault.
func (x *exchange) refusedBy(reason sqreason.Refusal) sqreason.Refusal {
	exact, ok := x.ticket.door.admission.(interface{ KnowsSlots() bool })
	if reason == sqreason.ShedByTarget && ok && exact.KnowsSlots() {
		return sqreason.TargetRefused
	}
	return reason
}

// refusalBytes bounds what is read of a target's refusal.
const refusalBytes = 4 << 10

var errMoved = errors.New("another target has the address")

// request is the call as it goes to the target.
func (x *exchange) request(ctx context.Context, body io.Reader) *sqconn.Request {
	h := make(http.Header, len(x.head.GetHeaders())+toldHeaders)
	sqheader.Set(h, x.head.GetHeaders())
	deadline, _ := ctx.Deadline()
	x.gate.speech().Tell(h, Told{
		Call: x.call.ID, Workspace: x.call.Workspace, RequestID: x.head.GetRequestId(),
		Caller: sqid.ServiceID(x.head.GetCaller()), Target: x.call.Target, Nested: x.call.Depth > 0,
		Left: max(time.Until(deadline), 0),
	})
	return &sqconn.Request{
		ID: x.head.GetRequestId(), Method: x.head.GetMethod(), URI: x.head.GetPath(),
		Host: cmp.Or(x.head.GetHost(), x.ticket.address), Header: h,
		Body: body, Length: x.head.GetContentLength(), Short: x.short,
	}
}

// toldHeaders is room for the headers that a speech adds.
const toldHeaders = 6

// classify says what an error before the answer's head means.
func classify(ctx context.Context, err error) *sqerror.Error {
	run := squnit.RunUnknown
	if e, ok := errors.Into[*sqconn.Error](err); ok && !e.Sent {
		run = squnit.RunNot
	}
	reason := sqreason.TargetBroken
	switch {
	case errors.Is(err, errBodyCut) || errors.Is(context.Cause(ctx), context.Canceled):
		reason = sqreason.CallerGone
	case ctx.Err() != nil:
		reason = sqreason.DeadlineExceeded
	case run == squnit.RunNot:
		reason = sqreason.TargetUnreachable
	}
	return &sqerror.Error{Step: sqerror.StepTarget, Reason: reason, Run: run, Err: err}
}

func (x *exchange) fail(e *sqerror.Error, start time.Time) error {
	x.leave(outcomeOf(e), start)
	return x.gate.refuse(x.out, e, x.call.Credit(), x.load())
}

// answer passes the target's answer on. A short answer goes whole in one
// frame, so that one cut by the target is never begun.
func (x *exchange) answer(ctx context.Context, resp *http.Response, start time.Time) error {
	head := &sqcallwire.AnswerHead{
		Status:        uint32(resp.StatusCode),
		Headers:       sqheader.Outward(resp.Header),
		Run:           uint32(squnit.RunDone),
		ContentLength: resp.ContentLength,
	}
	buf, release := answerBuffer(resp.ContentLength)
	defer release()
	n, err := Fill(resp.Body, buf)
	frame := &sqcallwire.AnswerFrame{Head: head, Body: buf[:n]}
	if err != nil && !errors.Is(err, io.EOF) {
		return x.fail(classify(ctx, &sqconn.Error{Sent: true, Err: err}), start)
	}
	for err == nil {
		if sendErr := x.out.Send(frame); sendErr != nil {
			return x.cut(sendErr, start)
		}
		n, err = Fill(resp.Body, buf)
		if err != nil && !errors.Is(err, io.EOF) {
			return x.cut(err, start)
		}
		frame = &sqcallwire.AnswerFrame{Body: buf[:n]}
	}
	return x.finish(frame, start)
}

// Fill reads until buf is full or the body ends. Its error is the body's own:
// io.EOF says that the body is whole.
func Fill(body io.Reader, buf []byte) (int, error) {
	n := 0
	for n < len(buf) {
		m, err := body.Read(buf[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func (x *exchange) finish(frame *sqcallwire.AnswerFrame, start time.Time) error {
	x.leave(sqadmit.OK, start)
	frame.Last = true
	frame.Load = x.load()
	frame.CreditLeft = int32(x.call.Credit())
	frame.FailedBelow = x.call.FailedBelow()
	return x.out.Send(frame)
}

// cut ends an answer that has begun and can't be finished.
func (x *exchange) cut(err error, start time.Time) error {
	x.leave(sqadmit.Failed, start)
	return sqerror.Uncertain(sqerror.StepTarget, sqreason.TargetBroken, err)
}

// leave ends the call: no nested call can be made for it from now on.
func (x *exchange) leave(o sqadmit.Outcome, start time.Time) {
	x.gate.Calls.Close(x.call.ID)
	now := time.Now()
	x.ticket.leave(sqadmit.Result{Outcome: o, Latency: now.Sub(start), Nested: x.call.NestedTime(now)})
}

func outcomeOf(e *sqerror.Error) sqadmit.Outcome {
	switch e.Reason {
	case sqreason.ShedByTarget:
		return sqadmit.Shed
	case sqreason.CallerGone:
		return sqadmit.Cancelled
	default:
		return sqadmit.Failed
	}
}

// load returns the target's state and that of the services below it.
func (x *exchange) load() *sqcallwire.Load {
	l := x.ticket.load()
	for _, r := range x.call.Rooms() {
		l.Deeper = append(l.Deeper, &sqcallwire.ServiceLevel{
			Service: string(r.Service), Level: uint32(r.Level), Shed: float64(1 - r.Share), ShedAll: float64(1 - r.OverallShare),
			Typical: float64(r.MedianShare),
		})
	}
	return l
}
