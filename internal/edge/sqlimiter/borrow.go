package sqlimiter

import (
	"context"
	"iter"
	"math"
	"sync"
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
	// near are the other holders and the agent of the own region that are alive, far the
	// holders of other regions, nearest first.
	near, far []Member
	lastUsed  time.Time
	// waiting is the number of tokens that requests wait for.
	waiting int
	// rounds is the number of borrowing rounds in progress, pending the tokens that they
	// ask for.
	rounds  int
	pending squnit.Tokens
	// changed is closed, and replaced, when tokens arrive or a round ends.
	changed chan struct{}
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
	// nextToken is when the holder expects a token to spare.
	nextToken time.Time
}

// startRound starts a borrowing round if one is needed and any lender is worth asking
// now, and reports whether one is in progress. mu is held.
func (l *Limiter) startRound(w sqid.WorkspaceID, a *account, now time.Time) bool {
	want := a.TokensToBorrow(now, a.waiting) - a.pending
	if want <= 0 || a.rounds >= maxRounds || now.Before(a.pausedUntil) {
		return a.rounds > 0
	}
	from := l.lendersToAsk(a, want, now)
	if len(from) == 0 {
		return a.rounds > 0
	}
	a.rounds++
	a.pending += want
	go l.runRound(w, a, from, want)
	return true
}

// notify wakes the requests that wait for tokens. mu is held.
func (a *account) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// each yields the daemons to borrow from.
func (a *account) each() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, lenders := range [][]Member{a.near, a.far} {
			for _, m := range lenders {
				if !yield(m) {
					return
				}
			}
		}
	}
}

// lendersToAsk returns the daemons to ask in one round: first those that have lent tokens
// recently, then the nearest. Those of other regions are asked by holders and agents, and
// by the other daemons only if no daemon of their own region answers or has tokens.
func (l *Limiter) lendersToAsk(a *account, want squnit.Tokens, now time.Time) []Member {
	most := max(maxAsksPerRound, int(math.Ceil(float64(want)/tokensPerAsk)))
	near, nearWorks := l.usable(a, a.near, most, now)
	if nearWorks && !a.Lends() {
		return near
	}
	far, _ := l.usable(a, a.far, most, now)
	return append(near, far...)
}

// usable returns at most the given number of lenders that may be asked now, and whether
// any lender is reachable and has tokens at times.
func (l *Limiter) usable(a *account, lenders []Member, most int, now time.Time) (usable []Member, works bool) {
	var others []Member
	for _, m := range lenders {
		known := a.lenders[m.ID]
		if now.Before(l.unreachable[m.ID]) {
			continue
		}
		works = works || known.misses < maxDoublings
		switch {
		case now.Before(known.skipUntil):
		case now.Sub(known.lastLent) < recentLoanAge:
			usable = append(usable, m)
		default:
			others = append(others, m)
		}
	}
	usable = append(usable, others...)
	return usable[:min(len(usable), most)], works
}

// nextAsk returns when the next lender may be asked.
func (l *Limiter) nextAsk(a *account, now time.Time) time.Time {
	next := now.Add(maxBackoff)
	for m := range a.each() {
		at := a.lenders[m.ID].skipUntil
		if until := l.unreachable[m.ID]; until.After(at) {
			at = until
		}
		if at.After(now) && at.Before(next) {
			next = at
		}
	}
	if a.pausedUntil.After(next) {
		next = a.pausedUntil
	}
	return next
}

