// Package sqcall holds the table of live calls: those that a gate has handed to
// its local target and that have not ended. When the target makes a nested
// call, it sends the id of the call that it is serving, and the daemon takes the
// workspace, importance, deadline and the like from that call's row. It trusts
// no header for them.
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

// Row is the immutable part of a live call.
type Row struct {
	ID sqid.CallID
	// Root is shared by all calls of a request: the id that the caller gave
	// it, or a random one.
	Root      string
	Workspace sqid.WorkspaceID
	Service   sqid.ServiceID
	Target    sqid.TargetID
	// Importance, Weight and Share are those of the request that the call serves.
	Importance squnit.Importance
	Weight     squnit.Weight
	Share      squnit.Share
	// Depth is the number of calls above this one.
	Depth    squnit.Depth
	Deadline time.Time
	// Context is cancelled when the call ends, which cancels its nested calls.
	Context context.Context
	// RequestID is the caller's id of the request, empty if there is none.
	RequestID string
	// Repeat is set if this call, or a call above it, is a retry.
	Repeat bool
}

// Call is a live call: its row and the state of its nested calls. Its methods
// may be called concurrently.
type Call struct {
	Row

	// mu guards the fields below.
	mu            sync.Mutex
	credit        sqretry.Credit
	deeperReports sqshed.DeeperReports
	// nested is the number of nested calls that run. While there are any,
	// nestedSince is when the first of them began. nestedTime is the total
	// length of the earlier periods with at least one.
	nested       int
	nestedSince  time.Time
	nestedTime   time.Duration
	nestedFailed bool
}

// Table holds the live calls of a daemon. The zero value is an empty table.
type Table struct {
	rows sqtable.Table[sqid.CallID, *Call]
	// requests has the latest call of each request, by RequestID.
	requests sqtable.Table[string, *Call]
}

// Open adds a call. credit is the number of further attempts that it and all
// calls below it may make.
func (t *Table) Open(row Row, credit squnit.Credit) *Call {
	c := &Call{Row: row, credit: sqretry.NewCredit(credit)}
	t.rows.Put(row.ID, c)
	if row.RequestID != "" {
		t.requests.Put(row.RequestID, c)
	}
	return c
}

// Request returns the latest live call of the request with an id.
func (t *Table) Request(id string) (*Call, bool) {
	return t.requests.Get(id)
}

// Get returns the live call with an id.
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

// NestedStarted notes the start of a nested call and returns the part of the credit
// that it is granted.
func (c *Call) NestedStarted(now time.Time) squnit.Credit {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nested == 0 {
		c.nestedSince = now
	}
	c.nested++
	return c.credit.Grant(sqretry.GrantFor(c.credit.Remaining()))
}

// NestedEnded notes the end of a nested call. grant is the credit that
// NestedStarted returned for it, and rest the unused part, which is returned to
// this call.
func (c *Call) NestedEnded(now time.Time, grant, rest squnit.Credit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.credit.Return(grant, rest)
	c.nested--
	if c.nested == 0 {
		c.nestedTime += now.Sub(c.nestedSince)
	}
}

// AddFeedback adds the load feedback in a nested call's answer: own is that of the
// service called, deeper that of the services below it.
func (c *Call) AddFeedback(own sqshed.LoadReport, deeper []sqshed.LoadReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deeperReports.Add(own, deeper)
}

// NestedFailed notes that a nested call has failed and is not retried any more.
func (c *Call) NestedFailed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nestedFailed = true
}

// NestedCallFailed reports whether NestedFailed was called.
func (c *Call) NestedCallFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nestedFailed
}

// Credit returns the number of further attempts that are left.
func (c *Call) Credit() squnit.Credit {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.credit.Remaining()
}

// Reports returns the load feedback of the services that nested calls reached.
func (c *Call) Reports() []sqshed.LoadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deeperReports.Reports()
}

// NestedTime returns for how long, up to now, at least one nested call was
// running.
func (c *Call) NestedTime(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nested > 0 {
		return c.nestedTime + now.Sub(c.nestedSince)
	}
	return c.nestedTime
}
