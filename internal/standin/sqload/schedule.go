package sqload

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// Schedule generates the arrival times of one workspace. They depend only on its
// fields and the random source.
type Schedule struct {
	// Rate is the rate before the first phase, in requests per second.
	Rate squnit.Rate
	// Phases must be sorted by From.
	Phases []Phase
	// Poisson selects exponentially distributed gaps instead of equal ones.
	Poisson bool
	// Rand is the source of the gaps.
	Rand *rand.Rand

	// at is the last arrival, or the start of the current phase if that is later.
	at time.Duration
}

// Next returns the next arrival, counted from the start of the run, or false if
// the rate is 0 from now on. Gaps are drawn for a rate of 1 and scaled by the
// current rate; a gap that spans phases uses up part of itself in each.
func (s *Schedule) Next() (time.Duration, bool) {
	remaining := 1.0
	if s.Poisson {
		remaining = s.Rand.ExpFloat64()
	}
	for {
		rate, end := s.phase()
		if rate > 0 {
			gap := time.Duration(remaining / rate * float64(time.Second))
			if s.at+gap <= end {
				s.at += gap
				return s.at, true
			}
			remaining -= rate * (end - s.at).Seconds()
		}
		if end == math.MaxInt64 {
			return 0, false
		}
		s.at = end
	}
}

// phase returns the rate at s.at and the start of the next phase, math.MaxInt64
// if there is none.
func (s *Schedule) phase() (rate float64, end time.Duration) {
	rate, end = float64(s.Rate), math.MaxInt64
	for _, p := range s.Phases {
		if from := time.Duration(p.From); from > s.at {
			return rate, from
		}
		rate = float64(s.Rate) * p.Factor
	}
	return rate, end
}
