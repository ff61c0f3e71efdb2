package sqentry

import (
	"context"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
)

// Charger spends one request of a workspace's rate and burst.
type Charger interface {
	// Charge reports whether the request is inside the rate; if it is not,
	// retryAfter is when the next one would be. An error says that nobody
	// could tell; the request must not run then.
	Charge(ctx context.Context, w sqid.WorkspaceID) (admitted bool, retryAfter time.Duration, err error)
	// Return gives back what was spent on a request that has not run.
	Return(w sqid.WorkspaceID)
}

// charge spends a caller's request; nested calls and open routes are free.
func (q *request) charge(ctx context.Context) *sqerror.Error {
	if q.Parent != nil || q.Workspace == "" {
		return nil
	}
	admitted, retryAfter, err := q.entry.Charger.Charge(ctx, q.Workspace)
	if err != nil {
		return sqerror.Refuse(sqerror.StepLedger, sqreason.LedgerUnavailable, err)
	}
	if !admitted {
		e := refuse(sqreason.OverRate, nil)
		e.RetryAfter = retryAfter
		return e
	}
	q.charged = true
	return nil
}
