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
	// lendTimeout bounds one request to another data centre's keeper.
	lendTimeout = 250 * time.Millisecond
	// maxLenderWait is how long a charge may wait for other data centres.
	maxLenderWait = 300 * time.Millisecond
	// maxTokenWait is how long a charge may wait for a token that will be available
	// within that time, so that requests that network latency has bunched together are
	// not refused.
	maxTokenWait = 30 * time.Millisecond
	// maxTotalTokenWait bounds the total of such waits of a charge that repeatedly gets
	// no token; it covers several trips to another region.
	maxTotalTokenWait = 100 * time.Millisecond
	// minBackoff is the least pause before a keeper that had no token is asked again,
	// failureBackoff the longest, also used for one that did not answer.
	minBackoff     = 10 * time.Millisecond
	failureBackoff = 500 * time.Millisecond
	// borrowPeriod is the least time between two attempts to borrow ahead.
	borrowPeriod = 100 * time.Millisecond
	// noLoanBackoff is how long a data centre that granted no loan is not asked for one
	// again.
	noLoanBackoff = time.Second
)

// borrowing is an account's state of borrowing from other data centres. The shard's lock
// guards it.
type borrowing struct {
	// waiting are the charges that wait for a token, the oldest first.
	waiting []waiter
	// asking says that askLenders runs for the account.
	asking bool
	// askAgainAt is when a data centre may be asked for tokens again.
	askAgainAt map[sqid.DataCentreID]time.Time
	// lenderOf has the lender of each borrowed loan.
	lenderOf map[sqlimit.LoanID]sqid.DataCentreID
	// noLoanUntil is until when a data centre is not asked for a loan.
	noLoanUntil map[sqid.DataCentreID]time.Time
	nextBorrow  time.Time
	renewAt     time.Time
}

// waiter is a charge that waits for a token.
type waiter struct {
	since time.Time
	reply func(outcome)
}

// soonest returns the shorter of two waits. A negative wait means never; if both are,
// soonest returns failureBackoff.
func soonest(a, b time.Duration) time.Duration {
	switch {
	case a < 0 && b < 0:
		return failureBackoff
	case a < 0:
		return b
	case b < 0:
		return a
	default:
		return min(a, b)
	}
}

// lendersFor returns the other data centres that may have tokens of the account's plan,
// nearest first: all of them if the plan is split, otherwise the workspace's home.
func (l *Ledger) lendersFor(a *account) []sqid.DataCentreID {
	v := l.view.Load()
	set := v.records[l.DataCentre].NewestShares()
	home := sqlimit.Shares{DataCentres: set.DataCentres}.Home(a.workspace)
	var from []sqid.DataCentreID
	for _, dc := range v.nearestFirst {
		if dc != l.DataCentre && (a.isSplit || dc == home) {
			from = append(from, dc)
		}
	}
	return from
}

// nextLender returns the nearest data centre that may have a token. If there is none, it
// returns the time until one may be asked again, negative if there are no lenders.
func (l *Ledger) nextLender(a *account, now time.Time) (sqid.DataCentreID, time.Duration) {
	wait := time.Duration(-1)
	for _, dc := range l.lendersFor(a) {
		until, ok := a.borrowing.askAgainAt[dc]
		if !ok || !now.Before(until) {
			return dc, 0
		}
		wait = soonest(wait, until.Sub(now))
	}
	return "", wait
}

// awaitToken queues a charge until a token is available here or in another data centre.
// It returns false if none is expected soon, with the time until one is.
func (l *Ledger) awaitToken(a *account, now time.Time, reply func(outcome)) (time.Duration, bool) {
	b := &a.borrowing
	ctx := l.ctx.Load()
	if ctx == nil || len(b.waiting) >= maxWaiting {
		return -1, false
	}
	if !b.asking {
		dc, wait := l.nextLender(a, now)
		local, _ := a.ledger.TimeUntilToken(now)
		if wait = soonest(local, wait); dc == "" && wait > maxTokenWait {
			return wait, false
		}
		b.asking = true
		l.tasks.spawn(func() { l.askLenders(*ctx, a) })
	}
	b.waiting = append(b.waiting, waiter{since: now, reply: reply})
	return 0, true
}

