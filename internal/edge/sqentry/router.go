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

// Router holds what a daemon's entry knows of the services: their targets, the
// latencies and failures of these, and the load that they admit.
type Router struct {
	// Targets are the targets known in the fleet.
	Targets *sqtarget.Directory
	// Balancer picks among a service's targets.
	Balancer *sqroute.Router
	// Shed holds the admission thresholds of the services.
	Shed *sqshed.Table

	// RetryBound, if its window is set, bounds the attempts beyond the first at each
	// service over the whole fleet, which has as many daemons as Daemons returns.
	RetryBound sqretry.Bound
	Daemons    func() int

	budgets sqtable.Table[sqid.ServiceID, *sqretry.Budget]
	windows sqtable.Table[sqid.ServiceID, *sqretry.Window]
}

// HasTargets reports whether any target of the service is known.
func (t *Router) HasTargets(s sqid.ServiceID) bool {
	return len(t.Targets.Service(s)) > 0
}

// Tick removes state that has not been used for a while.
func (t *Router) Tick(now time.Time) {
	t.Balancer.Tick(now)
	t.Shed.Tick(now)
}

// pick returns a target that the request has not tried yet.
func (t *Router) pick(q *request) (sqtarget.Row, sqreason.Refusal) {
	rows := t.Targets.Service(q.Service)
	c := t.Balancer.Pick(time.Now(), newRand(), rows, sqroute.Request{
		Service: q.Service, Importance: q.Importance, Exclude: q.tried,
	})
	return c.Row, c.Reason
}

// budget returns the retry budget for calls to a service.
func (t *Router) budget(s sqid.ServiceID) *sqretry.Budget {
	return getOrCreate(&t.budgets, s)
}

// getOrCreate returns the row of a service, and creates it on first use.
func getOrCreate[R any](t *sqtable.Table[sqid.ServiceID, *R], s sqid.ServiceID) *R {
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

// noteRequest counts a request for a service. A call made by a retry counts as an
// extra attempt too.
func (t *Router) noteRequest(now time.Time, q *request) {
	if t.RetryBound.Window == 0 {
		return
	}
	w := getOrCreate(&t.windows, q.Service)
	w.AddRequest(now, t.RetryBound)
	if q.Parent != nil && q.Parent.Repeat {
		w.AddExtraAttempt(now, t.RetryBound, q.Importance)
	}
}

// mayRetry reports whether the retry budget allows one more attempt.
func (t *Router) mayRetry(now time.Time, q *request) bool {
	if t.RetryBound.Window > 0 {
		return getOrCreate(&t.windows, q.Service).Allows(now, t.RetryBound, t.Daemons(), q.Importance)
	}
	return t.budget(q.Service).Allows(now)
}

// takeRetry spends the budget of one more attempt, and reports whether there was
// any.
func (t *Router) takeRetry(now time.Time, q *request) bool {
	if t.RetryBound.Window > 0 {
		return getOrCreate(&t.windows, q.Service).Take(now, t.RetryBound, t.Daemons(), q.Importance)
	}
	return t.budget(q.Service).Take(now)
}

// noteDeniedRetry counts an attempt that the retry budget did not allow.
func (t *Router) noteDeniedRetry(now time.Time, q *request) {
	if t.RetryBound.Window > 0 {
		getOrCreate(&t.windows, q.Service).AddDenied(now, t.RetryBound, q.Importance)
	}
}

// noteAttemptEnd updates load balancing from the end of an attempt, and admission
// thresholds from the load report in its answer. The report on a nested call is
// added to its parent, whose gate reports it further up.
func (t *Router) noteAttemptEnd(q *request, id sqtarget.ID, latency time.Duration, refusal *sqerror.Error, a *answerWriter) {
	now, l := time.Now(), a.load
	outcome := outcomeOf(refusal)
	switch {
	case a.failedBelow:
		// A nested call failed, not the target itself.
		outcome = sqadmit.Cancelled
	case refusal == nil && a.status >= http.StatusInternalServerError:
		outcome = sqadmit.Failed
	}
	t.Balancer.Ended(now, id, latency, outcome, loadFromWire(l))
	if l == nil {
		return
	}
	own := sqshed.LoadReport{
		Service: q.Service, Level: squnit.Importance(l.GetLevel()),
		Share: squnit.Share(1 - l.GetShed()), OverallShare: squnit.Share(1 - l.GetShedAll()),
		MedianShare: squnit.Share(l.GetTypical()),
	}
	deeper := reportsFromWire(l)
	if q.Parent != nil {
		q.Parent.AddFeedback(own, deeper)
		return
	}
	t.Shed.Update(now, q.shedClass(), own, deeper)
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

func loadFromWire(l *sqcallwire.Load) *sqadmit.Load {
	if l == nil {
		return nil
	}
	return &sqadmit.Load{
		Level: squnit.Importance(l.GetLevel()), InFlight: int(l.GetInFlight()), Limit: int(l.GetLimit()),
		Queued: int(l.GetQueued()), AverageLatency: time.Duration(l.GetUsualUs()) * time.Microsecond,
		Share: squnit.Share(1 - l.GetShed()), OverallShare: squnit.Share(1 - l.GetShedAll()),
	}
}

func reportsFromWire(l *sqcallwire.Load) []sqshed.LoadReport {
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

// newRand returns a random source of its own for one decision.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
