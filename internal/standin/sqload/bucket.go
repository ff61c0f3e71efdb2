package sqload

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// bucket is a plain token bucket. It models centrally the rate and burst that
// the fleet enforces in a distributed way.
type bucket struct {
	rate   squnit.Rate
	burst  squnit.Tokens
	tokens squnit.Tokens
	last   time.Time
}

// take reports whether a request at now is within the rate and burst, and takes
// a token if it is.
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

func (s *sender) takePlanToken(now time.Time) bool {
	if s.workspace.PlanRate <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bucket.take(now)
}
