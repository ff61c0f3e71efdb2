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
	"github.com/sequoiatack/sequoiatack/internal/edge/sqpeer"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
	"github.com/sequoiatack/sequoiatack/internal/state/sqcall"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// FrameBytes is the largest part of a body in one frame.
const FrameBytes = 64 << 10

// frameBuffers is a pool of buffers for answers of at least FrameBytes or of
// unknown length.
var frameBuffers = sqpool.Pool[[FrameBytes]byte]{New: func() *[FrameBytes]byte { return new([FrameBytes]byte) }}

// exchange is one admitted call: its request to the target and the answer.
type exchange struct {
	gate        *Gate
	head        *sqcallwire.CallHead
	call        *sqcall.Call
	reservation *reservation
	out         Sink

	// giveWay ends the call, so that others have memory.
	giveWay func()
	// bodyBuffered is set if the whole body of the request is in memory.
	bodyBuffered bool
}

// answerBuffer returns a buffer for an answer of the given length, -1 if
// unknown. For a short answer, one of less than FrameBytes, it has one byte to
// spare, so that the first ReadFull also reads the end of the body.
func answerBuffer(length int64) (buf []byte, release func()) {
	if length >= 0 && length < FrameBytes {
		return make([]byte, length+1), func() {}
	}
	frame := frameBuffers.Get()
	return frame[:], func() { frameBuffers.Put(frame) }
}

func (x *exchange) run(ctx context.Context, body io.Reader) error {
	start := time.Now()
	resp, err := x.gate.Conns.Do(ctx, x.reservation.address, x.request(ctx, body))
	if err != nil {
		return x.fail(classify(ctx, err), start)
	}
	defer resp.Body.Close()
	class := x.gate.adapter().Classify(resp)
	if class != (AnswerClass{}) && !class.Unforwardable {
		// Read the body of the refusal so that its connection can be reused. That of
		// an unforwardable answer is not read; closing it closes the connection.
		if _, err := io.CopyN(io.Discard, resp.Body, maxRefusalBytes); err != nil && !errors.Is(err, io.EOF) {
			x.gate.Logger.V(1).Info("target's refusal was truncated", "target", x.call.Target, "error", err.Error())
		}
	}
	switch {
	case class.AddressReused:
		// TargetNone, unlike TargetUnknown, counts as unavailable, so the entry
		// tries another target without spending credit.
		x.gate.removeReplaced(x.head, x.reservation.address)
		return x.fail(sqerror.Refuse(sqerror.StepTarget, sqreason.TargetNone, errAddressReused), start)
	case class.Refused != sqreason.NoReason:
		return x.fail(sqerror.Refuse(sqerror.StepTarget, x.refusalReason(class.Refused), nil), start)
	case class.Unforwardable:
		err := errors.Errorf("answer with status %d cannot be forwarded", resp.StatusCode)
		return x.fail(sqerror.Uncertain(sqerror.StepTarget, sqreason.TargetBroken, err), start)
	}
	return x.forwardAnswer(ctx, resp, start)
}

// refusalReason returns the reason to report for a target's refusal. If the
// admission policy knows the target's exact slots, a target that reports to be
// full has failed: the policy admits no call beyond the announced slots. A call that
// ended at its deadline or was cancelled holds no slot, although the target may
// still run it. KnowsSlots is optional for an Admission. sqadmit.Gate has it and
// reports whether it was configured to take the announced slots as exact; otherwise
// its limit adapts.
func (x *exchange) refusalReason(reason sqreason.Refusal) sqreason.Refusal {
	exact, ok := x.reservation.admitter.admission.(interface{ KnowsSlots() bool })
	if reason == sqreason.ShedByTarget && ok && exact.KnowsSlots() {
		return sqreason.TargetRefused
	}
	return reason
}

// maxRefusalBytes bounds how much of the body of a target's refusal is read.
const maxRefusalBytes = 4 << 10

var errAddressReused = errors.New("another target answers at the address")

// request returns the request to the target.
func (x *exchange) request(ctx context.Context, body io.Reader) *sqconn.Request {
	h := make(http.Header, len(x.head.GetHeaders())+adapterHeaders)
	sqheader.Add(h, x.head.GetHeaders())
	deadline, _ := ctx.Deadline()
	x.gate.adapter().SetHeaders(h, CallMetadata{
		Call: x.call.ID, Workspace: x.call.Workspace, RequestID: x.head.GetRequestId(),
		Caller: sqid.ServiceID(x.head.GetCaller()), Target: x.call.Target, Nested: x.call.Depth > 0,
		TimeLeft: max(time.Until(deadline), 0),
	})
	// The head names no host if the request came by the product's own protocol.
	return &sqconn.Request{
		ID: x.head.GetRequestId(), Method: x.head.GetMethod(), URI: x.head.GetPath(),
		Host: cmp.Or(x.head.GetHost(), x.reservation.address), Header: h,
		Body: body, Length: x.head.GetContentLength(), BodyBuffered: x.bodyBuffered,
	}
}

// adapterHeaders is room in the header map for the headers that the protocol
// adapter adds. It is no limit.
const adapterHeaders = 6

