// Package sqshare divides a workspace's rate and burst into equal shares among
// holders, a subset of the daemons. Every daemon derives the holders from the fleet's
// members alone, so no agreement is needed to start. Tokens move between holders and
// are never copied, so that lost messages, partitions and restarts can't create
// tokens.
package sqshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
)

const (
	// minShareBurst is the least burst of a share, in tokens, if every daemon has one:
	// with less, most requests would find a share empty while others have tokens.
	minShareBurst = 4
	// fewShareBurst is the burst of a share if only some daemons have one.
	fewShareBurst = 7
	// lenderReserve is the time for which a lender keeps enough tokens for its own
	// demand.
	lenderReserve = 100 * time.Millisecond
	// demandTimeConstant is the time constant of the moving average of demand.
	demandTimeConstant = time.Second
	// borrowAhead is the time for whose demand a daemon borrows at once; it covers
	// several round trips between regions.
	borrowAhead = 200 * time.Millisecond
	// borrowedTTL is how long borrowed tokens may stay unspent. Expired tokens are
	// lost to the workspace, but tokens kept for long would add to a full burst.
	borrowedTTL = 2 * time.Second
	// tokenEpsilon, in tokens, absorbs the rounding errors of adding fractions.
	tokenEpsilon = 1e-9
)

// Member is a daemon that may hold a share.
type Member struct {
	ID     sqid.DaemonID
	Region sqid.RegionID
}

// HolderCount returns the number of holders of a plan in a fleet with the given number of
// members: all of them if each can have a share of minShareBurst, so that most requests
// need no other daemon, and few with large shares otherwise, so that a few calls collect a
// burst.
func HolderCount(plan sqlimit.Capacity, members int) int {
	if int(plan.Burst/minShareBurst) >= members {
		return max(1, members)
	}
	return max(1, min(members, int(plan.Burst/fewShareBurst)))
}

// ShareCount returns the number of shares that a holder divides the plan by. A
// daemon that knows fewer than minMembers members, the least to be expected, is more
// likely to rank itself among the holders. Its share is reduced in proportion, so that
// the shares in a fleet that has just started don't add up to more than the plan.
func ShareCount(holders, known, minMembers int) int {
	if known <= 0 || known >= minMembers {
		return holders
	}
	return (holders*minMembers + known - 1) / known
}

// Roles are the daemons with a part in a workspace's rate limit.
type Roles struct {
	// Holders hold a share of the plan each.
	Holders []sqid.DaemonID
	// Agents are one daemon of each region, which borrows for the daemons of its region
	// from the holders of others. It may hold a share itself.
	Agents []sqid.DaemonID
}

// RolesFor returns the daemons with a part in a workspace's rate limit. The holders are
// spread evenly over the regions, since borrowing from another region takes much longer.
// All daemons that know the same members compute the same roles, and a member that joins
// or leaves changes few of them (rendezvous hashing).
func RolesFor(w sqid.WorkspaceID, plan sqlimit.Capacity, members []Member) Roles {
	type ranked struct {
		Member
		rank uint64
		// place is the member's place among those of its region.
		place int
	}
	ranking := make([]ranked, len(members))
	for i, m := range members {
		ranking[i] = ranked{Member: m, rank: xxhash.Sum64String(string(w) + "\x00" + string(m.ID))}
	}
	byRank := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.ID, b.ID))
	}
	slices.SortFunc(ranking, byRank)
	places := make(map[sqid.RegionID]int)
	for i := range ranking {
		ranking[i].place = places[ranking[i].Region]
		places[ranking[i].Region]++
	}
	slices.SortFunc(ranking, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.place, b.place), byRank(a, b)) })
	var roles Roles
	holders := HolderCount(plan, len(members))
	for i, r := range ranking[:min(len(ranking), max(len(places), holders))] {
		if i < holders {
			roles.Holders = append(roles.Holders, r.ID)
		}
		if r.place == 0 {
			roles.Agents = append(roles.Agents, r.ID)
		}
	}
	return roles
}

// demand is a moving average of events per second.
type demand struct {
	average   float64
	updatedAt time.Time
}

// add counts n events.
func (d *demand) add(now time.Time, n float64) {
	d.average = d.rate(now) + n/demandTimeConstant.Seconds()
	d.updatedAt = now
}

// rate returns the events per second. Without new events it decays quadratically, to
// zero after twice the time constant.
func (d *demand) rate(now time.Time) float64 {
	decay := 1 - now.Sub(d.updatedAt).Seconds()/demandTimeConstant.Seconds()/2
	if decay <= 0 {
		return 0
	}
	return d.average * decay * decay
}

// lot is a number of borrowed tokens that expire together.
type lot struct {
	tokens squnit.Tokens
	at     time.Time
}

