package sqlog

import (
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

const (
	// decisionsPerSecond bounds the lines about requests: on-call engineers find
	// examples of each cause in them, and counters have the rest. At about 400
	// bytes a line it is less than the daemon's own traffic.
	decisionsPerSecond = 40
	// decisionsBurst lets the begin of a trouble be seen whole.
	decisionsBurst = 200
	// DecisionsTick is the period at which the timer service should tick
	// Decisions.
	DecisionsTick = time.Second
)

// Decisions is a log of decisions that touch requests. Its volume is bounded: a
// line beyond it is counted instead, and the count is told in a line of its own.
// It never blocks.
type Decisions struct {
	Logger logr.Logger

	left    atomic.Int64
	leftOut atomic.Int64
	begun   atomic.Bool
}

// Info writes a line, unless there have been too many.
func (d *Decisions) Info(msg string, keysAndValues ...any) {
	if !d.begun.Swap(true) {
		d.left.Store(decisionsBurst)
	}
	if d.left.Add(-1) < 0 {
		d.leftOut.Add(1)
		return
	}
	d.Logger.Info(msg, keysAndValues...)
}

// Tick lets further lines through, and tells how many were left out.
func (d *Decisions) Tick(time.Time) {
	if n := d.leftOut.Swap(0); n > 0 {
		d.Logger.Info("lines about requests left out", "count", n, "perSecond", decisionsPerSecond)
	}
	for {
		left := d.left.Load()
		next := min(max(left, 0)+decisionsPerSecond, decisionsBurst)
		if !d.begun.Load() || d.left.CompareAndSwap(left, next) {
			return
		}
	}
}
