// Package sqpurse charges requests to parts of their workspaces' rates
// (sqshare): the daemon's own part, and tokens borrowed from other holders.
package sqpurse

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
	// TickPeriod is the period at which the timer service should tick a Purse:
	// members and plans change seldom, and a part of the old size is used for no
	// longer than that.
	TickPeriod = 200 * time.Millisecond
	// borrowTimeout bounds the wait for one holder: twice the way to another
	// region and back.
	borrowTimeout = 100 * time.Millisecond
	// chargeTimeout bounds the wait of a request for a token.
	chargeTimeout = 150 * time.Millisecond
	// asksMost bounds the holders that are asked in one round.
	asksMost = 4
	// dryLeast and dryMost bound how long a holder that had nothing to give is
	// not asked again; the time doubles with each such answer, so that those
	// farther away have their turn.
	dryLeast = 50 * time.Millisecond
	dryMost  = 800 * time.Millisecond
	// gaveFor is how long a holder that had tokens to give goes first.
	gaveFor = 500 * time.Millisecond
	// awayFor is how long a holder that did not answer is not asked again.
	awayFor = time.Second
	// idleAfter is the time after which the account of a workspace that asks for
	// nothing and has no plan any more is dropped.
	idleAfter = time.Minute
)

// Member is one daemon of the fleet, as far as parts go. Dead daemons are
// members until they are forgotten: one that is cut off may go on spending.
type Member struct {
	ID      sqid.DaemonID
	Address string
	// Away orders the members by distance, nearest first.
	Away int
	// Alive members are asked.
	Alive bool
}

// Plans gives the workspaces' rates in force.
type Plans interface {
	// Plan returns a workspace's rate and burst, and false if it has no limit.
	Plan(w sqid.WorkspaceID) (sqlimit.Capacity, bool)
	// Limited returns the workspaces that have a limit.
	Limited() []sqid.WorkspaceID
}

