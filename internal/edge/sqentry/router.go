package sqentry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtable"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqretry"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqroute"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqshed"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// Router is what a daemon's entry has learned of the services: which targets
// there are, how they answer, and what they have room for.
type Router struct {
	// Targets are the targets known in the fleet.
	Targets *sqtarget.Directory
	// Route chooses among a service's targets.
	Route *sqroute.Router
	// Shed knows which classes of requests the services have no room for.
	Shed *sqshed.Table

	// Bound, if its window is set, bounds the attempts beyond the first at each
	// service over the fleet, of which this daemon is one of Daemons.
	Bound   sqretry.Bound
	Daemons func() int

	budgets sqtable.Table[sqid.ServiceID, *sqretry.Budget]
	windows sqtable.Table[sqid.ServiceID, *sqretry.Window]
}

// Known reports whether any target of the service is known.
func (t *Router) Known(s sqid.ServiceID) bool {
	return len(t.Targets.Service(s)) > 0
}

// Tick forgets what has not been used for a while.
func (t *Router) Tick(now time.Time) {
	t.Route.Tick(now)
	t.Shed.Tick(now)
}

// pick returns a target that the request has not tried yet.
func (t *Router) pick(q *request) (sqtarget.Row, sqreason.Refusal) {
	rows := t.Targets.Service(q.Service)
	c := t.Route.Pick(time.Now(), newRand(), rows, sqroute.Request{
		Service: q.Service, Importance: q.Importance, Exclude: q.tried,
	})
	return c.Row, c.Reason
}

// budget returns the retry budget of the edge to a service.
func (t *Router) budget(s sqid.ServiceID) *sqretry.Budget {
	return rowOf(&t.budgets, s)
}

// rowOf returns the row of a service, and makes it at its first use.
func rowOf[R any](t *sqtable.Table[sqid.ServiceID, *R], s sqid.ServiceID) *R {
	if r, ok := t.Get(s); ok {
		return r
	}
	var row *R
	t.Update(s, func(r *R, ok bool) (*R, bool) {
		if !ok {
			r = new(R)
		}
		row = r
		return r, true
	})
	return row
}

// asked counts a request for a service. A call that a repeated run makes is a
// repeat itself.
func (t *Router) asked(now time.Time, q *request) {
	if t.Bound.Window == 0 {
		return
	}
	w := rowOf(&t.windows, q.Service)
	w.AddRequest(now, t.Bound)
	if q.Parent != nil && q.Parent.Repeat {
		w.AddExtraAttempt(now, t.Bound, q.Importance)
	}
}

// mayRetry reports whether the budgets have room for one more attempt.
func (t *Router) mayRetry(now time.Time, q *request) bool {
	if t.Bound.Window > 0 {
		return rowOf(&t.windows, q.Service).Allows(now, t.Bound, t.Daemons(), q.Importance)
	}
	return t.budget(q.Service).Allows(now)
}

// takeRetry uses up the budget of one more attempt.
func (t *Router) takeRetry(now time.Time, q *request) bool {
	if t.Bound.Window > 0 {
		return rowOf(&t.windows, q.Service).Take(now, t.Bound, t.Daemons(), q.Importance)
	}
	return t.budget(q.Service).Take(now)
}

// deniedRetry counts an attempt for which the budgets had no room.
func (t *Router) deniedRetry(now time.Time, q *request) {
	if t.Bound.Window > 0 {
		rowOf(&t.windows, q.Service).AddDenied(now, t.Bound, q.Importance)
	}
}

// ended learns from the end of an attempt.
func (t *Router) ended(q *request, id sqtarget.ID, took time.Duration, refusal *sqerror.Error, a *answer) {
	now, l := time.Now(), a.load
	outcome := outcomeOf(refusal)
	switch {
	case a.failedBelow:
		// What failed is a call that the target made, not the target.
		outcome = sqadmit.Cancelled
	case refusal == nil && a.status >= http.StatusInternalServerError:
		outcome = sqadmit.Failed
	}
	t.Route.Ended(now, id, took, outcome, loadOf(l))
	if l == nil {
		return
	}
	own := sqshed.LoadReport{
		Service: q.Service, Level: squnit.Importance(l.GetLevel()),
		Share: squnit.Share(1 - l.GetShed()), OverallShare: squnit.Share(1 - l.GetShedAll()),
		MedianShare: squnit.Share(l.GetTypical()),
	}
	deeper := reportsOf(l)
	if q.Parent != nil {
		q.Parent.AddFeedback(own, deeper)
		return
	}
	t.Shed.Update(now, q.class(), own, deeper)
}

func outcomeOf(refusal *sqerror.Error) sqadmit.Outcome {
	switch {
	case refusal == nil:
		return sqadmit.OK
	case refusal.Reason == sqreason.CallerGone:
		return sqadmit.Cancelled
	case refusal.Run == squnit.RunNot && refusal.Reason.Unavailable():
		return sqadmit.Unreachable
	case refusal.Run == squnit.RunNot && refusal.Reason != sqreason.TargetRefused:
		return sqadmit.Shed
	default:
		return sqadmit.Failed
	}
}

func loadOf(l *sqcallwire.Load) *sqadmit.Load {
	if l == nil {
		return nil
	}
	return &sqadmit.Load{
		Level: squnit.Importance(l.GetLevel()), InFlight: int(l.GetInFlight()), Limit: int(l.GetLimit()),
		Queued: int(l.GetQueued()), AverageLatency: time.Duration(l.GetUsualUs()) * time.Microsecond,
		Share: squnit.Share(1 - l.GetShed()), OverallShare: squnit.Share(1 - l.GetShedAll()),
	}
}

func reportsOf(l *sqcallwire.Load) []sqshed.LoadReport {
	reports := make([]sqshed.LoadReport, 0, len(l.GetDeeper()))
	for _, d := range l.GetDeeper() {
		reports = append(reports, sqshed.LoadReport{
			Service: sqid.ServiceID(d.GetService()), Level: squnit.Importance(d.GetLevel()),
			Share: squnit.Share(1 - d.GetShed()), OverallShare: squnit.Share(1 - d.GetShedAll()),
			MedianShare: squnit.Share(d.GetTypical()),
		})
	}
	return reports
}

// newRand returns a source of its own for one decision.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
