package sqledger

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
)

// settleTime is how long a new fleet takes until all data centres hold shares and the
// ledgers have filled.
const settleTime = 30 * time.Second

// regionDelay is the one-way delay between data centres in two regions: those with even
// numbers are in one region, those with odd numbers in the other.
func regionDelay(from, to sqid.DataCentreID) time.Duration {
	switch {
	case from == to:
		return 200 * time.Microsecond
	case from[len(from)-1]%2 == to[len(to)-1]%2:
		return 1500 * time.Microsecond
	default:
		return 20 * time.Millisecond
	}
}

// TestRefusedWithinRate sends Poisson load within the rate, in groups of simultaneous
// requests. The fleet may refuse at most 1 in 1,000 of the requests that one token bucket
// of the entire plan would admit.
func TestRefusedWithinRate(t *testing.T) {
	cases := []struct {
		name        string
		dcs, each   int
		rate, burst float64
		load        float64
		batchSize   int
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
				f.delay = regionDelay
				f.batchSize = tc.batchSize
				f.plans(plan("shop", tc.rate, tc.burst))
				f.startAll(tc.dcs, tc.each)
				time.Sleep(settleTime)
				limit := sqlimit.Capacity{Rate: sqRate(tc.rate), Burst: sqTokens(tc.burst)}
				entry := f.anyEntry
				if tc.oneEntry {
					entry = func() *node { return f.node("dc00-0") }
				}
				before := f.lendMessageCount()
				span := time.Duration(5000 / tc.load * float64(time.Second))
				got := f.sendLoad("shop", limit, tc.load, span, entry)
				t.Logf("sent %d refused %d failed %d wrongly refused %d, mean wait %v, max wait %v, messages between data centres %.1f/s",
					got.sent, got.refused, got.failed, got.wronglyRefused, got.totalWait/time.Duration(got.sent), got.maxWait, float64(f.lendMessageCount()-before)/span.Seconds())
				c.Check(f.excess("shop", limit), qt.Equals, 0.0)
				c.Check(got.failed+got.wronglyRefused <= got.sent/1000, qt.IsTrue)
			})
		})
	}
}

// TestKeeperLost kills or pauses a keeper under an even load. As long as the shares of the
// other data centres suffice, their keepers must serve its entries.
func TestKeeperLost(t *testing.T) {
	for _, fault := range []string{"kill", "pause"} {
		for _, load := range []float64{60, 90} {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(t, 1)
				defer f.close()
				f.delay = regionDelay
				f.plans(plan("shop", 100, 100))
				f.startAll(4, 3)
				time.Sleep(settleTime)
				limit := sqlimit.Capacity{Rate: 100, Burst: 100}
				lost := f.keeperOf("dc00", "shop")
				go func() {
					time.Sleep(5 * time.Second)
					f.apply(c, []string{fault, lost})
					time.Sleep(25 * time.Second)
					f.resumeAll()
				}()
				got := f.sendLoad("shop", limit, load, 30*time.Second, func() *node {
					for {
						if n := f.anyEntry(); string(n.Self.Daemon) != lost {
							return n
						}
					}
				})
				t.Logf("%s at %.0f/s: sent %d refused %d failed %d wrongly refused %d, max wait %v", fault, load, got.sent, got.refused, got.failed, got.wronglyRefused, got.maxWait)
				c.Check(f.excess("shop", limit), qt.Equals, 0.0)
				if load < 75 {
					c.Check(got.failed+got.wronglyRefused <= got.sent/1000, qt.IsTrue)
				}
			})
		}
	}
}