// Account tracks what one daemon may spend of one workspace's plan: its own share, if
// it is a holder, and borrowed tokens. It is not safe for concurrent use.
type Account struct {
	share sqlimit.Bucket
	// lends is set for holders and agents.
	lends bool
	// borrowed are the borrowed tokens, oldest first.
	borrowed []lot
	// own is the demand of the daemon's own requests, asked that of the daemons that
	// borrow from it.
	own, asked demand
}

// Resize sets the daemon's share to the plan divided by holders, or to none if
// holders is 0. A new share starts empty, since its previous holder may have spent
// it. lends says whether the daemon is a holder or an agent.
func (a *Account) Resize(now time.Time, plan sqlimit.Capacity, holders int, lends bool) {
	a.lends = lends
	if a.share.RefilledAt.IsZero() {
		a.share.RefilledAt = now
	}
	a.share.Advance(now)
	if holders == 0 {
		a.share.Resize(sqlimit.Capacity{})
		return
	}
	a.share.Resize(plan.Times(1 / float64(holders)))
}

// HasShare reports whether the daemon is a holder.
func (a *Account) HasShare() bool { return a.share.Capacity.Burst > 0 }

// Lends reports whether the daemon is a holder or an agent.
func (a *Account) Lends() bool { return a.lends }

func (a *Account) advance(now time.Time) {
	a.share.Advance(now)
	a.borrowed = slices.DeleteFunc(a.borrowed, func(l lot) bool { return now.Sub(l.at) > borrowedTTL })
}

// tokens returns the tokens of the share and those borrowed.
func (a *Account) tokens() squnit.Tokens {
	n := a.share.Tokens
	for _, l := range a.borrowed {
		n += l.tokens
	}
	return n
}

// take takes n of the tokens, which the account must hold: first the borrowed ones, since
// they expire.
func (a *Account) take(n squnit.Tokens) {
	for len(a.borrowed) > 0 && n > 0 {
		l := &a.borrowed[0]
		part := min(n, l.tokens)
		n -= part
		if l.tokens -= part; l.tokens <= 0 {
			a.borrowed = a.borrowed[1:]
		}
	}
	a.share.Tokens = max(0, a.share.Tokens-n)
}

// AddDemand counts one request towards the daemon's own demand.
func (a *Account) AddDemand(now time.Time) { a.own.add(now, 1) }

// Has reports whether there is a token to spend or to lend.
func (a *Account) Has(now time.Time) bool {
	a.advance(now)
	return a.tokens()+tokenEpsilon >= 1
}

// Spend spends one token and reports whether there was one.
func (a *Account) Spend(now time.Time) bool {
	if !a.Has(now) {
		return false
	}
	a.take(1)
	return true
}

// Return returns a token that was spent on a request that has not run. The token
// counts as borrowed, so it can expire.
func (a *Account) Return(now time.Time) { a.Borrow(now, 1) }

// TokensToBorrow returns how many tokens to ask another holder for while the given
// number of requests wait. It rounds up to whole tokens, since a fraction would mostly
// expire unspent.
func (a *Account) TokensToBorrow(now time.Time, waiting int) squnit.Tokens {
	a.advance(now)
	want := max(float64(waiting), (a.own.rate(now)+a.asked.rate(now))*borrowAhead.Seconds())
	return squnit.Tokens(math.Ceil(max(0, want-float64(a.tokens()))))
}

// Borrow adds borrowed tokens.
func (a *Account) Borrow(now time.Time, n squnit.Tokens) {
	a.advance(now)
	a.borrowed = append(a.borrowed, lot{n, now})
}

// Lend takes tokens for another daemon, at most as many as the daemon's own requests can
// spare in whole tokens, and at least one. Only holders and agents lend. What a daemon without a share
// asks for counts as demand, for which this one borrows in turn; to another holder it
// lends only what that demand can spare as well.
func (a *Account) Lend(now time.Time, want squnit.Tokens, toHolder bool) squnit.Tokens {
	if !a.lends || !(want > 0) {
		return 0
	}
	a.advance(now)
	reserved := a.own.rate(now)
	if toHolder {
		reserved += a.asked.rate(now)
	}
	n := min(want, a.tokens()-squnit.Tokens(math.Floor(reserved*lenderReserve.Seconds())))
	if n+tokenEpsilon < min(want, 1) {
		n = 0
	}
	if !toHolder {
		a.asked.add(now, float64(want))
	}
	a.take(n)
	return n
}

// TimeUntil returns the time until the share holds n tokens, and false if it never will.
func (a *Account) TimeUntil(now time.Time, n squnit.Tokens) (time.Duration, bool) {
	a.advance(now)
	if !a.HasShare() {
		return 0, false
	}
	return a.share.TimeUntil(min(n, max(1, a.share.Capacity.Burst)))
}
