package sqentry

import (
	"context"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
)

// Charger spends tokens of the workspaces' rates.
type Charger interface {
	// Charge spends a token for one request, and reports whether the rate admits
	// it; if not, retryAfter is the time until the next one would be admitted. An
	// error means that the decision could not be made: the request must not run.
	Charge(ctx context.Context, w sqid.WorkspaceID) (admitted bool, retryAfter time.Duration, err error)
	// Return gives back the token of a request that has not run.
	Return(w sqid.WorkspaceID)
}

// charge spends a token for a caller's request. Nested calls are free, and so are
// requests without a workspace, on open routes.
func (q *request) charge(ctx context.Context) *sqerror.Error {
	if q.Parent != nil || q.Workspace == "" {
		return nil
	}
	admitted, retryAfter, err := q.entry.Charger.Charge(ctx, q.Workspace)
	if err != nil {
		return sqerror.Refuse(sqerror.StepLedger, sqreason.LedgerUnavailable, err)
	}
	if !admitted {
		e := entryRefusal(sqreason.OverRate, nil)
		e.RetryAfter = retryAfter
		return e
	}
	q.charged = true
	return nil
}
