package sqshed

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// TestBackIsSpread has callers come back over a span, none later than a third of
// their time or than an answer could still be in time.
func TestBackIsSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct{ left, latency, usual, longest time.Duration }{
		{5 * time.Second, 1200 * time.Millisecond, 200 * time.Millisecond, time.Second},
		{900 * time.Millisecond, 1200 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond},
		{5 * time.Second, 200 * time.Millisecond, 300 * time.Millisecond, 5 * time.Second / 3},
		{5 * time.Second, 0, 0, 5 * time.Second / 3},
	} {
		first, last := time.Hour, time.Duration(0)
		for range 1000 {
			wait := Back(rng, c.left, c.latency, c.usual)
			first, last = min(first, wait), max(last, wait)
		}
		qt.Check(t, last <= c.longest, qt.IsTrue, qt.Commentf("%+v: last after %v", c, last))
		qt.Check(t, last-first >= c.longest/2, qt.IsTrue, qt.Commentf("%+v: from %v to %v", c, first, last))
	}
}

// TestReturningGoFirst has requests that come back admitted while new ones of
// their level are thinned, but never where their level is shed altogether.
func TestReturningGoFirst(t *testing.T) {
	table := Table{Fine: true}
	rng := rand.New(rand.NewPCG(1, 1))
	levels := []squnit.Importance{squnit.ImportanceHigh + 1, squnit.ImportanceHigh + 2, squnit.ImportanceHigh + 3}
	for _, i := range levels {
		table.Admit(epoch, rng, one, i)
	}
	now := learn(&table, epoch, one, Room{Service: "d", Level: levels[1], Share: 0.5, All: 0.5})
	for i, want := range []struct{ fresh, again float64 }{{0, 0}, {0.5, 1}, {1, 1}} {
		again := 0
		for range 1000 {
			if table.AdmitAgain(now, rng, one, levels[i]).OK {
				again++
			}
		}
		fresh := part(&table, now, rng, one, levels[i])
		qt.Check(t, fresh > want.fresh-0.05 && fresh < want.fresh+0.05, qt.IsTrue, qt.Commentf("level %d: %.2f of new ones", i, fresh))
		qt.Check(t, float64(again)/1000 > want.again-0.05, qt.IsTrue, qt.Commentf("level %d: %d of 1000 returning", i, again))
	}
}

// TestFineScaleCrossesNoEmptyLevels has a cut come up to the lowest level that
// requests have as fast as on a scale of the named levels.
func TestFineScaleCrossesNoEmptyLevels(t *testing.T) {
	shedAfter := func(table *Table, level squnit.Importance) time.Duration {
		rng := rand.New(rand.NewPCG(1, 1))
		table.Admit(epoch, rng, one, level)
		for ms := 1; ms < 1000; ms++ {
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			table.Learn(now, one, Room{Share: 1, All: 1}, []Room{{Service: "d", Level: level, Share: 0.2, All: 0.2}})
			if table.Admit(now, rng, one, level).Share < 0.5 {
				return time.Duration(ms) * time.Millisecond
			}
		}
		return time.Hour
	}
	named := shedAfter(&Table{}, squnit.ImportanceLow)
	fine := shedAfter(&Table{Fine: true}, squnit.ImportanceHigh+1)
	qt.Assert(t, fine <= named, qt.IsTrue, qt.Commentf("%v, named levels %v", fine, named))
}
