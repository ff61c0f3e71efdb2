package sqkeeper

import (
	"slices"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// FirstRecord returns the first record of a data centre, in which self keeps every
// shard. The sets of shares before and with are those without and with this
// data centre; before is empty for the first data centre of the fleet.
func FirstRecord(dc sqid.DataCentreID, self Member, before, with SharesSet) *Record {
	r := &Record{DataCentre: dc, Epoch: 1, Roster: Roster{self}, SharesAt: 1, Settled: with.Epoch}
	for s := range r.Assignments {
		r.Assignments[s].Since = 1
	}
	if before.Epoch > 0 {
		r.Shares = append(r.Shares, before)
	}
	r.Shares = append(r.Shares, with)
	return r
}

// Changes are the inputs from which Next computes the next record.
type Changes struct {
	// Alive are the data centre's daemons that may be in the roster. The first
	// ones fill up the roster.
	Alive []Member
	// Closed reports whether an earlier roster can no longer confirm its epochs.
	Closed func(EarlierRoster) bool
	// Shares is the newest set of shares; it is ignored if it is not newer.
	Shares SharesSet
	// Agreed says that every data centre has settled the newest set.
	Agreed bool
	// Settled is the result of Machine.Settled: every keeper of this data centre
	// uses the record's sets, and all loans granted under earlier sets have ended.
	Settled bool
}

// Next returns the record that should follow r. It returns false if nothing
// changes or if too many earlier rosters are still open.
func (r *Record) Next(c Changes) (*Record, bool) {
	n := r.nextEpoch(c.Closed)
	changed := n.updateRoster(c.Alive)
	changed = n.applyShares(c) || changed
	return n, changed && len(n.Earlier) <= maxEarlierRosters
}

// Reissue returns r with only a new epoch, to overwrite the outdated record of a
// platform that was restored to an older state. It returns false if too many
// earlier rosters are still open.
func (r *Record) Reissue(closed func(EarlierRoster) bool) (*Record, bool) {
	n := r.nextEpoch(closed)
	return n, len(n.Earlier) <= maxEarlierRosters
}

// HandOver returns the record in which each shard in to, until now kept by giver,
// is assigned to the daemon that to names. The giver must have stopped
// spending the shards. If leave is set, the giver is removed from the roster, and
// those of its shards that to does not name go to their backups or other members,
// as if it were lost: their new keepers wait until the earlier rosters are closed.
// It returns false if giver does not keep all shards in to, if no member would
// remain, or if too many earlier rosters are still open.
func (r *Record) HandOver(giver Member, to map[sqid.ShardID]Member, leave bool, closed func(EarlierRoster) bool) (*Record, bool) {
	n := r.nextEpoch(closed)
	for s, m := range to {
		if !r.Keeper(s).Is(giver) {
			return nil, false
		}
		n.Assignments[s] = Assignment{Keeper: n.addToRoster(m), Since: n.Epoch, HandedSince: r.Assignments[s].Since}
	}
	if leave {
		n.removeFromRoster(func(m Member) bool { return !m.Is(giver) })
	}
	return n, len(n.Earlier) <= maxEarlierRosters && len(n.Roster) > 0
}

// WithBackups returns the record with new backups for shards that keeper
// keeps; a backup without a name removes the shard's backup. It returns false
// if keeper does not keep them all or if too many earlier rosters are still
// open.
func (r *Record) WithBackups(keeper Member, backups map[sqid.ShardID]Member, closed func(EarlierRoster) bool) (*Record, bool) {
	n := r.nextEpoch(closed)
	for s, m := range backups {
		if !r.Keeper(s).Is(keeper) {
			return nil, false
		}
		n.Assignments[s].Backup = 0
		if m.Daemon != "" {
			n.Assignments[s].Backup = n.addToRoster(m) + 1
		}
	}
	return n, len(n.Earlier) <= maxEarlierRosters
}

// nextEpoch returns a copy of r with the next epoch. Its earlier rosters are
// those of r and r's own roster, without the closed ones; adjacent entries of
// the same members are merged.
func (r *Record) nextEpoch(closed func(EarlierRoster) bool) *Record {
	n := *r
	n.Epoch++
	n.Roster = slices.Clone(r.Roster)
	n.Shares = slices.Clone(r.Shares)
	n.Earlier = nil
	for _, e := range append(slices.Clone(r.Earlier), EarlierRoster{First: r.Epoch, Last: r.Epoch, Roster: r.Roster}) {
		if closed(e) {
			continue
		}
		if last := len(n.Earlier) - 1; last >= 0 && n.Earlier[last].Roster.sameMembers(e.Roster) {
			n.Earlier[last].Last = e.Last
			continue
		}
		n.Earlier = append(n.Earlier, e)
	}
	return &n
}

// addToRoster adds m to the roster if it is missing and returns its index.
func (r *Record) addToRoster(m Member) int {
	i := r.Roster.Index(m)
	if i < 0 {
		r.Roster = append(r.Roster, m)
		i = len(r.Roster) - 1
	}
	return i
}

// updateRoster replaces the members that are not alive, fills the roster up to
// RosterSize and reassigns the shards of removed members. It reports whether
// the roster changed.
func (r *Record) updateRoster(alive []Member) bool {
	if len(alive) == 0 {
		return false
	}
	before := slices.Clone(r.Roster)
	isAlive := func(m Member) bool { return Roster(alive).Index(m) >= 0 }
	live := 0
	for _, m := range r.Roster {
		if isAlive(m) {
			live++
		}
	}
	for _, m := range alive {
		if live < RosterSize && r.Roster.Index(m) < 0 {
			r.Roster = append(r.Roster, m)
			live++
		}
	}
	r.removeFromRoster(isAlive)
	return !before.sameMembers(r.Roster)
}

// removeFromRoster removes the members that keep rejects. Each of their shards
// goes to its backup, or else to the member with the fewest shards.
func (r *Record) removeFromRoster(keep func(Member) bool) {
	newIndex := make([]int, len(r.Roster))
	var roster Roster
	for i, m := range r.Roster {
		newIndex[i] = -1
		if keep(m) {
			newIndex[i] = len(roster)
			roster = append(roster, m)
		}
	}
	r.Roster = roster
	if len(roster) == 0 {
		return
	}
	held := make([]int, len(roster))
	for s := range r.Assignments {
		if p := newIndex[r.Assignments[s].Keeper]; p >= 0 {
			held[p]++
		}
	}
	for s := range r.Assignments {
		a := &r.Assignments[s]
		backup := -1
		if a.Backup > 0 {
			backup = newIndex[a.Backup-1]
		}
		if p := newIndex[a.Keeper]; p >= 0 {
			a.Keeper, a.Backup = p, backup+1
			continue
		}
		next := Assignment{Keeper: backup, Since: r.Epoch, BackedSince: a.Since}
		if backup < 0 {
			next = Assignment{Keeper: slices.Index(held, slices.Min(held)), Since: r.Epoch}
		}
		*a = next
		held[next.Keeper]++
	}
}

// applyShares makes at most one change to the sets of shares: it adds a newer
// set, marks the newest as settled, or drops the older ones once every data
// centre has settled the newest. It reports whether it made one. A record always has a
// set: FirstRecord adds one, no change removes the last, and Decode rejects a record
// without.
func (r *Record) applyShares(c Changes) bool {
	newest := r.Shares[len(r.Shares)-1]
	switch {
	case c.Shares.Epoch > newest.Epoch:
		r.Shares = append(r.Shares, c.Shares)
		r.SharesAt = r.Epoch
		return true
	case c.Settled && r.Settled < newest.Epoch:
		r.Settled = newest.Epoch
		return true
	case c.Agreed && len(r.Shares) > 1:
		r.Shares = []SharesSet{newest}
		return true
	}
	return false
}

// Surplus returns the shards that m should hand over, and to which members, so
// that all members of the roster keep about the same number.
func (r *Record) Surplus(m Member) map[sqid.ShardID]Member {
	held := make([]int, len(r.Roster))
	for _, a := range r.Assignments {
		held[a.Keeper]++
	}
	self := r.Roster.Index(m)
	fair := (ShardCount + len(r.Roster) - 1) / len(r.Roster)
	to := make(map[sqid.ShardID]Member)
	for s := range sqid.ShardID(ShardCount) {
		least := slices.Index(held, slices.Min(held))
		if self < 0 || held[self] <= fair || held[least] >= fair {
			break
		}
		if r.Assignments[s].Keeper == self {
			to[s] = r.Roster[least]
			held[self]--
			held[least]++
		}
	}
	return to
}
