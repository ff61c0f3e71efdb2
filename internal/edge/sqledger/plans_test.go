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

// delayedLists gives a daemon the lists of the fleet some time after they change.
type delayedLists struct {
	f   *fleet
	lag time.Duration
}

func (p delayedLists) Index() *sqlists.Index {
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

// listChange is a change of the lists, with the new plan.
type listChange struct {
	at    time.Time
	index *sqlists.Index
	limit sqlimit.Capacity
}

func (f *fleet) changePlan(limit sqlimit.Capacity) {
	f.plans(plan("shop", float64(limit.Rate), float64(limit.Burst)))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, listChange{at: time.Now(), index: f.index, limit: limit})
}

// spentBetween returns the times of the tokens spent from from until to.
func (f *fleet) spentBetween(from, to time.Time) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.spent["shop"]), func(t time.Time) bool { return t.Before(from) || !t.Before(to) })
}

// TestPlanChanges changes the plan under a load above all of its rates, while the lists
// reach the home of the workspace 2.5 s later than the other data centres, or earlier. No
// more may be spent than the larger of the old and the new plan allows, and from 6 s after
// a change no more than the new one. A raised plan must be in force by then. If a changed
// share applies at once, the first bound must be exceeded.
func TestPlanChanges(t *testing.T) {
	for _, sharesAtOnce := range []bool{false, true} {
		for _, homeIsLate := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(t, 1)
				defer f.close()
				over := f.runPlanChanges(c, sharesAtOnce, homeIsLate)
				t.Logf("at once %v, home is late %v: excess %.1f", sharesAtOnce, homeIsLate, over)
				c.Check(over > 0, qt.Equals, sharesAtOnce)
			})
		}
	}
}

// runPlanChanges returns the worst excess over the larger of the old and the new plan.
func (f *fleet) runPlanChanges(c *qt.C, sharesAtOnce, homeIsLate bool) float64 {
	limits := []sqlimit.Capacity{{Rate: 100, Burst: 50}, {Rate: 20, Burst: 20}, {Rate: 200, Burst: 100}, {Rate: 100, Burst: 10}, {Rate: 100, Burst: 60}}
	const phase, inForce = 20 * time.Second, 6 * time.Second
	dcs := []sqid.DataCentreID{dcName(0), dcName(1), dcName(2), dcName(3)}
	home := sqlimit.Shares{DataCentres: dcs}.Home("shop")
	f.configure = func(l *Ledger) {
		l.sharesAtOnce = sharesAtOnce
		lag := delayedLists{f: f}
		if (l.DataCentre == home) == homeIsLate {
			lag.lag = 2500 * time.Millisecond
		}
		l.Plans = lag
	}
	f.changePlan(limits[0])
	f.startAll(4, 2)
	time.Sleep(settleTime)
	began := time.Now()
	go func() {
		for _, limit := range limits[1:] {
			time.Sleep(phase)
			f.changePlan(limit)
		}
	}()
	f.sendLoad("shop", limits[0], 400, phase*time.Duration(len(limits)), f.anyEntry)
	worst := 0.0
	for i, limit := range limits {
		at := began.Add(phase * time.Duration(i))
		settled := f.spentBetween(at.Add(inForce), at.Add(phase))
		c.Check(excess(settled, limit), qt.Equals, 0.0, qt.Commentf("%v", limit))
		c.Check(float64(len(settled)) > 0.9*float64(limit.Rate)*(phase-inForce).Seconds(), qt.IsTrue, qt.Commentf("%v: %d", limit, len(settled)))
		if i > 0 {
			old := limits[i-1]
			larger := sqlimit.Capacity{Rate: max(old.Rate, limit.Rate), Burst: max(old.Burst, limit.Burst)}
			worst = max(worst, excess(f.spentBetween(at.Add(inForce-phase), at.Add(phase)), larger))
		}
	}
	return worst
}
