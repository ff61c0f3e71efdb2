package sqlimit

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// LoanID identifies a loan; it is unique in the fleet.
type LoanID uint64

// Loan is capacity that moves to another ledger for a term, with the tokens in it.
type Loan struct {
	ID       LoanID
	Capacity Capacity
	// Tokens are the tokens that move with the capacity, at most its burst.
	Tokens squnit.Tokens
}

// LoanRecord is a loan as its lender or its borrower records it.
type LoanRecord struct {
	ID       LoanID
	Capacity Capacity
	// End is when the loan ends for this side: the borrower stops using the capacity,
	// or the lender uses it again.
	End time.Time
}

// Terms are the durations that lender and borrower must agree on.
type Terms struct {
	// Loan is the term of a loan. For the borrower it starts when it sends its
	// request.
	Loan time.Duration
	// Drift is how much two clocks may diverge over a term. The lender waits that
	// much longer before it uses the capacity again.
	Drift time.Duration

	// unsafeLending makes lenders keep the capacity that they have lent; only tests
	// set it.
	unsafeLending bool
}

// UnsafeLending returns the terms with a naive way of lending switched on or off, as a
// comparison for tests: the lender keeps the capacity that it has lent, so that the
// plan can be exceeded.
func (t Terms) UnsafeLending(on bool) Terms {
	t.unsafeLending = on
	return t
}