// askLenders asks the data centres in turn until no charge waits.
func (l *Ledger) askLenders(ctx context.Context, a *account) {
	for {
		dc, n, wanted, pause := l.nextLendRequest(a)
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
		answer, err := l.sendLendRequest(ctx, dc, &sqledgerwire.LendRequest{
			Workspace: string(a.workspace), Spend: uint32(n),
			Rate: float64(wanted.Rate), Burst: float64(wanted.Burst), DataCentre: string(l.DataCentre),
		})
		l.noteLendAnswer(a, dc, n, sent, answer, err)
	}
}

// nextLendRequest answers the waiting charges that can be decided now. For the n others
// it returns the data centre to ask and the capacity to borrow. If dc is empty, nobody
// can be asked, and a token is expected after the pause.
func (l *Ledger) nextLendRequest(a *account) (dc sqid.DataCentreID, n int, wanted sqlimit.Capacity, pause time.Duration) {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	now, b := time.Now(), &a.borrowing
	if !l.isCurrent(a, now) {
		b.answerFirst(len(b.waiting), notKeeping)
		b.asking = false
		return "", 0, sqlimit.Capacity{}, 0
	}
	b.answerFirst(l.spendTokens(a, now, len(b.waiting)), admitted)
	b.answerFirst(b.countWaitingFor(now, maxLenderWait), refused(minBackoff))
	dc, wait := l.nextLender(a, now)
	if dc == "" {
		local, _ := a.ledger.TimeUntilToken(now)
		pause = max(time.Millisecond, soonest(local, wait))
		b.answerFirst(b.countWaitingFor(now, maxTotalTokenWait), refused(pause))
		due := int(float64(a.plan.Rate)*maxTokenWait.Seconds()) + 1
		if pause > maxTokenWait {
			due = 0
		}
		b.refuseAllAfter(due, pause)
	}
	b.asking = len(b.waiting) > 0
	return dc, len(b.waiting), l.wanted(a, now), pause
}

// countWaitingFor returns the number of charges that have waited for at least the limit.
func (b *borrowing) countWaitingFor(now time.Time, limit time.Duration) int {
	n := 0
	for n < len(b.waiting) && now.Sub(b.waiting[n].since) >= limit {
		n++
	}
	return n
}

// refuseAllAfter refuses all waiting charges but the first n, with a retry-after time.
func (b *borrowing) refuseAllAfter(n int, after time.Duration) {
	n = min(n, len(b.waiting))
	for _, w := range b.waiting[n:] {
		w.reply(refused(after))
	}
	clear(b.waiting[n:])
	b.waiting = b.waiting[:n]
}

// isCurrent reports whether the account may still be spent: this daemon keeps the shard
// in the same tenure. The shard is locked.
func (l *Ledger) isCurrent(a *account, now time.Time) bool {
	v := l.view.Load()
	s := a.shard
	return v.maySpend(s.id, now) && s.assignedAt == v.assignedAt[s.id] && s.accounts[a.workspace] == a
}

// spendTokens spends up to n tokens and returns how many it has spent.
func (l *Ledger) spendTokens(a *account, now time.Time, n int) int {
	for i := range n {
		if !a.ledger.Spend(now, 1).Admitted {
			return i
		}
		l.noteSpent(a.workspace, now)
	}
	return n
}

// answerFirst answers the first n waiting charges.
func (b *borrowing) answerFirst(n int, o outcome) {
	for _, w := range b.waiting[:n] {
		w.reply(o)
	}
	b.waiting = slices.Delete(b.waiting, 0, n)
}

// noteLendAnswer applies a lender's answer to a request to spend n tokens. Tokens of an
// answer that took longer than lendTimeout are not used.
func (l *Ledger) noteLendAnswer(a *account, dc sqid.DataCentreID, n int, sent time.Time, answer *sqledgerwire.LendAnswer, err error) {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	now, b := time.Now(), &a.borrowing
	if b.askAgainAt == nil {
		b.askAgainAt = make(map[sqid.DataCentreID]time.Time)
	}
	if err != nil || !answer.Keeping {
		b.askAgainAt[dc] = now.Add(failureBackoff)
		return
	}
	if int(answer.Spent) < n {
		after := time.Duration(answer.RetryAfterUs) * time.Microsecond
		b.askAgainAt[dc] = now.Add(min(failureBackoff, max(minBackoff, after)))
	}
	if now.Sub(sent) < lendTimeout {
		b.answerFirst(min(int(answer.Spent), len(b.waiting)), admitted)
	}
	l.noteLoans(a, dc, sent, now, answer)
}

