package sqshed

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// TestRetryAfterIsSpread checks that retries are spread over a range of times,
// none later than a third of the caller's remaining time, nor too late for an
// answer within the latency goal if that can be met.
func TestRetryAfterIsSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct{ remaining, latencyGoal, typicalLatency, maxWait time.Duration }{
		{5 * time.Second, 1200 * time.Millisecond, 200 * time.Millisecond, time.Second},
		{900 * time.Millisecond, 1200 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond},
		{5 * time.Second, 200 * time.Millisecond, 300 * time.Millisecond, 5 * time.Second / 3},
		{5 * time.Second, 0, 0, 5 * time.Second / 3},
	} {
		first, last := time.Hour, time.Duration(0)
		for range 1000 {
			wait := RetryAfter(rng, c.remaining, c.latencyGoal, c.typicalLatency)
			first, last = min(first, wait), max(last, wait)
		}
		qt.Check(t, last <= c.maxWait, qt.IsTrue, qt.Commentf("%+v: longest wait %v", c, last))
		qt.Check(t, last-first >= c.maxWait/2, qt.IsTrue, qt.Commentf("%+v: waits from %v to %v", c, first, last))
	}
}

// TestReturningRequestsGoFirst checks that requests sent again after a refusal
// are admitted while new ones of their level are partly shed, and refused if
// their level is shed completely.
func TestReturningRequestsGoFirst(t *testing.T) {
	table := Table{FineLevels: true}
	rng := rand.New(rand.NewPCG(1, 1))
	levels := []squnit.Importance{squnit.ImportanceHigh + 1, squnit.ImportanceHigh + 2, squnit.ImportanceHigh + 3}
	for _, i := range levels {
		table.Admit(epoch, rng, classOne, i)
	}
	now := learnRepeatedly(&table, epoch, classOne, LoadReport{Service: "d", Level: levels[1], Share: 0.5, OverallShare: 0.5})
	for i, want := range []struct{ fresh, again float64 }{{0, 0}, {0.5, 1}, {1, 1}} {
		again := 0
		for range 1000 {
			if table.AdmitRetry(now, rng, classOne, levels[i]).OK {
				again++
			}
		}
		fresh := admittedShare(&table, now, rng, classOne, levels[i])
		qt.Check(t, fresh > want.fresh-0.05 && fresh < want.fresh+0.05, qt.IsTrue, qt.Commentf("level %d: admitted %.2f of new requests", i, fresh))
		qt.Check(t, float64(again)/1000 > want.again-0.05, qt.IsTrue, qt.Commentf("level %d: admitted %d of 1000 returning requests", i, again))
	}
}

// TestFineScaleSkipsUnusedLevels checks that on a fine scale the threshold
// reaches the lowest level in use no later than on a scale of the named levels.
func TestFineScaleSkipsUnusedLevels(t *testing.T) {
	shedAfter := func(table *Table, level squnit.Importance) time.Duration {
		rng := rand.New(rand.NewPCG(1, 1))
		table.Admit(epoch, rng, classOne, level)
		for ms := 1; ms < 1000; ms++ {
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			table.Update(now, classOne, LoadReport{Share: 1, OverallShare: 1}, []LoadReport{{Service: "d", Level: level, Share: 0.2, OverallShare: 0.2}})
			if table.Admit(now, rng, classOne, level).Share < 0.5 {
				return time.Duration(ms) * time.Millisecond
			}
		}
		return time.Hour
	}
	named := shedAfter(&Table{}, squnit.ImportanceLow)
	fine := shedAfter(&Table{FineLevels: true}, squnit.ImportanceHigh+1)
	qt.Assert(t, fine <= named, qt.IsTrue, qt.Commentf("after %v, with named levels after %v", fine, named))
}
