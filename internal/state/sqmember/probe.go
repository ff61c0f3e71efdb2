package sqmember

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

const (
	// pauseThreshold is the gap between two ticks that counts as a pause of the
	// process.
	pauseThreshold = time.Second
	// indirectProbers is the number of daemons that are asked for an indirect
	// probe.
	indirectProbers = 3
	// maxHealthScore bounds by how much an unhealthy daemon lengthens its
	// timeouts.
	maxHealthScore = 4
	// deadPingInterval is the time between two pings of dead daemons, which may
	// be alive behind a network partition that has healed.
	deadPingInterval = 10 * time.Second
)

// prober probes the daemons of the data centre.
type prober struct {
	// tickedAt is the time of the last Tick.
	tickedAt     time.Time
	nextProbe    time.Time
	nextDeadPing time.Time
	seq          uint32
	// round holds the daemons not yet probed in the present round.
	round      []sqid.DaemonID
	pending    []*probe
	proxyPings []proxyPing
	suspicions []*suspicion
	// healthScore is Lifeguard's local health: 0 if acknowledgements arrive in
	// time, and higher the more of them this daemon misses.
	healthScore int
}

// probe is a ping that waits for its acknowledgement.
type probe struct {
	seq    uint32
	target sqid.DaemonID
	// ackDeadline is when indirect probes are requested, deadline when the probe
	// fails.
	ackDeadline time.Time
	deadline    time.Time
	// indirect is set once indirect probes were requested, from as many daemons
	// as proxies says.
	indirect bool
	proxies  int
	// nacks counts the proxies that had no answer from target either.
	nacks int
}

// proxyPing is a ping sent on behalf of another daemon.
type proxyPing struct {
	seq uint32
	// origin is the address of the daemon that requested it, originSeq the seq of
	// its request.
	origin    string
	originSeq uint32
	deadline  time.Time
}

func (p *prober) nextSeq() uint32 {
	p.seq++
	return p.seq
}

func (p *prober) degradeHealth() { p.healthScore = min(p.healthScore+1, maxHealthScore) }

func (p *prober) improveHealth() { p.healthScore = max(p.healthScore-1, 0) }

// scaleTimeout lengthens d according to the health score.
func (p *prober) scaleTimeout(d time.Duration) time.Duration {
	return d * time.Duration(1+p.healthScore)
}

// insertIntoRound puts a daemon at a random place of the present round.
func (p *prober) insertIntoRound(id sqid.DaemonID, r *rand.Rand) {
	if !slices.Contains(p.round, id) {
		p.round = slices.Insert(p.round, r.IntN(len(p.round)+1), id)
	}
}

// resumeAfterPause drops pending probes, whose replies may have arrived while
// the process was paused, and extends the suspicions by the gap.
func (m *Member) resumeAfterPause(gap time.Duration) {
	m.probes.pending = nil
	m.probes.proxyPings = nil
	for _, s := range m.probes.suspicions {
		s.startedAt = s.startedAt.Add(gap)
	}
	m.relays.resetProbes()
}

func (m *Member) tickProbes() {
	if m.leaving {
		return
	}
	m.expireProxyPings()
	for _, p := range slices.Clone(m.probes.pending) {
		switch {
		case !m.now.Before(p.deadline):
			m.probeFailed(p)
		case !p.indirect && !m.now.Before(p.ackDeadline):
			m.sendIndirectProbes(p)
		}
	}
	if m.probes.nextProbe.IsZero() {
		m.probes.nextProbe = m.now.Add(m.randomDuration(m.Timing.ProbeInterval))
	}
	if !m.now.Before(m.probes.nextProbe) {
		m.probes.nextProbe = m.now.Add(m.Timing.ProbeInterval)
		if id, ok := m.nextProbeTarget(); ok {
			m.probe(id)
		}
	}
	m.pingDead()
}

func (m *Member) randomDuration(d time.Duration) time.Duration {
	return time.Duration(m.Rand.Int64N(int64(d)))
}

// nextProbeTarget goes through the daemons in a random order, so that each is
// probed once per round.
func (m *Member) nextProbeTarget() (sqid.DaemonID, bool) {
	p := &m.probes
	if len(p.round) == 0 {
		p.round = m.shuffledPeers()
	}
	for len(p.round) > 0 {
		id := p.round[0]
		p.round = p.round[1:]
		if r, ok := m.rows.Get(id); ok && r.live() && id != m.self.ID {
			return id, true
		}
	}
	return "", false
}

func (m *Member) probe(id sqid.DaemonID) {
	r, ok := m.rows.Get(id)
	inProgress := slices.ContainsFunc(m.probes.pending, func(p *probe) bool { return p.target == id })
	if !ok || !r.live() || inProgress {
		return
	}
	p := &probe{seq: m.probes.nextSeq(), target: id}
	p.ackDeadline = m.now.Add(m.probes.scaleTimeout(m.Timing.AckTimeout))
	p.deadline = m.now.Add(m.probes.scaleTimeout(m.Timing.ProbeInterval))
	m.probes.pending = append(m.probes.pending, p)
	m.ping(r, p.seq)
}

