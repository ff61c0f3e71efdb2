package sqadmit

import (
	"math"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

const (
	// usageTimeConstant is the time constant of the moving average of a
	// workspace's use of the target.
	usageTimeConstant = time.Second
	// minUsage is the use, in calls, below which a workspace is removed.
	minUsage = 0.001
	// overuseFactor is the ratio of a workspace's use per weight to the average
	// use per weight from which the workspace is over its fair share.
	overuseFactor = 1.25
)

// usage holds each workspace's recent use of the target, and the sums over all
// workspaces.
type usage struct {
	workspaces  map[sqid.WorkspaceID]*workspaceUsage
	totalCalls  float64
	totalWeight float64
	updated     time.Time
}

// workspaceUsage is the recent use of one workspace: the decayed number of calls
// that got a slot, its weight, and the number of its calls in the queue.
type workspaceUsage struct {
	calls  float64
	weight float64
	queued int
}

// ofCall returns the use of a call's workspace, which it adds if it is missing,
// and sets the workspace's weight to the call's.
func (u *usage) ofCall(c *Call) *workspaceUsage {
	if u.workspaces == nil {
		u.workspaces = make(map[sqid.WorkspaceID]*workspaceUsage)
	}
	r := u.workspaces[c.Workspace]
	if r == nil {
		r = &workspaceUsage{}
		u.workspaces[c.Workspace] = r
	}
	// The workspace's weight may have changed since its last call. The queue also
	// calls ofCall to compare and remove queued calls, so the weight is that of the
	// call that was last looked at, which need not be the newest.
	weight := weightOf(c)
	u.totalWeight += weight - r.weight
	r.weight = weight
	return r
}

// start counts a call that gets a slot.
func (u *usage) start(c *Call) {
	u.ofCall(c).calls++
	u.totalCalls++
}

// decay brings the use forward to now. It is called periodically, not for each
// call.
func (u *usage) decay(now time.Time) {
	if u.updated.IsZero() {
		u.updated = now
	}
	dt := now.Sub(u.updated)
	if dt <= 0 {
		return
	}
	u.updated = now
	factor := math.Exp(-float64(dt) / float64(usageTimeConstant))
	u.totalCalls, u.totalWeight = 0, 0
	for w, r := range u.workspaces {
		r.calls *= factor
		if r.calls < minUsage && r.queued == 0 {
			delete(u.workspaces, w)
			continue
		}
		u.totalCalls += r.calls
		u.totalWeight += r.weight
	}
}

// perWeight returns the workspace's use per weight. It includes queued calls if
// withQueued is set.
func (r *workspaceUsage) perWeight(withQueued bool) float64 {
	if withQueued {
		return (r.calls + float64(r.queued)) / r.weight
	}
	return r.calls / r.weight
}

// overFairShare reports whether a workspace is over its fair share.
func (u *usage) overFairShare(r *workspaceUsage) bool {
	return u.totalWeight > 0 && r.calls/r.weight > overuseFactor*u.totalCalls/u.totalWeight
}
