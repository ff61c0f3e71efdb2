package sqroute

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
)

// TestSlowIsNotLoweredByFastAnswers checks that fast answers, even if they are most,
// don't lower the time from which a target counts as silent below the latency of slow
// calls. Slow calls taken for lost would be run twice, and their targets ejected.
func TestSlowIsNotLoweredByFastAnswers(t *testing.T) {
	r := newRouter()
	rows := newRows(2, ownDataCentre)
	answer := func(took time.Duration) {
		c := r.Pick(startTime, rng(), rows, Request{Service: "s"})
		r.Started(c.Row.ID)
		r.Ended(startTime, c.Row.ID, took, sqadmit.OK, nil)
	}
	for range minP90Samples - 1 {
		answer(10 * time.Millisecond)
	}
	qt.Assert(t, r.P90Latency("s"), qt.Equals, time.Duration(0))
	for i := range 200 {
		took := 10 * time.Millisecond
		if i%4 == 0 {
			took = 200 * time.Millisecond
		}
		answer(took)
	}
	// The mean, used for this earlier, is 58 ms, and four times that is no more than the
	// latency of a call to a target that has just started.
	qt.Check(t, r.P90Latency("s") > 120*time.Millisecond, qt.IsTrue, qt.Commentf("slow: %v, usual: %v", r.P90Latency("s"), r.MeanLatency("s")))
	qt.Check(t, r.P90Latency("s") <= 200*time.Millisecond, qt.IsTrue)
}

// TestSlowLocalTargetIsBypassed has the only target of the own data centre become ten
// times slower while that of the other data centre keeps its latency and has
// capacity. Most calls must go to the other, and return within a second of the slow
// target's recovery. With load alone as the criterion six in ten calls stayed, since
// a slow target is not full at once.
func TestSlowLocalTargetIsBypassed(t *testing.T) {
	const normalLatency, callsPerSecond = 30 * time.Millisecond, 50
	r, now := newRouter(), startTime
	rows := newRows(2, threeTiers)
	random := rng()
	simulate := func(duration, ownLatency time.Duration) (remoteFraction float64) {
		remote, total := 0.0, 0.0
		type end struct {
			at   time.Time
			id   sqtarget.ID
			took time.Duration
		}
		var ends []end
		for until := now.Add(duration); now.Before(until); now = now.Add(time.Second / callsPerSecond) {
			for len(ends) > 0 && !ends[0].at.After(now) {
				busy := 0
				for _, e := range ends {
					if e.id == ends[0].id {
						busy++
					}
				}
				r.Ended(ends[0].at, ends[0].id, ends[0].took, sqadmit.OK, &sqadmit.Load{InFlight: busy - 1, Limit: 10, Share: 1, OverallShare: 1})
				ends = ends[1:]
			}
			c := r.Pick(now, random, rows, Request{Service: "s", Importance: squnit.ImportanceNormal})
			r.Started(c.Row.ID)
			took := ownLatency
			total++
			if c.Row.DataCentre != "own" {
				took = normalLatency
				remote++
			}
			ends = append(ends, end{now.Add(took), c.Row.ID, took})
			slices.SortStableFunc(ends, func(a, b end) int { return a.at.Compare(b.at) })
		}
		for _, e := range ends {
			r.Ended(e.at, e.id, e.took, sqadmit.OK, &sqadmit.Load{Limit: 10, Share: 1, OverallShare: 1})
		}
		return remote / total
	}
	qt.Assert(t, simulate(5*time.Second, normalLatency), qt.Equals, 0.0)
	simulate(time.Second, 10*normalLatency)
	bypassing := simulate(4*time.Second, 10*normalLatency)
	t.Logf("%.2f of the calls bypass the slow target", bypassing)
	qt.Check(t, bypassing > 0.8, qt.IsTrue)
	simulate(time.Second, normalLatency)
	stillRemote := simulate(2*time.Second, normalLatency)
	qt.Check(t, stillRemote < 0.1, qt.IsTrue, qt.Commentf("%.2f of the calls still go to the other data centre", stillRemote))
}