// ping sends a ping. It carries the row that its receiver may have to refute.
func (m *Member) ping(r Row, seq uint32) {
	d := m.withDigests(m.datagram(sqmemberwire.Kind_KIND_PING))
	d.Seq, d.TargetHash = seq, shortHash(r.ID)
	m.addRefutableRow(d, r.ID, r.Incarnation)
	m.send(r.PeerAddress, d)
}

// addRefutableRow adds to a datagram for a daemon the row held of it, if that
// row is not alive or has an incarnation above inc, the daemon's own.
func (m *Member) addRefutableRow(d *sqmemberwire.Datagram, id sqid.DaemonID, inc sqid.Incarnation) {
	if r, ok := m.rows.Get(id); ok && (r.State != Alive || r.Incarnation > inc) {
		d.Rows = append(d.Rows, r.wire())
	}
}

func (m *Member) sendIndirectProbes(p *probe) {
	peers := sample(m.Rand, m.view.ranked(m.self.DataCentre), indirectProbers, func(id sqid.DaemonID) bool {
		return id == m.self.ID || id == p.target
	})
	for _, id := range peers {
		r, _ := m.rows.Get(id)
		d := m.datagram(sqmemberwire.Kind_KIND_PING_REQUEST)
		d.Seq, d.Target = p.seq, string(p.target)
		m.send(r.PeerAddress, d)
	}
	p.indirect, p.proxies = true, len(peers)
}

func (m *Member) probeFailed(p *probe) {
	m.probes.pending = slices.DeleteFunc(m.probes.pending, func(o *probe) bool { return o == p })
	// A proxy that gets no answer from the target sends a NACK. That none did
	// suggests a fault on this host.
	if p.proxies > 0 && p.nacks == 0 {
		m.probes.degradeHealth()
	}
	if r, ok := m.rows.Get(p.target); ok && r.live() {
		m.markSuspect(r, m.self.ID)
	}
}

func (m *Member) receivePing(address string, d *sqmemberwire.Datagram) {
	if d.GetTargetHash() != shortHash(m.self.ID) {
		return
	}
	ack := m.withDigests(m.datagram(sqmemberwire.Kind_KIND_ACK))
	ack.Seq = d.GetSeq()
	m.addRefutableRow(ack, sqid.DaemonID(d.GetFrom()), sqid.Incarnation(d.GetIncarnation()))
	m.send(address, ack)
}

func (m *Member) receiveAck(d *sqmemberwire.Datagram) {
	for i, h := range m.probes.proxyPings {
		if h.seq == d.GetSeq() {
			m.probes.proxyPings = slices.Delete(m.probes.proxyPings, i, i+1)
			m.forwardReply(h, sqmemberwire.Kind_KIND_ACK)
			return
		}
	}
	m.relays.acked(d.GetSeq())
	n := len(m.probes.pending)
	m.probes.pending = slices.DeleteFunc(m.probes.pending, func(p *probe) bool { return p.seq == d.GetSeq() })
	if len(m.probes.pending) < n {
		m.probes.improveHealth()
	}
}

func (m *Member) forwardReply(h proxyPing, kind sqmemberwire.Kind) {
	d := m.withDigests(m.datagram(kind))
	d.Seq = h.originSeq
	m.send(h.origin, d)
}

func (m *Member) receivePingRequest(address string, d *sqmemberwire.Datagram) {
	r, ok := m.rows.Get(sqid.DaemonID(d.GetTarget()))
	if !ok {
		return
	}
	h := proxyPing{
		seq: m.probes.nextSeq(), origin: address, originSeq: d.GetSeq(),
		deadline: m.now.Add(m.Timing.AckTimeout),
	}
	m.probes.proxyPings = append(m.probes.proxyPings, h)
	m.ping(r, h.seq)
}

func (m *Member) receiveNack(d *sqmemberwire.Datagram) {
	for _, p := range m.probes.pending {
		if p.seq == d.GetSeq() {
			p.nacks++
		}
	}
}

func (m *Member) expireProxyPings() {
	for _, h := range m.probes.proxyPings {
		if !m.now.Before(h.deadline) {
			m.forwardReply(h, sqmemberwire.Kind_KIND_NACK)
		}
	}
	m.probes.proxyPings = slices.DeleteFunc(m.probes.proxyPings, func(h proxyPing) bool { return !m.now.Before(h.deadline) })
}

// pingDead pings a dead daemon of the data centre every deadPingInterval.
func (m *Member) pingDead() {
	if m.now.Before(m.probes.nextDeadPing) {
		return
	}
	m.probes.nextDeadPing = m.now.Add(deadPingInterval)
	if dead := m.deadDaemons(m.self.DataCentre); len(dead) > 0 {
		m.ping(dead[m.Rand.IntN(len(dead))], m.probes.nextSeq())
	}
}

// deadDaemons returns the dead daemons of a data centre, in order of id.
func (m *Member) deadDaemons(dc sqid.DataCentreID) []Row {
	var dead []Row
	for id := range m.view.tombstones {
		if r, ok := m.rows.Get(id); ok && r.State == Dead && r.DataCentre == dc {
			dead = append(dead, r)
		}
	}
	slices.SortFunc(dead, func(a, b Row) int { return compareID(a.ID, b.ID) })
	return dead
}
