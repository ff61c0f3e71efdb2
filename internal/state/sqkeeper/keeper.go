package sqkeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// Timing holds the durations of the protocol. All daemons of a fleet must use the
// same ones. The protocol is safe because a new keeper waits for an earlier one as
// long as these durations say; only MaxTickGap is in none of the waits.
type Timing struct {
	// EvidenceLifetime is how long evidence that an epoch is still current may be used.
	EvidenceLifetime time.Duration
	// SoloLifetime replaces EvidenceLifetime for a roster of one, whose only new
	// evidence is the record in the platform. Evidence that Adopt carried over
	// counts as well, and for as long.
	SoloLifetime time.Duration
	// MaxLoanTerm is the longest term of a loan of tokens to another data
	// centre.
	MaxLoanTerm time.Duration
	// MaxDrift is how far two clocks may drift apart over EvidenceLifetime and
	// MaxLoanTerm together, and over SoloLifetime.
	MaxDrift time.Duration
	// MaxTickGap is the longest gap between two ticks; after a longer one the
	// daemon assumes that its process was paused and drops its evidence.
	// Evidence also expires without a tick.
	MaxTickGap time.Duration
}

// DefaultTiming returns the durations that daemons use.
func DefaultTiming() Timing {
	return Timing{
		EvidenceLifetime: 2 * time.Second,
		SoloLifetime:     10 * time.Minute,
		MaxLoanTerm:      2 * time.Second,
		MaxDrift:         100 * time.Millisecond,
		MaxTickGap:       time.Second,
	}
}

// takeoverDelay is how long a new keeper waits after the earlier rosters have
// closed: until then an earlier keeper may have evidence, or a loan that it
// granted may run.
func (t Timing) takeoverDelay() time.Duration {
	return t.EvidenceLifetime + t.MaxLoanTerm + t.MaxDrift
}

// Machine is the state machine by which one daemon decides which shards it may
// spend. It does no I/O and reads no clock: records, answers and monotonic
// times are passed in. It is not safe for concurrent use.
type Machine struct {
	Self   Member
	Timing Timing

	// record is the newest record known, adopted at adoptedAt.
	record    *Record
	adoptedAt time.Time
	// platformReadAt is when the newest of the reads of the platform was sent
	// that returned the epoch of record at that time. Adopt keeps it.
	platformReadAt time.Time
	// carriedEvidence is the result of confirmedAt just before record was
	// adopted. It is never before the platformReadAt of that time, and also
	// keeps the evidence of a majority when Adopt clears witnessedAt.
	carriedEvidence time.Time
	// witnessedAt is, by member of the roster, when the newest question was
	// sent to which the member answered that it knew no newer epoch.
	witnessedAt map[sqid.DaemonID]time.Time
	// reports are the newest reports of all daemons.
	reports map[sqid.DaemonID]epochReport
	// closedAt is when all rosters before an epoch were found to be closed.
	closedAt   map[sqid.Epoch]time.Time
	ownerships [ShardCount]ownership
	lastTick   time.Time
	// handedOver has the shards that their keepers have handed over to this
	// daemon, with the epochs at which those keepers were assigned them.
	handedOver map[sqid.ShardID]sqid.Epoch
}

// epochReport is the newest incarnation and epoch that a daemon has reported.
type epochReport struct {
	incarnation sqid.Incarnation
	epoch       sqid.Epoch
}

