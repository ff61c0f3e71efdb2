package sqledger

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// laggard gives one daemon the lists of the fleet some time after they change.
type laggard struct {
	f   *fleet
	lag time.Duration
}

func (p laggard) Index() *sqlists.Index {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	var index *sqlists.Index
	for _, c := range p.f.changes {
		if time.Since(c.at) >= p.lag {
			index = c.index
		}
	}
	return index
}

type listChange struct {
	at    time.Time
	index *sqlists.Index
	size  sqlimit.Capacity
}

func (f *fleet) change(size sqlimit.Capacity) {
	f.plans(plan("shop", float64(size.Rate), float64(size.Burst)))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, listChange{at: time.Now(), index: f.index, size: size})
}

// between returns the tokens spent in a span.
func (f *fleet) between(from, to time.Time) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.spent["shop"]), func(t time.Time) bool { return t.Before(from) || !t.Before(to) })
}

// TestPlanChanges changes the plan under a load above all of its rates, while
// the lists reach the home of the workspace 2.5 s later than the other data
// centres, or earlier. At no time is more spent than the larger of old and new
// allows, and from 6 s after a change on no more than the new; a raised plan is
// in force by then. If a changed share applies at once, the bound breaks.
func TestPlanChanges(t *testing.T) {
	for _, hasty := range []bool{false, true} {
		for _, homeIsLate := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(t, 1)
				defer f.close()
				over := f.changePlans(c, hasty, homeIsLate)
				t.Logf("at once %v, home is late %v: excess %.1f", hasty, homeIsLate, over)
				c.Check(over > 0, qt.Equals, hasty)
			})
		}
	}
}

// changePlans returns the worst excess over the larger of old and new plan.
func (f *fleet) changePlans(c *qt.C, hasty, homeIsLate bool) float64 {
	sizes := []sqlimit.Capacity{{Rate: 100, Burst: 50}, {Rate: 20, Burst: 20}, {Rate: 200, Burst: 100}, {Rate: 100, Burst: 10}, {Rate: 100, Burst: 60}}
	const phase, inForce = 20 * time.Second, 6 * time.Second
	dcs := []sqid.DataCentreID{dcName(0), dcName(1), dcName(2), dcName(3)}
	home := sqlimit.Shares{DataCentres: dcs}.Home("shop")
	f.tune = func(l *Ledger) {
		l.hasty = hasty
		lag := laggard{f: f}
		if (l.DataCentre == home) == homeIsLate {
			lag.lag = 2500 * time.Millisecond
		}
		l.Plans = lag
	}
	f.change(sizes[0])
	f.startAll(4, 2)
	time.Sleep(settling)
	began := time.Now()
	go func() {
		for _, size := range sizes[1:] {
			time.Sleep(phase)
			f.change(size)
		}
	}()
	f.drive("shop", sizes[0], 400, phase*time.Duration(len(sizes)), f.anyEntry)
	worst := 0.0
	for i, size := range sizes {
		at := began.Add(phase * time.Duration(i))
		settled := f.between(at.Add(inForce), at.Add(phase))
		c.Check(excess(settled, size), qt.Equals, 0.0, qt.Commentf("%v", size))
		c.Check(float64(len(settled)) > 0.9*float64(size.Rate)*(phase-inForce).Seconds(), qt.IsTrue, qt.Commentf("%v: %d", size, len(settled)))
		if i > 0 {
			old := sizes[i-1]
			larger := sqlimit.Capacity{Rate: max(old.Rate, size.Rate), Burst: max(old.Burst, size.Burst)}
			worst = max(worst, excess(f.between(at.Add(inForce-phase), at.Add(phase)), larger))
		}
	}
	return worst
}
