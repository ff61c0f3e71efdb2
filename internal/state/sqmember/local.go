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
	// maxRowBytes bounds the encoded row of this daemon, which must fit into a
	// datagram.
	maxRowBytes = 1000
	// minHintInterval is the least time between two hints about the same daemon.
	minHintInterval = time.Second
)

// SetTarget announces a target of this daemon or updates it. Only the name,
// service, slots and draining of row are used. It fails if the daemon's row
// would become too large for a datagram.
func (m *Member) SetTarget(row sqtarget.Row) error {
	t := Target{ID: row.ID.Target, Service: row.Service, Slots: row.Slots, Draining: row.Draining}
	var err error
	m.changeLocal(func() {
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
		if n := proto.Size(next.wire()); n > maxRowBytes {
			err = errors.Errorf("row with all targets takes %d bytes, more than the limit of %d", n, maxRowBytes)
			return
		}
		m.updateSelf(func(r *Row) { r.Targets = targets })
		if t.Draining {
			m.broadcastSelf()
		}
	})
	return err
}

// RemoveTarget withdraws a target of this daemon.
func (m *Member) RemoveTarget(id sqid.TargetID) {
	m.changeLocal(func() {
		matches := func(t Target) bool { return t.ID == id }
		if slices.ContainsFunc(m.self.Targets, matches) {
			remaining := slices.DeleteFunc(slices.Clone(m.self.Targets), matches)
			m.updateSelf(func(r *Row) { r.Targets = remaining })
			m.broadcastSelf()
		}
	})
}

// DrainTarget marks a target of this daemon as draining.
func (m *Member) DrainTarget(id sqid.TargetID) {
	m.changeLocal(func() {
		i := slices.IndexFunc(m.self.Targets, func(t Target) bool { return t.ID == id })
		if i < 0 || m.self.Targets[i].Draining {
			return
		}
		targets := slices.Clone(m.self.Targets)
		targets[i].Draining = true
		m.updateSelf(func(r *Row) { r.Targets = targets })
		m.broadcastSelf()
	})
}

// Leave announces that this daemon stops. The others stop using its targets;
// this incarnation can't rejoin.
func (m *Member) Leave() {
	m.changeLocal(func() {
		if m.leaving {
			return
		}
		m.leaving = true
		m.updateSelf(func(r *Row) { r.State, r.Targets = Left, nil })
		m.broadcastSelf()
	})
}

// broadcastSelf sends this daemon's row directly to all daemons of its data
// centre, for changes after which its targets must get no more calls. Gossip
// reaches the daemons that this misses.
func (m *Member) broadcastSelf() {
	for _, id := range m.view.ranked(m.self.DataCentre) {
		r, ok := m.rows.Get(id)
		if !ok || id == m.self.ID {
			continue
		}
		d := m.datagram(sqmemberwire.Kind_KIND_GOSSIP)
		d.Rows = append(d.Rows, m.self.wire())
		m.outbox = append(m.outbox, Message{Address: r.PeerAddress, Datagram: d})
	}
}

// Join requests an exchange with the daemons at some addresses. It returns the
// messages to send.
func (m *Member) Join(now time.Time, addresses []string) []Message {
	finish := m.enter(now)
	for _, a := range addresses {
		if a != m.self.PeerAddress {
			m.outbox = append(m.outbox, Message{Address: a, Exchange: m.exchangeRequest(true, true)})
		}
	}
	return finish()
}

// UnknownAddresses returns the addresses at which no live daemon is known.
func (m *Member) UnknownAddresses(addresses []string) []string {
	known := make(map[string]bool)
	m.Each(func(r Row) bool {
		known[r.PeerAddress] = known[r.PeerAddress] || r.live()
		return true
	})
	known[m.Self().PeerAddress] = true
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return known[a] })
}

// Alone reports whether no other live daemon is known.
func (m *Member) Alone() bool {
	self := m.Self().ID
	alone := true
	m.Each(func(r Row) bool {
		alone = r.ID == self || !r.live()
		return alone
	})
	return alone
}

// ReportFailure reports that the connection to a daemon was refused or broken. The
// daemon is probed at once, through the relays of its data centre if that is
// another one.
func (m *Member) ReportFailure(id sqid.DaemonID) {
	m.changeLocal(func() { m.probeHinted(id) })
}

// probeHinted probes a daemon of this data centre, or sends a hint to the
// relays of its own.
func (m *Member) probeHinted(id sqid.DaemonID) {
	r, ok := m.rows.Get(id)
	if !ok || r.State != Alive || id == m.self.ID || !m.allowHint(id) {
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
			m.outbox = append(m.outbox, Message{Address: relay.PeerAddress, Datagram: d})
		}
	}
}

// allowHint reports whether the last hint about a daemon is at least
// minHintInterval old, and records a new one if so.
func (m *Member) allowHint(id sqid.DaemonID) bool {
	for other, at := range m.lastHint {
		if m.now.Sub(at) >= minHintInterval {
			delete(m.lastHint, other)
		}
	}
	if _, ok := m.lastHint[id]; ok {
		return false
	}
	if m.lastHint == nil {
		m.lastHint = make(map[sqid.DaemonID]time.Time)
	}
	m.lastHint[id] = m.now
	return true
}
