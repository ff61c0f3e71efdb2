package sqload

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// Schedule yields the arrival times of one workspace. It depends on nothing
// but its fields and the random source.
type Schedule struct {
	// Rate holds where no phase has begun.
	Rate squnit.Rate
	// Phases are in order of From.
	Phases []Phase
	// Poisson draws exponential gaps; otherwise they are even.
	Poisson bool
	// Rand is the source of the gaps.
	Rand *rand.Rand

	at time.Duration
}

// Next returns the next arrival, counted from the start of the run. It
// returns false if the rate stays at 0 from now on.
func (s *Schedule) Next() (time.Duration, bool) {
	work := 1.0
	if s.Poisson {
		work = s.Rand.ExpFloat64()
	}
	for {
		rate, end := s.phase()
		if rate > 0 {
			gap := time.Duration(work / rate * float64(time.Second))
			if s.at+gap <= end {
				s.at += gap
				return s.at, true
			}
			work -= rate * (end - s.at).Seconds()
		}
		if end == math.MaxInt64 {
			return 0, false
		}
		s.at = end
	}
}

// phase returns the rate at s.at and when the next phase begins.
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
