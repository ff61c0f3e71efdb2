package sqmember

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

const (
	// rowBytes bounds a daemon's row, which must fit into a datagram.
	rowBytes = 1000
	// hintPeriod is the least time between two hints about the same daemon.
	hintPeriod = time.Second
)

// SetTarget announces a target of this daemon, of which the name, service,
// slots and draining are taken, or renews it. It fails if the daemon has too
// many targets for its row to be spread.
func (m *Member) SetTarget(row sqtarget.Row) error {
	t := Target{ID: row.ID.Target, Service: row.Service, Slots: row.Slots, Draining: row.Draining}
	var err error
	m.change(func() {
		targets := slices.Clone(m.self.Targets)
		i := slices.IndexFunc(targets, func(o Target) bool { return o.ID == t.ID })
		switch {
		case i < 0:
			targets = append(targets, t)
		case targets[i] == t:
			return
		default:
			targets[i] = t
		}
		next := m.self
		next.Targets = targets
		if n := proto.Size(next.wire()); n > rowBytes {
			err = errors.Errorf("targets need %d bytes of %d that can be spread", n, rowBytes)
			return
		}
		m.renew(func(r *Row) { r.Targets = targets })
		if t.Draining {
			m.tellAll()
		}
	})
	return err
}

// RemoveTarget withdraws a target of this daemon.
func (m *Member) RemoveTarget(id sqid.TargetID) {
	m.change(func() {
		gone := func(t Target) bool { return t.ID == id }
		if slices.ContainsFunc(m.self.Targets, gone) {
			left := slices.DeleteFunc(slices.Clone(m.self.Targets), gone)
			m.renew(func(r *Row) { r.Targets = left })
			m.tellAll()
		}
	})
}

// Drain marks a target of this daemon as draining.
func (m *Member) Drain(id sqid.TargetID) {
	m.change(func() {
		i := slices.IndexFunc(m.self.Targets, func(t Target) bool { return t.ID == id })
		if i < 0 || m.self.Targets[i].Draining {
			return
		}
		targets := slices.Clone(m.self.Targets)
		targets[i].Draining = true
		m.renew(func(r *Row) { r.Targets = targets })
		m.tellAll()
	})
}

// Leave announces that this daemon stops. The others stop using its targets;
// this incarnation can't come back.
func (m *Member) Leave() {
	m.change(func() {
		if m.leaving {
			return
		}
		m.leaving = true
		m.renew(func(r *Row) { r.State, r.Targets = Left, nil })
		m.tellAll()
	})
}

// tellAll sends this daemon's row to all of its data centre, for changes after
// which nobody may send it calls. Rumours reach those whom this misses.
func (m *Member) tellAll() {
	for _, id := range m.view.ranked(m.self.DataCentre) {
		r, ok := m.rows.Get(id)
		if !ok || id == m.self.ID {
			continue
		}
		d := m.datagram(sqmemberwire.Kind_KIND_GOSSIP)
		d.Rows = append(d.Rows, m.self.wire())
		m.out = append(m.out, Send{Address: r.PeerAddress, Datagram: d})
	}
}

// Join asks the daemons at some addresses for what they hold. It returns the
// messages to be sent.
func (m *Member) Join(now time.Time, addresses []string) []Send {
	leave := m.enter(now)
	for _, a := range addresses {
		if a != m.self.PeerAddress {
			m.out = append(m.out, Send{Address: a, Exchange: m.exchangeRequest(true, true)})
		}
	}
	return leave()
}

// Strangers returns those addresses at which no live daemon is known.
func (m *Member) Strangers(addresses []string) []string {
	known := make(map[string]bool)
	m.Each(func(r Row) bool {
		known[r.PeerAddress] = known[r.PeerAddress] || r.live()
		return true
	})
	known[m.Self().PeerAddress] = true
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return known[a] })
}

// Alone says whether no other live daemon is known.
func (m *Member) Alone() bool {
	self := m.Self().ID
	alone := true
	m.Each(func(r Row) bool {
		alone = r.ID == self || !r.live()
		return alone
	})
	return alone
}

// Suspect says that the connection to a daemon was refused or broke. It is
// probed at once, if need be by the relays of its data centre.
func (m *Member) Suspect(id sqid.DaemonID) {
	m.change(func() { m.hint(id) })
}

func (m *Member) hint(id sqid.DaemonID) {
	r, ok := m.rows.Get(id)
	if !ok || r.State != Alive || id == m.self.ID || !m.hintDue(id) {
		return
	}
	if r.DataCentre == m.self.DataCentre {
		m.probe(id)
		return
	}
	for _, relay := range m.relaysOf(r.DataCentre) {
		if relay.ID != id {
			d := m.datagram(sqmemberwire.Kind_KIND_HINT)
			d.Target = string(id)
			m.out = append(m.out, Send{Address: relay.PeerAddress, Datagram: d})
		}
	}
}

// hintDue says whether the last hint about a daemon is old enough.
func (m *Member) hintDue(id sqid.DaemonID) bool {
	for other, at := range m.hinted {
		if m.now.Sub(at) >= hintPeriod {
			delete(m.hinted, other)
		}
	}
	if _, ok := m.hinted[id]; ok {
		return false
	}
	if m.hinted == nil {
		m.hinted = make(map[sqid.DaemonID]time.Time)
	}
	m.hinted[id] = m.now
	return true
}
