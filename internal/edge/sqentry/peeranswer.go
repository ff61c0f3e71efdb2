package sqentry

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqheader"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// peerAnswer checks the frames of another daemon before it passes them on. That daemon may be
// of another release, whose gate accepts answers that this one's doesn't.
type peerAnswer struct {
	out sqgate.Sink
	// method is that of the request.
	method string

	head *sqcallwire.AnswerHead
	// received is the size of the body so far, in bytes.
	received int64
}

// Send checks and passes on the next frame.
func (p *peerAnswer) Send(frame *sqcallwire.AnswerFrame) error {
	if err := p.check(frame); err != nil {
		return errors.Wrap(err, "malformed answer of a peer")
	}
	return p.out.Send(frame)
}

func (p *peerAnswer) check(frame *sqcallwire.AnswerFrame) error {
	head := frame.GetHead()
	if head.GetRefusal() != nil {
		return nil
	}
	if head != nil {
		if p.head != nil {
			return errors.New("second head")
		}
		p.head = head
		if run := squnit.RunState(head.GetRun()); run != squnit.RunDone {
			return errors.Errorf("answer of a target with run state %q", run)
		}
		if err := sqheader.CheckForwarded(head); err != nil {
			return err
		}
	}
	p.received += int64(len(frame.GetBody()))
	return p.checkLength(frame.GetLast())
}

// checkLength returns an error if the body has another length than the head says.
func (p *peerAnswer) checkLength(isEnd bool) error {
	length := p.head.GetContentLength()
	if p.method == http.MethodHead {
		// Such an answer has the length of what GET would return.
		length = 0
	}
	if length >= 0 && (p.received > length || isEnd && p.received < length) {
		return errors.Errorf("body has %d of %d bytes", p.received, length)
	}
	return nil
}
