package sqclaim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqoperation"
)

const testTimeout = 5 * time.Second

// begin has an entry claim an operation and, if it may, keeps the run.
func (w *world) begin(d *daemon, k sqoperation.Key) sqreason.Refusal {
	end := time.Now().Add(testTimeout)
	op, replay, refusal := d.books.Begin(context.Background(), k, 1, end)
	switch {
	case op != nil:
		w.granted = append(w.granted, &run{key: k, op: op, end: end})
	case replay != nil:
		return "replay"
	case refusal != nil:
		return refusal.Reason
	}
	return sqreason.NoReason
}

// end has the target run a granted operation, or not, and tells the home, or
// not. What comes after the deadline is not run: gates see to that.
func (w *world) end(i int, runs, tells bool) {
	r := w.granted[i]
	w.granted = append(w.granted[:i], w.granted[i+1:]...)
	runs = runs && time.Now().Before(r.end)
	outcome := sqoperation.Outcome{Run: squnit.RunNot}
	if runs {
		w.runs[r.key]++
		outcome = sqoperation.Outcome{Run: squnit.RunDone, Answer: &sqoperation.Answer{Status: 201}}
	}
	if tells {
		r.op.Finish(outcome)
	}
}

func (w *world) step() {
	d := w.daemons[w.rng.IntN(len(w.daemons))]
	switch w.rng.IntN(12) {
	case 0, 1, 2, 3:
		if !d.dead {
			w.begin(d, sqoperation.Key{Workspace: "grower", Text: fmt.Sprint(w.rng.IntN(6))})
		}
	case 4, 5, 6:
		if n := len(w.granted); n > 0 {
			w.end(w.rng.IntN(n), w.rng.IntN(4) > 0, w.rng.IntN(3) > 0)
		}
	case 7, 8:
		w.attend()
	case 9:
		time.Sleep(time.Duration(w.rng.IntN(2000)) * time.Millisecond)
	case 10:
		w.out = !w.out
	case 11:
		if len(w.alive()) > 2 && !w.out {
			w.lose(d, w.rng.IntN(2) == 0)
			w.add(sqid.DaemonID(rune('a' + w.rng.IntN(20))))
			w.learn()
		}
	}
	synctest.Wait()
}

// twice returns how many keys ran more than once in a run of faults.
func twice(t *testing.T, seed uint64, unbacked bool) int {
	n := 0
	synctest.Test(t, func(*testing.T) {
		w := newWorld(seed, 4)
		w.loss = 0.1
		for _, d := range w.daemons {
			d.books.unbacked = unbacked
		}
		for range 150 {
			w.step()
			for _, d := range w.daemons {
				d.books.unbacked = unbacked
			}
		}
		for _, runs := range w.runs {
			if runs > 1 {
				n++
			}
		}
	})
	return n
}

const seeds = 60

// TestAtMostOnceUnderFaults loses daemons, messages, answers and the platform
// at random; no key may run twice.
func TestAtMostOnceUnderFaults(t *testing.T) {
	for seed := range uint64(seeds) {
		qt.Assert(t, twice(t, seed, false), qt.Equals, 0, qt.Commentf("seed %d", seed))
	}
}

// TestUnbackedRunsTwice is the same with books whose successor believes that
// it knows every claim, though claims are granted without a copy.
func TestUnbackedRunsTwice(t *testing.T) {
	n := 0
	for seed := range uint64(seeds) {
		n += twice(t, seed, true)
	}
	qt.Assert(t, n > 0, qt.IsTrue)
	t.Logf("keys that ran more than once in %d runs: %d", seeds, n)
}

// TestTakeoverKnowsClaims loses the keeper of a key at each stage of its
// operation. The backup that takes over replays, or says running, and refuses
// nothing else.
func TestTakeoverKnowsClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 3)
		w.attend()
		k := sqoperation.Key{Workspace: "grower", Text: "fee-1"}
		entry := w.daemons[1]
		qt.Assert(t, w.begin(entry, k), qt.Equals, sqreason.NoReason)
		home, _ := sqoperation.HomeOf(k, []sqid.DataCentreID{testCentre})
		keeper := func() *daemon {
			for _, d := range w.daemons {
				if w.record.Keeper(home.Shard).Is(d.member) {
					return d
				}
			}
			return nil
		}
		w.lose(keeper(), true)
		w.attend()
		alive := w.daemons[0]
		if alive.dead {
			alive = w.daemons[2]
		}
		qt.Assert(t, w.begin(alive, k), qt.Equals, sqreason.OperationRunning)
		w.end(0, true, true)
		synctest.Wait()
		qt.Assert(t, w.begin(alive, k), qt.Equals, sqreason.Refusal("replay"))
		fresh := sqoperation.Key{Workspace: "grower", Text: "fee-2"}
		qt.Assert(t, w.begin(alive, fresh), qt.Equals, sqreason.NoReason)
	})
}

// TestLoneKeeperLost has nobody to take a copy: the successor says unknown for
// a caller's own key, and grants keys that were minted after it began.
func TestLoneKeeperLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1)
		w.attend()
		k := sqoperation.Key{Workspace: "grower", Text: "fee-1"}
		qt.Assert(t, w.begin(w.daemons[0], k), qt.Equals, sqreason.NoReason)
		w.add("b")
		w.lose(w.daemons[0], true)
		w.attend()
		b := w.daemons[1]
		qt.Assert(t, w.begin(b, k), qt.Equals, sqreason.OperationUnknown)
		minted := sqoperation.Key{Workspace: "grower", Text: b.books.Mint(time.Now())}
		qt.Assert(t, w.begin(b, minted), qt.Equals, sqreason.NoReason)
		time.Sleep(MaxTimeout + DefaultHorizon + time.Second)
		qt.Assert(t, w.begin(b, k), qt.Equals, sqreason.NoReason)
	})
}
