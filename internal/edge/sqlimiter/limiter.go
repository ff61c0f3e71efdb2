// Package sqlimiter is a distributed rate limiter. Each workspace's rate is divided
// into equal shares among its holders, a subset of the daemons (sqshare). A daemon
// charges requests to its own share, and borrows tokens from other holders when its
// own are spent.
package sqlimiter

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqshare"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqpartwire"
)

const (
	// TickPeriod is the period at which the timer service should tick a Limiter. A
	// change of members or plans takes effect within that time; both change seldom.
	TickPeriod = 200 * time.Millisecond
	// nearTimeout bounds the wait for a holder of the same region, farTimeout for one of
	// another region. A call that has to open its connection takes three round trips.
	nearTimeout = 200 * time.Millisecond
	farTimeout  = 250 * time.Millisecond
	// holderTimeout and agentTimeout bound how long a holder and an agent make another
	// daemon wait for a token. An agent waits for a holder of another region meanwhile.
	holderTimeout = 100 * time.Millisecond
	agentTimeout  = 150 * time.Millisecond
	// maxAwaited bounds the tokens that are counted as awaited for one other daemon.
	maxAwaited = 1000
	// chargeTimeout bounds the wait of a request for a token. It covers a round with a
	// connection to another region that has to be opened.
	chargeTimeout = 200 * time.Millisecond
	// maxAsksPerRound bounds the lenders that are asked for few tokens in one round.
	maxAsksPerRound = 4
	// minBackoff and maxBackoff bound how long a lender that lent nothing is not asked
	// again. Among holders, one that lent less than was asked for is not asked again
	// either, and the time doubles with each such answer, so that holders farther away
	// are asked too.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// maxRetryAfter bounds the time after which a refused caller is told to come back. A
	// caller has a few seconds in all, and holders' answers tell a shorter time if they can.
	maxRetryAfter = time.Second
	// recentLoanAge is how long a holder that has lent tokens is asked before others.
	recentLoanAge = 500 * time.Millisecond
	// unreachableBackoff is how long a holder that did not answer is not asked again.
	unreachableBackoff = time.Second
	// idleTimeout is the time after which the account of a workspace without requests
	// and without a plan is dropped.
	idleTimeout = time.Minute
)

// Member is one daemon of the fleet. Dead daemons stay members until their membership
// records are dropped, since a daemon that is only partitioned may go on spending its
// share.
type Member struct {
	sqshare.Member
	Address string
	// Distance orders the members by distance, nearest first.
	Distance int
	// Near says that the daemon is in the same region.
	Near bool
	// Alive says that the daemon can be asked for tokens.
	Alive bool
}

// Plans gives the workspaces' rates in force.
type Plans interface {
	// Plan returns a workspace's rate and burst, or false if it has no limit.
	Plan(w sqid.WorkspaceID) (sqlimit.Capacity, bool)
	// Limited returns the workspaces that have a limit.
	Limited() []sqid.WorkspaceID
}

