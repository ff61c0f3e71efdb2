package sqlimit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// minBurstPerShare is the least burst per data centre, in tokens, for which a plan is
// split: many shares of a few tokens each would refuse requests that their sum could
// admit.
const minBurstPerShare = 4

// Shares divides plans among data centres.
type Shares struct {
	// DataCentres are the data centres that hold shares, in any order.
	DataCentres []sqid.DataCentreID
}

// IsSplit reports whether the plan is split among the data centres. A plan with a small
// burst is held entirely by the workspace's home data centre.
func (s Shares) IsSplit(plan Capacity) bool {
	return float64(plan.Burst) >= minBurstPerShare*float64(len(s.DataCentres))
}

// Home returns the data centre that holds the entire plan of a workspace if it isn't
// split. It is chosen by rendezvous hashing.
func (s Shares) Home(w sqid.WorkspaceID) sqid.DataCentreID {
	if len(s.DataCentres) == 0 {
		return ""
	}
	return slices.MaxFunc(s.DataCentres, func(a, b sqid.DataCentreID) int {
		return cmp.Or(cmp.Compare(rendezvousHash(w, a), rendezvousHash(w, b)), cmp.Compare(a, b))
	})
}

func rendezvousHash(w sqid.WorkspaceID, dc sqid.DataCentreID) uint64 {
	return xxhash.Sum64String(string(w) + "\x00" + string(dc))
}

// ShareOf returns the share of a data centre in a workspace's plan.
func (s Shares) ShareOf(dc sqid.DataCentreID, w sqid.WorkspaceID, plan Capacity) Capacity {
	switch {
	case !slices.Contains(s.DataCentres, dc):
		return Capacity{}
	case s.IsSplit(plan):
		return plan.Times(1 / float64(len(s.DataCentres)))
	case s.Home(w) == dc:
		return plan
	default:
		return Capacity{}
	}
}
