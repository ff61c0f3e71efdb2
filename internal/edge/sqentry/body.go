package sqentry

import (
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqhold"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

const (
	// lingerTime bounds the wait for the rest of a body that nobody needs: before a refusal
	// is sent, and after an answer. Many callers send the whole body before they read the
	// answer, and would find their connection reset.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds how much of such a rest is read.
	lingerBytes = 16 << 20
)

// errBodyTaken is returned to the reader of an attempt that has ended.
var errBodyTaken = errors.New("attempt has ended")

// body is the body of a request. Its first part is kept in memory, so that a short body can
// be sent again; the rest is read from the caller once, by the latest attempt.
type body struct {
	prefix []byte
	// complete is set if prefix is the whole body.
	complete bool
	rest     io.Reader
	// setReadDeadline sets the deadline of the caller's connection.
	setReadDeadline func(time.Time) error
	// part is the body's part of the memory budget while it is sent.
	part *sqhold.Part

	// mu guards what follows, and is not held during a read.
	mu sync.Mutex
	// attempt is the number of the latest attempt.
	attempt int
	// reading is set while a read from rest is in progress; done is signalled at its end.
	reading bool
	done    sync.Cond
	// consumed is set once reading from rest has begun, ended once its end has been read,
	// and interrupted once a deadline may have ended a read before that.
	consumed, ended, interrupted bool
}

// readBody reads the first part of a body of the given length, -1 if that is unknown.
func readBody(r io.Reader, length int64, setReadDeadline func(time.Time) error) (*body, error) {
	if length == 0 {
		return &body{complete: true}, nil
	}
	size := int64(sqgate.FrameBytes)
	if length > 0 {
		size = min(size, length)
	}
	buf := make([]byte, size)
	n, err := sqgate.ReadFull(r, buf)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	b := &body{prefix: buf[:n], complete: err != nil || int64(n) == length, rest: r, setReadDeadline: setReadDeadline}
	b.done.L = &b.mu
	return b, nil
}

// canResend reports whether the body can be sent once more.
func (b *body) canResend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete || !b.consumed
}

// isLeft reports whether a part of the body may not have been read from the caller.
func (b *body) isLeft() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.complete && (!b.ended || b.interrupted)
}

// interrupt ends a read that waits for the caller, and all later ones.
func (b *body) interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.interruptLocked()
}

func (b *body) interruptLocked() {
	if !b.complete && !b.ended {
		b.interrupted = true
		_ = b.setReadDeadline(time.Now())
	}
}

// linger reads what is left of the body after the answer, so that the caller can read that
// before its connection is closed, and reports whether it has read the end of the body. It
// reads nothing if a read from a body in chunks was interrupted. No attempt may be under way.
func (b *body) linger() bool {
	_ = b.setReadDeadline(time.Now().Add(lingerTime))
	_, err := io.CopyN(io.Discard, b.rest, lingerBytes)
	return err == io.EOF
}

// endAttempt ends the reading of the latest attempt. When it returns, nobody reads from the
// caller's connection.
func (b *body) endAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
	if b.reading {
		b.interruptLocked()
	}
	for b.reading {
		b.done.Wait()
	}
}

// reader returns the body for a target of this daemon's host.
func (b *body) reader() io.Reader {
	prefix := &prefixReader{unread: b.prefix}
	if b.complete {
		return prefix
	}
	return io.MultiReader(prefix, b.restReader())
}

// restReader returns the reader of what follows prefix for the latest attempt.
func (b *body) restReader() *restReader {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &restReader{body: b, attempt: b.attempt}
}

// sendRest sends what follows prefix in frames.
func (b *body) sendRest(rest io.Reader, send func(*sqcallwire.CallFrame) error) error {
	buf := make([]byte, sqgate.FrameBytes)
	for {
		n, err := rest.Read(buf)
		b.part.Pass(n)
		if n > 0 || err == io.EOF {
			frame := &sqcallwire.CallFrame{Body: buf[:n], Last: err == io.EOF}
			if sendErr := send(frame); sendErr != nil {
				return sendErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// prefixReader reads from memory.
type prefixReader struct{ unread []byte }

// Read reads the next unread bytes.
func (p *prefixReader) Read(buf []byte) (int, error) {
	if len(p.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(buf, p.unread)
	p.unread = p.unread[n:]
	return n, nil
}

// restReader reads the streamed rest of a body for one attempt. A target may answer before
// it has received the body; the attempt's sender may then go on for a while.
type restReader struct {
	body    *body
	attempt int
}

// Read reads from the rest of the body, unless the attempt has ended.
func (r *restReader) Read(buf []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	if r.attempt != b.attempt {
		b.mu.Unlock()
		return 0, errBodyTaken
	}
	b.consumed, b.reading = true, true
	b.mu.Unlock()
	n, err := b.rest.Read(buf)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading, b.ended = false, b.ended || err == io.EOF
	b.done.Broadcast()
	return n, err
}
