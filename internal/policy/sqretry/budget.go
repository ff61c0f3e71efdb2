package sqretry

import (
	"sync"
	"time"
)

const (
	// tokensPerSuccess is the number of retries earned by each success.
	tokensPerSuccess = 0.1
	// tokensPerSecond is the number of retries per second that are allowed without
	// any success.
	tokensPerSecond = 1.0
	// maxTokens bounds the retries that can be saved up.
	maxTokens = 20.0
	// initialTokens is the number of retries allowed at the start.
	initialTokens = 5.0
)

// Budget is the retry budget of one edge of the call graph, from a daemon to a
// service. It limits retries to a fraction of the successes and a small constant
// rate. The zero value is the budget of a new edge. Its methods are safe for
// concurrent use and do not block.
type Budget struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// Succeeded counts a first attempt that succeeded.
func (b *Budget) Succeeded(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(maxTokens, b.tokens+tokensPerSuccess)
}

// Allows reports whether the budget allows a retry now.
func (b *Budget) Allows(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens >= 1
}

// Take takes one retry from the budget and reports whether it allowed one.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.refilledAt, b.tokens = now, initialTokens
		return
	}
	if dt := now.Sub(b.refilledAt); dt > 0 {
		b.tokens = min(maxTokens, b.tokens+tokensPerSecond*dt.Seconds())
		b.refilledAt = now
	}
}
