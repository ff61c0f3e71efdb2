package sqkeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// Terms are the durations that all daemons of a fleet count on.
type Terms struct {
	// Fresh is how long evidence of an epoch may be used.
	Fresh time.Duration
	// Solo is the same for a roster of one, whose only evidence is the
	// platform's.
	Solo time.Duration
	// Loan is the longest term of a loan.
	Loan time.Duration
	// Drift is how much two clocks may differ over Fresh and Loan.
	Drift time.Duration
	// Pause is the gap between two ticks from which on a daemon takes itself
	// to have been paused.
	Pause time.Duration
}

// DefaultTerms are the terms of a fleet.
func DefaultTerms() Terms {
	return Terms{
		Fresh: 2 * time.Second,
		Solo:  10 * time.Minute,
		Loan:  2 * time.Second,
		Drift: 100 * time.Millisecond,
		Pause: time.Second,
	}
}

// guard is the wait from the last evidence that a keeper before can have had.
func (t Terms) guard() time.Duration {
	return t.Fresh + t.Loan + t.Drift
}

// Machine decides what one daemon may keep in its data centre. It is pure:
// records, answers and times are passed in. Times are monotonic.
type Machine struct {
	Self  Member
	Terms Terms

	record    *Record
	adopted   time.Time
	platform  time.Time
	carried   time.Time
	witnessed map[sqid.DaemonID]time.Time
	heard     map[sqid.DaemonID]heard
	closed    map[sqid.Epoch]time.Time
	tenures   [ShardCount]tenure
	lastTick  time.Time
	handovers map[sqid.ShardID]sqid.Epoch
}

// heard is the newest that a daemon has said of itself.
type heard struct {
	incarnation sqid.Incarnation
	epoch       sqid.Epoch
}

// tenure is this daemon's time as keeper of one shard.
type tenure struct {
	since    sqid.Epoch
	released bool
	// start is when the daemon may begin to spend; zero while it waits for
	// earlier rosters to close.
	start time.Time
}

// Record returns the newest record known, nil if there is none.
func (m *Machine) Record() *Record {
	return m.record
}

// Epoch returns the newest epoch known, 0 if there is none.
func (m *Machine) Epoch() sqid.Epoch {
	if m.record == nil {
		return 0
	}
	return m.record.Epoch
}

// Adopt takes in a record and reports whether it is newer than what was known.
// The evidence so far stays: it is older than the end of any roster that had
// to be closed before a shard of this daemon could be given away.
func (m *Machine) Adopt(r *Record, now time.Time) bool {
	if r.Epoch <= m.Epoch() {
		return false
	}
	m.carried = m.evidence(now)
	if m.record == nil || !m.record.Roster.same(r.Roster) {
		m.witnessed = nil
	}
	m.record, m.adopted = r, now
	for s := range sqid.ShardID(ShardCount) {
		m.assume(s, now)
	}
	maps.DeleteFunc(m.closed, func(e sqid.Epoch, _ time.Time) bool {
		return e != r.SharesAt && !slices.ContainsFunc(m.tenures[:], func(t tenure) bool { return t.since == e })
	})
	m.advance(now)
	return true
}

// assume begins, goes on with or ends the tenure of a shard.
func (m *Machine) assume(s sqid.ShardID, now time.Time) {
	h, t := m.record.Holdings[s], &m.tenures[s]
	if !m.record.Keeper(s).Is(m.Self) {
		*t = tenure{}
		return
	}
	if t.since == h.Since {
		return
	}
	*t = tenure{since: h.Since}
	offered := m.handovers[s]
	switch {
	case h.Since == 1:
		// Nobody kept the shard before.
		t.start = now
	case h.HandedSince > 0 && offered == h.HandedSince:
		t.start = now
	case h.HandedSince > 0:
		// The keeper before has stopped; the loans that it granted go on.
		t.start = now.Add(m.Terms.Loan + m.Terms.Drift)
	}
	delete(m.handovers, s)
}

