package sqentry

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
)

// newTestBody returns a body of a caller that has sent a part of it, and the caller's end.
func newTestBody(t *testing.T, sent string) (*body, net.Conn) {
	caller, conn := net.Pipe()
	t.Cleanup(func() {
		_ = caller.Close()
		_ = conn.Close()
	})
	go func() { _, _ = io.WriteString(caller, sent) }()
	b, err := readBody(conn, -1, conn.SetReadDeadline)
	qt.Assert(t, err, qt.IsNil)
	return b, caller
}

// TestEndedAttemptTakesNothing guards against an upload that is sent again with a hole: the
// sender of an attempt that has ended must not read what belongs to the next one.
func TestEndedAttemptTakesNothing(t *testing.T) {
	first := strings.Repeat("p", sqgate.FrameBytes)
	b, caller := newTestBody(t, first)
	old := b.reader()
	got, err := io.ReadAll(io.LimitReader(old, sqgate.FrameBytes))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, first)
	b.endAttempt()
	qt.Assert(t, b.canResend(), qt.IsTrue)
	next := b.reader()
	go func() {
		_, _ = io.WriteString(caller, "rest")
		_ = caller.Close()
	}()
	for range 3 {
		_, err = old.Read(make([]byte, 10))
		qt.Assert(t, err, qt.ErrorIs, errBodyTaken)
	}
	got, err = io.ReadAll(next)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(got), qt.Equals, first+"rest")
	qt.Check(t, b.canResend(), qt.IsFalse)
}

// TestReadInProgressIsEnded guards against a second reader beside one that still waits for
// the caller: the attempt ends only once that has ended, and the body is not sent again.
func TestReadInProgressIsEnded(t *testing.T) {
	b, _ := newTestBody(t, strings.Repeat("p", sqgate.FrameBytes))
	read := make(chan error)
	r := b.reader()
	go func() {
		_, err := io.ReadAll(r)
		read <- err
	}()
	for b.canResend() {
		time.Sleep(time.Millisecond)
	}
	b.endAttempt()
	b.mu.Lock()
	qt.Check(t, b.reading, qt.IsFalse)
	b.mu.Unlock()
	qt.Check(t, <-read, qt.IsNotNil)
	qt.Check(t, b.canResend(), qt.IsFalse)
}
