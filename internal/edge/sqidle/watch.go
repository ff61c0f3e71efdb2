// Package sqidle closes callers' connections on which no complete request head arrives
// within the limits in force. The timeouts of net/http's server are fixed when it starts;
// these limits may change at any time.
package sqidle

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// TickPeriod is the period at which Tick is to be called: limits are seconds.
const TickPeriod = 250 * time.Millisecond

// Limits bound how long a caller's connection may wait for a request. 0 means no limit.
type Limits struct {
	// Head bounds the time from the opening of a connection to the end of its first
	// request's head.
	Head time.Duration
	// Idle bounds the time from an answer to the end of the next request's head.
	Idle time.Duration
}

// Watch closes connections that have waited too long for a request. Note is the
// ConnState hook of the http.Server; Tick is to be called every TickPeriod.
type Watch struct {
	// Limits returns the limits in force.
	Limits func() Limits
	Logger logr.Logger

	// mu guards waiting.
	mu sync.Mutex
	// waiting has the connections that wait for a request.
	waiting map[net.Conn]wait
}

// wait is the wait of a connection for its next request.
type wait struct {
	start time.Time
	// first is set if it is the connection's first request.
	first bool
	// limit is the limit in force when the wait began. If the limit is lowered, callers
	// that still rely on the old one must not find their connections closed.
	limit time.Duration
}

// Note records a connection's new state.
func (w *Watch) Note(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting == nil {
		w.waiting = make(map[net.Conn]wait)
	}
	switch state {
	case http.StateNew, http.StateIdle:
		first := state == http.StateNew
		w.waiting[c] = wait{start: time.Now(), first: first, limit: w.Limits().forWait(first)}
	default:
		delete(w.waiting, c)
	}
}

// forWait returns the limit for the first or a later request of a connection.
func (l Limits) forWait(first bool) time.Duration {
	if first {
		return l.Head
	}
	return l.Idle
}

// Tick closes the connections that have waited too long.
func (w *Watch) Tick(now time.Time) {
	limits := w.Limits()
	w.mu.Lock()
	defer w.mu.Unlock()
	closed := 0
	for c, wait := range w.waiting {
		limit := limits.forWait(wait.first)
		if limit == 0 || wait.limit == 0 || now.Sub(wait.start) <= max(limit, wait.limit) {
			continue
		}
		delete(w.waiting, c)
		// The server notices by itself. An error means that the connection was closed already.
		_ = c.Close()
		closed++
	}
	if closed > 0 {
		w.Logger.V(1).Info("idle connections closed", "count", closed)
	}
}