// Conns gives the connections to peers.
type Conns interface {
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Purse is a daemon's part in the division of rates.
type Purse struct {
	Self  sqid.DaemonID
	Plans Plans
	Conns Conns
	// Members returns the members of the fleet, this daemon included.
	Members func() []Member
	// Least returns the least number of members that parts are made for: a daemon
	// that has just started may not know all of them.
	Least  func() int
	Logger logr.Logger

	mu       sync.Mutex
	members  []Member
	least    int
	accounts map[sqid.WorkspaceID]*account
	silent   map[sqid.DaemonID]time.Time
}

// Register adds the service to a server.
func (p *Purse) Register(r grpc.ServiceRegistrar) {
	sqpartwire.RegisterPartsServer(r, &server{purse: p})
}

// Tick takes in changes of members and plans.
func (p *Purse) Tick(now time.Time) {
	members, least := p.Members(), p.Least()
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := !slices.Equal(members, p.members) || least != p.least
	p.members, p.least = members, least
	for _, w := range p.Plans.Limited() {
		// A part fills from when it is known, not from its first request.
		if plan, ok := p.Plans.Plan(w); ok && p.accounts[w] == nil {
			p.account(w, plan, now)
		}
	}
	for w, a := range p.accounts {
		plan, ok := p.Plans.Plan(w)
		if !ok && now.Sub(a.used) > idleAfter {
			delete(p.accounts, w)
			continue
		}
		if changed || plan != a.plan {
			p.size(w, a, plan, now)
		}
	}
}

// account returns the account of a workspace; mu is held.
func (p *Purse) account(w sqid.WorkspaceID, plan sqlimit.Capacity, now time.Time) *account {
	a := p.accounts[w]
	if a == nil {
		a = &account{lenders: make(map[sqid.DaemonID]lender)}
		if p.accounts == nil {
			p.accounts = make(map[sqid.WorkspaceID]*account)
			if p.members == nil {
				p.members, p.least = p.Members(), p.Least()
			}
		}
		p.accounts[w] = a
		p.size(w, a, plan, now)
	} else if plan != a.plan {
		p.size(w, a, plan, now)
	}
	a.used = now
	return a
}

// size sets the daemon's part and the other holders of a workspace.
func (p *Purse) size(w sqid.WorkspaceID, a *account, plan sqlimit.Capacity, now time.Time) {
	a.plan = plan
	ids := make([]sqid.DaemonID, len(p.members))
	for i := range p.members {
		ids[i] = p.members[i].ID
	}
	holders := sqshare.Holders(w, plan, ids)
	a.holders = a.holders[:0]
	parts := 0
	for _, m := range p.members {
		switch {
		case !slices.Contains(holders, m.ID):
		case m.ID == p.Self:
			parts = sqshare.ShareCount(len(holders), len(ids), p.least)
		case m.Alive:
			a.holders = append(a.holders, m)
		}
	}
	rand.Shuffle(len(a.holders), func(i, j int) { a.holders[i], a.holders[j] = a.holders[j], a.holders[i] })
	slices.SortStableFunc(a.holders, func(x, y Member) int { return cmp.Compare(x.Away, y.Away) })
	a.Resize(now, plan, parts)
}

// Charge spends one request of a workspace's rate. A workspace without a limit
// is always admitted.
func (p *Purse) Charge(ctx context.Context, w sqid.WorkspaceID) (bool, time.Duration, error) {
	plan, limited := p.Plans.Plan(w)
	if !limited {
		return true, 0, nil
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(w, plan, now)
	a.AddDemand(now)
	if a.Spend(now) {
		if now.Sub(a.gave) < gaveFor && a.TokensToBorrow(now, 0) > 0 {
			// Others have tokens to spare, and the next requests need them.
			p.ask(w, a, now)
		}
		return true, 0, nil
	}
	round := p.ask(w, a, now)
	if round == nil {
		return false, p.until(a, now), nil
	}
	return p.await(ctx, w, a, round)
}

// await waits for the end of a round, and spends a token of what it brought. While
// there is time, one that brought too few is followed by another. mu is held, but not
// while it waits.
func (p *Purse) await(ctx context.Context, w sqid.WorkspaceID, a *account, round chan struct{}) (bool, time.Duration, error) {
	timer := time.NewTimer(chargeTimeout)
	defer timer.Stop()
	a.waiting++
	defer func() { a.waiting-- }()
	for late := false; ; {
		p.mu.Unlock()
		select {
		case <-round:
		case <-timer.C:
			late = true
		case <-ctx.Done():
		}
		p.mu.Lock()
		now := time.Now()
		if err := ctx.Err(); err != nil {
			return false, 0, err
		}
		if a.Spend(now) {
			return true, 0, nil
		}
		if !late {
			round = p.ask(w, a, now)
		}
		if late || round == nil {
			return false, p.until(a, now), nil
		}
	}
}

// until returns when a token is expected: the sooner of the own part's next
// one and of a holder that may have one.
func (p *Purse) until(a *account, now time.Time) time.Duration {
	wait := dryMost
	if own, ok := a.TimeUntilToken(now); ok {
		wait = min(wait, own)
	}
	return max(dryLeast, wait)
}

// Return gives back what was spent on a request that has not run.
func (p *Purse) Return(w sqid.WorkspaceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.accounts[w]; a != nil {
		a.Return(time.Now())
	}
}

// lend gives tokens of the daemon's own part to another.
func (p *Purse) lend(w sqid.WorkspaceID, want squnit.Tokens) (squnit.Tokens, time.Duration) {
	plan, limited := p.Plans.Plan(w)
	if !limited {
		return 0, dryMost
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(w, plan, now)
	given := a.Lend(now, want)
	next, ok := a.TimeUntilToken(now)
	if !ok {
		next = dryMost
	}
	return given, next
}

type server struct {
	sqpartwire.UnimplementedPartsServer
	purse *Purse
}

// Borrow gives tokens of the daemon's part.
func (s *server) Borrow(_ context.Context, r *sqpartwire.BorrowRequest) (*sqpartwire.BorrowAnswer, error) {
	given, next := s.purse.lend(sqid.WorkspaceID(r.GetWorkspace()), squnit.Tokens(r.GetTokens()))
	return &sqpartwire.BorrowAnswer{Tokens: float64(given), NextUs: next.Microseconds()}, nil
}
