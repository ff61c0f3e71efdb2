package sqentry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtable"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// Router picks the target of each attempt.
type Router struct {
	// Targets are the targets known in the fleet.
	Targets *sqtable.Table[sqtarget.ID, sqtarget.Row]
}

// Known reports whether any target of the service is known.
func (t *Router) Known(s sqid.ServiceID) bool {
	found := false
	t.Targets.Each(func(_ sqtarget.ID, row sqtarget.Row) bool {
		found = row.Service == s
		return !found
	})
	return found
}

// Pick returns a target that the request has not tried yet.
func (t *Router) Pick(q *request) (sqtarget.Row, sqreason.Refusal) {
	var rows []sqtarget.Row
	t.Targets.Each(func(_ sqtarget.ID, row sqtarget.Row) bool {
		if row.Service == q.service && !row.Draining && !slices.Contains(q.tried, row.ID) {
			rows = append(rows, row)
		}
		return true
	})
	if len(rows) == 0 {
		return sqtarget.Row{}, sqreason.TargetNone
	}
	return rows[rand.IntN(len(rows))], sqreason.NoReason
}

// Ended learns from the end of an attempt.
func (t *Router) Ended(sqtarget.ID, time.Duration, *sqerror.Error, *sqcallwire.Load) {}
