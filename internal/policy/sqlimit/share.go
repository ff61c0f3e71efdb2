package sqlimit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// smallShare is the burst, in tokens, below which a plan isn't split: many
// shares of a few tokens each would refuse what their sum could admit.
const smallShare = 4

// Shares says which data centres hold shares of every plan.
type Shares struct {
	// DataCentres are those that hold shares, in any order.
	DataCentres []sqid.DataCentreID
}

// Split reports whether the plan is split among the data centres. One whose
// burst is small is held whole by its home.
func (s Shares) Split(plan Capacity) bool {
	return float64(plan.Burst) >= smallShare*float64(len(s.DataCentres))
}

// Home returns the data centre that holds the whole of a workspace's plan if
// it isn't split: the one of highest hash with the workspace.
func (s Shares) Home(w sqid.WorkspaceID) sqid.DataCentreID {
	if len(s.DataCentres) == 0 {
		return ""
	}
	return slices.MaxFunc(s.DataCentres, func(a, b sqid.DataCentreID) int {
		return cmp.Or(cmp.Compare(mix(w, a), mix(w, b)), cmp.Compare(a, b))
	})
}

func mix(w sqid.WorkspaceID, dc sqid.DataCentreID) uint64 {
	return xxhash.Sum64String(string(w) + "\x00" + string(dc))
}

// Of returns the share of a data centre in a workspace's plan.
func (s Shares) Of(dc sqid.DataCentreID, w sqid.WorkspaceID, plan Capacity) Capacity {
	switch {
	case !slices.Contains(s.DataCentres, dc):
		return Capacity{}
	case s.Split(plan):
		return plan.Times(1 / float64(len(s.DataCentres)))
	case s.Home(w) == dc:
		return plan
	default:
		return Capacity{}
	}
}
