package sqpurse

import (
	"context"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqshare"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqpartwire"
)

// account is what the daemon may spend for one workspace, and the state of its
// borrowing from other holders. The Purse's lock guards it.
type account struct {
	sqshare.Account
	plan sqlimit.Capacity
	// holders are the other holders that are alive, nearest first.
	holders  []Member
	lastUsed time.Time
	// waiting is the number of requests that wait for the current round.
	waiting int
	// round is closed at the end of the current borrowing round; nil if there is
	// none.
	round chan struct{}
	// lastBorrowed is when any holder last lent tokens.
	lastBorrowed time.Time
	// emptyRounds is the number of rounds in a row that brought no tokens. No round
	// starts before pausedUntil.
	emptyRounds int
	pausedUntil time.Time
	// lenders is what the latest answers of other holders have shown.
	lenders map[sqid.DaemonID]lender
}

// lender is what is known of another holder's tokens.
type lender struct {
	// skipUntil is when the holder may be asked again, after it lent less than was
	// asked for in misses answers since it last lent any.
	skipUntil time.Time
	misses    int
	lastLent  time.Time
}

// joinRound returns the current borrowing round, or starts one; nil if no holder is
// worth asking now. mu is held.
func (p *Purse) joinRound(w sqid.WorkspaceID, a *account, now time.Time) chan struct{} {
	if a.round != nil {
		return a.round
	}
	if now.Before(a.pausedUntil) {
		return nil
	}
	from := p.holdersToAsk(a, now)
	if len(from) == 0 {
		return nil
	}
	round := make(chan struct{})
	a.round = round
	go p.runRound(w, a, from, round)
	return round
}

// holdersToAsk returns the holders to ask in one round: first those that have lent
// tokens recently, then the nearest.
func (p *Purse) holdersToAsk(a *account, now time.Time) []Member {
	var from, others []Member
	for _, m := range a.holders {
		l := a.lenders[m.ID]
		switch {
		case now.Before(l.skipUntil) || now.Before(p.unreachable[m.ID]):
		case now.Sub(l.lastLent) < recentLoanAge:
			from = append(from, m)
		default:
			others = append(others, m)
		}
	}
	from = append(from, others...)
	return from[:min(len(from), maxAsksPerRound)]
}

// runRound asks holders in turn until the waiting requests have their tokens.
func (p *Purse) runRound(w sqid.WorkspaceID, a *account, from []Member, round chan struct{}) {
	start := time.Now()
	for _, m := range from {
		p.mu.Lock()
		want := a.TokensToBorrow(time.Now(), a.waiting)
		p.mu.Unlock()
		if want <= 0 {
			break
		}
		answer, err := p.borrow(m, w, want)
		p.mu.Lock()
		p.noteAnswer(a, m, want, answer, err)
		p.mu.Unlock()
	}
	p.mu.Lock()
	a.round = nil
	a.endRound(time.Now(), start)
	p.mu.Unlock()
	close(round)
}

// endRound pauses borrowing once every holder has been asked and none had tokens,
// with a longer pause after each further empty round. While a workspace exceeds its
// rate everywhere there are no tokens to borrow, and in a large fleet there is always
// one more holder to ask.
func (a *account) endRound(now, start time.Time) {
	if !a.lastBorrowed.Before(start) {
		a.emptyRounds = 0
		return
	}
	a.emptyRounds++
	rounds := (len(a.holders) + maxAsksPerRound - 1) / maxAsksPerRound
	if over := a.emptyRounds - rounds; over > 0 {
		a.pausedUntil = now.Add(min(maxBackoff, minBackoff<<min(over, maxDoublings)))
	}
}

// borrow asks one holder for tokens.
func (p *Purse) borrow(m Member, w sqid.WorkspaceID, want squnit.Tokens) (*sqpartwire.BorrowAnswer, error) {
	conn, err := p.Conns.Conn(m.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	return sqpartwire.NewPartsClient(conn).Borrow(ctx, &sqpartwire.BorrowRequest{Workspace: string(w), Tokens: float64(want)})
}

// noteAnswer adds the tokens that a holder has lent, and sets when it may be asked
// again. mu is held.
func (p *Purse) noteAnswer(a *account, m Member, want squnit.Tokens, answer *sqpartwire.BorrowAnswer, err error) {
	now := time.Now()
	if err != nil {
		p.Logger.V(1).Info("holder of a share does not answer", "peer", m.ID, "error", err.Error())
		if p.unreachable == nil {
			p.unreachable = make(map[sqid.DaemonID]time.Time)
		}
		p.unreachable[m.ID] = now.Add(unreachableBackoff)
		return
	}
	lent := min(want, squnit.Tokens(answer.GetTokens()))
	l := a.lenders[m.ID]
	if lent > 0 {
		a.Borrow(now, lent)
		a.lastBorrowed, l = now, lender{lastLent: now}
	}
	if lent < want {
		next := time.Duration(answer.GetNextUs()) * time.Microsecond
		l.skipUntil = now.Add(min(maxBackoff, max(minBackoff<<l.misses, next)))
		l.misses = min(l.misses+1, maxDoublings)
	}
	a.lenders[m.ID] = l
}

// maxDoublings bounds the doublings of a backoff.
const maxDoublings = 4
