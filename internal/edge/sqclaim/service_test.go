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

// begin claims an operation through a daemon's entry. A granted run is added to
// cl.granted.
func (cl *cluster) begin(d *daemon, k sqoperation.Key) sqreason.Refusal {
	end := time.Now().Add(testTimeout)
	op, replay, refusal := d.service.Begin(context.Background(), k, 1, end)
	switch {
	case op != nil:
		cl.granted = append(cl.granted, &run{key: k, op: op, end: end})
	case replay != nil:
		return "replay"
	case refusal != nil:
		return refusal.Reason
	}
	return sqreason.NoReason
}

// end ends the i-th granted operation: runs says whether the target runs it, and
// reports whether the outcome is reported to the key's home. As gates do, it runs
// nothing after the deadline.
func (cl *cluster) end(i int, runs, reports bool) {
	r := cl.granted[i]
	cl.granted = append(cl.granted[:i], cl.granted[i+1:]...)
	runs = runs && time.Now().Before(r.end)
	outcome := sqoperation.Outcome{Run: squnit.RunNot}
	if runs {
		cl.runs[r.key]++
		outcome = sqoperation.Outcome{Run: squnit.RunDone, Answer: &sqoperation.Answer{Status: 201}}
	}
	if reports {
		r.op.Finish(outcome)
	}
}

// step does one random action: a claim, the end of a run, maintenance, a pause, a
// change of the platform's availability, or the replacement of a daemon.
func (cl *cluster) step() {
	d := cl.daemons[cl.rng.IntN(len(cl.daemons))]
	switch cl.rng.IntN(12) {
	case 0, 1, 2, 3:
		if !d.dead {
			cl.begin(d, sqoperation.Key{Workspace: "grower", Text: fmt.Sprint(cl.rng.IntN(6))})
		}
	case 4, 5, 6:
		if n := len(cl.granted); n > 0 {
			cl.end(cl.rng.IntN(n), cl.rng.IntN(4) > 0, cl.rng.IntN(3) > 0)
		}
	case 7, 8:
		cl.maintain()
	case 9:
		time.Sleep(time.Duration(cl.rng.IntN(2000)) * time.Millisecond)
	case 10:
		cl.platformDown = !cl.platformDown
	case 11:
		if len(cl.alive()) > 2 && !cl.platformDown {
			cl.fail(d, cl.rng.IntN(2) == 0)
			cl.add(sqid.DaemonID(rune('a' + cl.rng.IntN(20))))
			cl.publishRecord()
		}
	}
	synctest.Wait()
}

// countRunTwice returns how many keys ran more than once during random faults.
func countRunTwice(t *testing.T, seed uint64, skipMirroring bool) int {
	n := 0
	synctest.Test(t, func(*testing.T) {
		cl := newCluster(seed, 4)
		cl.lossRate = 0.1
		for _, d := range cl.daemons {
			d.service.skipMirroring = skipMirroring
		}
		for range 150 {
			cl.step()
			for _, d := range cl.daemons {
				d.service.skipMirroring = skipMirroring
			}
		}
		for _, runs := range cl.runs {
			if runs > 1 {
				n++
			}
		}
	})
	return n
}

const seeds = 60

// TestAtMostOnceUnderFaults fails daemons, messages, answers and the platform at
// random. No key may run twice.
func TestAtMostOnceUnderFaults(t *testing.T) {
	for seed := range uint64(seeds) {
		qt.Assert(t, countRunTwice(t, seed, false), qt.Equals, 0, qt.Commentf("seed %d", seed))
	}
}

// TestWithoutMirroringRunsTwice shows that the previous test can fail: if claims are
// granted without a copy and successors take their tables as complete, keys run twice.
func TestWithoutMirroringRunsTwice(t *testing.T) {
	n := 0
	for seed := range uint64(seeds) {
		n += countRunTwice(t, seed, true)
	}
	qt.Assert(t, n > 0, qt.IsTrue)
	t.Logf("keys that ran more than once in %d runs: %d", seeds, n)
}

// TestTakeoverKnowsClaims fails the keeper of a key while its operation runs. The
// backup that takes over reports the operation as running, replays its answer once it
// has finished, and grants other keys.
func TestTakeoverKnowsClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(1, 3)
		cl.maintain()
		k := sqoperation.Key{Workspace: "grower", Text: "fee-1"}
		entry := cl.daemons[1]
		qt.Assert(t, cl.begin(entry, k), qt.Equals, sqreason.NoReason)
		home, _ := sqoperation.HomeOf(k, []sqid.DataCentreID{testCentre})
		keeper := func() *daemon {
			for _, d := range cl.daemons {
				if cl.record.Keeper(home.Shard).Is(d.member) {
					return d
				}
			}
			return nil
		}
		cl.fail(keeper(), true)
		cl.maintain()
		alive := cl.daemons[0]
		if alive.dead {
			alive = cl.daemons[2]
		}
		qt.Assert(t, cl.begin(alive, k), qt.Equals, sqreason.OperationRunning)
		cl.end(0, true, true)
		synctest.Wait()
		qt.Assert(t, cl.begin(alive, k), qt.Equals, sqreason.Refusal("replay"))
		fresh := sqoperation.Key{Workspace: "grower", Text: "fee-2"}
		qt.Assert(t, cl.begin(alive, fresh), qt.Equals, sqreason.NoReason)
	})
}

// TestKeeperLostWithoutBackup fails a keeper that had no backup. The successor answers
// unknown for a caller's own key, and grants keys minted after its tenure began.
func TestKeeperLostWithoutBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(1, 1)
		cl.maintain()
		k := sqoperation.Key{Workspace: "grower", Text: "fee-1"}
		qt.Assert(t, cl.begin(cl.daemons[0], k), qt.Equals, sqreason.NoReason)
		cl.add("b")
		cl.fail(cl.daemons[0], true)
		cl.maintain()
		b := cl.daemons[1]
		qt.Assert(t, cl.begin(b, k), qt.Equals, sqreason.OperationUnknown)
		minted := sqoperation.Key{Workspace: "grower", Text: b.service.Mint(time.Now())}
		qt.Assert(t, cl.begin(b, minted), qt.Equals, sqreason.NoReason)
		time.Sleep(MaxTimeout + DefaultDedupWindow + time.Second)
		qt.Assert(t, cl.begin(b, k), qt.Equals, sqreason.NoReason)
	})
}