// Offer notes that a keeper, assigned a shard at the epoch since, has stopped
// and handed over its state. It reports whether the state may be of use.
func (m *Machine) Offer(s sqid.ShardID, since sqid.Epoch) bool {
	if m.record != nil && m.record.Keeper(s).Is(m.Self) {
		return false
	}
	if m.handovers == nil {
		m.handovers = make(map[sqid.ShardID]sqid.Epoch)
	}
	m.handovers[s] = since
	return true
}

// Release stops this daemon from spending a shard, for good: its tenure ends
// with the next record.
func (m *Machine) Release(s sqid.ShardID) {
	m.tenures[s].released = true
}

// PlatformRead notes that the platform, asked at sent, held the record of an
// epoch.
func (m *Machine) PlatformRead(epoch sqid.Epoch, sent, now time.Time) {
	if epoch == m.Epoch() && sent.After(m.platform) {
		m.platform = sent
	}
	m.advance(now)
}

// Heard notes that a daemon, asked at sent about an epoch, knew no epoch
// newer than `epoch`.
func (m *Machine) Heard(from Member, epoch sqid.Epoch, sent, now time.Time) {
	h := m.heard[from.Daemon]
	if from.Incarnation < h.incarnation {
		return
	}
	if from.Incarnation > h.incarnation {
		h = heard{incarnation: from.Incarnation}
	}
	h.epoch = max(h.epoch, epoch)
	if m.heard == nil {
		m.heard = make(map[sqid.DaemonID]heard)
	}
	m.heard[from.Daemon] = h
	if m.record != nil && epoch <= m.record.Epoch && m.record.Roster.Index(from) >= 0 {
		if m.witnessed == nil {
			m.witnessed = make(map[sqid.DaemonID]time.Time)
		}
		if sent.After(m.witnessed[from.Daemon]) {
			m.witnessed[from.Daemon] = sent
		}
	}
	m.advance(now)
}

// Knows reports whether a daemon is known to know of the newest record.
func (m *Machine) Knows(o Member) bool {
	return m.knows(o, m.Epoch())
}

// Tick closes earlier rosters, and drops the evidence after a pause.
func (m *Machine) Tick(now time.Time) {
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) > m.Terms.Pause {
		m.platform, m.carried, m.witnessed = time.Time{}, time.Time{}, nil
	}
	m.lastTick = now
	m.advance(now)
}

// advance starts the tenures whose earlier rosters are closed.
func (m *Machine) advance(now time.Time) {
	if m.record == nil {
		return
	}
	for s := range m.tenures {
		t := &m.tenures[s]
		if t.since == 0 || !t.start.IsZero() {
			continue
		}
		if at, ok := m.closedBefore(t.since, now); ok {
			t.start = at.Add(m.Terms.guard())
		}
	}
}

// closedBefore returns when this daemon found that no roster before an epoch
// can witness any more.
func (m *Machine) closedBefore(epoch sqid.Epoch, now time.Time) (time.Time, bool) {
	if at, ok := m.closed[epoch]; ok {
		return at, true
	}
	for _, e := range m.record.Earlier {
		if e.First < epoch && !m.closedFrom(e, min(epoch, e.Last+1), now) {
			return time.Time{}, false
		}
	}
	if m.closed == nil {
		m.closed = make(map[sqid.Epoch]time.Time)
	}
	m.closed[epoch] = now
	return now, true
}

// Closed reports whether an earlier roster can witness no more.
func (m *Machine) Closed(e Earlier, now time.Time) bool {
	return m.closedFrom(e, e.Last+1, now)
}

// closedFrom reports whether the members of an earlier roster that may not
// know of the epoch, or a newer one, are no majority. A daemon that has
// restarted is not its former life, which can neither spend nor witness.
func (m *Machine) closedFrom(e Earlier, epoch sqid.Epoch, now time.Time) bool {
	know := 0
	for _, o := range e.Roster {
		if m.knows(o, epoch) {
			know++
		}
	}
	if know >= e.Roster.Blocking() {
		return true
	}
	solo := len(e.Roster) == 1 && m.Epoch() >= epoch
	return solo && !now.Before(m.adopted.Add(m.Terms.Solo+m.Terms.Drift))
}

