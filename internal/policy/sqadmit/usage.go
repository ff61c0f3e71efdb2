package sqadmit

import (
	"math"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

const (
	// usageSpan is the time constant of a workspace's use of the target.
	usageSpan = time.Second
	// idleUsage is the use, in calls, below which a workspace is forgotten.
	idleUsage = 0.001
	// overFactor is the ratio to the average use for weight from which a
	// workspace is over its fair part.
	overFactor = 1.25
)

// usage holds what each workspace has lately had of the target, in calls for
// each unit of weight.
type usage struct {
	rows  map[sqid.WorkspaceID]*usageRow
	total float64
	sum   float64
	at    time.Time
}

type usageRow struct {
	calls  float64
	weight float64
	queued int
}

func (u *usage) row(c *Call) *usageRow {
	if u.rows == nil {
		u.rows = make(map[sqid.WorkspaceID]*usageRow)
	}
	r := u.rows[c.Workspace]
	if r == nil {
		r = &usageRow{}
		u.rows[c.Workspace] = r
	}
	weight := weightOf(c)
	u.sum += weight - r.weight
	r.weight = weight
	return r
}

// start counts a call that gets a slot.
func (u *usage) start(c *Call) {
	u.row(c).calls++
	u.total++
}

// decay forgets with time; it is called now and then, not for each call.
func (u *usage) decay(now time.Time) {
	if u.at.IsZero() {
		u.at = now
	}
	dt := now.Sub(u.at)
	if dt <= 0 {
		return
	}
	u.at = now
	part := math.Exp(-float64(dt) / float64(usageSpan))
	u.total, u.sum = 0, 0
	for w, r := range u.rows {
		r.calls *= part
		if r.calls < idleUsage && r.queued == 0 {
			delete(u.rows, w)
			continue
		}
		u.total += r.calls
		u.sum += r.weight
	}
}

// part returns the use for weight, counting queued calls if wanted is set.
func (r *usageRow) part(wanted bool) float64 {
	if wanted {
		return (r.calls + float64(r.queued)) / r.weight
	}
	return r.calls / r.weight
}

// over reports whether a workspace is over its fair part.
func (u *usage) over(r *usageRow) bool {
	return u.sum > 0 && r.calls/r.weight > overFactor*u.total/u.sum
}
