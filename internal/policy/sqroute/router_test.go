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

// TestMain fixes rapid's seed, so that failures are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var startTime = time.Unix(1_000_000, 0)

func newRows(n int, place func(i int) (sqid.DataCentreID, sqid.RegionID)) []sqtarget.Row {
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

func ownDataCentre(int) (sqid.DataCentreID, sqid.RegionID) { return "own", "here" }

// threeTiers places targets in turn in the own data centre, the other data centre of
// the region and another region.
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

// TestPickInvariants checks on random histories that Pick never returns a draining or
// excluded target, returns a target whenever there is one, and that at most a third
// of a service's targets is ejected.
func TestPickInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, random, now := newRouter(), rng(), startTime
		rows := newRows(rapid.IntRange(1, 9).Draw(t, "targets"), threeTiers)
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
			eligible, notDraining := 0, 0
			for j := range rows {
				if !rows[j].Draining {
					notDraining++
				}
				if !rows[j].Draining && (len(req.Exclude) == 0 || j != i) {
					eligible++
				}
			}
			if (c.Reason == sqreason.NoReason) != (eligible > 0) {
				t.Fatalf("reason %q with %d targets to pick from", c.Reason, eligible)
			}
			if ejected := r.services["s"].countEjected(now); ejected > notDraining/3 {
				t.Fatalf("%d of %d ejected", ejected, notDraining)
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

// TestFastFailureDrawsNoTraffic has a target that fails every call faster than the
// others answer. A router that compares latency alone sends it nearly all calls.
func TestFastFailureDrawsNoTraffic(t *testing.T) {
	rows := newRows(4, ownDataCentre)
	serve := func(i int) (time.Duration, sqadmit.Outcome) {
		if i == 0 {
			return time.Millisecond, sqadmit.Failed
		}
		return 20 * time.Millisecond, sqadmit.OK
	}
	r, random, now := newRouter(), rng(), startTime
	var lastLatency [4]time.Duration
	naiveFailed, failed := 0, 0
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
		if lastLatency[b] < lastLatency[a] {
			a = b
		}
		took, o := serve(a)
		lastLatency[a] = took
		if o == sqadmit.Failed {
			naiveFailed++
		}
	}
	qt.Assert(t, naiveFailed > calls*2/5, qt.IsTrue, qt.Commentf("naive failed %d", naiveFailed))
	qt.Assert(t, failed < calls/50, qt.IsTrue, qt.Commentf("failed %d", failed))
}

// TestLocality checks which tier is picked when nearer ones are full or gone, and
// that another region is used only for important calls and within the link budget.
func TestLocality(t *testing.T) {
	r, random := newRouter(), rng()
	rows := newRows(6, threeTiers)
	full := &sqadmit.Load{InFlight: 10, Queued: 10, Limit: 10}
	pick := func(now time.Time, i squnit.Importance) sqid.DataCentreID {
		return r.Pick(now, random, rows, Request{Service: "s", Importance: i}).Row.DataCentre
	}
	qt.Assert(t, pick(startTime, squnit.ImportanceLow), qt.Equals, sqid.DataCentreID("own"))
	for _, i := range []int{0, 3} {
		r.Ended(startTime, rows[i].ID, time.Millisecond, sqadmit.OK, full)
	}
	qt.Assert(t, pick(startTime, squnit.ImportanceLow), qt.Equals, sqid.DataCentreID("near"))
	for _, i := range []int{1, 4} {
		r.Ended(startTime, rows[i].ID, time.Millisecond, sqadmit.OK, full)
	}
	qt.Assert(t, pick(startTime, squnit.ImportanceNormal), qt.Equals, sqid.DataCentreID("own"))
	qt.Assert(t, pick(startTime, squnit.ImportanceHigh), qt.Equals, sqid.DataCentreID("far"))
	r.Links["there"].Spend(startTime, 2000)
	qt.Assert(t, pick(startTime, squnit.ImportanceHigh), qt.Equals, sqid.DataCentreID("own"))
	rows = []sqtarget.Row{rows[2]}
	qt.Assert(t, r.Pick(startTime, random, rows, Request{Service: "s"}).Reason, qt.Equals, sqreason.LinkBudget)
	later := startTime.Add(2500 * time.Millisecond)
	qt.Assert(t, pick(later, squnit.ImportanceCritical), qt.Equals, sqid.DataCentreID("far"))
}

// TestLinkBudget checks that the bytes spent never exceed the rate and the burst by
// more than one answer.
func TestLinkBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &LinkBudget{Rate: 3000, Burst: 2000}
		now, spent := startTime, squnit.Bytes(0)
		const answer = 1500
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if b.Allows(now, squnit.Importance(rapid.IntRange(0, 3).Draw(t, "importance"))) {
				n := squnit.Bytes(rapid.IntRange(0, answer).Draw(t, "bytes"))
				b.Spend(now, n)
				spent += n
			}
			if bound := 2000 + answer + 3000*now.Sub(startTime).Seconds(); float64(spent) > bound+1e-6 {
				t.Fatalf("spent %d, bound %f", spent, bound)
			}
		}
	})
}

// TestSlowStart checks that a new target of a known service gets fewer calls at
// first.
func TestSlowStart(t *testing.T) {
	r, random := newRouter(), rng()
	rows := newRows(4, ownDataCentre)
	r.Pick(startTime, random, rows[:3], Request{Service: "s"})
	count := func(at time.Time) int {
		n := 0
		for range 4000 {
			if r.Pick(at, random, rows, Request{Service: "s"}).Row.ID == rows[3].ID {
				n++
			}
		}
		return n
	}
	start := startTime.Add(10 * time.Second)
	r.Pick(start, random, rows, Request{Service: "s"})
	qt.Assert(t, count(start) < 400, qt.IsTrue)
	qt.Assert(t, count(start.Add(slowStart)) > 800, qt.IsTrue)
}

func BenchmarkPick(b *testing.B) {
	r, random := newRouter(), rng()
	rows := newRows(33, threeTiers)
	req := Request{Service: "s", Importance: squnit.ImportanceNormal}
	for b.Loop() {
		c := r.Pick(startTime, random, rows, req)
		r.Started(c.Row.ID)
		r.Ended(startTime, c.Row.ID, time.Millisecond, sqadmit.OK, nil)
	}
}
