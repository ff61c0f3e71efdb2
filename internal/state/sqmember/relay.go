package sqmember

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

const (
	// relaysPerDataCentre is the number of relays in a data centre.
	relaysPerDataCentre = 2
	// remoteAckTimeout is the time to wait for an acknowledgement from another
	// data centre, and again for one through a third.
	remoteAckTimeout = time.Second
	// pushCheckDelay is the time from a push to the ping that checks by the
	// digests of its acknowledgement whether the push arrived. It is long enough
	// for the digests to have settled.
	pushCheckDelay = time.Second
	// maxPushChecks bounds the consecutive unanswered pings that follow a push
	// without delay.
	maxPushChecks = 5
	// singleSilenceLimit and silenceLimit are the times without any answer after
	// which the daemons of another data centre become suspect. The shorter one is
	// for a data centre with a single daemon, which no other daemon there can
	// probe.
	singleSilenceLimit = 10 * time.Second
	silenceLimit       = 10 * time.Minute
)

// relayState is what this daemon keeps for the other data centres, with which
// it exchanges updates while it is a relay.
type relayState struct {
	remotes map[sqid.DataCentreID]*remoteDataCentre
	// outbound are the updates of this data centre to be pushed to the others.
	outbound []update
	// rank is the daemon's last rank as a relay, or -1. A relay that leaves needs
	// it to push the update of its own leaving.
	rank int
}

// remoteDataCentre is the state of probing another data centre.
type remoteDataCentre struct {
	nextProbe time.Time
	// seq is that of the ping that waits for an answer, or 0.
	seq      uint32
	target   sqid.DaemonID
	deadline time.Time
	// indirect is set once relays of third data centres were asked to ping
	// target.
	indirect bool
	// missed counts the consecutive probes without an answer.
	missed int
	// checkDue is set if the next ping is to check whether a push arrived,
	// checkInFlight if the last ping was such a check.
	checkDue, checkInFlight bool
	// silentSince is when the first of the consecutive probes without an answer
	// timed out.
	silentSince time.Time
}

func (l *relayState) remote(dc sqid.DataCentreID) *remoteDataCentre {
	if l.remotes == nil {
		l.remotes = make(map[sqid.DataCentreID]*remoteDataCentre)
	}
	if l.remotes[dc] == nil {
		l.remotes[dc] = &remoteDataCentre{}
	}
	return l.remotes[dc]
}

func (l *relayState) acked(seq uint32) {
	for _, f := range l.remotes {
		if f.seq == seq {
			f.resetProbe()
		}
	}
}

func (f *remoteDataCentre) resetProbe() {
	f.seq, f.missed, f.silentSince = 0, 0, time.Time{}
}

// resetProbes drops pending probes, whose replies may have been missed in a
// pause.
func (l *relayState) resetProbes() {
	for _, f := range l.remotes {
		f.resetProbe()
	}
}

