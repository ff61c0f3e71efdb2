// Package sqstop decides which work a daemon begins while it is being stopped. Work that
// may outlast the process is refused before any of it is passed on, so that its caller
// learns that it has not run.
package sqstop

import (
	"sync"
	"sync/atomic"
	"time"
)

// restartTime is the time that a daemon is assumed to take from its end until it serves
// again.
const restartTime = time.Second

// Stop is the state of a daemon's planned stop. The zero value, and nil, stand for a daemon
// that is not being stopped. Its methods are safe for concurrent use.
type Stop struct {
	// end is the time by which all work must have ended; nil before the stop begins.
	end    atomic.Pointer[time.Time]
	closed atomic.Bool
}

// Begin begins the stop: all work must have ended by end.
func (s *Stop) Begin(end time.Time) { s.end.Store(&end) }

// Close ends the acceptance of any work that is not part of other work.
func (s *Stop) Close() { s.closed.Store(true) }

// Begun reports whether the stop has begun.
func (s *Stop) Begun() bool { return s != nil && s.end.Load() != nil }

// Accepts reports whether work that begins at now will have ended in time. It ends at its
// deadline at the latest; expected is an estimate of the time that it takes, 0 if unknown.
func (s *Stop) Accepts(now, deadline time.Time, expected time.Duration) bool {
	if !s.Begun() {
		return true
	}
	if s.closed.Load() {
		return false
	}
	longest := deadline.Sub(now)
	if expected > 0 {
		longest = min(longest, expected)
	}
	return !now.Add(longest).After(*s.end.Load())
}

// RetryAfter returns the time after which the daemon is expected to serve again.
func (s *Stop) RetryAfter(now time.Time) time.Duration {
	return max(0, s.end.Load().Sub(now)) + restartTime
}

const (
	// Durations estimates from the samples of the current period and the one before.
	estimatePeriod = 10 * time.Second
	// minSamples is the number of samples needed for an estimate.
	minSamples = 50
	// estimateFactor is applied to the longest duration, as the next may be longer.
	estimateFactor = 1.5
)

// Durations estimates how long the work of each class takes at most, from what it took
// lately. Its methods are safe for concurrent use.
type Durations[Class comparable] struct {
	mu   sync.Mutex
	rows map[Class]*durations
}

// durations holds the longest duration and the number of samples of two periods.
type durations struct {
	periodStart       time.Time
	longest, previous time.Duration
	count             int
	previousCount     int
}

// advance starts a new period if the current one has ended.
func (d *durations) advance(now time.Time) {
	age := now.Sub(d.periodStart)
	if age < estimatePeriod {
		return
	}
	d.previous, d.previousCount = d.longest, d.count
	if age >= 2*estimatePeriod {
		d.previous, d.previousCount = 0, 0
	}
	d.periodStart, d.longest, d.count = now, 0, 0
}

// Add adds the duration of work that has ended at now.
func (t *Durations[Class]) Add(now time.Time, c Class, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, ok := t.rows[c]
	if !ok {
		if t.rows == nil {
			t.rows = make(map[Class]*durations)
		}
		d = &durations{periodStart: now}
		t.rows[c] = d
	}
	d.advance(now)
	d.longest = max(d.longest, took)
	d.count++
}

// Estimate returns the estimate for work of a class that begins at now, 0 if too little of
// it has ended lately.
func (t *Durations[Class]) Estimate(now time.Time, c Class) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, ok := t.rows[c]
	if !ok {
		return 0
	}
	d.advance(now)
	if d.count+d.previousCount < minSamples {
		return 0
	}
	return time.Duration(estimateFactor * float64(max(d.longest, d.previous)))
}

// Tick removes the classes without work for two periods.
func (t *Durations[Class]) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, d := range t.rows {
		if now.Sub(d.periodStart) >= 2*estimatePeriod {
			delete(t.rows, c)
		}
	}
}
