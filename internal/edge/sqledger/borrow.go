package sqledger

import (
	"context"
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtimer"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqledgerwire"
)

const (
	// lendTimeout bounds the wait for another data centre's keeper.
	lendTimeout = 250 * time.Millisecond
	// awaitLimit is how long a charge may wait for other data centres.
	awaitLimit = 300 * time.Millisecond
	// patience is how long a charge may wait for a token that is due, so that
	// requests which the ways to the keeper have pushed together are not
	// refused.
	patience = 30 * time.Millisecond
	// patienceLimit is how long a charge may wait in all while tokens are due
	// again and again; it covers some ways to another region.
	patienceLimit = 100 * time.Millisecond
	// leastBackoff and failBackoff are the pauses before a keeper that had no
	// token, or did not answer, is asked again.
	leastBackoff = 10 * time.Millisecond
	failBackoff  = 500 * time.Millisecond
	// borrowPeriod is the least time between two rounds of borrowing ahead.
	borrowPeriod = 100 * time.Millisecond
	// noLoanTerm is how long a data centre that had nothing to lend is not
	// asked again for a loan.
	noLoanTerm = time.Second
)

// borrowing is the part of an account that concerns other data centres. The
// shard's lock guards it.
type borrowing struct {
	waiting []waiter
	asking  bool
	// backoff is until when a data centre need not be asked for a token.
	backoff map[sqid.DataCentreID]time.Time
	// lenders is the data centre of each borrowed loan.
	lenders map[sqlimit.LoanID]sqid.DataCentreID
	// noLoan is until when a data centre is not asked for a loan.
	noLoan  map[sqid.DataCentreID]time.Time
	next    time.Time
	renewAt time.Time
}

// waiter is a charge that waits for a token of another data centre.
type waiter struct {
	since time.Time
	reply func(outcome)
}

// soonest returns the smaller of two waits, of which a negative one is none.
func soonest(a, b time.Duration) time.Duration {
	switch {
	case a < 0 && b < 0:
		return failBackoff
	case a < 0:
		return b
	case b < 0:
		return a
	default:
		return min(a, b)
	}
}

// lenders returns the other data centres that may hold capacity of the
// account's plan, nearest first.
func (l *Ledger) lenders(a *account) []sqid.DataCentreID {
	v := l.view.Load()
	set := v.records[l.DataCentre].NewestShares()
	home := sqlimit.Shares{DataCentres: set.DataCentres}.Home(a.workspace)
	var from []sqid.DataCentreID
	for _, dc := range v.order {
		if dc != l.DataCentre && (a.split || dc == home) {
			from = append(from, dc)
		}
	}
	return from
}

// nextLender returns the nearest data centre that may have a token, and the
// time until the first may have one if none has; negative if none ever will.
func (l *Ledger) nextLender(a *account, now time.Time) (sqid.DataCentreID, time.Duration) {
	wait := time.Duration(-1)
	for _, dc := range l.lenders(a) {
		until, ok := a.borrowing.backoff[dc]
		if !ok || !now.Before(until) {
			return dc, 0
		}
		wait = soonest(wait, until.Sub(now))
	}
	return "", wait
}

// await has a charge wait for another data centre's token. It reports false,
// with the time until one may have a token, if none has.
func (l *Ledger) await(a *account, now time.Time, reply func(outcome)) (time.Duration, bool) {
	b := &a.borrowing
	ctx := l.ctx.Load()
	if ctx == nil || len(b.waiting) >= waitLimit {
		return -1, false
	}
	if !b.asking {
		dc, wait := l.nextLender(a, now)
		local, _ := a.ledger.TimeUntilToken(now)
		if wait = soonest(local, wait); dc == "" && wait > patience {
			return wait, false
		}
		b.asking = true
		l.tasks.spawn(func() { l.ask(*ctx, a) })
	}
	b.waiting = append(b.waiting, waiter{since: now, reply: reply})
	return 0, true
}

