// Package sqcall holds the table of the calls that a gate has handed to its
// target and that have not ended. A nested call names its parent's row, and
// takes everything that matters from it; nothing is believed from headers.
package sqcall

import (
	"context"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtable"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// Row is one live call.
type Row struct {
	ID        sqid.CallID
	Root      string
	Workspace sqid.WorkspaceID
	Service   sqid.ServiceID
	Target    sqid.TargetID
	// Importance and Weight are those of the caller's request.
	Importance squnit.Importance
	Weight     squnit.Weight
	Depth      squnit.Depth
	Deadline   time.Time
	// Credit is what is left of the call's grant of extra attempts.
	Credit squnit.Credit
	// Context ends with the call; nested calls end with it.
	Context context.Context
}

// Table holds the live calls of a daemon. The zero value is ready.
type Table struct {
	rows sqtable.Table[sqid.CallID, Row]
}

// Open adds a row under a new id, which it returns.
func (t *Table) Open(row Row) sqid.CallID {
	row.ID = sqid.NewCallID()
	t.rows.Put(row.ID, row)
	return row.ID
}

// Get returns the live call with id.
func (t *Table) Get(id sqid.CallID) (Row, bool) {
	return t.rows.Get(id)
}

// Close removes a call and returns its last row.
func (t *Table) Close(id sqid.CallID) Row {
	row, _ := t.rows.Delete(id)
	return row
}

// TakeCredit moves up to n of the call's credit to the taker and returns how
// much it was; it is 0 for a call that has ended.
func (t *Table) TakeCredit(id sqid.CallID, n squnit.Credit) squnit.Credit {
	var taken squnit.Credit
	t.rows.Update(id, func(row Row, ok bool) (Row, bool) {
		taken = min(n, row.Credit)
		row.Credit -= taken
		return row, ok
	})
	return taken
}

// ReturnCredit gives back credit that was taken and not used.
func (t *Table) ReturnCredit(id sqid.CallID, n squnit.Credit) {
	t.rows.Update(id, func(row Row, ok bool) (Row, bool) {
		row.Credit += n
		return row, ok
	})
}

// Len returns the number of live calls.
func (t *Table) Len() int {
	return t.rows.Len()
}
