package sqidle

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
)

// serve starts a server with a Watch, and opens a connection to it.
func serve(t *testing.T, limits func() Limits) (*Watch, net.Conn) {
	w := &Watch{Limits: limits, Logger: logr.Discard()}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	s.Config.ConnState = w.Note
	s.Start()
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	qt.Assert(t, c.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	eventually(t, func() bool { return w.hasWaiting(true) })
	return w, c
}

// hasWaiting reports whether any connection waits for its first request, or for a later
// one.
func (w *Watch) hasWaiting(first bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, wait := range w.waiting {
		if wait.first == first {
			return true
		}
	}
	return false
}

func eventually(t *testing.T, holds func() bool) {
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition not met within 5 s")
}

func roundTrip(t *testing.T, c net.Conn, w *Watch) {
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "ok")
	eventually(t, func() bool { return w.hasWaiting(false) })
}

// assertClosed asserts that the server has closed the connection.
func assertClosed(t *testing.T, c net.Conn) {
	_, err := c.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF)
}

// assertClosedOrReset asserts that the server has closed the connection, which resets it
// if the server had not read all bytes.
func assertClosedOrReset(t *testing.T, c net.Conn) {
	_, err := c.Read(make([]byte, 1))
	if !errors.Is(err, syscall.ECONNRESET) {
		qt.Assert(t, err, qt.Equals, io.EOF)
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	w, c := serve(t, func() Limits { return Limits{Head: time.Hour, Idle: time.Minute} })
	roundTrip(t, c, w)
	w.Tick(time.Now().Add(59 * time.Second))
	roundTrip(t, c, w)
	w.Tick(time.Now().Add(61 * time.Second))
	assertClosed(t, c)
}

func TestHeadThatDoesNotComeClosesTheConnection(t *testing.T) {
	w, c := serve(t, func() Limits { return Limits{Head: time.Minute, Idle: time.Hour} })
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost:")
	qt.Assert(t, err, qt.IsNil)
	w.Tick(time.Now().Add(59 * time.Second))
	qt.Assert(t, w.hasWaiting(true), qt.IsTrue)
	w.Tick(time.Now().Add(61 * time.Second))
	assertClosedOrReset(t, c)
}

func TestLowerLimitSparesWhatWaitedBefore(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(time.Minute))
	w, c := serve(t, func() Limits { return Limits{Head: time.Hour, Idle: time.Duration(idle.Load())} })
	roundTrip(t, c, w)
	idle.Store(int64(time.Second))
	w.Tick(time.Now().Add(30 * time.Second))
	roundTrip(t, c, w)
	w.Tick(time.Now().Add(2 * time.Second))
	assertClosed(t, c)
}

func TestNoLimitClosesNothing(t *testing.T) {
	w, c := serve(t, func() Limits { return Limits{} })
	roundTrip(t, c, w)
	w.Tick(time.Now().Add(time.Hour))
	roundTrip(t, c, w)
}
