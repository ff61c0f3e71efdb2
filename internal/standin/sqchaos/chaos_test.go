package sqchaos

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPlan checks that a seed always gives the same plan, that no fault starts in
// the last faultFreeEnd of a run, that faults of one scope don't overlap, and that
// every kind of fault occurs within 20 seeds.
func TestPlan(t *testing.T) {
	const length, daemons = 60 * time.Second, 8
	seen := map[Kind]bool{}
	for seed := range uint64(20) {
		plan := Plan(seed, daemons, length)
		qt.Assert(t, plan, qt.DeepEquals, Plan(seed, daemons, length))
		until := map[int]time.Duration{}
		for _, f := range plan {
			seen[f.Kind] = true
			qt.Assert(t, f.Start >= until[f.scope()], qt.IsTrue, qt.Commentf("%v", f))
			until[f.scope()] = f.Start + f.Duration
			qt.Assert(t, f.Start < length-faultFreeEnd, qt.IsTrue)
			qt.Assert(t, f.Daemon < daemons, qt.IsTrue)
		}
	}
	qt.Assert(t, seen, qt.HasLen, len(kinds))
}
