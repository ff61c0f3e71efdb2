// Package sqlimiter is a distributed rate limiter. Each workspace's rate is divided
// into equal shares among its holders, a subset of the daemons (sqshare). A daemon
// charges requests to its own share, and borrows tokens from other holders when its
// own are spent.
package sqlimiter

import (
	"cmp"
	"context"
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
	// borrowTimeout bounds the wait for one holder: twice the round trip to another
	// region.
	borrowTimeout = 100 * time.Millisecond
	// chargeTimeout bounds the wait of a request for a token.
	chargeTimeout = 150 * time.Millisecond
	// maxAsksPerRound bounds the holders that are asked in one borrowing round.
	maxAsksPerRound = 4
	// minBackoff and maxBackoff bound how long a holder that lent less than was asked
	// for is not asked again. The time doubles with each such answer, so that holders
	// farther away are asked too.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
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
	ID      sqid.DaemonID
	Address string
	// Distance orders the members by distance, nearest first.
	Distance int
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
		a = &account{lenders: make(map[sqid.DaemonID]lender)}
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

// resize sets the daemon's share of a workspace's plan and the other holders to
// borrow from, nearest first; those at the same distance are shuffled. mu is held.
func (l *Limiter) resize(w sqid.WorkspaceID, a *account, plan sqlimit.Capacity, now time.Time) {
	a.plan = plan
	ids := make([]sqid.DaemonID, len(l.members))
	for i := range l.members {
		ids[i] = l.members[i].ID
	}
	holders := sqshare.Holders(w, plan, ids)
	a.holders = a.holders[:0]
	shareCount := 0
	for _, m := range l.members {
		switch {
		case !slices.Contains(holders, m.ID):
		case m.ID == l.Self:
			shareCount = sqshare.ShareCount(len(holders), len(ids), l.minMembers)
		case m.Alive:
			a.holders = append(a.holders, m)
		}
	}
	rand.Shuffle(len(a.holders), func(i, j int) { a.holders[i], a.holders[j] = a.holders[j], a.holders[i] })
	slices.SortStableFunc(a.holders, func(x, y Member) int { return cmp.Compare(x.Distance, y.Distance) })
	a.Resize(now, plan, shareCount)
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
	if a.Spend(now) {
		if now.Sub(a.lastBorrowed) < recentLoanAge && a.TokensToBorrow(now, 0) > 0 {
			// Other holders have tokens to spare. Borrow ahead for the next requests.
			l.joinRound(w, a, now)
		}
		return true, 0, nil
	}
	round := l.joinRound(w, a, now)
	if round == nil {
		return false, l.retryAfter(a, now), nil
	}
	return l.awaitRound(ctx, w, a, round)
}

// awaitRound waits for the end of a borrowing round and then spends a token. Until
// chargeTimeout, a round that brought too few tokens is followed by another. mu is
// held, except while it waits.
func (l *Limiter) awaitRound(ctx context.Context, w sqid.WorkspaceID, a *account, round chan struct{}) (bool, time.Duration, error) {
	timer := time.NewTimer(chargeTimeout)
	defer timer.Stop()
	a.waiting++
	defer func() { a.waiting-- }()
	for timedOut := false; ; {
		l.mu.Unlock()
		select {
		case <-round:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
		}
		l.mu.Lock()
		now := time.Now()
		if err := ctx.Err(); err != nil {
			return false, 0, err
		}
		if a.Spend(now) {
			return true, 0, nil
		}
		if !timedOut {
			round = l.joinRound(w, a, now)
		}
		if timedOut || round == nil {
			return false, l.retryAfter(a, now), nil
		}
	}
}

// retryAfter returns the time until the daemon's own share has a token, at least
// minBackoff and at most maxBackoff, after which other holders may have one.
func (l *Limiter) retryAfter(a *account, now time.Time) time.Duration {
	wait := maxBackoff
	if next, ok := a.TimeUntilToken(now); ok {
		wait = min(wait, next)
	}
	return max(minBackoff, wait)
}

// Return gives back the token that was spent on a request that has not run.
func (l *Limiter) Return(w sqid.WorkspaceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[w]; a != nil {
		a.Return(time.Now())
	}
}

// lend takes up to want tokens from the daemon's own share for another daemon, and
// returns their number and the time until the share has its next token.
func (l *Limiter) lend(w sqid.WorkspaceID, want squnit.Tokens) (squnit.Tokens, time.Duration) {
	plan, limited := l.Plans.Plan(w)
	if !limited {
		return 0, maxBackoff
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w, plan, now)
	lent := a.Lend(now, want)
	next, ok := a.TimeUntilToken(now)
	if !ok {
		next = maxBackoff
	}
	return lent, next
}

// server is the gRPC service that lends tokens to other daemons.
type server struct {
	sqpartwire.UnimplementedPartsServer
	limiter *Limiter
}

// Borrow lends tokens of the daemon's own share.
func (s *server) Borrow(_ context.Context, r *sqpartwire.BorrowRequest) (*sqpartwire.BorrowAnswer, error) {
	lent, next := s.limiter.lend(sqid.WorkspaceID(r.GetWorkspace()), squnit.Tokens(r.GetTokens()))
	return &sqpartwire.BorrowAnswer{Tokens: float64(lent), NextUs: next.Microseconds()}, nil
}