// classify converts an error of the exchange with the target that occurred before
// any frame of the answer was sent to the entry. The call has certainly not run if
// no byte of the request was sent. Only frameReader returns errBodyTruncated: a body
// from the entry of the same daemon fails with the error of the caller's connection,
// so only ctx can show that the caller has gone.
func classify(ctx context.Context, err error) *sqerror.Error {
	run := squnit.RunUnknown
	if e, ok := errors.Into[*sqconn.Error](err); ok && !e.Sent {
		run = squnit.RunNot
	}
	reason := sqreason.TargetBroken
	switch {
	case errors.Is(context.Cause(ctx), errGaveWay):
		reason = sqreason.MemoryFull
	case errors.Is(err, errBodyTruncated) || errors.Is(context.Cause(ctx), context.Canceled):
		reason = sqreason.CallerGone
	case ctx.Err() != nil:
		reason = sqreason.DeadlineExceeded
	case run == squnit.RunNot:
		reason = sqreason.TargetUnreachable
	}
	return &sqerror.Error{Step: sqerror.StepTarget, Reason: reason, Run: run, Err: err}
}

// fail ends the call and sends a refusal instead of an answer.
func (x *exchange) fail(e *sqerror.Error, start time.Time) error {
	x.release(outcomeOf(e), start)
	return x.gate.sendRefusal(x.out, e, x.call.Credit(), x.loadReport())
}

// forwardAnswer sends the target's answer to the entry. An answer of less than
// FrameBytes is sent as a single frame, so that nothing of it is sent if the target
// truncates it.
func (x *exchange) forwardAnswer(ctx context.Context, resp *http.Response, start time.Time) error {
	head := &sqcallwire.AnswerHead{
		Status:        uint32(resp.StatusCode),
		Headers:       sqheader.Forwardable(resp.Header),
		Run:           uint32(squnit.RunDone),
		ContentLength: resp.ContentLength,
	}
	buf, release := answerBuffer(resp.ContentLength)
	defer release()
	n, err := ReadFull(resp.Body, buf)
	frame := &sqcallwire.AnswerFrame{Head: head, Body: buf[:n]}
	if err != nil && !errors.Is(err, io.EOF) {
		return x.fail(classify(ctx, &sqconn.Error{Sent: true, Err: err}), start)
	}
	var body io.Reader = resp.Body
	if err == nil {
		part := x.gate.Budget.Open(sqpeer.HeldBytes, x.giveWay)
		defer part.Close()
		body = part.Reader(body)
	}
	for err == nil {
		if sendErr := x.out.Send(frame); sendErr != nil {
			return x.abort(sendErr, start)
		}
		n, err = ReadFull(body, buf)
		if err != nil && !errors.Is(err, io.EOF) {
			return x.abort(err, start)
		}
		frame = &sqcallwire.AnswerFrame{Body: buf[:n]}
	}
	return x.finish(frame, start)
}

// ReadFull reads until buf is full or the body ends. Unlike io.ReadFull, it returns
// the error of the body itself: io.EOF means that the body is complete.
func ReadFull(body io.Reader, buf []byte) (int, error) {
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

// finish ends the call and sends the last frame of its answer. The call is
// released first: the frame's load report no longer counts it. Its outcome is OK
// even if the frame can't be sent.
func (x *exchange) finish(frame *sqcallwire.AnswerFrame, start time.Time) error {
	x.release(sqadmit.OK, start)
	frame.Last = true
	frame.Load = x.loadReport()
	frame.CreditLeft = int32(x.call.Credit())
	frame.FailedBelow = x.call.NestedCallFailed()
	return x.out.Send(frame)
}

// abort ends a call whose answer was sent in part and can't be completed, because
// reading from the target or sending to the entry failed, or ctx has ended. All of
// these count as a failure of the target.
func (x *exchange) abort(err error, start time.Time) error {
	x.release(sqadmit.Failed, start)
	return sqerror.Uncertain(sqerror.StepTarget, sqreason.TargetBroken, err)
}

// release removes the call from the table of calls, so that no more nested
// calls can be made for it, and releases its slot.
func (x *exchange) release(o sqadmit.Outcome, start time.Time) {
	x.gate.Calls.Close(x.call.ID)
	now := time.Now()
	if o != sqadmit.Shed {
		x.gate.durations.Add(now, x.call.Service, now.Sub(start))
	}
	x.reservation.release(sqadmit.Result{Outcome: o, Latency: now.Sub(start), Nested: x.call.NestedTime(now)})
}

// outcomeOf returns the outcome to report to the admission policy. All reasons
// other than the target's own shedding and a caller that has gone are Failed, also
// for a call that has certainly not run.
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

// loadReport returns the load report of the target, with those of the services
// that its nested calls reached.
func (x *exchange) loadReport() *sqcallwire.Load {
	l := x.reservation.loadReport()
	for _, r := range x.call.Reports() {
		l.Deeper = append(l.Deeper, &sqcallwire.ServiceLevel{
			Service: string(r.Service), Level: uint32(r.Level), Shed: float64(1 - r.Share), ShedAll: float64(1 - r.OverallShare),
			Typical: float64(r.MedianShare),
		})
	}
	return l
}