// knows reports whether a daemon's life has ended or knows of the epoch.
func (m *Machine) knows(o Member, epoch sqid.Epoch) bool {
	h := m.heard[o.Daemon]
	if o.Daemon == m.Self.Daemon {
		h = heard{incarnation: m.Self.Incarnation, epoch: m.Epoch()}
	}
	return h.incarnation > o.Incarnation || h.incarnation == o.Incarnation && h.epoch >= epoch
}

// Unaware returns the members of earlier rosters that can still witness and
// are not known to know of a newer epoch.
func (m *Machine) Unaware(now time.Time) []Member {
	if m.record == nil {
		return nil
	}
	var all Roster
	for _, e := range m.record.Earlier {
		if m.Closed(e, now) {
			continue
		}
		for _, o := range e.Roster {
			if !m.knows(o, e.Last+1) && all.Index(o) < 0 {
				all = append(all, o)
			}
		}
	}
	return all
}

// Settled reports whether every keeper of the data centre has the sets of
// shares of the record, and the loans of before have ended.
func (m *Machine) Settled(now time.Time) bool {
	at, ok := m.closedBefore(m.record.SharesAt, now)
	return ok && !now.Before(at.Add(m.Terms.guard()))
}

// evidence returns the time at which the epoch certainly still stood.
func (m *Machine) evidence(now time.Time) time.Time {
	at := laterOf(m.platform, m.carried)
	if m.record == nil || len(m.record.Roster) == 1 {
		return at
	}
	return laterOf(at, m.majority(now))
}

// majority returns the newest time since which a majority of the roster has
// witnessed the epoch; zero if there is none.
func (m *Machine) majority(now time.Time) time.Time {
	roster := m.record.Roster
	var newest []time.Time
	for _, o := range roster {
		at, ok := m.witnessed[o.Daemon]
		if o.Is(m.Self) {
			at, ok = now, true
		}
		if ok {
			newest = append(newest, at)
		}
	}
	if len(newest) < roster.Majority() {
		return time.Time{}
	}
	slicesSortNewestFirst(newest)
	return newest[roster.Majority()-1]
}

// FreshUntil returns when the evidence ends.
func (m *Machine) FreshUntil(now time.Time) time.Time {
	at := m.evidence(now)
	if at.IsZero() {
		return at
	}
	if m.record != nil && len(m.record.Roster) == 1 {
		return at.Add(m.Terms.Solo)
	}
	return at.Add(m.Terms.Fresh)
}

// SpendFrom returns when this daemon may begin to spend a shard, and false if
// it does not keep it or does not know yet. Before FreshUntil, Keeping holds
// from that time on.
func (m *Machine) SpendFrom(s sqid.ShardID) (time.Time, bool) {
	t := m.tenures[s]
	return t.start, t.since > 0 && !t.released && !t.start.IsZero()
}

// Keeping reports whether this daemon may spend a shard at now.
func (m *Machine) Keeping(s sqid.ShardID, now time.Time) bool {
	start, ok := m.SpendFrom(s)
	if !ok || now.Before(start) {
		return false
	}
	return now.Before(m.FreshUntil(now))
}

// Waiting reports whether this daemon waits for earlier rosters to close.
func (m *Machine) Waiting() bool {
	return slices.ContainsFunc(m.tenures[:], func(t tenure) bool { return t.since > 0 && t.start.IsZero() })
}

// Since returns the epoch at which this daemon was assigned a shard, 0 if it
// is not its keeper.
func (m *Machine) Since(s sqid.ShardID) sqid.Epoch {
	return m.tenures[s].since
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func slicesSortNewestFirst(times []time.Time) {
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
}
