package sqledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
)

// Home is who keeps a shard, as this daemon knows it.
type Home struct {
	Keeper     sqkeeper.Member
	Epoch      sqid.Epoch
	DataCentre sqid.DataCentreID
}

// Home returns the keeper of a data centre's shard, and false if this daemon
// knows of none. The epoch is that at which the keeper was assigned the shard.
func (l *Ledger) Home(dc sqid.DataCentreID, s sqid.ShardID) (Home, bool) {
	l.init()
	r := l.view.Load().records[dc]
	if r == nil || int(s) >= sqkeeper.ShardCount {
		return Home{}, false
	}
	return Home{Keeper: r.Keeper(s), Epoch: r.Assignments[s].Since, DataCentre: dc}, true
}

// Keeping reports whether this daemon may act as keeper of a shard of its data
// centre at now: the guard is over and the evidence is fresh.
func (l *Ledger) Keeping(s sqid.ShardID, now time.Time) bool {
	l.init()
	return int(s) < sqkeeper.ShardCount && l.view.Load().keeping(s, now)
}

// DataCentres returns the data centres whose keepers are known, nearest first.
func (l *Ledger) DataCentres() []sqid.DataCentreID {
	l.init()
	return slices.Clone(l.view.Load().order)
}

// Kept returns the shards that this daemon keeps at now.
func (l *Ledger) Kept(now time.Time) []sqid.ShardID {
	l.init()
	v := l.view.Load()
	var kept []sqid.ShardID
	for s := range sqid.ShardID(sqkeeper.ShardCount) {
		if v.keeping(s, now) {
			kept = append(kept, s)
		}
	}
	return kept
}

// Epoch returns the epoch of the newest keepers record known of the daemon's
// data centre, 0 if none is known.
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
