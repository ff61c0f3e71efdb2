package sqroute

import (
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// LinkBudget is a token bucket of bytes that limits what a daemon sends and receives
// over the link to another region. Calls of lower importance may only use the bucket
// while it is fuller, so part of it stays reserved for more important ones. A zero
// Rate allows nothing once the burst is spent. Its methods are safe for concurrent
// use and do not block.
type LinkBudget struct {
	// Rate is in bytes per second; Burst is the size of the bucket.
	Rate  squnit.Bytes
	Burst squnit.Bytes

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// reservedFraction is the fraction of the bucket that each importance leaves to
// higher ones, indexed by named importance level from the lowest.
var reservedFraction = [squnit.ImportanceLevels / squnit.ImportanceSteps]float64{
	0.75, 0.5, 0.25, 0,
}

// Allows reports whether the bucket holds more than the fraction reserved for calls of
// higher importance than i.
func (b *LinkBudget) Allows(now time.Time, i squnit.Importance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens > reservedFraction[i.NamedIndex()]*float64(b.Burst)
}

// Spend takes n transferred bytes from the bucket. The size of an answer is known
// only when it arrives, so the bucket may become negative, by at most one burst.
func (b *LinkBudget) Spend(now time.Time, n squnit.Bytes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = max(-float64(b.Burst), b.tokens-float64(max(0, n)))
}

func (b *LinkBudget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.refilledAt, b.tokens = now, float64(b.Burst)
		return
	}
	if dt := now.Sub(b.refilledAt); dt > 0 {
		b.tokens = min(float64(b.Burst), b.tokens+dt.Seconds()*float64(b.Rate))
		b.refilledAt = now
	}
}
