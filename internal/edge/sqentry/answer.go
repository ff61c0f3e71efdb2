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
	"github.com/sequoiatack/sequoiatack/internal/policy/sqhold"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// answerWriter receives the frames of one attempt. It writes the target's answer
// to the caller, or keeps a refusal for the retry decision.
type answerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// setHeaders is called once before the head is written.
	setHeaders func(h http.Header, run squnit.RunState)
	// recorder keeps the answer of an operation for repeats; nil keeps none. With a
	// recorder, the answer is read to its end even if the caller has gone.
	recorder *recorder

	// holdFailure keeps a complete failure of the target in heldFailure instead of
	// writing it, so that another target can be tried.
	holdFailure bool
	heldFailure *sqcallwire.AnswerFrame
	// failedBelow is set if a nested call of the target has failed for good.
	failedBelow bool

	// started is set with the first frame; it is read by the silence timer.
	started     atomic.Bool
	headWritten bool
	status      int
	complete    bool
	refusal     *sqerror.Error
	load        *sqcallwire.Load
	credit      squnit.Credit
	// received is the size of the answer's body so far.
	received squnit.Bytes
	// writeErr is the error of writing to the caller.
	writeErr error
	// hold opens a part of the memory budget; part is the answer's once it has more than
	// one frame.
	hold func() *sqhold.Part
	part *sqhold.Part
}

// Send processes the next frame.
func (a *answerWriter) Send(frame *sqcallwire.AnswerFrame) error {
	a.started.Store(true)
	if a.complete {
		return errors.New("frame after the last")
	}
	if frame.GetLast() {
		a.complete = true
		a.load = frame.GetLoad()
		a.credit = squnit.Credit(frame.GetCreditLeft())
		a.failedBelow = frame.GetFailedBelow()
	}
	a.received += squnit.Bytes(len(frame.GetBody()))
	if !a.complete && a.part == nil && a.hold != nil {
		a.part = a.hold()
	}
	a.part.Pass(len(frame.GetBody()))
	head := frame.GetHead()
	switch {
	case head.GetRefusal() != nil:
		a.refusal = refusalFromWire(head)
		return nil
	case head != nil && a.holdFailure && a.complete && head.GetStatus() >= http.StatusInternalServerError:
		a.heldFailure = &sqcallwire.AnswerFrame{Head: head, Body: bytes.Clone(frame.GetBody()), Last: true}
		return nil
	case head != nil:
		a.writeHead(head)
	case !a.headWritten:
		return errors.New("first frame has no head")
	}
	if a.recorder != nil {
		a.recorder.add(frame)
	}
	if err := a.write(frame); err != nil && a.recorder == nil {
		return err
	}
	return nil
}

// writeHeldFailure writes the failure that was kept in heldFailure.
func (a *answerWriter) writeHeldFailure() {
	a.writeHead(a.heldFailure.GetHead())
	_ = a.write(a.heldFailure)
}

func (a *answerWriter) writeHead(head *sqcallwire.AnswerHead) {
	a.headWritten, a.status = true, int(head.GetStatus())
	h := a.w.Header()
	sqheader.Add(h, head.GetHeaders())
	a.setHeaders(h, squnit.RunState(head.GetRun()))
	if head.GetContentLength() >= 0 {
		h.Set("Content-Length", formatLength(head.GetContentLength()))
	}
	a.w.WriteHeader(int(head.GetStatus()))
}

func (a *answerWriter) write(frame *sqcallwire.AnswerFrame) error {
	if len(frame.GetBody()) > 0 && a.writeErr == nil {
		if _, err := a.w.Write(frame.GetBody()); err != nil {
			a.writeErr = err
			return err
		}
	}
	if !a.complete && a.writeErr == nil {
		a.writeErr = a.control.Flush()
	}
	return a.writeErr
}

func refusalFromWire(head *sqcallwire.AnswerHead) *sqerror.Error {
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
