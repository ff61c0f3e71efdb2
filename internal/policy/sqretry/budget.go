package sqretry

import (
	"sync"
	"time"
)

const (
	// budgetPart is the retries for each success.
	budgetPart = 0.1
	// budgetFloor is the retries a second that an edge always has.
	budgetFloor = 1.0
	// budgetMax bounds the retries that are saved up.
	budgetMax = 20.0
	// budgetStart is what a new edge begins with.
	budgetStart = 5.0
)

// Budget bounds the retries on one edge, from a daemon to a service, to a part
// of its successes and a small floor. The zero value is a new edge's budget.
// Its methods are safe for concurrent use and do not block.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	at     time.Time
}

// Succeeded counts a first attempt that succeeded.
func (b *Budget) Succeeded(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(budgetMax, b.tokens+budgetPart)
}

// Left reports whether there is a token.
func (b *Budget) Left(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens >= 1
}

// Take uses up a token, and reports whether there was one.
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
	if b.at.IsZero() {
		b.at, b.tokens = now, budgetStart
		return
	}
	if dt := now.Sub(b.at); dt > 0 {
		b.tokens = min(budgetMax, b.tokens+budgetFloor*dt.Seconds())
		b.at = now
	}
}