// ask asks the data centres in turn until no charge waits.
func (l *Ledger) ask(ctx context.Context, a *account) {
	for {
		dc, n, want, pause := l.nextAsk(a)
		if n == 0 {
			return
		}
		if dc == "" {
			if sqtimer.Sleep(ctx, pause) != nil {
				return
			}
			continue
		}
		sent := time.Now()
		answer, err := l.lend(ctx, dc, &sqledgerwire.LendRequest{
			Workspace: string(a.workspace), Spend: uint32(n),
			Rate: float64(want.Rate), Burst: float64(want.Burst), DataCentre: string(l.DataCentre),
		})
		l.answered(a, dc, n, sent, answer, err)
	}
}

// nextAsk settles the waiting charges that can be, and returns whom to ask for
// how many of the others; nobody for the time of the pause if a token is due
// by then.
func (l *Ledger) nextAsk(a *account) (dc sqid.DataCentreID, n int, want sqlimit.Capacity, pause time.Duration) {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	now, b := time.Now(), &a.borrowing
	if !l.current(a, now) {
		b.settle(len(b.waiting), notKeeping)
		b.asking = false
		return "", 0, sqlimit.Capacity{}, 0
	}
	b.settle(l.spend(a, now, len(b.waiting)), admitted)
	b.settle(b.older(now, awaitLimit), refused(leastBackoff))
	dc, wait := l.nextLender(a, now)
	if dc == "" {
		local, _ := a.ledger.TimeUntilToken(now)
		pause = max(time.Millisecond, soonest(local, wait))
		b.settle(b.older(now, patienceLimit), refused(pause))
		due := int(float64(a.plan.Rate)*patience.Seconds()) + 1
		if pause > patience {
			due = 0
		}
		b.refuseFrom(due, pause)
	}
	b.asking = len(b.waiting) > 0
	return dc, len(b.waiting), l.want(a, now), pause
}

// older returns the number of charges that have waited for the limit.
func (b *borrowing) older(now time.Time, limit time.Duration) int {
	n := 0
	for n < len(b.waiting) && now.Sub(b.waiting[n].since) >= limit {
		n++
	}
	return n
}

// refuseFrom refuses the waiting charges behind the first n.
func (b *borrowing) refuseFrom(n int, after time.Duration) {
	n = min(n, len(b.waiting))
	for _, w := range b.waiting[n:] {
		w.reply(refused(after))
	}
	clear(b.waiting[n:])
	b.waiting = b.waiting[:n]
}

// current reports whether the account may still be spent.
func (l *Ledger) current(a *account, now time.Time) bool {
	v := l.view.Load()
	s := a.shard
	return v.keeping(s.id, now) && s.since == v.since[s.id] && s.accounts[a.workspace] == a
}

func (l *Ledger) spend(a *account, now time.Time, n int) int {
	for i := range n {
		if !a.ledger.Spend(now, 1).Admitted {
			return i
		}
		l.noteSpent(a.workspace, now)
	}
	return n
}

// settle answers the first n waiting charges.
func (b *borrowing) settle(n int, o outcome) {
	for _, w := range b.waiting[:n] {
		w.reply(o)
	}
	b.waiting = slices.Delete(b.waiting, 0, n)
}

// answered takes in a lender's answer.
func (l *Ledger) answered(a *account, dc sqid.DataCentreID, n int, sent time.Time, answer *sqledgerwire.LendAnswer, err error) {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	now, b := time.Now(), &a.borrowing
	if b.backoff == nil {
		b.backoff = make(map[sqid.DataCentreID]time.Time)
	}
	if err != nil || !answer.Keeping {
		b.backoff[dc] = now.Add(failBackoff)
		return
	}
	if int(answer.Spent) < n {
		after := time.Duration(answer.RetryAfterUs) * time.Microsecond
		b.backoff[dc] = now.Add(min(failBackoff, max(leastBackoff, after)))
	}
	if now.Sub(sent) < lendTimeout {
		b.settle(min(int(answer.Spent), len(b.waiting)), admitted)
	}
	l.takeIn(a, dc, sent, now, answer)
}

