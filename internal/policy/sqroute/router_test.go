package sqroute

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
)

// TestMain fixes rapid's seed, so that a failure repeats.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var epoch = time.Unix(1_000_000, 0)

func rowsOf(n int, place func(i int) (sqid.DataCentreID, sqid.RegionID)) []sqtarget.Row {
	rows := make([]sqtarget.Row, n)
	for i := range rows {
		dc, region := place(i)
		name := fmt.Sprint("t", i)
		rows[i] = sqtarget.Row{
			ID: sqtarget.ID{Daemon: sqid.DaemonID(name), Target: sqid.TargetID(name)}, Service: "s",
			Slots: 10, DataCentre: dc, Region: region, Incarnation: 1,
		}
	}
	return rows
}

func home(int) (sqid.DataCentreID, sqid.RegionID) { return "own", "here" }

// threeTiers puts targets in the own data centre, the other of the region, and
// the other region in turn.
func threeTiers(i int) (sqid.DataCentreID, sqid.RegionID) {
	switch i % 3 {
	case 0:
		return "own", "here"
	case 1:
		return "near", "here"
	default:
		return "far", "there"
	}
}

func newRouter() *Router {
	return &Router{DataCentre: "own", Region: "here", Links: map[sqid.RegionID]*LinkBudget{"there": {Rate: 1000, Burst: 1000}}}
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestPickKeepsItsBounds checks on random histories that no draining or
// excluded target is picked, that some target is if there is one, and that no
// more than a third of a service is ejected.
func TestPickKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, random, now := newRouter(), rng(), epoch
		rows := rowsOf(rapid.IntRange(1, 9).Draw(t, "targets"), threeTiers)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(rows)-1).Draw(t, "target")
			if rapid.IntRange(0, 9).Draw(t, "drains") == 0 {
				rows[i].Draining = !rows[i].Draining
			}
			req := Request{Service: "s", Importance: squnit.ImportanceCritical}
			if rapid.Bool().Draw(t, "retry") {
				req.Exclude = append(req.Exclude, rows[i].ID)
			}
			c := r.Pick(now, random, rows, req)
			able, open := 0, 0
			for j := range rows {
				if !rows[j].Draining {
					open++
				}
				if !rows[j].Draining && (len(req.Exclude) == 0 || j != i) {
					able++
				}
			}
			if (c.Reason == sqreason.NoReason) != (able > 0) {
				t.Fatalf("reason %q with %d targets to pick from", c.Reason, able)
			}
			if ejected := r.services["s"].countEjected(now); ejected > open/3 {
				t.Fatalf("%d of %d ejected", ejected, open)
			}
			if c.Reason != sqreason.NoReason {
				continue
			}
			if c.Row.Draining || len(req.Exclude) > 0 && c.Row.ID == req.Exclude[0] {
				t.Fatalf("picked %v, draining %v", c.Row.ID, c.Row.Draining)
			}
			r.Started(c.Row.ID)
			r.Ended(now, c.Row.ID, time.Millisecond, sqadmit.Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")), nil)
		}
	})
}

// TestFastFailureDrawsNoTraffic checks a target that answers all calls with a
// failure, faster than the others answer. A router that believes latency alone
// sends it nearly everything.
func TestFastFailureDrawsNoTraffic(t *testing.T) {
	rows := rowsOf(4, home)
	serve := func(i int) (time.Duration, sqadmit.Outcome) {
		if i == 0 {
			return time.Millisecond, sqadmit.Failed
		}
		return 20 * time.Millisecond, sqadmit.OK
	}
	r, random, now := newRouter(), rng(), epoch
	var seen [4]time.Duration
	naive, failed := 0, 0
	const calls = 4000
	for range calls {
		now = now.Add(2 * time.Millisecond)
		c := r.Pick(now, random, rows, Request{Service: "s"})
		for i := range rows {
			if rows[i].ID == c.Row.ID {
				took, o := serve(i)
				r.Started(c.Row.ID)
				r.Ended(now, c.Row.ID, took, o, nil)
				if o == sqadmit.Failed {
					failed++
				}
			}
		}
		a, b := random.IntN(4), random.IntN(4)
		if seen[b] < seen[a] {
			a = b
		}
		took, o := serve(a)
		seen[a] = took
		if o == sqadmit.Failed {
			naive++
		}
	}
	qt.Assert(t, naive > calls*2/5, qt.IsTrue, qt.Commentf("naive failed %d", naive))
	qt.Assert(t, failed < calls/50, qt.IsTrue, qt.Commentf("failed %d", failed))
}

