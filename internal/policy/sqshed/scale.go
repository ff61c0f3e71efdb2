package sqshed

import "github.com/sequoiatack/sequoiatack/internal/base/squnit"

// scale numbers the importance levels that are in use, from 0 for the lowest.
// Levels that no request has are skipped, so a threshold spends no time crossing
// them. The named levels are in use from the start, unless the scale is fine.
type scale struct {
	inUse [squnit.ImportanceLevels]bool
	init  bool
}

// add marks a level as in use. It reports whether the level is new, and if so
// its position.
func (s *scale) add(i squnit.Importance, fine bool) (position float64, added bool) {
	if !s.init {
		s.init = true
		for l := 0; l < len(s.inUse) && !fine; l += squnit.ImportanceSteps {
			s.inUse[l] = true
		}
	}
	n := min(int(i), len(s.inUse)-1)
	if s.inUse[n] {
		return 0, false
	}
	s.inUse[n] = true
	return s.position(i), true
}

// position returns the number of levels in use below i.
func (s *scale) position(i squnit.Importance) float64 {
	below := 0.0
	for _, inUse := range s.inUse[:min(int(i), len(s.inUse)-1)] {
		if inUse {
			below++
		}
	}
	return below
}

// threshold returns the admission threshold that a load report asks for, over
// all workspaces together.
func (s *scale) threshold(r *LoadReport) float64 {
	return s.position(r.Level) + 1 - min(1, max(0, float64(r.OverallShare)))
}
