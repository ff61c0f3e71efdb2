package sqload

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// bucket is one token bucket, the naive version of the fleet's rate and burst.
type bucket struct {
	rate   squnit.Rate
	burst  squnit.Tokens
	tokens squnit.Tokens
	last   time.Time
}

// take reports whether a request at now is inside the rate and burst, and
// charges it if it is.
func (b *bucket) take(now time.Time) bool {
	if b.last.IsZero() {
		b.tokens = b.burst
	} else if d := now.Sub(b.last); d > 0 {
		b.tokens = min(b.burst, b.tokens+squnit.Tokens(float64(b.rate)*d.Seconds()))
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (s *sender) takeInRate(now time.Time) bool {
	if s.space.PlanRate <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bucket.take(now)
}
