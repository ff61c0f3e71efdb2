package sqgate

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqpool"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
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

	// connected is set once bytes of the request may have been written.
	connected atomic.Bool
}

func (x *exchange) run(ctx context.Context, body io.Reader) error {
	start := time.Now()
	resp, err := x.send(ctx, body)
	if err != nil {
		return x.fail(x.classify(ctx, err), start)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(sqheader.Run) == squnit.RunNot.String() {
		return x.fail(sqerror.Refuse(sqerror.StepTarget, sqreason.ShedByTarget, nil), start)
	}
	return x.answer(ctx, resp, start)
}

// send writes the request to the target and returns its answer's head.
func (x *exchange) send(ctx context.Context, body io.Reader) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { x.connected.Store(true) },
	})
	r, err := x.request(ctx, body)
	if err != nil {
		return nil, err
	}
	return x.gate.Transport.RoundTrip(r)
}

func (x *exchange) request(ctx context.Context, body io.Reader) (*http.Request, error) {
	u, err := url.ParseRequestURI(x.head.GetPath())
	if err != nil {
		return nil, errors.Wrap(err, "parse path")
	}
	u.Scheme, u.Host = "http", x.ticket.address
	r := (&http.Request{
		Method:        x.head.GetMethod(),
		URL:           u,
		Host:          x.ticket.address,
		Header:        make(http.Header, len(x.head.GetHeaders())+3),
		ContentLength: x.head.GetContentLength(),
	}).WithContext(ctx)
	if r.ContentLength != 0 || x.head.GetNonIdempotent() {
		// The transport repeats a request on a new connection only if its
		// body is empty or can be read again; this one can't.
		r.Body = onceBody{body}
	}
	sqheader.Set(r.Header, x.head.GetHeaders())
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = nil
	}
	r.Header.Set(sqheader.Call, string(x.call.ID))
	r.Header.Set(sqheader.Workspace, x.head.GetWorkspace())
	r.Header.Set(sqheader.Deadline, timeLeft(ctx))
	return r, nil
}

// onceBody hides every method of a body but Read.
type onceBody struct{ io.Reader }

// Close does nothing.
func (onceBody) Close() error { return nil }

func timeLeft(ctx context.Context) string {
	deadline, _ := ctx.Deadline()
	return max(time.Until(deadline), 0).Round(time.Millisecond).String()
}

// classify says what an error before the answer's head means.
func (x *exchange) classify(ctx context.Context, err error) *sqerror.Error {
	run := squnit.RunUnknown
	if !x.connected.Load() {
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
	return &sqerror.Error{Step: sqerror.StepTarget, Reason: reason, Run: run, Err: withoutURL(err)}
}

// withoutURL drops the target's address, which is no caller's business.
func withoutURL(err error) error {
	if e, ok := errors.Into[*url.Error](err); ok {
		return e.Err
	}
	return err
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
	frames := buffers.Get()
	defer buffers.Put(frames)
	buf := frames[:]
	n, err := Fill(resp.Body, buf)
	frame := &sqcallwire.AnswerFrame{Head: head, Body: buf[:n]}
	if err != nil && !errors.Is(err, io.EOF) {
		return x.fail(x.classify(ctx, err), start)
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
			Service: string(r.Service), Level: uint32(r.Level), Shed: float64(1 - r.Share), ShedAll: float64(1 - r.All),
			Typical: float64(r.Typical),
		})
	}
	return l
}
