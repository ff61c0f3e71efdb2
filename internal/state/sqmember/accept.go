package sqmember

import (
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

// source tells where a row or fact came from.
type source struct {
	daemon  sqid.DaemonID
	address string
	// viaExchange is set for rows from another daemon's table, which may be older
	// than those that gossip spreads.
	viaExchange bool
	// noGossip is set for rows that are not to be passed on.
	noGossip bool
}

// fromOwnDataCentre reports whether an update comes from this data centre, so
// that the relays here have to push it to the others.
func (m *Member) fromOwnDataCentre(src source) bool {
	if src.daemon == m.self.ID {
		return true
	}
	r, ok := m.rows.Get(src.daemon)
	return ok && r.DataCentre == m.self.DataCentre
}

func (m *Member) acceptWireRow(w *sqmemberwire.Row, src source) {
	if !validWireRow(w) {
		return
	}
	r := rowFromWire(w)
	if r.ID == m.self.ID {
		m.acceptSelf(r)
		return
	}
	// Daemons are probed only within their own data centre, so a suspicion
	// matters only there.
	if r.DataCentre != m.self.DataCentre && r.State == Suspect {
		r.State = Alive
	}
	m.acceptRow(r, sqid.DaemonID(w.GetBy()), src)
}

// acceptRow takes over a row of another daemon if it supersedes the one held.
// by is the daemon that suspects it, if the row is suspect.
func (m *Member) acceptRow(r Row, by sqid.DaemonID, src source) {
	old, existed := m.rows.Get(r.ID)
	switch {
	case !existed && !r.live() && src.viaExchange:
		return
	case existed && !r.supersedes(old):
		if r.State == Suspect && old.State == Suspect && r.Incarnation == old.Incarnation && r.Version == old.Version {
			m.confirmSuspicion(old, by)
		}
		return
	case existed && m.refutableDeath(r, old, src):
		m.markSuspect(old, src.daemon)
		return
	}
	m.putRow(r)
	if r.DataCentre == m.self.DataCentre {
		m.updateProbing(r, by)
	}
	if !src.noGossip {
		m.gossipRow(r, by, src)
	}
}

// refutableDeath reports whether r is a death from another daemon's table at
// the incarnation of a live row. It may date from a healed network partition,
// so the daemon gets the time of a suspicion to refute it.
func (m *Member) refutableDeath(r, old Row, src source) bool {
	return !m.disabled.refutableDeath && src.viaExchange && r.State == Dead && old.live() &&
		r.Incarnation == old.Incarnation && r.DataCentre == m.self.DataCentre
}

// updateProbing updates the suspicions and the probe round for an accepted row.
func (m *Member) updateProbing(r Row, by sqid.DaemonID) {
	switch r.State {
	case Suspect:
		m.startSuspicion(r, by)
	case Alive:
		m.probes.endSuspicion(r.ID)
		m.probes.insertIntoRound(r.ID, m.Rand)
	default:
		m.probes.endSuspicion(r.ID)
	}
}

// putRow stores a row without gossiping it.
func (m *Member) putRow(r Row) {
	old, existed := m.rows.Get(r.ID)
	m.rows.Put(r.ID, r)
	m.view.replaceRow(old, existed, r, m.now)
	r.syncTargets(m.Targets, old)
}

// gossipRow queues a row for gossip within the data centre, and for a push to
// the other data centres if it is a row of this one.
func (m *Member) gossipRow(r Row, by sqid.DaemonID, src source) {
	w := r.wire()
	if r.State == Suspect {
		w.By = string(by)
	}
	m.updates.put(update{key: "row " + string(r.ID), row: w})
	if r.DataCentre == m.self.DataCentre && r.State != Suspect && m.fromOwnDataCentre(src) {
		m.relays.outbound = append(m.relays.outbound, update{row: w})
	}
}

// updateSelf changes this daemon's own row, raises its version and gossips it.
func (m *Member) updateSelf(f func(r *Row)) {
	m.self.Version++
	f(&m.self)
	m.putRow(m.self)
	m.gossipRow(m.self, "", source{daemon: m.self.ID})
}

// acceptSelf handles a row of this daemon that another daemon sent.
func (m *Member) acceptSelf(r Row) {
	self := m.self
	switch {
	case r.Incarnation < self.Incarnation:
	case m.nameConflict(r):
		m.resolveNameConflict(r)
	case r.Incarnation > self.Incarnation:
		m.raiseIncarnation(r)
	case m.leaving:
	case r.State == Left:
		m.raiseIncarnation(r)
	case r.live() && r.State == Alive && r.Version <= self.Version:
	case r.Version >= self.Version:
		m.refute(r)
	}
}

// refute supersedes a wrong row of this daemon at the same incarnation.
func (m *Member) refute(r Row) {
	if r.State != Alive {
		m.probes.degradeHealth()
	}
	m.self.Version = r.Version
	m.updateSelf(func(*Row) {})
}

// raiseIncarnation takes an incarnation above that of a row that the fleet
// still holds from an earlier run.
func (m *Member) raiseIncarnation(r Row) {
	m.updateSelf(func(self *Row) {
		self.Incarnation = r.Incarnation + 1
		self.Version = 1
	})
}

// nameConflict reports whether r is the row of another live daemon with this
// one's name.
func (m *Member) nameConflict(r Row) bool {
	return r.live() && r.PeerAddress != m.self.PeerAddress
}

// resolveNameConflict decides which of two daemons with the same name keeps it.
// The one with the higher incarnation does, and at the same incarnation the one
// with the higher peer address. The other calls OnReplaced once for each
// incarnation.
func (m *Member) resolveNameConflict(r Row) {
	if r.Incarnation == m.self.Incarnation && m.self.PeerAddress > r.PeerAddress {
		m.raiseIncarnation(r)
		return
	}
	if m.reportedIncarnation >= r.Incarnation {
		return
	}
	m.reportedIncarnation = r.Incarnation
	if f := m.OnReplaced; f != nil {
		m.callbacks.add(func() { f(r) })
	}
}

// reapTombstones drops the rows of daemons that have been dead or left for
// longer than Timing.TombstoneTTL.
func (m *Member) reapTombstones() {
	for id, diedAt := range m.view.tombstones {
		if m.now.Sub(diedAt) < m.Timing.TombstoneTTL || id == m.self.ID {
			continue
		}
		delete(m.view.tombstones, id)
		m.rows.Delete(id)
	}
}