// ownership is this daemon's state as keeper of one shard; it is zero for a
// shard of another daemon.
type ownership struct {
	assignedAt sqid.Epoch
	// released is set once the daemon has stopped spending the shard.
	released bool
	// spendFrom is when the daemon may begin to spend; it is zero while earlier
	// rosters are still open.
	spendFrom time.Time
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

// Adopt makes r the current record if it is newer, and reports whether it was.
// Evidence gathered so far stays valid: it is older than the closing of any
// roster that must close before another daemon takes over a shard of this one.
func (m *Machine) Adopt(r *Record, now time.Time) bool {
	if r.Epoch <= m.Epoch() {
		return false
	}
	m.carriedEvidence = m.confirmedAt(now)
	if m.record == nil || !m.record.Roster.sameMembers(r.Roster) {
		m.witnessedAt = nil
	}
	m.record, m.adoptedAt = r, now
	for s := range sqid.ShardID(ShardCount) {
		m.updateOwnership(s, now)
	}
	maps.DeleteFunc(m.closedAt, func(e sqid.Epoch, _ time.Time) bool {
		return e != r.SharesAt && !slices.ContainsFunc(m.ownerships[:], func(t ownership) bool { return t.assignedAt == e })
	})
	m.startOwnerships(now)
	return true
}

// updateOwnership starts, continues or ends the ownership of a shard as the
// current record says. If the previous keeper may still be spending, it leaves
// spendFrom zero, for startOwnerships to set.
func (m *Machine) updateOwnership(s sqid.ShardID, now time.Time) {
	a, t := m.record.Assignments[s], &m.ownerships[s]
	if !m.record.Keeper(s).Is(m.Self) {
		*t = ownership{}
		return
	}
	if t.assignedAt == a.Since {
		return
	}
	*t = ownership{assignedAt: a.Since}
	offered := m.handedOver[s]
	switch {
	case a.Since == 1:
		// The shard had no keeper before.
		t.spendFrom = now
	case a.HandedSince > 0 && offered == a.HandedSince:
		t.spendFrom = now
	case a.HandedSince > 0:
		// The previous keeper has stopped, but its state did not arrive here:
		// the loans that it granted may still run.
		t.spendFrom = now.Add(m.Timing.MaxLoanTerm + m.Timing.MaxDrift)
	}
	delete(m.handedOver, s)
}

// NoteHandover notes that a keeper, assigned the shard at the epoch since, has stopped
// spending it and has handed its state over to this daemon. It returns false
// if this daemon keeps the shard already and has no use for the state.
func (m *Machine) NoteHandover(s sqid.ShardID, since sqid.Epoch) bool {
	if m.record != nil && m.record.Keeper(s).Is(m.Self) {
		return false
	}
	if m.handedOver == nil {
		m.handedOver = make(map[sqid.ShardID]sqid.Epoch)
	}
	m.handedOver[s] = since
	return true
}

// Release stops this daemon from spending a shard. Only a later record that
// assigns the shard anew allows it again.
func (m *Machine) Release(s sqid.ShardID) {
	m.ownerships[s].released = true
}

// NotePlatformRead notes that a read of the platform, sent at sent, returned the
// record of epoch.
func (m *Machine) NotePlatformRead(epoch sqid.Epoch, sent, now time.Time) {
	if epoch == m.Epoch() && sent.After(m.platformReadAt) {
		m.platformReadAt = sent
	}
	m.startOwnerships(now)
}

// NoteAnswer notes a daemon's answer to a question sent at sent: it knew no epoch
// newer than epoch. Answers of earlier incarnations are ignored.
func (m *Machine) NoteAnswer(from Member, epoch sqid.Epoch, sent, now time.Time) {
	report := m.reports[from.Daemon]
	if from.Incarnation < report.incarnation {
		return
	}
	if from.Incarnation > report.incarnation {
		report = epochReport{incarnation: from.Incarnation}
	}
	report.epoch = max(report.epoch, epoch)
	if m.reports == nil {
		m.reports = make(map[sqid.DaemonID]epochReport)
	}
	m.reports[from.Daemon] = report
	if m.record != nil && epoch <= m.record.Epoch && m.record.Roster.Index(from) >= 0 {
		if m.witnessedAt == nil {
			m.witnessedAt = make(map[sqid.DaemonID]time.Time)
		}
		if sent.After(m.witnessedAt[from.Daemon]) {
			m.witnessedAt[from.Daemon] = sent
		}
	}
	m.startOwnerships(now)
}

// KnowsNewest reports whether a daemon is known to have the newest record, or to
// have restarted since.
func (m *Machine) KnowsNewest(o Member) bool {
	return m.knowsEpoch(o, m.Epoch())
}

// Tick starts the ownerships whose earlier rosters have closed. After a pause
// of the process it first drops all evidence, also what has not expired yet.
func (m *Machine) Tick(now time.Time) {
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) > m.Timing.MaxTickGap {
		m.platformReadAt, m.carriedEvidence, m.witnessedAt = time.Time{}, time.Time{}, nil
	}
	m.lastTick = now
	m.startOwnerships(now)
}

// startOwnerships sets spendFrom of the ownerships whose earlier rosters are all
// closed.
func (m *Machine) startOwnerships(now time.Time) {
	if m.record == nil {
		return
	}
	for s := range m.ownerships {
		t := &m.ownerships[s]
		if t.assignedAt == 0 || !t.spendFrom.IsZero() {
			continue
		}
		if at, ok := m.earlierClosedAt(t.assignedAt, now); ok {
			t.spendFrom = at.Add(m.Timing.takeoverDelay())
		}
	}
}

// earlierClosedAt returns when this daemon found all rosters before an epoch
// closed, and false if one is still open.
func (m *Machine) earlierClosedAt(epoch sqid.Epoch, now time.Time) (time.Time, bool) {
	if at, ok := m.closedAt[epoch]; ok {
		return at, true
	}
	for _, e := range m.record.Earlier {
		if e.First < epoch && !m.isClosed(e, min(epoch, e.Last+1), now) {
			return time.Time{}, false
		}
	}
	if m.closedAt == nil {
		m.closedAt = make(map[sqid.Epoch]time.Time)
	}
	m.closedAt[epoch] = now
	return now, true
}