// relaysOf returns the relays of a data centre, lowest rank first.
func (m *Member) relaysOf(dc sqid.DataCentreID) []Row {
	var relays []Row
	for _, id := range m.view.ranked(dc) {
		if len(relays) == relaysPerDataCentre {
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
	for _, dc := range m.view.dataCentres {
		if dc == m.self.DataCentre {
			continue
		}
		f := m.relays.remote(dc)
		if f.nextProbe.IsZero() {
			f.nextProbe = m.now.Add(m.randomDuration(m.Timing.RelayInterval))
		}
		if f.seq != 0 && !m.now.Before(f.deadline) {
			m.remoteProbeTimedOut(dc, f)
		}
		if f.seq == 0 && !m.now.Before(f.nextProbe) {
			f.nextProbe = m.now.Add(m.Timing.RelayInterval)
			if f.missed > 0 {
				f.nextProbe = m.now.Add(m.Timing.RelayInterval / 2)
			}
			m.probeRemote(dc, f)
		}
	}
}

// probeRemote pings a relay of another data centre, or any daemon of it if the
// last probe had no answer. The digests of the acknowledgement show which
// updates are missing.
func (m *Member) probeRemote(dc sqid.DataCentreID, f *remoteDataCentre) {
	r, ok := m.pickRemoteDaemon(dc, f)
	if !ok {
		return
	}
	f.seq, f.target, f.indirect = m.probes.nextSeq(), r.ID, false
	f.checkInFlight, f.checkDue = f.checkDue, false
	f.deadline = m.now.Add(remoteAckTimeout)
	d := m.withDigests(m.datagram(sqmemberwire.Kind_KIND_PING))
	d.Seq, d.TargetHash = f.seq, shortHash(r.ID)
	m.addRefutableRow(d, r.ID, r.Incarnation)
	m.outbox = append(m.outbox, Message{Address: r.PeerAddress, Datagram: d})
}

// pickRemoteDaemon picks a relay, or any live daemon if the relays don't
// answer, or a dead one if there is no live one.
func (m *Member) pickRemoteDaemon(dc sqid.DataCentreID, f *remoteDataCentre) (Row, bool) {
	relays := m.relaysOf(dc)
	if f.missed == 0 && len(relays) > 0 {
		return relays[m.Rand.IntN(len(relays))], true
	}
	for _, id := range sample(m.Rand, m.view.ranked(dc), 1, m.isSelf) {
		return m.rows.Get(id)
	}
	if dead := m.deadDaemons(dc); len(dead) > 0 {
		return dead[m.Rand.IntN(len(dead))], true
	}
	return Row{}, false
}

// remoteProbeTimedOut first requests indirect pings from third data centres. If
// these have no answer either, it counts the probe as missed and suspects the
// daemon once the data centre has been silent for too long.
func (m *Member) remoteProbeTimedOut(dc sqid.DataCentreID, f *remoteDataCentre) {
	if !f.indirect && m.requestIndirectPings(dc, f) {
		f.indirect = true
		f.deadline = m.now.Add(remoteAckTimeout)
		return
	}
	f.seq = 0
	f.missed++
	if f.checkInFlight && f.missed <= maxPushChecks {
		f.checkDue, f.nextProbe = true, m.now
	}
	if f.silentSince.IsZero() {
		f.silentSince = m.now
	}
	limit := silenceLimit
	if len(m.view.ranked(dc)) == 1 {
		limit = singleSilenceLimit
	}
	r, ok := m.rows.Get(f.target)
	if ok && r.State == Alive && m.now.Sub(f.silentSince) >= limit {
		m.markSuspect(r, m.self.ID)
	}
}

// requestIndirectPings asks relays of third data centres to ping the daemon
// that does not answer.
func (m *Member) requestIndirectPings(dc sqid.DataCentreID, f *remoteDataCentre) bool {
	requested := 0
	for _, other := range m.view.dataCentres {
		relays := m.relaysOf(other)
		if other == dc || other == m.self.DataCentre || len(relays) == 0 || requested == indirectProbers {
			continue
		}
		d := m.datagram(sqmemberwire.Kind_KIND_PING_REQUEST)
		d.Seq, d.Target = f.seq, string(f.target)
		m.outbox = append(m.outbox, Message{Address: relays[0].PeerAddress, Datagram: d})
		requested++
	}
	return requested > 0
}

// pushOutbound sends the updates of this data centre to one relay of each other
// one.
func (m *Member) pushOutbound() {
	updates := m.relays.outbound
	m.relays.outbound = nil
	if rank := m.relayRank(); rank >= 0 {
		m.relays.rank = rank
	} else if !m.leaving || m.relays.rank < 0 {
		m.relays.rank = -1
		return
	}
	if len(updates) == 0 {
		return
	}
	for _, dc := range m.view.dataCentres {
		if dc == m.self.DataCentre {
			continue
		}
		f := m.relays.remote(dc)
		f.checkDue = true
		if soon := m.now.Add(pushCheckDelay); soon.Before(f.nextProbe) {
			f.nextProbe = soon
		}
		if relays := m.relaysOf(dc); len(relays) > 0 {
			m.pushTo(relays[m.relays.rank%len(relays)].PeerAddress, updates)
		}
	}
}

// pushTo sends updates to an address in as many datagrams as they need.
func (m *Member) pushTo(address string, updates []update) {
	d := m.datagram(sqmemberwire.Kind_KIND_GOSSIP)
	headerSize := proto.Size(d)
	space := maxDatagramBytes - headerSize
	for _, r := range updates {
		if size := r.bytes(); size > space {
			m.outbox = append(m.outbox, Message{Address: address, Datagram: d})
			d = m.datagram(sqmemberwire.Kind_KIND_GOSSIP)
			space = maxDatagramBytes - headerSize
		}
		r.addTo(d)
		space -= r.bytes()
	}
	m.outbox = append(m.outbox, Message{Address: address, Datagram: d})
}
