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
	// datagramBytes bounds a datagram without its IP and UDP headers.
	datagramBytes = 1200
	// fieldBytes is the size of a repeated field's tag and length.
	fieldBytes = 3
	// gossipPeers is the number of daemons that each round of gossip goes to.
	gossipPeers = 3
	// rumoursMost bounds the number of rumours held.
	rumoursMost = 512
	// leastSends is how often a rumour is sent beyond the logarithm of the
	// number of daemons.
	leastSends = 2
)

// rumour is a row or a fact that is passed on a bounded number of times.
type rumour struct {
	key  string
	row  *sqmemberwire.Row
	fact *sqmemberwire.Fact
	size int
	sent int
}

func (r rumour) bytes() int {
	if r.row != nil {
		return proto.Size(r.row) + fieldBytes
	}
	return proto.Size(r.fact) + fieldBytes
}

func (r rumour) addTo(d *sqmemberwire.Datagram) {
	if r.row != nil {
		d.Rows = append(d.Rows, r.row)
		return
	}
	d.Facts = append(d.Facts, r.fact)
}

// rumours are kept in the order of how often they were sent.
type rumours struct {
	list []rumour
	// order is what is left of the present round of daemons to gossip to.
	order []sqid.DaemonID
}

// put adds a rumour in place of an older one with the same key.
func (q *rumours) put(r rumour) {
	q.list = slices.DeleteFunc(q.list, func(o rumour) bool { return o.key == r.key })
	r.size = r.bytes()
	q.list = slices.Insert(q.list, 0, r)
	if len(q.list) > rumoursMost {
		q.list = q.list[:rumoursMost]
	}
}

// fill adds to a datagram as many rumours as fit, those sent least first, and
// drops those that were sent most times.
func (q *rumours) fill(d *sqmemberwire.Datagram, most int) {
	room := datagramBytes - proto.Size(d)
	for i := range q.list {
		if r := &q.list[i]; r.size <= room {
			r.addTo(d)
			room -= r.size
			r.sent++
		}
	}
	q.list = slices.DeleteFunc(q.list, func(r rumour) bool { return r.sent >= most })
	slices.SortStableFunc(q.list, func(a, b rumour) int { return cmp.Compare(a.sent, b.sent) })
}

// sends is the number of times that this daemon passes on a rumour.
func (m *Member) sends() int {
	return leastSends + bits.Len(uint(len(m.view.ranked(m.self.DataCentre))))
}

// gossip sends the rumours to a few daemons of the data centre.
func (m *Member) gossip() {
	if len(m.rumours.list) == 0 {
		return
	}
	peers := m.gossipRound()
	if len(peers) == 0 {
		m.rumours.list = nil
		return
	}
	for _, r := range peers {
		if len(m.rumours.list) > 0 {
			m.send(r.PeerAddress, m.datagram(sqmemberwire.Kind_KIND_GOSSIP))
		}
	}
}

// gossipRound returns the daemons to gossip to now. It goes through all in a
// random order, so that a rumour is not sent to one twice before the others.
func (m *Member) gossipRound() []Row {
	var round []Row
	for refilled := false; len(round) < gossipPeers; {
		if len(m.rumours.order) == 0 {
			if refilled {
				break
			}
			refilled = true
			m.rumours.order = m.shuffled()
			continue
		}
		id := m.rumours.order[0]
		m.rumours.order = m.rumours.order[1:]
		known := slices.ContainsFunc(round, func(r Row) bool { return r.ID == id })
		if r, ok := m.rows.Get(id); ok && r.live() && id != m.self.ID && !known {
			round = append(round, r)
		}
	}
	return round
}

// shuffled returns the live daemons of the data centre in a random order.
func (m *Member) shuffled() []sqid.DaemonID {
	ids := slices.Clone(m.view.ranked(m.self.DataCentre))
	m.Rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

func (m *Member) isSelf(id sqid.DaemonID) bool {
	return id == m.self.ID
}

// datagram returns one of kind from this daemon.
func (m *Member) datagram(kind sqmemberwire.Kind) *sqmemberwire.Datagram {
	return &sqmemberwire.Datagram{
		Fleet: m.fleet, From: string(m.self.ID), Incarnation: uint64(m.self.Incarnation), Kind: kind,
	}
}

// send adds rumours to a datagram and sends it.
func (m *Member) send(address string, d *sqmemberwire.Datagram) {
	m.rumours.fill(d, m.sends())
	m.out = append(m.out, Send{Address: address, Datagram: d})
}

// Spreading says whether there is news that has not yet been passed on as
// often as intended.
func (m *Member) Spreading() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.rumours.list) > 0
}
