package sqlimit

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// LoanID names a loan; it is unique in the fleet.
type LoanID uint64

// Loan is capacity with the tokens in it, moved for a term.
type Loan struct {
	ID       LoanID
	Capacity Capacity
	// Tokens are those that move with the capacity; never more than its
	// burst.
	Tokens squnit.Tokens
}

// Held is a loan at one of its two sides.
type Held struct {
	ID       LoanID
	Capacity Capacity
	// End is when this side's part ends: the borrower stops using the loan,
	// or the lender uses the capacity again.
	End time.Time
}

// Terms are the durations that both sides of a loan count on.
type Terms struct {
	// Loan is the term of a loan. The borrower's runs from when it sent its
	// request.
	Loan time.Duration
	// Drift is how much two clocks may differ over a term. The lender's end
	// is later by it.
	Drift time.Duration

	// loose is a test switch: a lender keeps the capacity that it has lent.
	loose bool
}

// Loose returns the terms with the naive way of lending, which tests compare
// with, switched on or off: the lender keeps the capacity that it has lent.
func (t Terms) Loose(on bool) Terms {
	t.loose = on
	return t
}
