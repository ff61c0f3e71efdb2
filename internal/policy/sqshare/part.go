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
	// minShareBurst is the least burst of one share, in tokens: with less, most
	// requests would find a share empty while others have tokens.
	minShareBurst = 4
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
)

// HolderCount returns the number of holders of a plan in a fleet with the given
// number of members.
func HolderCount(plan sqlimit.Capacity, members int) int {
	return max(1, min(members, int(plan.Burst/minShareBurst)))
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

// Holders returns the members that hold a share of a workspace's plan. All daemons
// that know the same members compute the same holders, and a member that joins or
// leaves changes few of them (rendezvous hashing).
func Holders(w sqid.WorkspaceID, plan sqlimit.Capacity, members []sqid.DaemonID) []sqid.DaemonID {
	type ranked struct {
		id   sqid.DaemonID
		rank uint64
	}
	ranking := make([]ranked, len(members))
	for i, id := range members {
		ranking[i] = ranked{id, xxhash.Sum64String(string(w) + "\x00" + string(id))}
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id))
	})
	holders := make([]sqid.DaemonID, 0, len(members))
	for _, r := range ranking[:min(len(ranking), HolderCount(plan, len(members)))] {
		holders = append(holders, r.id)
	}
	return holders
}

// Account tracks what one daemon may spend of one workspace's plan: its own share, if
// it is a holder, and borrowed tokens. It is not safe for concurrent use.
type Account struct {
	share    sqlimit.Bucket
	borrowed squnit.Tokens
	// borrowedAt is when tokens were last added to borrowed.
	borrowedAt      time.Time
	demand          float64
	demandUpdatedAt time.Time
}

// Resize sets the daemon's share to the plan divided by holders, or to none if
// holders is 0. A new share starts empty, since its previous holder may have spent
// it.
func (a *Account) Resize(now time.Time, plan sqlimit.Capacity, holders int) {
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

func (a *Account) advance(now time.Time) {
	a.share.Advance(now)
	if a.borrowed > 0 && now.Sub(a.borrowedAt) > borrowedTTL {
		a.borrowed = 0
	}
}

// AddDemand counts one request towards the daemon's own demand.
func (a *Account) AddDemand(now time.Time) {
	a.demand = a.demandRate(now) + 1/demandTimeConstant.Seconds()
	a.demandUpdatedAt = now
}

// demandRate returns the demand in requests per second. Without new requests it
// decays quadratically, to zero after twice the time constant.
func (a *Account) demandRate(now time.Time) float64 {
	decay := 1 - now.Sub(a.demandUpdatedAt).Seconds()/demandTimeConstant.Seconds()/2
	if decay <= 0 {
		return 0
	}
	return a.demand * decay * decay
}

// Spend spends one token, from the share first, and reports whether there was one.
func (a *Account) Spend(now time.Time) bool {
	a.advance(now)
	if a.share.Take(1) {
		return true
	}
	if a.share.Tokens+a.borrowed < 1 {
		return false
	}
	a.borrowed -= 1 - a.share.Tokens
	a.share.Tokens = 0
	return true
}

// Return returns a token that was spent on a request that has not run. The token
// counts as borrowed, so it can expire.
func (a *Account) Return(now time.Time) {
	a.borrowed++
	a.borrowedAt = now
}

// TokensToBorrow returns how many tokens to ask another holder for while the given
// number of requests wait. It rounds up to whole tokens, since a fraction would mostly
// expire unspent.
func (a *Account) TokensToBorrow(now time.Time, waiting int) squnit.Tokens {
	a.advance(now)
	want := max(float64(waiting), a.demandRate(now)*borrowAhead.Seconds())
	return squnit.Tokens(math.Ceil(max(0, want-float64(a.share.Tokens+a.borrowed))))
}

// Borrow adds borrowed tokens.
func (a *Account) Borrow(now time.Time, n squnit.Tokens) {
	a.advance(now)
	a.borrowed += n
	a.borrowedAt = now
}

// Lend takes whole tokens out of the daemon's share for another daemon, at most as
// many as its own demand can spare.
func (a *Account) Lend(now time.Time, want squnit.Tokens) squnit.Tokens {
	a.advance(now)
	n := min(want, a.share.Tokens-squnit.Tokens(a.demandRate(now)*lenderReserve.Seconds()))
	n = squnit.Tokens(math.Floor(float64(n)))
	if n <= 0 {
		return 0
	}
	a.share.Tokens -= n
	return n
}

// TimeUntilToken returns the time until the share holds a token, and false if it
// never will.
func (a *Account) TimeUntilToken(now time.Time) (time.Duration, bool) {
	a.advance(now)
	return a.share.TimeUntil(min(1, a.share.Capacity.Burst))
}