// Conns gives the connections to peers.
type Conns interface {
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Limiter is a daemon's rate limiter. It spends the daemon's shares of the workspaces'
// rates and borrows from, or lends to, other holders.
type Limiter struct {
	Self  sqid.DaemonID
	Plans Plans
	Conns Conns
	// Members returns the members of the fleet, this daemon included.
	Members func() []Member
	// MinMembers returns the least number of members to be expected in the fleet. Shares
	// are reduced while fewer are known: a daemon that has just started may not know
	// all of them.
	MinMembers func() int
	Logger     logr.Logger

	// mu guards the fields below and the accounts.
	mu         sync.Mutex
	members    []Member
	minMembers int
	accounts   map[sqid.WorkspaceID]*account
	// unreachable is until when a daemon that did not answer is not asked.
	unreachable map[sqid.DaemonID]time.Time
}

// Register adds the service to a server.
func (l *Limiter) Register(r grpc.ServiceRegistrar) {
	sqpartwire.RegisterPartsServer(r, &server{limiter: l})
}

// Tick applies changes of members and plans.
func (l *Limiter) Tick(now time.Time) {
	members, minMembers := l.Members(), l.MinMembers()
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := !slices.Equal(members, l.members) || minMembers != l.minMembers
	l.members, l.minMembers = members, minMembers
	for _, w := range l.Plans.Limited() {
		// A share fills from when its plan is known, not from the first request.
		if plan, ok := l.Plans.Plan(w); ok && l.accounts[w] == nil {
			l.account(w, plan, now)
		}
	}
	for w, a := range l.accounts {
		plan, ok := l.Plans.Plan(w)
		if !ok && now.Sub(a.lastUsed) > idleTimeout {
			delete(l.accounts, w)
			continue
		}
		if changed || plan != a.plan {
			l.resize(w, a, plan, now)
		}
	}
}

// account returns the account of a workspace, and makes it if there is none. mu is
// held.
func (l *Limiter) account(w sqid.WorkspaceID, plan sqlimit.Capacity, now time.Time) *account {
	a := l.accounts[w]
	if a == nil {
		a = &account{lenders: make(map[sqid.DaemonID]lender), changed: make(chan struct{})}
		if l.accounts == nil {
			l.accounts = make(map[sqid.WorkspaceID]*account)
			if l.members == nil {
				l.members, l.minMembers = l.Members(), l.MinMembers()
			}
		}
		l.accounts[w] = a
		l.resize(w, a, plan, now)
	} else if plan != a.plan {
		l.resize(w, a, plan, now)
	}
	a.lastUsed = now
	return a
}

// resize sets the daemon's share of a workspace's plan and the daemons to borrow from,
// nearest first; those at the same distance are shuffled. mu is held.
func (l *Limiter) resize(w sqid.WorkspaceID, a *account, plan sqlimit.Capacity, now time.Time) {
	a.plan = plan
	members := make([]sqshare.Member, len(l.members))
	for i := range l.members {
		members[i] = l.members[i].Member
	}
	roles := sqshare.RolesFor(w, plan, members)
	a.near, a.far = a.near[:0], a.far[:0]
	shareCount, lends := 0, false
	for _, m := range l.members {
		holds, isAgent := slices.Contains(roles.Holders, m.ID), slices.Contains(roles.Agents, m.ID)
		switch {
		case m.ID == l.Self:
			lends = holds || isAgent
			if holds {
				shareCount = sqshare.ShareCount(len(roles.Holders), len(members), l.minMembers)
			}
		case m.Alive && m.Near && (holds || isAgent):
			a.near = append(a.near, m)
		case m.Alive && holds:
			a.far = append(a.far, m)
		}
	}
	for _, lenders := range [][]Member{a.near, a.far} {
		rand.Shuffle(len(lenders), func(i, j int) { lenders[i], lenders[j] = lenders[j], lenders[i] })
		slices.SortStableFunc(lenders, func(x, y Member) int { return cmp.Compare(x.Distance, y.Distance) })
	}
	a.Resize(now, plan, shareCount, lends)
}

// Charge spends one token of a workspace's rate, and reports whether the request is
// admitted; if not, it returns a retry-after time. It may wait for tokens of other
// holders; the error is that of ctx if it ends meanwhile. A workspace without a limit
// is always admitted.
func (l *Limiter) Charge(ctx context.Context, w sqid.WorkspaceID) (bool, time.Duration, error) {
	plan, limited := l.Plans.Plan(w)
	if !limited {
		return true, 0, nil
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w, plan, now)
	a.AddDemand(now)
	if a.waiting == 0 && a.Spend(now) {
		if now.Sub(a.lastBorrowed) < recentLoanAge && a.TokensToBorrow(now, 0) > 0 {
			// Other holders have tokens to spare. Borrow ahead for the next requests.
			l.startRound(w, a, now)
		}
		return true, 0, nil
	}
	if err := l.await(ctx, w, a, 1, chargeTimeout); err != nil {
		return false, 0, err
	}
	now = time.Now()
	if a.Spend(now) {
		return true, 0, nil
	}
	return false, l.retryAfter(a, now), nil
}

// await waits until the account has a token, for at most the given time; the error is
// that of ctx if it ends meanwhile. n is the number of tokens wanted. It gives up at once
// if neither the own share nor a lender will have a token in that time. mu is held, except
// while it waits.
func (l *Limiter) await(ctx context.Context, w sqid.WorkspaceID, a *account, n int, timeout time.Duration) error {
	now := time.Now()
	deadline := now.Add(timeout)
	a.waiting += n
	defer func() { a.waiting -= n }()
	// The share's next tokens go to those who wait already.
	turn := deadline
	if next, ok := a.TimeUntil(now, squnit.Tokens(a.waiting)); ok && next < timeout {
		turn = now.Add(next)
	}
	for {
		asking, changed := l.startRound(w, a, now), a.changed
		until := deadline
		if turn.After(now) {
			until = turn
		}
		if !asking {
			if next := l.nextAsk(a, now); next.Before(until) {
				until = next
			} else if until.Equal(deadline) {
				return ctx.Err()
			}
		}
		l.mu.Unlock()
		waitUntil(ctx, changed, until)
		l.mu.Lock()
		now = time.Now()
		if err := ctx.Err(); err != nil || a.Has(now) || !now.Before(deadline) {
			return err
		}
	}
}

// waitUntil waits until changed is closed, and not longer than until.
func waitUntil(ctx context.Context, changed chan struct{}, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// nextToken returns the time until the daemon's own share or that of another holder, as
// last heard, has a token for one more request.
func (l *Limiter) nextToken(a *account, now time.Time) time.Duration {
	wait := maxRetryAfter
	if next, ok := a.TimeUntil(now, squnit.Tokens(a.waiting+1)); ok {
		wait = min(wait, next)
	}
	for m := range a.each() {
		if next := a.lenders[m.ID].nextToken; !next.IsZero() && !now.Before(l.unreachable[m.ID]) {
			wait = min(wait, max(0, next.Sub(now)))
		}
	}
	return wait
}

// retryAfter returns the time after which a refused caller should come back: that of the
// next token, spread so that the callers of many daemons don't come back at once.
func (l *Limiter) retryAfter(a *account, now time.Time) time.Duration {
	wait := max(minBackoff, l.nextToken(a, now))
	return wait + rand.N(wait/2+1)
}

// Return gives back the token that was spent on a request that has not run.
func (l *Limiter) Return(w sqid.WorkspaceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[w]; a != nil {
		a.Return(time.Now())
	}
}

// lend takes up to want tokens for another daemon, and returns their number and the time
// until this one has its next token. For a daemon without a share it waits for a token if
// one is to be expected soon, and borrows from the other holders, so that tokens follow
// demand.
func (l *Limiter) lend(ctx context.Context, w sqid.WorkspaceID, want squnit.Tokens, toHolder bool) (squnit.Tokens, time.Duration) {
	plan, limited := l.Plans.Plan(w)
	// The comparison is false for a number that is not one.
	if !limited || !(want > 0) {
		return 0, maxBackoff
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	a := l.account(w, plan, now)
	if a.Lends() && !toHolder && (a.waiting > 0 || !a.Has(now)) {
		timeout := agentTimeout
		if a.HasShare() {
			timeout = holderTimeout
		}
		// The caller's deadline bounds it as well; what it doesn't take stays here.
		if l.await(ctx, w, a, int(math.Ceil(float64(min(want, maxAwaited)))), timeout) != nil {
			return 0, maxBackoff
		}
		now = time.Now()
	}
	lent := a.Lend(now, want, toHolder)
	if a.Lends() && !toHolder && now.Sub(a.lastBorrowed) < recentLoanAge && a.TokensToBorrow(now, 0) > 0 {
		l.startRound(w, a, now)
	}
	return lent, l.nextToken(a, now)
}

// server is the gRPC service that lends tokens to other daemons.
type server struct {
	sqpartwire.UnimplementedPartsServer
	limiter *Limiter
}

// Borrow lends tokens that the daemon holds.
func (s *server) Borrow(ctx context.Context, r *sqpartwire.BorrowRequest) (*sqpartwire.BorrowAnswer, error) {
	lent, next := s.limiter.lend(ctx, sqid.WorkspaceID(r.GetWorkspace()), squnit.Tokens(r.GetTokens()), r.GetHolder())
	return &sqpartwire.BorrowAnswer{Tokens: float64(lent), NextUs: next.Microseconds()}, nil
}
