package sqlimit

import (
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	// headroom is the factor by which a ledger's rate should exceed its demand.
	headroom = 1.25
	// reservedFraction is the fraction of what is left of its share that a ledger
	// keeps whenever it lends.
	reservedFraction = 1.0 / 16
	// borrowThreshold is the fraction of its rate that demand must reach before a
	// ledger borrows.
	borrowThreshold = 0.9
	// minLoanBurst is the smallest burst worth lending, in tokens.
	minLoanBurst = 1
)

// Ledger tracks what one keeper may admit for one workspace: the share of its data
// centre, less what is lent, plus what is borrowed.
type Ledger struct {
	terms    Terms
	bucket   Bucket
	share    Capacity
	lent     []LoanRecord
	borrowed []LoanRecord
	demand   demand
}

// NewLedger returns a ledger of a share that nobody has spent from since the given
// time. It starts without tokens, because the previous holder of the share may have
// spent a whole burst at that time.
func NewLedger(terms Terms, share Capacity, since time.Time) *Ledger {
	return &Ledger{
		terms:  terms,
		share:  share,
		bucket: Bucket{Capacity: share, RefilledAt: since},
	}
}

// Fill fills the bucket. It is safe only for a share that nobody has ever spent from.
func (l *Ledger) Fill() {
	l.bucket.Tokens = l.bucket.Capacity.Burst
}

// advance refills the bucket up to now, step by step, since the capacity changes
// whenever a loan ends.
func (l *Ledger) advance(now time.Time) {
	for {
		end, ok := l.nextLoanEnd(now)
		if !ok {
			break
		}
		l.bucket.Advance(end)
		l.lent = dropEnded(l.lent, end)
		l.borrowed = dropEnded(l.borrowed, end)
		l.resize()
	}
	l.bucket.Advance(now)
}

