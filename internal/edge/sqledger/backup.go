package sqledger

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
)

// Tenure is what the keepers record says of a shard that this daemon keeps.
type Tenure struct {
	// Record is the epoch of the record.
	Record sqid.Epoch
	// Since is the epoch at which the daemon was assigned the shard.
	Since sqid.Epoch
	// From is the epoch at which the keeper before was assigned the shard, if
	// this daemon was given its state or was its backup; else 0.
	From sqid.Epoch
	// Backup has no name if the shard has none.
	Backup sqkeeper.Member
}

// Tenure returns this daemon's tenure of a shard of its data centre, and false
// if it may not act as keeper at now. What is not spent may be acted on sooner
// than the rate: the keeper before has stopped, but may have borrowed.
func (l *Ledger) Tenure(s sqid.ShardID, now time.Time) (Tenure, bool) {
	l.init()
	v := l.view.Load()
	if int(s) >= sqkeeper.ShardCount || !v.acting(s, now, l.Terms.MaxLoanTerm) {
		return Tenure{}, false
	}
	t, ok := l.Assigned(s)
	return t, ok && t.Since == v.since[s]
}

// Assigned returns the tenure that the newest record known gives this daemon,
// also if it may not act as keeper now.
func (l *Ledger) Assigned(s sqid.ShardID) (Tenure, bool) {
	l.init()
	r := l.view.Load().records[l.DataCentre]
	if r == nil || int(s) >= sqkeeper.ShardCount || !r.Keeper(s).Is(l.Self) {
		return Tenure{}, false
	}
	h := r.Assignments[s]
	return Tenure{Record: r.Epoch, Since: h.Since, From: max(h.HandedSince, h.BackedSince), Backup: r.Backup(s)}, true
}

// Roster returns the other members of the data centre's roster that are alive.
func (l *Ledger) Roster() []sqkeeper.Member {
	l.init()
	r := l.view.Load().records[l.DataCentre]
	if r == nil {
		return nil
	}
	alive := sqkeeper.Roster(l.Members.Alive(l.DataCentre))
	var others []sqkeeper.Member
	for _, m := range r.Roster {
		if !m.Is(l.Self) && alive.Index(m) >= 0 {
			others = append(others, m)
		}
	}
	return others
}

// Shares returns the newest set of data centres that this daemon knows, from
// the platform or from any keepers record. Its epoch never goes back.
func (l *Ledger) Shares() sqkeeper.SharesSet {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.shares
	for _, r := range l.records {
		if s := r.NewestShares(); s.Epoch > newest.Epoch {
			newest = s
		}
	}
	return newest
}

// Settled reports whether the data centre spends its whole share: all data
// centres of the newest set that is known have agreed on it, and this daemon
// keeps the shards that it is assigned.
func (l *Ledger) Settled(now time.Time) bool {
	newest := l.Shares()
	for s := range sqid.ShardID(sqkeeper.ShardCount) {
		if _, assigned := l.Assigned(s); assigned && !l.Keeping(s, now) {
			return false
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[l.DataCentre]
	return r != nil && len(r.Shares) == 1 && r.NewestShares().Epoch == newest.Epoch
}

// errNotKept says that the daemon no longer keeps a shard.
var errNotKept = errors.New("shard is not kept here")

// SetBackups names the backups of shards that this daemon keeps in the record;
// a member without a name takes a shard's backup away. Its error is
// sqkv.ErrUncertain if the record may have changed.
func (l *Ledger) SetBackups(ctx context.Context, backups map[sqid.ShardID]sqkeeper.Member) error {
	l.init()
	err := errNotKept
	derive := func(r *sqkeeper.Record, now time.Time) (*sqkeeper.Record, bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		n, ok := r.WithBackups(l.Self, backups, func(e sqkeeper.EarlierRoster) bool { return l.machine.Closed(e, now) })
		if ok {
			err = nil
		}
		return n, ok
	}
	if changeErr := l.change(ctx, derive); changeErr != nil {
		return changeErr
	}
	return err
}