// Closed reports whether an earlier roster can no longer confirm its epochs.
func (m *Machine) Closed(e EarlierRoster, now time.Time) bool {
	return m.isClosed(e, e.Last+1, now)
}

// isClosed reports whether so many members of an earlier roster know of epoch,
// or of a newer one, that the others are no majority. A member whose daemon has
// restarted counts as one that knows: the old process can neither spend nor
// confirm an epoch. A roster of one also closes after SoloLifetime and MaxDrift,
// when its member's evidence has expired.
func (m *Machine) isClosed(e EarlierRoster, epoch sqid.Epoch, now time.Time) bool {
	know := 0
	for _, o := range e.Roster {
		if m.knowsEpoch(o, epoch) {
			know++
		}
	}
	if know >= e.Roster.Blocking() {
		return true
	}
	solo := len(e.Roster) == 1 && m.Epoch() >= epoch
	return solo && !now.Before(m.adoptedAt.Add(m.Timing.SoloLifetime+m.Timing.MaxDrift))
}

// knowsEpoch reports whether a member is known to have epoch or a newer one, or
// whether its daemon has restarted since.
func (m *Machine) knowsEpoch(o Member, epoch sqid.Epoch) bool {
	report := m.reports[o.Daemon]
	if o.Daemon == m.Self.Daemon {
		report = epochReport{incarnation: m.Self.Incarnation, epoch: m.Epoch()}
	}
	return report.incarnation > o.Incarnation || report.incarnation == o.Incarnation && report.epoch >= epoch
}

// Unaware returns the members of the open earlier rosters that are not known
// to have a newer epoch.
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
			if !m.knowsEpoch(o, e.Last+1) && all.Index(o) < 0 {
				all = append(all, o)
			}
		}
	}
	return all
}

// Settled reports whether every keeper of the data centre uses the record's
// sets of shares and all loans granted under earlier sets have ended.
func (m *Machine) Settled(now time.Time) bool {
	at, ok := m.earlierClosedAt(m.record.SharesAt, now)
	return ok && !now.Before(at.Add(m.Timing.takeoverDelay()))
}

// confirmedAt returns the newest time at which the epoch that this daemon then
// knew is known to have been current; zero if there is none. That epoch may be
// older than the record's, since Adopt keeps evidence.
func (m *Machine) confirmedAt(now time.Time) time.Time {
	at := laterOf(m.platformReadAt, m.carriedEvidence)
	if m.record == nil || len(m.record.Roster) == 1 {
		return at
	}
	return laterOf(at, m.majorityWitnessedAt(now))
}

// majorityWitnessedAt returns the newest time at or after which each member of
// some majority of the roster has confirmed the epoch; zero if there is none.
// This daemon counts as having confirmed it at now.
func (m *Machine) majorityWitnessedAt(now time.Time) time.Time {
	roster := m.record.Roster
	var newest []time.Time
	for _, o := range roster {
		at, ok := m.witnessedAt[o.Daemon]
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
	sortNewestFirst(newest)
	return newest[roster.Majority()-1]
}

// EvidenceUntil returns when the evidence on which this daemon may spend expires;
// it is zero if there is none. The evidence may be for an earlier epoch, which
// Adopt explains.
func (m *Machine) EvidenceUntil(now time.Time) time.Time {
	at := m.confirmedAt(now)
	if at.IsZero() {
		return at
	}
	if m.record != nil && len(m.record.Roster) == 1 {
		return at.Add(m.Timing.SoloLifetime)
	}
	return at.Add(m.Timing.EvidenceLifetime)
}

// SpendFrom returns when this daemon may begin to spend a shard, and false if
// it does not keep the shard or the time is not known yet. From that time on,
// MaySpend is true until EvidenceUntil.
func (m *Machine) SpendFrom(s sqid.ShardID) (time.Time, bool) {
	t := m.ownerships[s]
	return t.spendFrom, t.assignedAt > 0 && !t.released && !t.spendFrom.IsZero()
}

// MaySpend reports whether this daemon may spend a shard at now.
func (m *Machine) MaySpend(s sqid.ShardID, now time.Time) bool {
	start, ok := m.SpendFrom(s)
	if !ok || now.Before(start) {
		return false
	}
	return now.Before(m.EvidenceUntil(now))
}

// Waiting reports whether a shard assigned to this daemon waits for earlier
// rosters to close.
func (m *Machine) Waiting() bool {
	return slices.ContainsFunc(m.ownerships[:], func(t ownership) bool { return t.assignedAt > 0 && t.spendFrom.IsZero() })
}

// Since returns the epoch at which this daemon was assigned a shard, 0 if it
// does not keep the shard.
func (m *Machine) Since(s sqid.ShardID) sqid.Epoch {
	return m.ownerships[s].assignedAt
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func sortNewestFirst(times []time.Time) {
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
}