// TestLocality checks which tier is picked when nearer ones are full or gone,
// and that another region is only used for what earns it and within the budget.
func TestLocality(t *testing.T) {
	r, random := newRouter(), rng()
	rows := rowsOf(6, threeTiers)
	full := &sqadmit.Load{InFlight: 10, Queued: 10, Limit: 10}
	pick := func(now time.Time, i squnit.Importance) sqid.DataCentreID {
		return r.Pick(now, random, rows, Request{Service: "s", Importance: i}).Row.DataCentre
	}
	qt.Assert(t, pick(epoch, squnit.ImportanceLow), qt.Equals, sqid.DataCentreID("own"))
	for _, i := range []int{0, 3} {
		r.Ended(epoch, rows[i].ID, time.Millisecond, sqadmit.OK, full)
	}
	qt.Assert(t, pick(epoch, squnit.ImportanceLow), qt.Equals, sqid.DataCentreID("near"))
	for _, i := range []int{1, 4} {
		r.Ended(epoch, rows[i].ID, time.Millisecond, sqadmit.OK, full)
	}
	qt.Assert(t, pick(epoch, squnit.ImportanceNormal), qt.Equals, sqid.DataCentreID("own"))
	qt.Assert(t, pick(epoch, squnit.ImportanceHigh), qt.Equals, sqid.DataCentreID("far"))
	r.Links["there"].Spend(epoch, 2000)
	qt.Assert(t, pick(epoch, squnit.ImportanceHigh), qt.Equals, sqid.DataCentreID("own"))
	rows = []sqtarget.Row{rows[2]}
	qt.Assert(t, r.Pick(epoch, random, rows, Request{Service: "s"}).Reason, qt.Equals, sqreason.LinkBudget)
	later := epoch.Add(2500 * time.Millisecond)
	qt.Assert(t, pick(later, squnit.ImportanceCritical), qt.Equals, sqid.DataCentreID("far"))
}

// TestLinkBudget checks that what is spent while the budget has any never
// exceeds the rate, the burst and one answer.
func TestLinkBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &LinkBudget{Rate: 3000, Burst: 2000}
		now, spent := epoch, squnit.Bytes(0)
		const answer = 1500
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if b.Has(now, squnit.Importance(rapid.IntRange(0, 3).Draw(t, "importance"))) {
				n := squnit.Bytes(rapid.IntRange(0, answer).Draw(t, "bytes"))
				b.Spend(now, n)
				spent += n
			}
			if bound := 2000 + answer + 3000*now.Sub(epoch).Seconds(); float64(spent) > bound+1e-6 {
				t.Fatalf("spent %d, bound %f", spent, bound)
			}
		}
	})
}

// TestSlowStart checks that a target new to a service gets less at first.
func TestSlowStart(t *testing.T) {
	r, random := newRouter(), rng()
	rows := rowsOf(4, home)
	r.Pick(epoch, random, rows[:3], Request{Service: "s"})
	count := func(at time.Time) int {
		n := 0
		for range 4000 {
			if r.Pick(at, random, rows, Request{Service: "s"}).Row.ID == rows[3].ID {
				n++
			}
		}
		return n
	}
	start := epoch.Add(10 * time.Second)
	r.Pick(start, random, rows, Request{Service: "s"})
	qt.Assert(t, count(start) < 400, qt.IsTrue)
	qt.Assert(t, count(start.Add(slowStart)) > 800, qt.IsTrue)
}

func BenchmarkPick(b *testing.B) {
	r, random := newRouter(), rng()
	rows := rowsOf(33, threeTiers)
	req := Request{Service: "s", Importance: squnit.ImportanceNormal}
	for b.Loop() {
		c := r.Pick(epoch, random, rows, req)
		r.Started(c.Row.ID)
		r.Ended(epoch, c.Row.ID, time.Millisecond, sqadmit.OK, nil)
	}
}