// nextLoanEnd returns the earliest end of a loan that is not after now.
func (l *Ledger) nextLoanEnd(now time.Time) (time.Time, bool) {
	var first time.Time
	consider := func(t time.Time) {
		if !t.IsZero() && !t.After(now) && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	for _, h := range l.lent {
		consider(h.End)
	}
	for _, h := range l.borrowed {
		consider(h.End)
	}
	return first, !first.IsZero()
}

func dropEnded(held []LoanRecord, now time.Time) []LoanRecord {
	return slices.DeleteFunc(held, func(h LoanRecord) bool { return !h.End.After(now) })
}

func (l *Ledger) resize() {
	total := l.ownCapacity()
	for _, h := range l.borrowed {
		total = total.Plus(h.Capacity)
	}
	l.bucket.Resize(total)
}

// Decision is the result of a charge.
type Decision struct {
	// Admitted says that the tokens were spent.
	Admitted bool
	// RetryAfter is the time until the ledger expects to hold the tokens: 0 if they
	// were spent, negative if it never will hold them.
	RetryAfter time.Duration
}

// Charge spends n tokens for requests of the ledger's own data centre.
func (l *Ledger) Charge(now time.Time, n squnit.Tokens) Decision {
	l.demand.add(now, n)
	return l.Spend(now, n)
}

// Spend spends n tokens without counting them as demand of the ledger's data centre.
func (l *Ledger) Spend(now time.Time, n squnit.Tokens) Decision {
	l.advance(now)
	if l.bucket.Take(n) {
		return Decision{Admitted: true}
	}
	after, ok := l.bucket.TimeUntil(n)
	if !ok {
		after = -1
	}
	return Decision{RetryAfter: after}
}

// CapacityToBorrow returns the capacity that the ledger should borrow before it runs
// short, with the plan's ratio of burst to rate. It is zero if demand is low enough.
func (l *Ledger) CapacityToBorrow(now time.Time, plan Capacity) Capacity {
	l.advance(now)
	d, have := l.demand.rateAt(now), l.bucket.Capacity.Rate
	if plan.Rate <= 0 || d < have*borrowThreshold {
		return Capacity{}
	}
	rate := min(d*headroom, plan.Rate) - have
	if rate <= 0 {
		return Capacity{}
	}
	return Capacity{Rate: rate, Burst: plan.Burst * squnit.Tokens(rate/plan.Rate)}
}

// Lend grants a loan of at most the wanted capacity, and never more than is free of
// the ledger's own share. Borrowed capacity can't be lent, since it may have to be
// returned before the loan ends. The ledger has stopped using the lent capacity when
// Lend returns.
func (l *Ledger) Lend(now time.Time, id LoanID, wanted Capacity) (Loan, bool) {
	l.advance(now)
	have, ownCapacity := l.bucket.Capacity, l.ownCapacity()
	free := min(have.Rate-l.demand.rateAt(now)*headroom, ownCapacity.Rate*(1-reservedFraction))
	if free <= 0 || wanted.Rate <= 0 {
		return Loan{}, false
	}
	lent := ownCapacity.Times(float64(min(wanted.Rate, free) / ownCapacity.Rate))
	if lent.Burst < minLoanBurst {
		return Loan{}, false
	}
	loan := Loan{ID: id, Capacity: lent, Tokens: l.bucket.Tokens * min(1, lent.Burst/have.Burst)}
	l.bucket.Tokens -= loan.Tokens
	if l.terms.unsafeLending {
		return loan, true
	}
	l.lent = append(l.lent, LoanRecord{ID: id, Capacity: lent, End: l.lenderLoanEnd(now)})
	l.resize()
	return loan, true
}

// ownCapacity returns the share less what is lent.
func (l *Ledger) ownCapacity() Capacity {
	ownCapacity := l.share
	for _, h := range l.lent {
		ownCapacity = ownCapacity.Minus(h.Capacity)
	}
	return ownCapacity
}

func (l *Ledger) lenderLoanEnd(now time.Time) time.Time {
	return now.Add(l.terms.Loan + l.terms.Drift)
}

// Extend starts a new term of a loan that the ledger has granted. It reports false if
// the loan has ended or the ledger needs the capacity itself.
func (l *Ledger) Extend(now time.Time, id LoanID) bool {
	l.advance(now)
	i := indexOf(l.lent, id)
	if i < 0 || l.demand.rateAt(now)*headroom > l.bucket.Capacity.Rate {
		return false
	}
	l.lent[i].End = l.lenderLoanEnd(now)
	return true
}

// TakeBack ends a loan that the borrower has stopped using, and takes back the tokens
// left in it. It has no effect on a loan that has ended.
func (l *Ledger) TakeBack(now time.Time, id LoanID, tokens squnit.Tokens) {
	l.advance(now)
	i := indexOf(l.lent, id)
	if i < 0 {
		return
	}
	back := l.lent[i].Capacity
	l.lent = slices.Delete(l.lent, i, i+1)
	l.resize()
	l.bucket.Tokens += min(max(0, tokens), back.Burst)
	l.bucket.Advance(now)
}

// Borrow adds a loan that was requested at sent. It reports false, and changes
// nothing, if the term is over or the loan is already held. The answer to a request
// must be passed in at most once, to the ledger that requested it.
func (l *Ledger) Borrow(now, sent time.Time, loan Loan) bool {
	l.advance(now)
	end := sent.Add(l.terms.Loan)
	if !end.After(now) || indexOf(l.borrowed, loan.ID) >= 0 {
		return false
	}
	l.borrowed = append(l.borrowed, LoanRecord{ID: loan.ID, Capacity: loan.Capacity, End: end})
	l.resize()
	l.bucket.Tokens += min(loan.Tokens, loan.Capacity.Burst)
	return true
}

// Extended starts a new term of a borrowed loan, counted from when the extension was
// requested.
func (l *Ledger) Extended(now, sent time.Time, id LoanID) {
	l.advance(now)
	if i := indexOf(l.borrowed, id); i >= 0 {
		l.borrowed[i].End = laterOf(l.borrowed[i].End, sent.Add(l.terms.Loan))
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// GiveBack stops using a borrowed loan and returns it with its proportion of the
// tokens. It returns false if the loan is not held.
func (l *Ledger) GiveBack(now time.Time, id LoanID) (Loan, bool) {
	l.advance(now)
	i := indexOf(l.borrowed, id)
	if i < 0 {
		return Loan{}, false
	}
	h := l.borrowed[i]
	loan := Loan{ID: id, Capacity: h.Capacity}
	if have := l.bucket.Capacity.Burst; have > 0 {
		loan.Tokens = l.bucket.Tokens * min(1, h.Capacity.Burst/have)
	}
	l.bucket.Tokens -= loan.Tokens
	l.borrowed = slices.Delete(l.borrowed, i, i+1)
	l.resize()
	return loan, true
}

// NeedsLoan reports whether demand would exceed the ledger's capacity, with headroom,
// if it gave the loan back.
func (l *Ledger) NeedsLoan(now time.Time, id LoanID) bool {
	l.advance(now)
	i := indexOf(l.borrowed, id)
	return i >= 0 && l.demand.rateAt(now)*headroom > l.bucket.Capacity.Rate-l.borrowed[i].Capacity.Rate
}

// SetShare changes the share as of now. Tokens that no longer fit are lost; what is
// lent stays lent until the end of the loan.
func (l *Ledger) SetShare(now time.Time, share Capacity) {
	if share == l.share {
		return
	}
	l.advance(now)
	l.share = share
	l.resize()
}

// Idle reports whether the ledger could be dropped and created anew without losing
// state: its bucket is full and no loan is open.
func (l *Ledger) Idle(now time.Time) bool {
	l.advance(now)
	return len(l.lent)+len(l.borrowed) == 0 && l.bucket.Tokens >= l.bucket.Capacity.Burst
}

// Tokens returns the tokens that the ledger holds at now.
func (l *Ledger) Tokens(now time.Time) squnit.Tokens {
	l.advance(now)
	return l.bucket.Tokens
}

// Capacity returns the capacity that the ledger may use at now.
func (l *Ledger) Capacity(now time.Time) Capacity {
	l.advance(now)
	return l.bucket.Capacity
}

// Lent returns the loans that the ledger has granted and that have not ended.
func (l *Ledger) Lent(now time.Time) []LoanRecord {
	l.advance(now)
	return slices.Clone(l.lent)
}

// Borrowed returns the loans that the ledger may use at now.
func (l *Ledger) Borrowed(now time.Time) []LoanRecord {
	l.advance(now)
	return slices.Clone(l.borrowed)
}

// Restore sets the tokens and the granted loans of a ledger that another keeper has
// handed over. That keeper must have stopped spending from it.
func (l *Ledger) Restore(now time.Time, tokens squnit.Tokens, lent []LoanRecord) {
	l.bucket.RefilledAt = now
	l.lent = lent
	l.resize()
	l.bucket.Tokens = min(max(0, tokens), l.bucket.Capacity.Burst)
}

func indexOf(held []LoanRecord, id LoanID) int {
	return slices.IndexFunc(held, func(h LoanRecord) bool { return h.ID == id })
}

// TimeUntilToken returns the time until the ledger expects to hold one token, or a
// negative time and false if it never will.
func (l *Ledger) TimeUntilToken(now time.Time) (time.Duration, bool) {
	l.advance(now)
	after, ok := l.bucket.TimeUntil(1)
	if !ok {
		return -1, false
	}
	return after, true
}