// noteLoans applies the new and the extended loans of an answer if the account may still
// be spent. The shard is locked.
func (l *Ledger) noteLoans(a *account, dc sqid.DataCentreID, sent, now time.Time, answer *sqledgerwire.LendAnswer) {
	if !l.isCurrent(a, now) {
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
		if a.borrowing.lenderOf == nil {
			a.borrowing.lenderOf = make(map[sqlimit.LoanID]sqid.DataCentreID)
		}
		a.borrowing.lenderOf[loan.ID] = dc
	}
}

// wanted returns the capacity that the account should borrow. It is zero for a plan that
// is not split, since the workspace's home spends it for all data centres.
func (l *Ledger) wanted(a *account, now time.Time) sqlimit.Capacity {
	if !a.isSplit || a.share.Rate <= 0 {
		return sqlimit.Capacity{}
	}
	return a.ledger.CapacityToBorrow(now, a.plan)
}

// borrowAhead asks for loans before the account runs short, from the nearest data
// centres first and at most one share from each. The shard is locked.
func (l *Ledger) borrowAhead(a *account, now time.Time) {
	b, ctx := &a.borrowing, l.ctx.Load()
	if now.Before(b.nextBorrow) || ctx == nil {
		return
	}
	b.nextBorrow = now.Add(borrowPeriod)
	wanted := l.wanted(a, now)
	for _, dc := range l.lendersFor(a) {
		if wanted.Rate <= 0 {
			return
		}
		if now.Before(b.noLoanUntil[dc]) {
			continue
		}
		portion := wanted.Min(a.share)
		wanted = wanted.Minus(portion)
		request := &sqledgerwire.LendRequest{
			Workspace: string(a.workspace), Rate: float64(portion.Rate), Burst: float64(portion.Burst),
			DataCentre: string(l.DataCentre),
		}
		l.tasks.spawn(func() { l.requestLoans(*ctx, a, dc, request) })
	}
}

// requestLoans sends a request that borrows, extends or gives back loans but spends no
// tokens, and applies the answer.
func (l *Ledger) requestLoans(ctx context.Context, a *account, dc sqid.DataCentreID, request *sqledgerwire.LendRequest) {
	sent := time.Now()
	answer, err := l.sendLendRequest(ctx, dc, request)
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	now := time.Now()
	if request.Rate > 0 && (err != nil || answer.Loan == nil) {
		a.borrowing.noteNoLoan(dc, now)
	}
	if err == nil && answer.Keeping {
		l.noteLoans(a, dc, sent, now, answer)
	}
}

// noteNoLoan notes that a data centre has granted no loan.
func (b *borrowing) noteNoLoan(dc sqid.DataCentreID, now time.Time) {
	if b.noLoanUntil == nil {
		b.noLoanUntil = make(map[sqid.DataCentreID]time.Time)
	}
	b.noLoanUntil[dc] = now.Add(noLoanBackoff)
}

// renewLoans looks at the borrowed loans in the second half of their term. It extends
// those that are still needed and gives back the others. The shard is locked.
func (l *Ledger) renewLoans(ctx context.Context, a *account, now time.Time) {
	b := &a.borrowing
	if len(b.lenderOf) == 0 || now.Before(b.renewAt) {
		return
	}
	b.renewAt = now.Add(l.Timing.MaxLoanTerm / 4)
	requests := make(map[sqid.DataCentreID]*sqledgerwire.LendRequest)
	held := a.ledger.Borrowed(now)
	b.dropEnded(held)
	for _, h := range held {
		if h.End.Sub(now) > l.Timing.MaxLoanTerm/2 {
			continue
		}
		dc := b.lenderOf[h.ID]
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
		l.tasks.spawn(func() { l.requestLoans(ctx, a, dc, r) })
	}
}

// dropEnded drops the lenders of loans that have ended.
func (b *borrowing) dropEnded(held []sqlimit.LoanRecord) {
	for id := range b.lenderOf {
		if !slices.ContainsFunc(held, func(h sqlimit.LoanRecord) bool { return h.ID == id }) {
			delete(b.lenderOf, id)
		}
	}
}
