package sqshare

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
)

func fleet(regions, perRegion int) []Member {
	var all []Member
	for i := range regions * perRegion {
		all = append(all, Member{ID: sqid.DaemonID(fmt.Sprintf("d%04d", i)), Region: sqid.RegionID(fmt.Sprint(i % regions))})
	}
	return all
}

// TestRoles checks the number of holders for several plans and fleets, that they are spread
// over the regions, and that each region has an agent.
func TestRoles(t *testing.T) {
	for _, c := range []struct {
		burst              squnit.Tokens
		regions, perRegion int
		holders            int
	}{
		{5, 2, 97, 1},
		{13, 2, 97, 1},
		{14, 2, 97, 2},
		{80, 2, 97, 11},
		{80, 2, 8, 16},
		{63, 2, 8, 9},
		{1, 2, 8, 1},
		{0.5, 2, 8, 1},
		{400, 4, 900, 57},
		{5, 1, 1, 1},
	} {
		for w := range 20 {
			members := fleet(c.regions, c.perRegion)
			roles := RolesFor(sqid.WorkspaceID(fmt.Sprint(w)), sqlimit.Capacity{Rate: 1, Burst: c.burst}, members)
			qt.Assert(t, roles.Holders, qt.HasLen, c.holders, qt.Commentf("burst %v, %d members", c.burst, len(members)))
			qt.Assert(t, roles.Agents, qt.HasLen, c.regions)
			perRegion := make(map[sqid.RegionID]int)
			for _, m := range members {
				if slices.Contains(roles.Holders, m.ID) {
					perRegion[m.Region]++
				}
			}
			least, most := c.holders, 0
			for i := range c.regions {
				n := perRegion[sqid.RegionID(fmt.Sprint(i))]
				least, most = min(least, n), max(most, n)
			}
			qt.Assert(t, most-least <= 1, qt.IsTrue, qt.Commentf("%v", perRegion))
		}
	}
}

// TestRolesChangeLittle removes one member: all roles but its own stay where they were,
// apart from one holder that follows it.
func TestRolesChangeLittle(t *testing.T) {
	members := fleet(2, 97)
	plan := sqlimit.Capacity{Rate: 80, Burst: 80}
	for w := range 20 {
		name := sqid.WorkspaceID(fmt.Sprint(w))
		before := RolesFor(name, plan, members)
		lost := before.Holders[w%len(before.Holders)]
		after := RolesFor(name, plan, slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == lost }))
		moved := 0
		for _, id := range after.Holders {
			if !slices.Contains(before.Holders, id) {
				moved++
			}
		}
		qt.Assert(t, moved, qt.Equals, 1)
	}
}

// TestTokensAreMovedNeverCopied draws fleets whose accounts spend, lend, borrow, return,
// lose loans on the way and change their shares. All that was spent and is held never
// exceeds what the plan's rate has given since the start, and an account never holds more
// than its share and what it borrowed within borrowedTTL.
func TestTokensAreMovedNeverCopied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := sqlimit.Capacity{
			Rate:  squnit.Rate(rapid.Float64Range(0.5, 100).Draw(t, "rate")),
			Burst: squnit.Tokens(rapid.Float64Range(1, 100).Draw(t, "burst")),
		}
		holders := rapid.IntRange(1, 4).Draw(t, "holders")
		accounts := make([]*Account, holders+2)
		start := time.Unix(1000, 0)
		now := start
		for i := range accounts {
			accounts[i] = &Account{}
			share := 0
			if i < holders {
				share = holders
			}
			accounts[i].Resize(now, plan, share, i <= holders)
		}
		pick := func(name string) *Account { return accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, name)] }
		spent := squnit.Tokens(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				a := pick("spender")
				a.AddDemand(now)
				if a.Spend(now) {
					spent++
				}
			case 1:
				from, to := pick("lender"), pick("borrower")
				n := from.Lend(now, squnit.Tokens(rapid.Float64Range(-1, 20).Draw(t, "want")), rapid.Bool().Draw(t, "toHolder"))
				if from != to && rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
					to.Borrow(now, n)
				}
			case 2:
				if a := pick("returner"); spent >= 1 {
					spent--
					a.Return(now)
				}
			default:
				i := rapid.IntRange(0, holders-1).Draw(t, "resized")
				accounts[i].Resize(now, plan, 0, false)
				accounts[i].Resize(now, plan, holders, true)
			}
			held := squnit.Tokens(0)
			for _, a := range accounts {
				a.advance(now)
				held += a.tokens()
				if a.tokens() < -tokenEpsilon {
					t.Fatalf("an account holds %v tokens", a.tokens())
				}
			}
			if given := squnit.Tokens(float64(plan.Rate) * now.Sub(start).Seconds()); spent+held > given+1e-6 {
				t.Fatalf("%v spent and %v held, the rate has given %v", spent, held, given)
			}
		}
	})
}

// TestLoansExpireOneByOne borrows again before an earlier loan has expired. The earlier
// one must expire in its own time.
func TestLoansExpireOneByOne(t *testing.T) {
	now := time.Unix(1000, 0)
	a := &Account{}
	a.Resize(now, sqlimit.Capacity{}, 0, false)
	a.Borrow(now, 3)
	a.Borrow(now.Add(borrowedTTL/2), 2)
	a.advance(now.Add(borrowedTTL + time.Millisecond))
	qt.Assert(t, a.tokens(), qt.Equals, squnit.Tokens(2))
	a.advance(now.Add(3 * borrowedTTL))
	qt.Assert(t, a.tokens(), qt.Equals, squnit.Tokens(0))
}
