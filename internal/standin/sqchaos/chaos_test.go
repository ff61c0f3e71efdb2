package sqchaos

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPlan checks that a seed always gives one plan, that faults leave the
// end quiet, and that no place is hit twice at a time.
func TestPlan(t *testing.T) {
	const length, daemons = 60 * time.Second, 8
	seen := map[Kind]bool{}
	for seed := range uint64(20) {
		plan := Plan(seed, daemons, length)
		qt.Assert(t, plan, qt.DeepEquals, Plan(seed, daemons, length))
		until := map[int]time.Duration{}
		for _, f := range plan {
			seen[f.Kind] = true
			qt.Assert(t, f.At >= until[f.place()], qt.IsTrue, qt.Commentf("%v", f))
			until[f.place()] = f.At + f.For
			qt.Assert(t, f.At < length-quietEnd, qt.IsTrue)
			qt.Assert(t, f.Daemon < daemons, qt.IsTrue)
		}
	}
	qt.Assert(t, seen, qt.HasLen, len(kinds))
}