// takeIn takes in the loans of an answer, if the account is still kept.
func (l *Ledger) takeIn(a *account, dc sqid.DataCentreID, sent, now time.Time, answer *sqledgerwire.LendAnswer) {
	if !l.current(a, now) {
		return
	}
	for _, id := range answer.Extended {
		a.ledger.Extended(now, sent, sqlimit.LoanID(id))
	}
	if answer.Loan == nil {
		return
	}
	loan := loanFrom(answer.Loan)
	if a.ledger.Borrow(now, sent, loan) {
		if a.borrowing.lenders == nil {
			a.borrowing.lenders = make(map[sqlimit.LoanID]sqid.DataCentreID)
		}
		a.borrowing.lenders[loan.ID] = dc
	}
}

// want returns what the account should borrow; nothing for a plan that is not
// split, whose home spends for all.
func (l *Ledger) want(a *account, now time.Time) sqlimit.Capacity {
	if !a.split || a.share.Rate <= 0 {
		return sqlimit.Capacity{}
	}
	return a.ledger.CapacityToBorrow(now, a.plan)
}

// borrowAhead borrows from so many data centres as the want needs, nearest
// first. The shard is locked.
func (l *Ledger) borrowAhead(a *account, now time.Time) {
	b, ctx := &a.borrowing, l.ctx.Load()
	if now.Before(b.next) || ctx == nil {
		return
	}
	b.next = now.Add(borrowPeriod)
	want := l.want(a, now)
	for _, dc := range l.lenders(a) {
		if want.Rate <= 0 {
			return
		}
		if now.Before(b.noLoan[dc]) {
			continue
		}
		part := want.Min(a.share)
		want = want.Minus(part)
		request := &sqledgerwire.LendRequest{
			Workspace: string(a.workspace), Rate: float64(part.Rate), Burst: float64(part.Burst),
			DataCentre: string(l.DataCentre),
		}
		l.tasks.spawn(func() { l.exchange(*ctx, a, dc, request) })
	}
}

// exchange sends a request that spends nothing and takes in its answer.
func (l *Ledger) exchange(ctx context.Context, a *account, dc sqid.DataCentreID, request *sqledgerwire.LendRequest) {
	sent := time.Now()
	answer, err := l.lend(ctx, dc, request)
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	now := time.Now()
	if request.Rate > 0 && (err != nil || answer.Loan == nil) {
		a.borrowing.lacks(dc, now)
	}
	if err == nil && answer.Keeping {
		l.takeIn(a, dc, sent, now, answer)
	}
}

func (b *borrowing) lacks(dc sqid.DataCentreID, now time.Time) {
	if b.noLoan == nil {
		b.noLoan = make(map[sqid.DataCentreID]time.Time)
	}
	b.noLoan[dc] = now.Add(noLoanTerm)
}

// renew extends the borrowed loans that are still needed and gives back the
// others, before they end. The shard is locked.
func (l *Ledger) renew(ctx context.Context, a *account, now time.Time) {
	b := &a.borrowing
	if len(b.lenders) == 0 || now.Before(b.renewAt) {
		return
	}
	b.renewAt = now.Add(l.Terms.MaxLoanTerm / 4)
	requests := make(map[sqid.DataCentreID]*sqledgerwire.LendRequest)
	held := a.ledger.Borrowed(now)
	b.forget(held)
	for _, h := range held {
		if h.End.Sub(now) > l.Terms.MaxLoanTerm/2 {
			continue
		}
		dc := b.lenders[h.ID]
		r := requests[dc]
		if r == nil {
			r = &sqledgerwire.LendRequest{Workspace: string(a.workspace), DataCentre: string(l.DataCentre)}
			requests[dc] = r
		}
		if a.ledger.NeedsLoan(now, h.ID) {
			r.Extend = append(r.Extend, uint64(h.ID))
		} else if loan, ok := a.ledger.GiveBack(now, h.ID); ok {
			r.GiveBack = append(r.GiveBack, loanTo(loan))
		}
	}
	for dc, r := range requests {
		l.tasks.spawn(func() { l.exchange(ctx, a, dc, r) })
	}
}

// forget drops the lenders of loans that are no longer held.
func (b *borrowing) forget(held []sqlimit.LoanRecord) {
	for id := range b.lenders {
		if !slices.ContainsFunc(held, func(h sqlimit.LoanRecord) bool { return h.ID == id }) {
			delete(b.lenders, id)
		}
	}
}
