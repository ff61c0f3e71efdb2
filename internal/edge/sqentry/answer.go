package sqentry

import (
	"bytes"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqheader"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// answer is the sink of one attempt's frames: it writes a target's answer to
// the caller, and keeps a refusal for the retry decision.
type answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// prepare is called once before the head is written.
	prepare func(h http.Header, run squnit.RunState)
	// record keeps the answer of an operation for repeats, nil for none; the
	// answer is read to its end then, also if the caller has gone.
	record *record

	// hold has a whole failure of the target kept in failed instead of written,
	// so that another target can be tried.
	hold   bool
	failed *sqcallwire.AnswerFrame
	// failedBelow says that a nested call of the target's had failed for good.
	failedBelow bool

	// started is set with the first frame.
	started atomic.Bool
	begun   bool
	status  int
	last    bool
	refusal *sqerror.Error
	load    *sqcallwire.Load
	credit  squnit.Credit
	// received is the size of the answer's body so far.
	received squnit.Bytes
	// writeErr is the caller's connection's.
	writeErr error
}

// Send takes the next frame.
func (a *answer) Send(frame *sqcallwire.AnswerFrame) error {
	a.started.Store(true)
	if a.last {
		return errors.New("frame after the last")
	}
	if frame.GetLast() {
		a.last = true
		a.load = frame.GetLoad()
		a.credit = squnit.Credit(frame.GetCreditLeft())
		a.failedBelow = frame.GetFailedBelow()
	}
	a.received += squnit.Bytes(len(frame.GetBody()))
	head := frame.GetHead()
	switch {
	case head.GetRefusal() != nil:
		a.refusal = refusalOf(head)
		return nil
	case head != nil && a.hold && a.last && head.GetStatus() >= http.StatusInternalServerError:
		a.failed = &sqcallwire.AnswerFrame{Head: head, Body: bytes.Clone(frame.GetBody()), Last: true}
		return nil
	case head != nil:
		a.begin(head)
	case !a.begun:
		return errors.New("first frame has no head")
	}
	if a.record != nil {
		a.record.add(frame)
	}
	if err := a.write(frame); err != nil && a.record == nil {
		return err
	}
	return nil
}

// pass writes a failure that was held.
func (a *answer) pass() {
	a.begin(a.failed.GetHead())
	_ = a.write(a.failed)
}

func (a *answer) begin(head *sqcallwire.AnswerHead) {
	a.begun, a.status = true, int(head.GetStatus())
	h := a.w.Header()
	sqheader.Set(h, head.GetHeaders())
	a.prepare(h, squnit.RunState(head.GetRun()))
	if head.GetContentLength() >= 0 {
		h.Set("Content-Length", formatLength(head.GetContentLength()))
	}
	a.w.WriteHeader(int(head.GetStatus()))
}

func (a *answer) write(frame *sqcallwire.AnswerFrame) error {
	if len(frame.GetBody()) > 0 && a.writeErr == nil {
		if _, err := a.w.Write(frame.GetBody()); err != nil {
			a.writeErr = err
			return err
		}
	}
	if !a.last && a.writeErr == nil {
		a.writeErr = a.control.Flush()
	}
	return a.writeErr
}

func refusalOf(head *sqcallwire.AnswerHead) *sqerror.Error {
	r := head.GetRefusal()
	e := &sqerror.Error{
		Step:       sqerror.Step(r.GetStep()),
		Peer:       sqid.DaemonID(r.GetPeer()),
		Reason:     sqreason.Refusal(r.GetReason()),
		Run:        squnit.RunState(head.GetRun()),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
	if r.GetDetail() != "" {
		e.Err = errors.New(r.GetDetail())
	}
	return e
}
