package sqroute

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// SetLink sets the budget of the link to a region: its rate in bytes per second and
// its burst in bytes.
func (r *Router) SetLink(to sqid.RegionID, rate, burst squnit.Bytes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Links == nil {
		r.Links = make(map[sqid.RegionID]*LinkBudget)
	}
	b, ok := r.Links[to]
	if !ok {
		b = new(LinkBudget)
		r.Links[to] = b
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Rate, b.Burst = rate, burst
}

// SpendLink takes n transferred bytes from the budget of the link to a region.
func (r *Router) SpendLink(now time.Time, to sqid.RegionID, n squnit.Bytes) {
	r.mu.Lock()
	b := r.Links[to]
	r.mu.Unlock()
	if b != nil {
		b.Spend(now, n)
	}
}