// runRound asks lenders for tokens: those of the own region, then those of other regions.
// For few tokens those of the own region are asked in turn.
func (l *Limiter) runRound(w sqid.WorkspaceID, a *account, from []Member, want squnit.Tokens) {
	start, missing := time.Now(), want
	var near, far []Member
	for _, m := range from {
		if m.Near {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	if want > tokensPerAsk {
		missing -= l.askAtOnce(w, a, near, missing)
	} else {
		for _, m := range near {
			if missing > 0 {
				missing -= l.askOne(w, a, m, missing)
			}
		}
	}
	l.askAtOnce(w, a, far, missing)
	l.mu.Lock()
	defer l.mu.Unlock()
	a.rounds--
	a.pending -= want
	a.endRound(time.Now(), start)
	a.notify()
}

// askAtOnce asks as many lenders as the tokens may need for a part of them each, all at the
// same time, and returns how many tokens they lent.
func (l *Limiter) askAtOnce(w sqid.WorkspaceID, a *account, lenders []Member, want squnit.Tokens) squnit.Tokens {
	if want <= 0 || len(lenders) == 0 {
		return 0
	}
	n := min(len(lenders), int(math.Ceil(float64(want)/tokensPerAsk)))
	part := squnit.Tokens(math.Ceil(float64(want) / float64(n)))
	lent := make([]squnit.Tokens, n)
	var asks sync.WaitGroup
	for i, m := range lenders[:n] {
		asks.Go(func() { lent[i] = l.askOne(w, a, m, part) })
	}
	asks.Wait()
	sum := squnit.Tokens(0)
	for _, t := range lent {
		sum += t
	}
	return sum
}

// askOne asks one lender for tokens, adds what it lends, and returns the number.
func (l *Limiter) askOne(w sqid.WorkspaceID, a *account, m Member, want squnit.Tokens) squnit.Tokens {
	l.mu.Lock()
	isHolder := a.HasShare()
	l.mu.Unlock()
	answer, err := l.borrow(m, w, want, isHolder)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.noteAnswer(a, m, want, answer, err)
}

// endRound pauses borrowing once every lender, or those of maxEmptyRounds rounds, have been
// asked and none had tokens, with a longer pause after each further empty round. While a
// workspace exceeds its rate everywhere there are no tokens to borrow, and in a large fleet
// there is always one more lender to ask.
func (a *account) endRound(now, start time.Time) {
	if !a.lastBorrowed.Before(start) {
		a.emptyRounds = 0
		return
	}
	if !a.HasShare() {
		return
	}
	a.emptyRounds++
	rounds := (len(a.near) + len(a.far) + maxAsksPerRound - 1) / maxAsksPerRound
	if over := a.emptyRounds - min(rounds, maxEmptyRounds); over > 0 {
		a.pausedUntil = now.Add(min(maxBackoff, minBackoff<<min(over, maxDoublings)))
	}
}

// borrow asks one holder for tokens.
func (l *Limiter) borrow(m Member, w sqid.WorkspaceID, want squnit.Tokens, isHolder bool) (*sqpartwire.BorrowAnswer, error) {
	conn, err := l.Conns.Conn(m.Address)
	if err != nil {
		return nil, err
	}
	timeout := farTimeout
	if m.Near {
		timeout = nearTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return sqpartwire.NewPartsClient(conn).Borrow(ctx, &sqpartwire.BorrowRequest{Workspace: string(w), Tokens: float64(want), Holder: isHolder})
}

// noteAnswer adds the tokens that a holder has lent, and sets when it may be asked
// again. mu is held.
func (l *Limiter) noteAnswer(a *account, m Member, want squnit.Tokens, answer *sqpartwire.BorrowAnswer, err error) squnit.Tokens {
	now := time.Now()
	if err != nil {
		l.Logger.V(1).Info("holder of a share does not answer", "peer", m.ID, "error", err.Error())
		if l.unreachable == nil {
			l.unreachable = make(map[sqid.DaemonID]time.Time)
		}
		l.unreachable[m.ID] = now.Add(unreachableBackoff)
		return 0
	}
	lent := squnit.Tokens(0)
	known := a.lenders[m.ID]
	// The comparison is false for a number that is not one.
	if t := squnit.Tokens(answer.GetTokens()); t > 0 {
		lent = min(want, t)
		a.Borrow(now, lent)
		a.lastBorrowed, known = now, lender{lastLent: now}
		a.notify()
	}
	next := time.Duration(answer.GetNextUs()) * time.Microsecond
	known.nextToken = now.Add(next)
	switch {
	case lent >= want:
	case a.HasShare():
		// Holders don't wait for each other's tokens.
		known.skipUntil = now.Add(min(maxBackoff, max(minBackoff<<known.misses, next)))
		known.misses = min(known.misses+1, maxDoublings)
	case lent == 0:
		known.skipUntil = now.Add(min(maxBackoff, max(minBackoff, next)))
		known.misses = min(known.misses+1, maxDoublings)
	}
	a.lenders[m.ID] = known
	return lent
}

const (
	// maxDoublings bounds the doublings of a backoff.
	maxDoublings = 4
	// maxEmptyRounds is the number of rounds in a row without tokens that show that there
	// are none in a fleet of any size.
	maxEmptyRounds = 8
	// maxRounds bounds the borrowing rounds of one workspace in progress.
	maxRounds = 4
	// tokensPerAsk is how many tokens one lender can be expected to have: for more, more
	// lenders are asked.
	tokensPerAsk = 4
)
