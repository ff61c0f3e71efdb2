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
	// farAck is the time to wait for an answer from another data centre, and
	// again for one through a third.
	farAck = time.Second
	// checkDelay is the time from a push to the ping whose answer shows
	// whether it arrived, long enough for digests to have settled.
	checkDelay = time.Second
	// checksMost bounds the pings in a row that find no answer after a push.
	checksMost = 5
	// silentSingle and silentMost are the times without any answer after
	// which the daemons of another data centre become suspect: of a lone
	// daemon, that no other there can probe, and of several.
	silentSingle = 10 * time.Second
	silentMost   = 10 * time.Minute
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
	target sqid.DaemonID
	waitBy time.Time
	asked  bool
	missed int
	// check is set while no ping has been sent since the last push, checking
	// while one is under way.
	check, checking bool
	// silent is when the first ping was sent that found no answer.
	silent time.Time
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
			f.heard()
		}
	}
}

func (f *far) heard() {
	f.seq, f.missed, f.silent = 0, 0, time.Time{}
}

// forgetWaits drops what may have been missed in a pause.
func (l *relayer) forgetWaits() {
	for _, f := range l.far {
		f.heard()
	}
}

// relaysOf returns the relays of a data centre, lowest rank first.
func (m *Member) relaysOf(dc sqid.DataCentreID) []Row {
	var relays []Row
	for _, id := range m.view.ranked(dc) {
		if len(relays) == relaysEach {
			break
		}
		if r, ok := m.rows.Get(id); ok && r.State == Alive {
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
		if f.next.IsZero() {
			f.next = m.now.Add(m.randomSpan(m.Periods.Relay))
		}
		if f.seq != 0 && !m.now.Before(f.waitBy) {
			m.unanswered(dc, f)
		}
		if f.seq == 0 && !m.now.Before(f.next) {
			f.next = m.now.Add(m.Periods.Relay)
			if f.missed > 0 {
				f.next = m.now.Add(m.Periods.Relay / 2)
			}
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
	f.seq, f.target, f.asked = m.probes.nextSeq(), r.ID, false
	f.checking, f.check = f.check, false
	f.waitBy = m.now.Add(farAck)
	d := m.withDigests(m.datagram(sqmemberwire.Kind_KIND_PING))
	d.Seq, d.TargetHash = f.seq, shortHash(r.ID)
	m.tell(d, r.ID, r.Incarnation)
	m.out = append(m.out, Send{Address: r.PeerAddress, Datagram: d})
}

// farDaemon picks a relay, or another daemon if the relays don't answer, or
// a dead one if no other is left.
func (m *Member) farDaemon(dc sqid.DataCentreID, f *far) (Row, bool) {
	relays := m.relaysOf(dc)
	if f.missed == 0 && len(relays) > 0 {
		return relays[m.Rand.IntN(len(relays))], true
	}
	for _, id := range sample(m.Rand, m.view.ranked(dc), 1, m.isSelf) {
		return m.rows.Get(id)
	}
	if dead := m.deadOf(dc); len(dead) > 0 {
		return dead[m.Rand.IntN(len(dead))], true
	}
	return Row{}, false
}

// unanswered has third data centres ask in this one's place, and then takes
// note of the silence.
func (m *Member) unanswered(dc sqid.DataCentreID, f *far) {
	if !f.asked && m.askAcross(dc, f) {
		f.asked = true
		f.waitBy = m.now.Add(farAck)
		return
	}
	f.seq = 0
	f.missed++
	if f.checking && f.missed <= checksMost {
		f.check, f.next = true, m.now
	}
	if f.silent.IsZero() {
		f.silent = m.now
	}
	limit := silentMost
	if len(m.view.ranked(dc)) == 1 {
		limit = silentSingle
	}
	r, ok := m.rows.Get(f.target)
	if ok && r.State == Alive && m.now.Sub(f.silent) >= limit {
		m.suspect(r, m.self.ID)
	}
}

// askAcross asks relays of other data centres to ping the daemon that does
// not answer.
func (m *Member) askAcross(dc sqid.DataCentreID, f *far) bool {
	asked := 0
	for _, other := range m.view.order {
		relays := m.relaysOf(other)
		if other == dc || other == m.self.DataCentre || len(relays) == 0 || asked == helpers {
			continue
		}
		d := m.datagram(sqmemberwire.Kind_KIND_PING_REQUEST)
		d.Seq, d.Target = f.seq, string(f.target)
		m.out = append(m.out, Send{Address: relays[0].PeerAddress, Datagram: d})
		asked++
	}
	return asked > 0
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
		f := m.relays.at(dc)
		f.check = true
		if soon := m.now.Add(checkDelay); soon.Before(f.next) {
			f.next = soon
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
