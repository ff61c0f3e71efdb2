// Package sqretry decides whether a failed attempt of a call is retried. Three bounds
// apply together: the credit of the whole request, which is shared by its tree of
// nested calls and never grows; a retry budget for each service, earned by the
// requests to it; and the time left until the deadline.
package sqretry

import "github.com/sequoiatack/sequoiatack/internal/base/squnit"

// Credit is the number of extra attempts that a call and its nested calls may still
// make. Credit granted to a nested call is taken from the caller's until the answer
// returns what was not used; if the answer is lost, so is the grant. The zero value
// has no credit. Credit is not safe for concurrent use.
type Credit struct {
	remaining squnit.Credit
	granted   squnit.Credit
}

// NewCredit returns a credit of n extra attempts; a negative n counts as 0.
func NewCredit(n squnit.Credit) Credit {
	return Credit{remaining: max(0, n)}
}

// Remaining returns the number of extra attempts that may be made or granted now.
func (c *Credit) Remaining() squnit.Credit { return c.remaining }

// Granted returns the number of extra attempts that nested calls hold.
func (c *Credit) Granted() squnit.Credit { return c.granted }

// Take uses one extra attempt and reports whether there was one.
func (c *Credit) Take() bool {
	if c.remaining <= 0 {
		return false
	}
	c.remaining--
	return true
}

// Grant moves up to n extra attempts to a nested call and returns how many it moved.
func (c *Credit) Grant(n squnit.Credit) squnit.Credit {
	n = max(0, min(n, c.remaining))
	c.remaining -= n
	c.granted += n
	return n
}

// Return ends a grant and adds the unused part of it. Neither value is trusted: the
// grant is limited to what is granted at all, and the unused part to the grant.
// Return is called once for each nested call, with unused 0 if the answer was lost.
func (c *Credit) Return(grant, unused squnit.Credit) {
	grant = max(0, min(grant, c.granted))
	c.granted -= grant
	c.remaining += max(0, min(unused, grant))
}

// GrantFor returns the part of the remaining credit to grant to a nested call when
// others may run concurrently: two thirds, rounded up. Unused credit returns with the
// answer, and most failing attempts are those of the deepest calls.
func GrantFor(remaining squnit.Credit) squnit.Credit {
	return (2*remaining + 2) / 3
}
