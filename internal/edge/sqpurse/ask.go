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

// account is a workspace's account with what belongs to it.
type account struct {
	sqshare.Account
	plan    sqlimit.Capacity
	holders []Member
	used    time.Time
	// waiting is the number of requests that wait for the round under way.
	waiting int
	// round is closed when the round of asking under way has ended; nil if
	// there is none.
	round chan struct{}
	// gave is when any holder last gave tokens.
	gave time.Time
	// empty is the number of rounds in a row that brought nothing, quiet until when
	// no other is begun for that.
	empty int
	quiet time.Time
	// lenders is what the last answers of other holders have shown.
	lenders map[sqid.DaemonID]lender
}

// lender is what is known of another holder.
type lender struct {
	// dry is until when it need not be asked, after misses answers in a row that
	// gave nothing.
	dry    time.Time
	misses int
	gave   time.Time
}

// ask begins a round of asking, or joins the one under way; nil if no holder
// is worth asking now. mu is held.
func (p *Purse) ask(w sqid.WorkspaceID, a *account, now time.Time) chan struct{} {
	if a.round != nil {
		return a.round
	}
	if now.Before(a.quiet) {
		return nil
	}
	from := p.worthAsking(a, now)
	if len(from) == 0 {
		return nil
	}
	round := make(chan struct{})
	a.round = round
	go p.run(w, a, from, round)
	return round
}

// worthAsking returns the holders to be asked in one round: those that had
// something to give lately, then the nearest.
func (p *Purse) worthAsking(a *account, now time.Time) []Member {
	var from, others []Member
	for _, m := range a.holders {
		l := a.lenders[m.ID]
		switch {
		case now.Before(l.dry) || now.Before(p.silent[m.ID]):
		case now.Sub(l.gave) < gaveFor:
			from = append(from, m)
		default:
			others = append(others, m)
		}
	}
	from = append(from, others...)
	return from[:min(len(from), asksMost)]
}

// run asks holders in turn until the waiting requests have their tokens.
func (p *Purse) run(w sqid.WorkspaceID, a *account, from []Member, round chan struct{}) {
	began := time.Now()
	for _, m := range from {
		p.mu.Lock()
		want := a.TokensToBorrow(time.Now(), a.waiting)
		p.mu.Unlock()
		if want <= 0 {
			break
		}
		answer, err := p.borrow(m, w, want)
		p.mu.Lock()
		p.took(a, m, want, answer, err)
		p.mu.Unlock()
	}
	p.mu.Lock()
	a.round = nil
	a.ended(time.Now(), began)
	p.mu.Unlock()
	close(round)
}

// ended puts the next round off once every holder has been asked and none had
// anything, for longer with each round after: while a workspace asks for more than
// its rate everywhere, there is nothing to be had, and in a large fleet there is
// always one more holder to ask.
func (a *account) ended(now, began time.Time) {
	if !a.gave.Before(began) {
		a.empty = 0
		return
	}
	a.empty++
	rounds := (len(a.holders) + asksMost - 1) / asksMost
	if over := a.empty - rounds; over > 0 {
		a.quiet = now.Add(min(dryMost, dryLeast<<min(over, missesMost)))
	}
}

func (p *Purse) borrow(m Member, w sqid.WorkspaceID, want squnit.Tokens) (*sqpartwire.BorrowAnswer, error) {
	conn, err := p.Conns.Conn(m.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	return sqpartwire.NewPartsClient(conn).Borrow(ctx, &sqpartwire.BorrowRequest{Workspace: string(w), Tokens: float64(want)})
}

// took takes in a holder's answer.
func (p *Purse) took(a *account, m Member, want squnit.Tokens, answer *sqpartwire.BorrowAnswer, err error) {
	now := time.Now()
	if err != nil {
		p.Logger.V(1).Info("holder of a part does not answer", "peer", m.ID, "error", err.Error())
		if p.silent == nil {
			p.silent = make(map[sqid.DaemonID]time.Time)
		}
		p.silent[m.ID] = now.Add(awayFor)
		return
	}
	given := min(want, squnit.Tokens(answer.GetTokens()))
	l := a.lenders[m.ID]
	if given > 0 {
		a.Borrow(now, given)
		a.gave, l = now, lender{gave: now}
	}
	if given < want {
		next := time.Duration(answer.GetNextUs()) * time.Microsecond
		l.dry = now.Add(min(dryMost, max(dryLeast<<l.misses, next)))
		l.misses = min(l.misses+1, missesMost)
	}
	a.lenders[m.ID] = l
}

// missesMost bounds the doubling of the time for which a holder is not asked.
const missesMost = 4
