package sqmember

import (
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

// source says where news came from.
type source struct {
	from    sqid.DaemonID
	address string
	// exchange is set for rows that the sender holds of others, which may be
	// older than what a rumour says.
	exchange bool
	// quiet rows are not passed on.
	quiet bool
}

// local says whether news is of this daemon's data centre, so that the relays
// here have to push it to the others.
func (m *Member) local(src source) bool {
	if src.from == m.self.ID {
		return true
	}
	r, ok := m.rows.Get(src.from)
	return ok && r.DataCentre == m.self.DataCentre
}

func (m *Member) acceptWire(w *sqmemberwire.Row, src source) {
	if !validRow(w) {
		return
	}
	r := rowOf(w)
	if r.ID == m.self.ID {
		m.aboutSelf(r)
		return
	}
	// Only its own data centre probes a daemon.
	if r.DataCentre != m.self.DataCentre && r.State == Suspect {
		r.State = Alive
	}
	m.accept(r, sqid.DaemonID(w.GetBy()), src)
}

func (m *Member) accept(r Row, by sqid.DaemonID, src source) {
	old, had := m.rows.Get(r.ID)
	switch {
	case !had && !r.live() && src.exchange:
		return
	case had && !r.supersedes(old):
		if r.State == Suspect && old.State == Suspect && r.Incarnation == old.Incarnation && r.Version == old.Version {
			m.confirm(old, by)
		}
		return
	case had && m.hearsay(r, old, src):
		m.suspect(old, src.from)
		return
	}
	m.put(r)
	if r.DataCentre == m.self.DataCentre {
		m.follow(r, by)
	}
	if !src.quiet {
		m.spreadRow(r, by, src)
	}
}

// hearsay says whether r is a death that another daemon merely holds, perhaps
// from when the fleet was cut in two. The daemon gets the time to refute it.
func (m *Member) hearsay(r, old Row, src source) bool {
	return !m.off.hearsay && src.exchange && r.State == Dead && old.live() &&
		r.Incarnation == old.Incarnation && r.DataCentre == m.self.DataCentre
}

// follow keeps the probes and suspicions in step with a row that was taken in.
func (m *Member) follow(r Row, by sqid.DaemonID) {
	switch r.State {
	case Suspect:
		m.beginSuspicion(r, by)
	case Alive:
		m.probes.endSuspicion(r.ID)
		m.probes.insert(r.ID, m.Rand)
	default:
		m.probes.endSuspicion(r.ID)
	}
}

// put sets a row without telling anyone.
func (m *Member) put(r Row) {
	old, had := m.rows.Get(r.ID)
	m.rows.Put(r.ID, r)
	m.view.replace(old, had, r, m.now)
	r.mirror(m.Targets, old)
}

// spreadRow tells the data centre of a row, and the other data centres if
// the row is of this one.
func (m *Member) spreadRow(r Row, by sqid.DaemonID, src source) {
	w := r.wire()
	if r.State == Suspect {
		w.By = string(by)
	}
	m.rumours.put(rumour{key: "row " + string(r.ID), row: w})
	if r.DataCentre == m.self.DataCentre && r.State != Suspect && m.local(src) {
		m.relays.across = append(m.relays.across, rumour{row: w})
	}
}

// renew changes this daemon's own row and tells the others.
func (m *Member) renew(f func(r *Row)) {
	m.self.Version++
	f(&m.self)
	m.put(m.self)
	m.spreadRow(m.self, "", source{from: m.self.ID})
}

// aboutSelf hears what others hold of this daemon.
func (m *Member) aboutSelf(r Row) {
	self := m.self
	switch {
	case r.Incarnation < self.Incarnation:
	case m.twin(r):
		m.meetTwin(r)
	case r.Incarnation > self.Incarnation:
		m.outlive(r)
	case m.leaving:
	case r.State == Left:
		m.outlive(r)
	case r.live() && r.State == Alive && r.Version <= self.Version:
	case r.Version >= self.Version:
		m.refute(r)
	}
}

// refute outdoes a wrong row of this incarnation.
func (m *Member) refute(r Row) {
	if r.State != Alive {
		m.probes.worsen()
	}
	m.self.Version = r.Version
	m.renew(func(*Row) {})
}

// outlive takes an incarnation above one that the fleet still holds.
func (m *Member) outlive(r Row) {
	m.renew(func(self *Row) {
		self.Incarnation = r.Incarnation + 1
		self.Version = 1
	})
}

// twin says whether r is of another live daemon with this one's name.
func (m *Member) twin(r Row) bool {
	return r.live() && r.PeerAddress != m.self.PeerAddress
}

// meetTwin resolves which of two daemons with one name gives way: the one
// with the lower incarnation, which reports it once for each incarnation.
func (m *Member) meetTwin(r Row) {
	if r.Incarnation == m.self.Incarnation && m.self.PeerAddress > r.PeerAddress {
		m.outlive(r)
		return
	}
	if m.replaced >= r.Incarnation {
		return
	}
	m.replaced = r.Incarnation
	if f := m.OnReplaced; f != nil {
		m.calls.add(func() { f(r) })
	}
}

// tickForget drops rows that have not been live for long.
func (m *Member) tickForget() {
	for id, since := range m.view.gone {
		if m.now.Sub(since) < m.Periods.Forget || id == m.self.ID {
			continue
		}
		delete(m.view.gone, id)
		m.rows.Delete(id)
	}
}
