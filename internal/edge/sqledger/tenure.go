package sqledger

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
)

// Tenure describes the assignment of a shard to this daemon in the keepers record.
type Tenure struct {
	// RecordEpoch is the epoch of the keepers record.
	RecordEpoch sqid.Epoch
	// Since is the epoch at which the daemon was assigned the shard.
	Since sqid.Epoch
	// PreviousSince is the epoch at which the previous keeper was assigned the shard, if
	// that keeper handed its state over to this daemon or had it as its backup; otherwise 0.
	PreviousSince sqid.Epoch
	// Backup is the shard's backup, the zero Member if it has none.
	Backup sqkeeper.Member
}

// Tenure returns this daemon's tenure of a shard of its data centre, and false if it may
// not act as keeper at now. State other than rates may be used before the tokens may be
// spent: the previous keeper has stopped, but loans that it granted may still run.
func (l *Ledger) Tenure(s sqid.ShardID, now time.Time) (Tenure, bool) {
	l.init()
	v := l.view.Load()
	if int(s) >= sqkeeper.ShardCount || !v.mayAct(s, now, l.Timing.MaxLoanTerm) {
		return Tenure{}, false
	}
	t, ok := l.AssignedTenure(s)
	return t, ok && t.Since == v.assignedAt[s]
}

// AssignedTenure returns the tenure of a shard according to the newest known record, even
// if this daemon may not act as keeper yet. It returns false if the shard is not assigned
// to this daemon.
func (l *Ledger) AssignedTenure(s sqid.ShardID) (Tenure, bool) {
	l.init()
	r := l.view.Load().records[l.DataCentre]
	if r == nil || int(s) >= sqkeeper.ShardCount || !r.Keeper(s).Is(l.Self) {
		return Tenure{}, false
	}
	h := r.Assignments[s]
	return Tenure{RecordEpoch: r.Epoch, Since: h.Since, PreviousSince: max(h.HandedSince, h.BackedSince), Backup: r.Backup(s)}, true
}

// LiveRosterPeers returns the members of the data centre's roster that are alive, without
// this daemon.
func (l *Ledger) LiveRosterPeers() []sqkeeper.Member {
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

// NewestShares returns the newest set of data centres with shares that this daemon knows
// from the platform or from any keepers record. Its epoch never decreases.
func (l *Ledger) NewestShares() sqkeeper.SharesSet {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.platformShares
	for _, r := range l.records {
		if s := r.NewestShares(); s.Epoch > newest.Epoch {
			newest = s
		}
	}
	return newest
}

// Settled reports whether the data centre may spend its full share: all data centres
// have agreed on the newest known set of shares, and this daemon may spend all shards
// that are assigned to it.
func (l *Ledger) Settled(now time.Time) bool {
	newest := l.NewestShares()
	for s := range sqid.ShardID(sqkeeper.ShardCount) {
		if _, assigned := l.AssignedTenure(s); assigned && !l.MaySpend(s, now) {
			return false
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[l.DataCentre]
	return r != nil && len(r.Shares) == 1 && r.NewestShares().Epoch == newest.Epoch
}

// errNotKept is returned if the daemon no longer keeps any of the shards.
var errNotKept = errors.New("this daemon no longer keeps the shards")

// SetBackups writes the backups of shards that this daemon keeps into the keepers
// record. The zero Member removes a shard's backup. The error is sqkv.ErrUncertain if
// the record may have changed.
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
	if changeErr := l.changeRecord(ctx, derive); changeErr != nil {
		return changeErr
	}
	return err
}
