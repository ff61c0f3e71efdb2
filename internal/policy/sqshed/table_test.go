package sqshed

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// TestMain fixes rapid's seed, so that failures are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var (
	epoch    = time.Unix(1_000_000, 0)
	classOne = Class{Service: "s", Workspace: "one"}
	classTwo = Class{Service: "s", Workspace: "two"}
)

// admittedShare returns the share of new requests that is admitted at a time.
func admittedShare(t *Table, at time.Time, rng *rand.Rand, c Class, i squnit.Importance) float64 {
	const n = 2000
	ok := 0
	for range n {
		if t.Admit(at, rng, c, i).OK {
			ok++
		}
	}
	return float64(ok) / n
}

func learnRepeatedly(t *Table, at time.Time, c Class, report LoadReport) time.Time {
	// The report comes from a deeper service, every 10 ms for a second.
	for range 100 {
		at = at.Add(10 * time.Millisecond)
		t.Update(at, c, LoadReport{Share: 1, OverallShare: 1}, []LoadReport{report})
	}
	return at
}

func TestAdmitsReportedShares(t *testing.T) {
	var table Table
	rng := rand.New(rand.NewPCG(1, 1))
	qt.Assert(t, table.Admit(epoch, rng, classOne, squnit.ImportanceLow), qt.Equals, Admission{OK: true, Share: 1})
	// A deeper service reports different shares for the two workspaces. Requests
	// to a service without reports are not affected.
	now := epoch
	for range 50 {
		now = learnRepeatedly(&table, now, classOne, LoadReport{Service: "d", Level: squnit.ImportanceNormal, Share: 0.2, OverallShare: 0.6})
		now = learnRepeatedly(&table, now, classTwo, LoadReport{Service: "d", Level: squnit.ImportanceNormal, Share: 1, OverallShare: 0.6})
	}
	checkShare := func(c Class, i squnit.Importance, want float64) {
		got := admittedShare(&table, now, rng, c, i)
		qt.Check(t, got >= want-0.05 && got <= want+0.05, qt.IsTrue, qt.Commentf("%s %s: %.2f, want %.2f", c.Workspace, i, got, want))
	}
	for _, c := range []Class{classOne, classTwo} {
		checkShare(c, squnit.ImportanceCritical, 1)
		checkShare(c, squnit.ImportanceHigh, 1)
		checkShare(c, squnit.ImportanceLow, 0)
	}
	checkShare(classOne, squnit.ImportanceNormal, 0.2)
	checkShare(classTwo, squnit.ImportanceNormal, 1)
	refusal := table.Admit(now, rng, classOne, squnit.ImportanceLow)
	qt.Assert(t, refusal.Reason, qt.Equals, sqreason.ShedDeeper)
	checkShare(Class{Service: "other", Workspace: "one"}, squnit.ImportanceLow, 1)
}

// TestRecoversFromFullShedding checks that an entry that refuses everything lets
// probes through, and admits everything within a second once answers report free
// capacity.
func TestRecoversFromFullShedding(t *testing.T) {
	var table Table
	rng := rand.New(rand.NewPCG(1, 1))
	now := learnRepeatedly(&table, epoch, classOne, LoadReport{Service: "d", Level: squnit.ImportanceCritical, Share: 0, OverallShare: 0})
	qt.Assert(t, admittedShare(&table, now, rng, classOne, squnit.ImportanceCritical) < 0.05, qt.IsTrue)
	probes := 0
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		if table.Admit(now, rng, classOne, squnit.ImportanceLow).Probe {
			probes++
		}
	}
	qt.Assert(t, probes >= 1 && probes <= 3, qt.IsTrue, qt.Commentf("%d probes", probes))
	now = learnRepeatedly(&table, now, classOne, LoadReport{Service: "d", Share: 1, OverallShare: 1})
	qt.Assert(t, admittedShare(&table, now, rng, classOne, squnit.ImportanceLow), qt.Equals, 1.0)
	table.Tick(now.Add(time.Second))
	qt.Assert(t, table.Thresholds(now), qt.HasLen, 0)
}

// TestImportanceOrder checks that after any sequence of load reports, no request
// has a smaller admitted share than a less important one of its workspace.
func TestImportanceOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		rng := rand.New(rand.NewPCG(1, 1))
		now := epoch
		for range rapid.IntRange(1, 30).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			newReport := func(name string) LoadReport {
				return LoadReport{
					Service: sqid.ServiceID(name), Level: squnit.Importance(rapid.IntRange(0, 3).Draw(t, "level")),
					Share: squnit.Share(rapid.Float64Range(0, 1).Draw(t, "share")), OverallShare: squnit.Share(rapid.Float64Range(0, 1).Draw(t, "all")),
				}
			}
			var b DeeperReports
			for range rapid.IntRange(0, 12).Draw(t, "below") {
				b.Add(newReport(rapid.SampledFrom([]string{"d", "e", "f"}).Draw(t, "service")), nil)
			}
			table.Update(now, rapid.SampledFrom([]Class{classOne, classTwo}).Draw(t, "class"), newReport("s"), b.Reports())
		}
		last := squnit.Share(-1)
		for i := range squnit.Importance(squnit.ImportanceLevels) {
			share := table.Admit(now, rng, classOne, i).Share
			if share < last || share < 0 || share > 1 {
				t.Fatalf("%v has share %v, the level below it %v", i, share, last)
			}
			last = share
		}
	})
}
