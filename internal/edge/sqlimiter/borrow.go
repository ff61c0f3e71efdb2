package sqlimiter

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
// borrowing from other holders. The Limiter's lock guards it.
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
func (l *Limiter) joinRound(w sqid.WorkspaceID, a *account, now time.Time) chan struct{} {
	if a.round != nil {
		return a.round
	}
	if now.Before(a.pausedUntil) {
		return nil
	}
	from := l.holdersToAsk(a, now)
	if len(from) == 0 {
		return nil
	}
	round := make(chan struct{})
	a.round = round
	go l.runRound(w, a, from, round)
	return round
}

// holdersToAsk returns the holders to ask in one round: first those that have lent
// tokens recently, then the nearest.
func (l *Limiter) holdersToAsk(a *account, now time.Time) []Member {
	var from, others []Member
	for _, m := range a.holders {
		known := a.lenders[m.ID]
		switch {
		case now.Before(known.skipUntil) || now.Before(l.unreachable[m.ID]):
		case now.Sub(known.lastLent) < recentLoanAge:
			from = append(from, m)
		default:
			others = append(others, m)
		}
	}
	from = append(from, others...)
	return from[:min(len(from), maxAsksPerRound)]
}

// runRound asks holders in turn until the waiting requests have their tokens.
func (l *Limiter) runRound(w sqid.WorkspaceID, a *account, from []Member, round chan struct{}) {
	start := time.Now()
	for _, m := range from {
		l.mu.Lock()
		want := a.TokensToBorrow(time.Now(), a.waiting)
		l.mu.Unlock()
		if want <= 0 {
			break
		}
		answer, err := l.borrow(m, w, want)
		l.mu.Lock()
		l.noteAnswer(a, m, want, answer, err)
		l.mu.Unlock()
	}
	l.mu.Lock()
	a.round = nil
	a.endRound(time.Now(), start)
	l.mu.Unlock()
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
func (l *Limiter) borrow(m Member, w sqid.WorkspaceID, want squnit.Tokens) (*sqpartwire.BorrowAnswer, error) {
	conn, err := l.Conns.Conn(m.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	return sqpartwire.NewPartsClient(conn).Borrow(ctx, &sqpartwire.BorrowRequest{Workspace: string(w), Tokens: float64(want)})
}

// noteAnswer adds the tokens that a holder has lent, and sets when it may be asked
// again. mu is held.
func (l *Limiter) noteAnswer(a *account, m Member, want squnit.Tokens, answer *sqpartwire.BorrowAnswer, err error) {
	now := time.Now()
	if err != nil {
		l.Logger.V(1).Info("holder of a share does not answer", "peer", m.ID, "error", err.Error())
		if l.unreachable == nil {
			l.unreachable = make(map[sqid.DaemonID]time.Time)
		}
		l.unreachable[m.ID] = now.Add(unreachableBackoff)
		return
	}
	lent := min(want, squnit.Tokens(answer.GetTokens()))
	known := a.lenders[m.ID]
	if lent > 0 {
		a.Borrow(now, lent)
		a.lastBorrowed, known = now, lender{lastLent: now}
	}
	if lent < want {
		next := time.Duration(answer.GetNextUs()) * time.Microsecond
		known.skipUntil = now.Add(min(maxBackoff, max(minBackoff<<known.misses, next)))
		known.misses = min(known.misses+1, maxDoublings)
	}
	a.lenders[m.ID] = known
}

// maxDoublings bounds the doublings of a backoff.
const maxDoublings = 4
