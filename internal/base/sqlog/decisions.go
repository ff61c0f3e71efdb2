package sqlog

import (
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

const (
	// decisionsPerSecond bounds the rate of lines about requests. On-call
	// engineers find examples of each cause in them; the totals are in the
	// metrics. At about 400 bytes a line it is less than the daemon's own traffic.
	decisionsPerSecond = 40
	// decisionsBurst lets the first lines of an incident through without gaps.
	decisionsBurst = 200
	// DecisionLogTick is the period at which the timer service must call
	// DecisionLog.Tick; decisionsPerSecond relies on it.
	DecisionLogTick = time.Second
)

// DecisionLog logs decisions about single requests, at a rate that a token bucket
// bounds. A line over the bound is dropped and counted, and Tick logs the count.
// Its methods are safe for concurrent use and never block, as long as Logger doesn't.
type DecisionLog struct {
	Logger logr.Logger

	// tokens is the number of lines that may still be written; calls of Info
	// beyond that take it below zero.
	tokens  atomic.Int64
	dropped atomic.Int64
	// started is set once the first line has filled the bucket.
	started atomic.Bool
}

// Info writes a line, or counts it as dropped if the bucket is empty.
func (d *DecisionLog) Info(msg string, keysAndValues ...any) {
	if !d.started.Swap(true) {
		d.tokens.Store(decisionsBurst)
	}
	if d.tokens.Add(-1) < 0 {
		d.dropped.Add(1)
		return
	}
	d.Logger.Info(msg, keysAndValues...)
}

// Tick refills the bucket, and logs how many lines were dropped since the last
// tick.
func (d *DecisionLog) Tick(time.Time) {
	if n := d.dropped.Swap(0); n > 0 {
		d.Logger.Info("lines about requests left out", "count", n, "perSecond", decisionsPerSecond)
	}
	for {
		tokens := d.tokens.Load()
		refilled := min(max(tokens, 0)+decisionsPerSecond, decisionsBurst)
		if !d.started.Load() || d.tokens.CompareAndSwap(tokens, refilled) {
			return
		}
	}
}
