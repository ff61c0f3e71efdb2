package sqentry

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/state/sqcatalog"
)

// chainCredit is the number of attempts beyond the first for a request and all
// calls below it. Each hop keeps one and grants half of the rest to a call, so a
// call four hops down may be tried again once; each hop's own bound is its route's.
const chainCredit squnit.Credit = 15

// Decide fills in what a catalog says of a request, of which the host, the path
// and the parent are known. key is the caller's, empty if it sent none; timeout
// is how long the caller waits, 0 if it does not say. It returns the refusal of
// a request that is not allowed.
func (a *Ask) Decide(c *sqcatalog.Catalog, key string, timeout time.Duration, now time.Time) *sqerror.Error {
	r, ok := c.Match(a.Host, a.Path)
	if !ok {
		return refuse(sqreason.ServiceUnknown, nil)
	}
	a.Service, a.Named, a.Route = r.PickService(), true, r.Name
	a.NonIdempotent, a.Importance = r.NonIdempotent, r.Importance
	a.Credit, a.Attempts = chainCredit, r.Attempts
	a.BodyMost = c.Limits.BodyBytes
	a.Patience = timeout
	if timeout == 0 || timeout > r.Timeout {
		timeout = r.Timeout
	}
	a.Deadline, a.Latency = now.Add(timeout), r.Latency
	if p := a.Parent; p != nil {
		// What a nested call is worth is what the whole request is worth.
		a.Workspace, a.Importance, a.Weight = p.Workspace, p.Importance, p.Weight
		if p.Deadline.Before(a.Deadline) {
			a.Deadline = p.Deadline
		}
		return nil
	}
	if key == "" {
		if !r.Open && c.RequiresKeys() {
			return refuse(sqreason.KeyMissing, nil)
		}
		return nil
	}
	w, ok := c.Workspace(sqid.DigestKey(key))
	if !ok {
		if r.Open {
			return nil
		}
		return refuse(sqreason.KeyUnknown, nil)
	}
	a.Workspace, a.Weight = w.Name, squnit.Weight(max(1, w.Plan.Rate))
	if w.Importance != nil {
		// The workspace's importance goes first, the route's decides within it.
		a.Importance = *w.Importance + squnit.Importance(r.Importance.NamedIndex())
	}
	return nil
}
