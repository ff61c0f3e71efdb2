package sqledger

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
)

// settling is how long a new fleet takes until all data centres hold shares
// and the ledgers have filled.
const settling = 30 * time.Second

// regions is the delay one way in a fleet of several regions: every second
// data centre is in one region.
func regions(from, to sqid.DataCentreID) time.Duration {
	switch {
	case from == to:
		return 200 * time.Microsecond
	case from[len(from)-1]%2 == to[len(to)-1]%2:
		return 1500 * time.Microsecond
	default:
		return 20 * time.Millisecond
	}
}

// TestRefusedWithinRate sends Poisson load within the rate, in groups of
// requests at the same time, and counts those that one bucket of the whole
// plan admits and the fleet does not: at most 1 in 1,000.
func TestRefusedWithinRate(t *testing.T) {
	cases := []struct {
		name        string
		dcs, each   int
		rate, burst float64
		load        float64
		group       int
		oneEntry    bool
	}{
		{"1 data centre", 1, 3, 100, 100, 90, 1, false},
		{"4 data centres, even", 4, 2, 100, 100, 90, 1, false},
		{"4 data centres, one entry", 4, 2, 100, 100, 90, 1, true},
		{"4 data centres, groups of 10", 4, 2, 200, 50, 100, 10, false},
		{"12 data centres, even", 12, 1, 200, 200, 180, 1, false},
		{"12 data centres, one entry", 12, 1, 200, 200, 180, 1, true},
		{"12 data centres, one entry, large", 12, 1, 2000, 1000, 1800, 1, true},
		{"12 data centres, groups of 4 of 6 tokens", 12, 1, 200, 6, 20, 4, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(t, 1)
				defer f.close()
				f.delay = regions
				f.group = tc.group
				f.plans(plan("shop", tc.rate, tc.burst))
				f.startAll(tc.dcs, tc.each)
				time.Sleep(settling)
				size := sqlimit.Capacity{Rate: sqRate(tc.rate), Burst: sqTokens(tc.burst)}
				entry := f.anyEntry
				if tc.oneEntry {
					entry = func() *node { return f.node("dc00-0") }
				}
				before := f.lendings()
				span := time.Duration(5000 / tc.load * float64(time.Second))
				got := f.drive("shop", size, tc.load, span, entry)
				t.Logf("sent %d refused %d failed %d wrongly %d, mean wait %v, longest %v, messages between data centres %.1f/s",
					got.sent, got.refused, got.failed, got.wrongly, got.wait/time.Duration(got.sent), got.longest, float64(f.lendings()-before)/span.Seconds())
				c.Check(f.excess("shop", size), qt.Equals, 0.0)
				c.Check(got.failed+got.wrongly <= got.sent/1000, qt.IsTrue)
			})
		})
	}
}

// TestKeeperLost kills or pauses a keeper while the load is even: as long as
// the other data centres' shares suffice, its entries are served by those.
func TestKeeperLost(t *testing.T) {
	for _, fault := range []string{"kill", "pause"} {
		for _, load := range []float64{60, 90} {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(t, 1)
				defer f.close()
				f.delay = regions
				f.plans(plan("shop", 100, 100))
				f.startAll(4, 3)
				time.Sleep(settling)
				size := sqlimit.Capacity{Rate: 100, Burst: 100}
				lost := f.keeperOf("dc00", "shop")
				go func() {
					time.Sleep(5 * time.Second)
					f.happen(c, []string{fault, lost})
					time.Sleep(25 * time.Second)
					f.resumeAll()
				}()
				got := f.drive("shop", size, load, 30*time.Second, func() *node {
					for {
						if n := f.anyEntry(); string(n.Self.Daemon) != lost {
							return n
						}
					}
				})
				t.Logf("%s at %.0f/s: sent %d refused %d failed %d wrongly %d, longest %v", fault, load, got.sent, got.refused, got.failed, got.wrongly, got.longest)
				c.Check(f.excess("shop", size), qt.Equals, 0.0)
				if load < 75 {
					c.Check(got.failed+got.wrongly <= got.sent/1000, qt.IsTrue)
				}
			})
		}
	}
}
