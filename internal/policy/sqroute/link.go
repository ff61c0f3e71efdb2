package sqroute

import (
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// LinkBudget is the byte budget of a daemon's data centre on the link between
// a pair of regions, as a bucket. Less important traffic leaves a part of the
// bucket to the more important. A zero Rate allows nothing. Its methods are
// safe for concurrent use and do not block.
type LinkBudget struct {
	// Rate is in bytes a second, Burst the size of the bucket.
	Rate  squnit.Bytes
	Burst squnit.Bytes

	mu   sync.Mutex
	left float64
	at   time.Time
}

// reserved is the part of the bucket that is kept for higher importance, from the
// lowest named level on.
var reserved = [squnit.ImportanceLevels / squnit.ImportanceSteps]float64{
	0.75, 0.5, 0.25, 0,
}

// Has reports whether the bucket has more than what is reserved for calls of
// higher importance.
func (b *LinkBudget) Has(now time.Time, i squnit.Importance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.left > reserved[i.Named()]*float64(b.Burst)
}

// Spend takes n bytes that have gone over the link. The bucket may go below
// zero, down to one burst, since an answer's size is known only when it comes.
func (b *LinkBudget) Spend(now time.Time, n squnit.Bytes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.left = max(-float64(b.Burst), b.left-float64(max(0, n)))
}

func (b *LinkBudget) refill(now time.Time) {
	if b.at.IsZero() {
		b.at, b.left = now, float64(b.Burst)
		return
	}
	if dt := now.Sub(b.at); dt > 0 {
		b.left = min(float64(b.Burst), b.left+dt.Seconds()*float64(b.Rate))
		b.at = now
	}
}
