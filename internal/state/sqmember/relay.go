package sqmember

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

const (
	// relaysEach is the number of relays in a data centre.
	relaysEach = 2
	// farAck is the time to wait for an answer from another data centre.
	farAck = time.Second
)

// relayer speaks with the other data centres while this daemon is a relay.
type relayer struct {
	far map[sqid.DataCentreID]*far
	// across is news of this data centre to be pushed to the others.
	across []rumour
	// rank is the daemon's last rank as a relay, for the word of its leaving.
	rank int
}

// far is another data centre.
type far struct {
	next   time.Time
	seq    uint32
	waitBy time.Time
	missed int
}

func (l *relayer) at(dc sqid.DataCentreID) *far {
	if l.far == nil {
		l.far = make(map[sqid.DataCentreID]*far)
	}
	if l.far[dc] == nil {
		l.far[dc] = &far{}
	}
	return l.far[dc]
}

func (l *relayer) answered(seq uint32) {
	for _, f := range l.far {
		if f.seq == seq {
			f.seq, f.missed = 0, 0
		}
	}
}

func (l *relayer) forgetWaits() {
	for _, f := range l.far {
		f.seq = 0
	}
}

// relaysOf returns the relays of a data centre, lowest rank first.
func (m *Member) relaysOf(dc sqid.DataCentreID) []Row {
	var relays []Row
	for _, id := range m.view.ranked(dc) {
		if r, ok := m.rows.Get(id); ok && r.State == Alive && len(relays) < relaysEach {
			relays = append(relays, r)
		}
	}
	return relays
}

// relayRank returns this daemon's rank among the relays, or -1.
func (m *Member) relayRank() int {
	for i, r := range m.relaysOf(m.self.DataCentre) {
		if r.ID == m.self.ID {
			return i
		}
	}
	return -1
}

func (m *Member) tickRelay() {
	if m.relayRank() < 0 {
		return
	}
	for _, dc := range m.view.order {
		if dc == m.self.DataCentre {
			continue
		}
		f := m.relays.at(dc)
		if f.seq != 0 && !m.now.Before(f.waitBy) {
			f.seq = 0
			f.missed++
		}
		if f.next.IsZero() {
			f.next = m.now.Add(m.randomSpan(m.Periods.Relay))
		}
		if !m.now.Before(f.next) {
			f.next = m.now.Add(m.Periods.Relay)
			m.probeFar(dc, f)
		}
	}
}

// probeFar pings a relay of another data centre, or any of its daemons if
// the last ping found no answer. The answer's digests show what is missing.
func (m *Member) probeFar(dc sqid.DataCentreID, f *far) {
	r, ok := m.farDaemon(dc, f)
	if !ok {
		return
	}
	f.seq = m.probes.nextSeq()
	f.waitBy = m.now.Add(farAck)
	d := m.withDigests(m.datagram(sqmemberwire.Kind_KIND_PING))
	d.Seq, d.Target = f.seq, string(r.ID)
	m.out = append(m.out, Send{Address: r.PeerAddress, Datagram: d})
}

func (m *Member) farDaemon(dc sqid.DataCentreID, f *far) (Row, bool) {
	relays := m.relaysOf(dc)
	if f.missed == 0 && len(relays) > 0 {
		return relays[m.Rand.IntN(len(relays))], true
	}
	for _, id := range sample(m.Rand, m.view.ranked(dc), 1, m.isSelf) {
		return m.rows.Get(id)
	}
	return Row{}, false
}

// pushAcross sends the news of this data centre to one relay of each other.
func (m *Member) pushAcross() {
	news := m.relays.across
	m.relays.across = nil
	if rank := m.relayRank(); rank >= 0 {
		m.relays.rank = rank
	} else if !m.leaving || m.relays.rank < 0 {
		m.relays.rank = -1
		return
	}
	if len(news) == 0 {
		return
	}
	for _, dc := range m.view.order {
		if dc == m.self.DataCentre {
			continue
		}
		if relays := m.relaysOf(dc); len(relays) > 0 {
			m.pushTo(relays[m.relays.rank%len(relays)].PeerAddress, news)
		}
	}
}

func (m *Member) pushTo(address string, news []rumour) {
	d := m.datagram(sqmemberwire.Kind_KIND_GOSSIP)
	base := proto.Size(d)
	room := datagramBytes - base
	for _, r := range news {
		if size := r.bytes(); size > room {
			m.out = append(m.out, Send{Address: address, Datagram: d})
			d = m.datagram(sqmemberwire.Kind_KIND_GOSSIP)
			room = datagramBytes - base
		}
		r.addTo(d)
		room -= r.bytes()
	}
	m.out = append(m.out, Send{Address: address, Datagram: d})
}
