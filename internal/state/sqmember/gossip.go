package sqmember

import (
	"cmp"
	"math/bits"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

const (
	// maxDatagramBytes bounds a datagram without its IP and UDP headers.
	maxDatagramBytes = 1200
	// fieldBytes is the encoded size of a repeated field's tag and length.
	fieldBytes = 3
	// gossipPeers is the fan-out of each round of gossip.
	gossipPeers = 3
	// maxUpdates bounds the update queue.
	maxUpdates = 512
	// extraTransmits is how many times an update is sent beyond the binary
	// logarithm of the number of daemons.
	extraTransmits = 2
)

// update is a row or a fact that is gossiped a bounded number of times.
type update struct {
	key       string
	row       *sqmemberwire.Row
	fact      *sqmemberwire.Fact
	size      int
	transmits int
}

func (r update) bytes() int {
	if r.row != nil {
		return proto.Size(r.row) + fieldBytes
	}
	return proto.Size(r.fact) + fieldBytes
}

func (r update) addTo(d *sqmemberwire.Datagram) {
	if r.row != nil {
		d.Rows = append(d.Rows, r.row)
		return
	}
	d.Facts = append(d.Facts, r.fact)
}

// updateQueue holds the updates to piggyback.
type updateQueue struct {
	// pending is in order of the number of transmits, fewest first.
	pending []update
	// round holds the daemons not yet gossiped to in the present round.
	round []sqid.DaemonID
}

// put queues an update and drops an older one with the same key.
func (q *updateQueue) put(r update) {
	q.pending = slices.DeleteFunc(q.pending, func(o update) bool { return o.key == r.key })
	r.size = r.bytes()
	q.pending = slices.Insert(q.pending, 0, r)
	if len(q.pending) > maxUpdates {
		q.pending = q.pending[:maxUpdates]
	}
}

// fill adds to a datagram as many updates as fit, those with the fewest
// transmits first, and drops the updates that reached limit transmits.
func (q *updateQueue) fill(d *sqmemberwire.Datagram, limit int) {
	space := maxDatagramBytes - proto.Size(d)
	for i := range q.pending {
		if r := &q.pending[i]; r.size <= space {
			r.addTo(d)
			space -= r.size
			r.transmits++
		}
	}
	q.pending = slices.DeleteFunc(q.pending, func(r update) bool { return r.transmits >= limit })
	slices.SortStableFunc(q.pending, func(a, b update) int { return cmp.Compare(a.transmits, b.transmits) })
}

// transmitLimit is the number of times that this daemon sends an update.
func (m *Member) transmitLimit() int {
	return extraTransmits + bits.Len(uint(len(m.view.ranked(m.self.DataCentre))))
}

// gossip sends the pending updates to a few daemons of the data centre.
func (m *Member) gossip() {
	if len(m.updates.pending) == 0 {
		return
	}
	peers := m.gossipTargets()
	if len(peers) == 0 {
		m.updates.pending = nil
		return
	}
	for _, r := range peers {
		if len(m.updates.pending) > 0 {
			m.send(r.PeerAddress, m.datagram(sqmemberwire.Kind_KIND_GOSSIP))
		}
	}
}

// gossipTargets returns the next daemons to gossip to. It goes through all in a
// random order, so that all get an update before one gets it twice.
func (m *Member) gossipTargets() []Row {
	var targets []Row
	for refilled := false; len(targets) < gossipPeers; {
		if len(m.updates.round) == 0 {
			if refilled {
				break
			}
			refilled = true
			m.updates.round = m.shuffledPeers()
			continue
		}
		id := m.updates.round[0]
		m.updates.round = m.updates.round[1:]
		chosen := slices.ContainsFunc(targets, func(r Row) bool { return r.ID == id })
		if r, ok := m.rows.Get(id); ok && r.live() && id != m.self.ID && !chosen {
			targets = append(targets, r)
		}
	}
	return targets
}

// shuffledPeers returns the live daemons of the data centre in a random order,
// including this one.
func (m *Member) shuffledPeers() []sqid.DaemonID {
	ids := slices.Clone(m.view.ranked(m.self.DataCentre))
	m.Rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

func (m *Member) isSelf(id sqid.DaemonID) bool {
	return id == m.self.ID
}

// datagram returns a new datagram of a kind from this daemon.
func (m *Member) datagram(kind sqmemberwire.Kind) *sqmemberwire.Datagram {
	return &sqmemberwire.Datagram{
		Fleet: m.fleetHash, From: string(m.self.ID), Incarnation: uint64(m.self.Incarnation), Kind: kind,
	}
}

// send piggybacks updates on a datagram and puts it into the outbox.
func (m *Member) send(address string, d *sqmemberwire.Datagram) {
	m.updates.fill(d, m.transmitLimit())
	m.outbox = append(m.outbox, Message{Address: address, Datagram: d})
}

// HasPendingUpdates reports whether there are updates that have not yet reached their
// transmit limit.
func (m *Member) HasPendingUpdates() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.updates.pending) > 0
}
