package sqshed

import "github.com/sequoiatack/sequoiatack/internal/base/squnit"

// scale counts the levels of importance that requests have, so that a cut does
// not have to cross those that none has. The named levels count from the first,
// unless the scale is fine.
type scale struct {
	seen [squnit.ImportanceLevels]bool
	init bool
}

// add takes a level into the scale. It reports whether the level is new, and
// where it is.
func (s *scale) add(i squnit.Importance, fine bool) (at float64, added bool) {
	if !s.init {
		s.init = true
		for l := 0; l < len(s.seen) && !fine; l += squnit.ImportanceSteps {
			s.seen[l] = true
		}
	}
	n := min(int(i), len(s.seen)-1)
	if s.seen[n] {
		return 0, false
	}
	s.seen[n] = true
	return s.at(i), true
}

// at returns where a level begins on the scale: the number of levels below it.
func (s *scale) at(i squnit.Importance) float64 {
	below := 0.0
	for _, seen := range s.seen[:min(int(i), len(s.seen)-1)] {
		if seen {
			below++
		}
	}
	return below
}

// cut is a room on the scale, for all workspaces together.
func (s *scale) cut(r *Room) float64 {
	return s.at(r.Level) + 1 - min(1, max(0, float64(r.All)))
}
