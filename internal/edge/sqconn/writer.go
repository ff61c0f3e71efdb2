package sqconn

import (
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// connWriter writes to a connection and notes how the connection failed. The kernel reports
// a failure once, to the write or the read that comes first; after a write has got it, a
// read only finds the end of the connection, as if the target had closed it.
type connWriter struct {
	net.Conn

	// mu is held while a write is in progress.
	mu  sync.Mutex
	err error
}

// Write writes to the connection.
func (w *connWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.Conn.Write(b)
	if w.err == nil {
		w.err = err
	}
	return n, err
}

// hasFailed reports whether a write has failed.
func (w *connWriter) hasFailed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err != nil
}

// stop ends the writing for good, also a write that waits for the target, and returns the
// failure of the connection that a write has got, nil if none has.
func (w *connWriter) stop() error {
	_ = w.SetWriteDeadline(pastDeadline)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case errors.Is(w.err, os.ErrDeadlineExceeded), errors.Is(w.err, net.ErrClosed):
		// The daemon has ended the writing.
		return nil
	case errors.Is(w.err, syscall.EPIPE):
		// The target had closed the connection before it was reset. A reset alone is
		// ECONNRESET, and a timeout ETIMEDOUT.
		return nil
	}
	return w.err
}
