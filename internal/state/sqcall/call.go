// Package sqcall holds the table of the calls that a gate has handed to its
// target and that have not ended. A nested call names its parent's row, and
// takes everything that matters from it; nothing is believed from headers.
package sqcall

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtable"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqretry"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqshed"
)

// Row is what does not change in a live call.
type Row struct {
	ID        sqid.CallID
	Root      string
	Workspace sqid.WorkspaceID
	Service   sqid.ServiceID
	Target    sqid.TargetID
	// Importance, Weight and Share are those of the caller's request.
	Importance squnit.Importance
	Weight     squnit.Weight
	Share      squnit.Share
	Depth      squnit.Depth
	Deadline   time.Time
	// Context ends with the call; nested calls end with it.
	Context context.Context
	// RequestID is the id that the caller gave the request, empty if none.
	RequestID string
	// Repeat is set if the call, or one above it, is an attempt beyond the first.
	Repeat bool
}

// Call is a live call: its row, and the ledger of its nested calls.
type Call struct {
	Row

	mu          sync.Mutex
	credit      sqretry.Credit
	below       sqshed.Below
	nested      int
	nestedSince time.Time
	nestedTime  time.Duration
	failedBelow bool
}

// Table holds the live calls of a daemon. The zero value is ready.
type Table struct {
	rows sqtable.Table[sqid.CallID, *Call]
	// requests finds the latest call of a request.
	requests sqtable.Table[string, *Call]
}

// Open adds a call with a credit of extra attempts for it and all below it.
func (t *Table) Open(row Row, credit squnit.Credit) *Call {
	c := &Call{Row: row, credit: sqretry.NewCredit(credit)}
	t.rows.Put(row.ID, c)
	if row.RequestID != "" {
		t.requests.Put(row.RequestID, c)
	}
	return c
}

// Request returns the live call of a request with an id.
func (t *Table) Request(id string) (*Call, bool) {
	return t.requests.Get(id)
}

// Get returns the live call with id.
func (t *Table) Get(id sqid.CallID) (*Call, bool) {
	return t.rows.Get(id)
}

// Close removes a call.
func (t *Table) Close(id sqid.CallID) {
	c, ok := t.rows.Delete(id)
	if !ok || c.RequestID == "" {
		return
	}
	t.requests.Update(c.RequestID, func(latest *Call, ok bool) (*Call, bool) {
		return latest, ok && latest != c
	})
}

// Len returns the number of live calls.
func (t *Table) Len() int {
	return t.rows.Len()
}

// Began counts a nested call and grants it a part of the credit.
func (c *Call) Began(now time.Time) squnit.Credit {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nested == 0 {
		c.nestedSince = now
	}
	c.nested++
	return c.credit.Grant(sqretry.GrantFor(c.credit.Left()))
}

// Ended ends a nested call that was granted a credit, of which rest is left.
func (c *Call) Ended(now time.Time, grant, rest squnit.Credit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.credit.Return(grant, rest)
	c.nested--
	if c.nested == 0 {
		c.nestedTime += now.Sub(c.nestedSince)
	}
}

// Learned takes the room that the answer to a nested call told of.
func (c *Call) Learned(own sqshed.Room, deeper []sqshed.Room) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.below.Add(own, deeper)
}

// Failed notes that a nested call has failed for good.
func (c *Call) Failed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedBelow = true
}

// FailedBelow reports whether a nested call has failed for good.
func (c *Call) FailedBelow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failedBelow
}

// Credit returns the extra attempts that are left.
func (c *Call) Credit() squnit.Credit {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.credit.Left()
}

// Rooms returns the rooms of the services below.
func (c *Call) Rooms() []sqshed.Room {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.below.Rooms()
}

// NestedTime returns how long at least one nested call was under way.
func (c *Call) NestedTime(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nested > 0 {
		return c.nestedTime + now.Sub(c.nestedSince)
	}
	return c.nestedTime
}
