package sqkeeper

import (
	"slices"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// First returns the first record of a data centre: self keeps every shard.
// before is the set of shares without the data centre; it is empty for the
// first data centre of all.
func First(dc sqid.DataCentreID, self Member, before, with SharesSet) *Record {
	r := &Record{DataCentre: dc, Epoch: 1, Roster: Roster{self}, SharesAt: 1, Settled: with.Epoch}
	for s := range r.Holdings {
		r.Holdings[s].Since = 1
	}
	if before.Epoch > 0 {
		r.Shares = append(r.Shares, before)
	}
	r.Shares = append(r.Shares, with)
	return r
}

// Changes is what the next record should differ in.
type Changes struct {
	// Alive are the data centre's daemons that may be in the roster, by rank.
	Alive []Member
	// Closed tells whether an earlier roster can witness no more.
	Closed func(Earlier) bool
	// Shares is the newest set of shares; it is ignored if it is not newer.
	Shares SharesSet
	// Agreed says that every data centre has settled the newest set.
	Agreed bool
	// Settled says that every keeper of the data centre uses the sets of the
	// record.
	Settled bool
}

// Next returns the record that should follow r, or false if r may stay, or if
// too many earlier rosters are open.
func (r *Record) Next(c Changes) (*Record, bool) {
	n := r.successor(c.Closed)
	changed := n.reseat(c.Alive)
	changed = n.applyShares(c) || changed
	return n, changed && len(n.Earlier) <= openLimit
}

// Restate returns the record of a new epoch that differs in nothing else. It
// replaces an older one that the platform has come back with.
func (r *Record) Restate(closed func(Earlier) bool) (*Record, bool) {
	n := r.successor(closed)
	return n, len(n.Earlier) <= openLimit
}

// Give returns the record in which the shards of giver go to the daemons of
// `to`, shard by shard. The giver has stopped spending them. If it leaves, it
// is no longer in the roster.
func (r *Record) Give(giver Member, to map[sqid.ShardID]Member, leave bool, closed func(Earlier) bool) (*Record, bool) {
	n := r.successor(closed)
	for s, m := range to {
		if !r.Keeper(s).Is(giver) {
			return nil, false
		}
		n.Holdings[s] = Holding{Keeper: n.seat(m), Since: n.Epoch, HandedSince: r.Holdings[s].Since}
	}
	if leave {
		n.unseat(func(m Member) bool { return !m.Is(giver) })
	}
	return n, len(n.Earlier) <= openLimit && len(n.Roster) > 0
}

// WithBackups returns the record in which shards that keeper keeps have the
// backups given; one without a name takes a shard's backup away. It returns
// false if keeper does not keep them all.
func (r *Record) WithBackups(keeper Member, backups map[sqid.ShardID]Member, closed func(Earlier) bool) (*Record, bool) {
	n := r.successor(closed)
	for s, m := range backups {
		if !r.Keeper(s).Is(keeper) {
			return nil, false
		}
		n.Holdings[s].Backup = 0
		if m.Daemon != "" {
			n.Holdings[s].Backup = n.seat(m) + 1
		}
	}
	return n, len(n.Earlier) <= openLimit
}

func (r *Record) successor(closed func(Earlier) bool) *Record {
	n := *r
	n.Epoch++
	n.Roster = slices.Clone(r.Roster)
	n.Shares = slices.Clone(r.Shares)
	n.Earlier = nil
	for _, e := range append(slices.Clone(r.Earlier), Earlier{First: r.Epoch, Last: r.Epoch, Roster: r.Roster}) {
		if closed(e) {
			continue
		}
		if last := len(n.Earlier) - 1; last >= 0 && n.Earlier[last].Roster.same(e.Roster) {
			n.Earlier[last].Last = e.Last
			continue
		}
		n.Earlier = append(n.Earlier, e)
	}
	return &n
}

// seat returns the place of m in the roster, which it joins if needed.
func (r *Record) seat(m Member) int {
	i := r.Roster.Index(m)
	if i < 0 {
		r.Roster = append(r.Roster, m)
		i = len(r.Roster) - 1
	}
	return i
}

// reseat replaces the members that are not alive, fills up the roster, and
// gives the shards without a keeper to the members with the fewest.
func (r *Record) reseat(alive []Member) bool {
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
	r.unseat(isAlive)
	return !before.same(r.Roster)
}

// unseat takes the members that are not to stay out of the roster; their
// shards go to their backups, or else to those with the fewest.
func (r *Record) unseat(stays func(Member) bool) {
	place := make([]int, len(r.Roster))
	var roster Roster
	for i, m := range r.Roster {
		place[i] = -1
		if stays(m) {
			place[i] = len(roster)
			roster = append(roster, m)
		}
	}
	r.Roster = roster
	if len(roster) == 0 {
		return
	}
	held := make([]int, len(roster))
	for s := range r.Holdings {
		if p := place[r.Holdings[s].Keeper]; p >= 0 {
			held[p]++
		}
	}
	for s := range r.Holdings {
		h := &r.Holdings[s]
		backup := -1
		if h.Backup > 0 {
			backup = place[h.Backup-1]
		}
		if p := place[h.Keeper]; p >= 0 {
			h.Keeper, h.Backup = p, backup+1
			continue
		}
		next := Holding{Keeper: backup, Since: r.Epoch, BackedSince: h.Since}
		if backup < 0 {
			next = Holding{Keeper: slices.Index(held, slices.Min(held)), Since: r.Epoch}
		}
		*h = next
		held[next.Keeper]++
	}
}

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

// Surplus returns the shards that a keeper should hand over so that the
// roster's members hold about the same number, and to whom.
func (r *Record) Surplus(m Member) map[sqid.ShardID]Member {
	held := make([]int, len(r.Roster))
	for _, h := range r.Holdings {
		held[h.Keeper]++
	}
	self := r.Roster.Index(m)
	fair := (ShardCount + len(r.Roster) - 1) / len(r.Roster)
	to := make(map[sqid.ShardID]Member)
	for s := range sqid.ShardID(ShardCount) {
		least := slices.Index(held, slices.Min(held))
		if self < 0 || held[self] <= fair || held[least] >= fair {
			break
		}
		if r.Holdings[s].Keeper == self {
			to[s] = r.Roster[least]
			held[self]--
			held[least]++
		}
	}
	return to
}
