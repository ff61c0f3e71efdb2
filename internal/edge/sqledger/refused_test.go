package sqledger

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
)

// settling is how long a new fleet takes until all data centres hold shares
// and the ledgers have filled.
const settling = 60 * time.Second

// TestRefusedWithinRate sends Poisson load at 0.9 of the rate and counts the
// requests that one bucket of the whole plan admits and the fleet does not.
func TestRefusedWithinRate(t *testing.T) {
	cases := []struct {
		name        string
		dcs         int
		rate, burst float64
		load        float64
		oneEntry    bool
	}{
		{"1 data centre", 1, 100, 100, 0.9, false},
		{"4 data centres, even", 4, 100, 100, 0.9, false},
		{"4 data centres, one entry", 4, 100, 100, 0.9, true},
		{"12 data centres, even", 12, 200, 200, 0.9, false},
		{"12 data centres, one entry", 12, 200, 200, 0.9, true},
		{"12 data centres, even, large", 12, 2000, 1000, 0.9, false},
		{"12 data centres, one entry, large", 12, 2000, 1000, 0.9, true},
		{"12 data centres, bursts of few tokens", 12, 20, 6, 0.3, false},
		{"4 data centres, small burst", 4, 50, 50, 0.9, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(t, 1)
				defer f.close()
				f.plans(plan("shop", tc.rate, tc.burst))
				f.startAll(tc.dcs, 3)
				time.Sleep(settling)
				size := sqlimit.Capacity{Rate: sqRate(tc.rate), Burst: sqTokens(tc.burst)}
				entry := f.anyEntry
				if tc.oneEntry {
					entry = func() *node { return f.node("dc00-1") }
				}
				before := f.lendings()
				span := time.Duration(10000 / (tc.load * tc.rate) * float64(time.Second))
				got := f.drive("shop", size, tc.load*tc.rate, span, entry)
				t.Logf("sent %d refused %d failed %d wrongly %d, mean wait %v, longest %v, messages between data centres %.1f/s",
					got.sent, got.refused, got.failed, got.wrongly, got.wait/time.Duration(got.sent), got.longest, float64(f.lendings()-before)/span.Seconds())
				c.Check(f.excess("shop", size), qt.Equals, 0.0)
				c.Check(got.failed+got.wrongly <= got.sent/1000, qt.IsTrue)
			})
		})
	}
}
