// Package sqretry decides whether a call is attempted again. Three bounds hold
// together: the credit of the whole request, which is spent over its tree of
// calls and never grows; the budget of each edge, which follows its successes;
// and the time left.
package sqretry

import "github.com/sequoiatack/sequoiatack/internal/base/squnit"

// Credit is the extra attempts that a call and those below it may still make.
// It stands in the call's row; what is granted to a nested call is gone from
// it until the answer brings the rest back. A lost answer loses the grant. The
// zero value has no credit; it is not safe for concurrent use.
type Credit struct {
	left    squnit.Credit
	granted squnit.Credit
}

// NewCredit returns a credit of n extra attempts; a negative n counts as 0.
func NewCredit(n squnit.Credit) Credit {
	return Credit{left: max(0, n)}
}

// Left returns the extra attempts that may be made or granted now.
func (c *Credit) Left() squnit.Credit { return c.left }

// Granted returns the extra attempts that nested calls hold.
func (c *Credit) Granted() squnit.Credit { return c.granted }

// Take uses up one extra attempt, and reports whether there was one.
func (c *Credit) Take() bool {
	if c.left <= 0 {
		return false
	}
	c.left--
	return true
}

// Grant moves up to n extra attempts to a nested call and returns how many.
func (c *Credit) Grant(n squnit.Credit) squnit.Credit {
	n = max(0, min(n, c.left))
	c.left -= n
	c.granted += n
	return n
}

// Return brings back what a nested call has not used of the grant it was
// given. More than the grant, or than is out at all, is not believed. It is
// called once for each answer, and for a lost answer with rest 0.
func (c *Credit) Return(grant, rest squnit.Credit) {
	grant = max(0, min(grant, c.granted))
	c.granted -= grant
	c.left += max(0, min(rest, grant))
}

// GrantFor returns the part of a credit that a nested call is granted while
// others may run beside it: two thirds, rounded up. What it does not use comes
// back with its answer, and the deepest calls are where most attempts fail.
func GrantFor(left squnit.Credit) squnit.Credit {
	return (2*left + 2) / 3
}
