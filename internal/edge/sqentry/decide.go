package sqentry

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/state/sqcatalog"
)

// requestCredit is the number of attempts beyond the first for a request and all
// calls below it. Each hop keeps one and grants half of the rest to a call, so that
// a call four hops down may still be retried once. The attempts of each hop are
// also bounded by its route.
const requestCredit squnit.Credit = 15

// ApplyCatalog applies a catalog to a request whose host, path and parent are known. key
// is the caller's key, empty if it sent none; timeout is how long the caller waits,
// 0 if unknown. It returns a refusal if the request is not allowed.
func (info *RequestInfo) ApplyCatalog(c *sqcatalog.Catalog, key string, timeout time.Duration, now time.Time) *sqerror.Error {
	r, ok := c.Match(info.Host, info.Path)
	if !ok {
		return entryRefusal(sqreason.ServiceUnknown, nil)
	}
	info.Service, info.Configured, info.Route = r.PickService(), true, r.Name
	info.NonIdempotent, info.Importance = r.NonIdempotent, r.Importance
	info.Credit, info.Attempts = requestCredit, r.Attempts
	info.MaxBody = c.Limits.BodyBytes
	info.CallerTimeout = timeout
	if timeout == 0 || timeout > r.Timeout {
		timeout = r.Timeout
	}
	info.Deadline, info.Latency = now.Add(timeout), r.Latency
	if p := info.Parent; p != nil {
		// A nested call is as important as the request that it belongs to.
		info.Workspace, info.Importance, info.Weight = p.Workspace, p.Importance, p.Weight
		if p.Deadline.Before(info.Deadline) {
			info.Deadline = p.Deadline
		}
		return nil
	}
	if key == "" {
		if !r.Open && c.RequiresKeys() {
			return entryRefusal(sqreason.KeyMissing, nil)
		}
		return nil
	}
	w, ok := c.Workspace(sqid.DigestKey(key))
	if !ok {
		if r.Open {
			return nil
		}
		return entryRefusal(sqreason.KeyUnknown, nil)
	}
	info.Workspace, info.Weight = w.Name, squnit.Weight(max(1, w.Plan.Rate))
	if w.Importance != nil {
		// The workspace's importance takes precedence; the route's orders requests
		// within it.
		info.Importance = *w.Importance + squnit.Importance(r.Importance.NamedIndex())
	}
	return nil
}
