package sqledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
)

// ShardKeeper names the keeper of a shard, according to the newest keepers record that
// this daemon knows.
type ShardKeeper struct {
	Keeper sqkeeper.Member
	// Epoch is the epoch at which the keeper was assigned the shard.
	Epoch      sqid.Epoch
	DataCentre sqid.DataCentreID
}

// ShardKeeper returns the keeper of a data centre's shard, and false if this daemon knows
// no keepers record of that data centre.
func (l *Ledger) ShardKeeper(dc sqid.DataCentreID, s sqid.ShardID) (ShardKeeper, bool) {
	l.init()
	r := l.view.Load().records[dc]
	if r == nil || int(s) >= sqkeeper.ShardCount {
		return ShardKeeper{}, false
	}
	return ShardKeeper{Keeper: r.Keeper(s), Epoch: r.Assignments[s].Since, DataCentre: dc}, true
}

// MaySpend reports whether this daemon may spend a shard of its data centre at now: it is
// the keeper, the wait for earlier keepers and their loans is over, and its evidence that
// the epoch is current has not expired.
func (l *Ledger) MaySpend(s sqid.ShardID, now time.Time) bool {
	l.init()
	return int(s) < sqkeeper.ShardCount && l.view.Load().maySpend(s, now)
}

// DataCentres returns the data centres whose keepers are known, nearest first.
func (l *Ledger) DataCentres() []sqid.DataCentreID {
	l.init()
	return slices.Clone(l.view.Load().nearestFirst)
}

// KeptShards returns the shards that this daemon may spend at now.
func (l *Ledger) KeptShards(now time.Time) []sqid.ShardID {
	l.init()
	v := l.view.Load()
	var kept []sqid.ShardID
	for s := range sqid.ShardID(sqkeeper.ShardCount) {
		if v.maySpend(s, now) {
			kept = append(kept, s)
		}
	}
	return kept
}

// Epoch returns the epoch of the newest known keepers record of the daemon's data centre,
// 0 if none is known.
func (l *Ledger) Epoch() sqid.Epoch {
	l.init()
	if r := l.view.Load().records[l.DataCentre]; r != nil {
		return r.Epoch
	}
	return 0
}

func (l *Ledger) sortNearest(dcs []sqid.DataCentreID) {
	slices.SortFunc(dcs, func(a, b sqid.DataCentreID) int {
		return cmp.Or(cmp.Compare(l.distance(a), l.distance(b)), cmp.Compare(a, b))
	})
}

// distance returns the distance of a data centre, for ordering only; that of the daemon's
// own is the least.
func (l *Ledger) distance(dc sqid.DataCentreID) time.Duration {
	switch {
	case dc == l.DataCentre:
		return -1
	case l.Distance == nil:
		return 0
	default:
		return l.Distance(dc)
	}
}
