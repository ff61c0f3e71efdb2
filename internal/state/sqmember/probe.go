package sqmember

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

const (
	// pauseLimit is the gap between two ticks that is taken as a pause.
	pauseLimit = time.Second
	// helpers is the number of daemons asked to ping in this one's place.
	helpers = 3
	// healthWorst bounds by how much a daemon that hears badly slows down.
	healthWorst = 4
	// revisitPeriod is the time between two pings of dead daemons, which may
	// live behind a cut that has healed.
	revisitPeriod = 10 * time.Second
)

// prober probes the daemons of the data centre.
type prober struct {
	ticked     time.Time
	next       time.Time
	revisit    time.Time
	seq        uint32
	order      []sqid.DaemonID
	pending    []*probe
	helping    []help
	suspicions []*suspicion
	// health is 0 if answers arrive in time, and grows as they don't.
	health int
}

// probe is one that waits for its answer.
type probe struct {
	seq     uint32
	target  sqid.DaemonID
	ackBy   time.Time
	endBy   time.Time
	late    bool
	helpers int
	nacks   int
}

// help is a ping made for another daemon.
type help struct {
	seq       uint32
	origin    string
	originSeq uint32
	endBy     time.Time
}

func (p *prober) nextSeq() uint32 {
	p.seq++
	return p.seq
}

func (p *prober) worsen() { p.health = min(p.health+1, healthWorst) }

func (p *prober) recover() { p.health = max(p.health-1, 0) }

// slowed returns d lengthened by how badly this daemon hears.
func (p *prober) slowed(d time.Duration) time.Duration {
	return d * time.Duration(1+p.health)
}

// insert puts a daemon at a random place of the present round.
func (p *prober) insert(id sqid.DaemonID, r *rand.Rand) {
	if !slices.Contains(p.order, id) {
		p.order = slices.Insert(p.order, r.IntN(len(p.order)+1), id)
	}
}

// paused gives up what waits for answers, which may have come while the
// process did not run.
func (m *Member) paused(gap time.Duration) {
	m.probes.pending = nil
	m.probes.helping = nil
	for _, s := range m.probes.suspicions {
		s.since = s.since.Add(gap)
	}
	m.relays.forgetWaits()
}

func (m *Member) tickProbes() {
	if m.leaving {
		return
	}
	m.tickHelping()
	for _, p := range slices.Clone(m.probes.pending) {
		switch {
		case !m.now.Before(p.endBy):
			m.failed(p)
		case !p.late && !m.now.Before(p.ackBy):
			m.askHelpers(p)
		}
	}
	if m.probes.next.IsZero() {
		m.probes.next = m.now.Add(m.randomSpan(m.Periods.Probe))
	}
	if !m.now.Before(m.probes.next) {
		m.probes.next = m.now.Add(m.Periods.Probe)
		if id, ok := m.nextTarget(); ok {
			m.probe(id)
		}
	}
	m.tickRevisit()
}

func (m *Member) randomSpan(d time.Duration) time.Duration {
	return time.Duration(m.Rand.Int64N(int64(d)))
}

// nextTarget goes through the daemons in a random order, so that each is
// probed once in each round.
func (m *Member) nextTarget() (sqid.DaemonID, bool) {
	p := &m.probes
	if len(p.order) == 0 {
		p.order = m.shuffled()
	}
	for len(p.order) > 0 {
		id := p.order[0]
		p.order = p.order[1:]
		if r, ok := m.rows.Get(id); ok && r.live() && id != m.self.ID {
			return id, true
		}
	}
	return "", false
}

func (m *Member) probe(id sqid.DaemonID) {
	r, ok := m.rows.Get(id)
	waits := slices.ContainsFunc(m.probes.pending, func(p *probe) bool { return p.target == id })
	if !ok || !r.live() || waits {
		return
	}
	p := &probe{seq: m.probes.nextSeq(), target: id}
	p.ackBy = m.now.Add(m.probes.slowed(m.Periods.Ack))
	p.endBy = m.now.Add(m.probes.slowed(m.Periods.Probe))
	m.probes.pending = append(m.probes.pending, p)
	m.ping(r, p.seq)
}

// ping sends a ping that carries what is held against its receiver.
func (m *Member) ping(r Row, seq uint32) {
	d := m.withDigests(m.datagram(sqmemberwire.Kind_KIND_PING))
	d.Seq, d.TargetHash = seq, shortHash(r.ID)
	m.tell(d, r.ID, r.Incarnation)
	m.send(r.PeerAddress, d)
}

// tell adds to a datagram for a daemon what is held against it: that it is
// not alive, or has a later incarnation.
func (m *Member) tell(d *sqmemberwire.Datagram, id sqid.DaemonID, inc sqid.Incarnation) {
	if r, ok := m.rows.Get(id); ok && (r.State != Alive || r.Incarnation > inc) {
		d.Rows = append(d.Rows, r.wire())
	}
}

func (m *Member) askHelpers(p *probe) {
	peers := sample(m.Rand, m.view.ranked(m.self.DataCentre), helpers, func(id sqid.DaemonID) bool {
		return id == m.self.ID || id == p.target
	})
	for _, id := range peers {
		r, _ := m.rows.Get(id)
		d := m.datagram(sqmemberwire.Kind_KIND_PING_REQUEST)
		d.Seq, d.Target = p.seq, string(p.target)
		m.send(r.PeerAddress, d)
	}
	p.late, p.helpers = true, len(peers)
}

func (m *Member) failed(p *probe) {
	m.probes.pending = slices.DeleteFunc(m.probes.pending, func(o *probe) bool { return o == p })
	// Helpers that live say so; that none did shows a fault here.
	if p.helpers > 0 && p.nacks == 0 {
		m.probes.worsen()
	}
	if r, ok := m.rows.Get(p.target); ok && r.live() {
		m.suspect(r, m.self.ID)
	}
}

func (m *Member) receivePing(address string, d *sqmemberwire.Datagram) {
	if d.GetTargetHash() != shortHash(m.self.ID) {
		return
	}
	ack := m.withDigests(m.datagram(sqmemberwire.Kind_KIND_ACK))
	ack.Seq = d.GetSeq()
	m.tell(ack, sqid.DaemonID(d.GetFrom()), sqid.Incarnation(d.GetIncarnation()))
	m.send(address, ack)
}

func (m *Member) receiveAck(d *sqmemberwire.Datagram) {
	for i, h := range m.probes.helping {
		if h.seq == d.GetSeq() {
			m.probes.helping = slices.Delete(m.probes.helping, i, i+1)
			m.forward(h, sqmemberwire.Kind_KIND_ACK)
			return
		}
	}
	m.relays.answered(d.GetSeq())
	n := len(m.probes.pending)
	m.probes.pending = slices.DeleteFunc(m.probes.pending, func(p *probe) bool { return p.seq == d.GetSeq() })
	if len(m.probes.pending) < n {
		m.probes.recover()
	}
}

func (m *Member) forward(h help, kind sqmemberwire.Kind) {
	d := m.withDigests(m.datagram(kind))
	d.Seq = h.originSeq
	m.send(h.origin, d)
}

func (m *Member) receivePingRequest(address string, d *sqmemberwire.Datagram) {
	r, ok := m.rows.Get(sqid.DaemonID(d.GetTarget()))
	if !ok {
		return
	}
	h := help{
		seq: m.probes.nextSeq(), origin: address, originSeq: d.GetSeq(),
		endBy: m.now.Add(m.Periods.Ack),
	}
	m.probes.helping = append(m.probes.helping, h)
	m.ping(r, h.seq)
}

func (m *Member) receiveNack(d *sqmemberwire.Datagram) {
	for _, p := range m.probes.pending {
		if p.seq == d.GetSeq() {
			p.nacks++
		}
	}
}

func (m *Member) tickHelping() {
	for _, h := range m.probes.helping {
		if !m.now.Before(h.endBy) {
			m.forward(h, sqmemberwire.Kind_KIND_NACK)
		}
	}
	m.probes.helping = slices.DeleteFunc(m.probes.helping, func(h help) bool { return !m.now.Before(h.endBy) })
}

// tickRevisit pings a dead daemon of the data centre now and then.
func (m *Member) tickRevisit() {
	if m.now.Before(m.probes.revisit) {
		return
	}
	m.probes.revisit = m.now.Add(revisitPeriod)
	if dead := m.deadOf(m.self.DataCentre); len(dead) > 0 {
		m.ping(dead[m.Rand.IntN(len(dead))], m.probes.nextSeq())
	}
}

// deadOf returns the dead daemons of a data centre, in order of id.
func (m *Member) deadOf(dc sqid.DataCentreID) []Row {
	var dead []Row
	for id := range m.view.gone {
		if r, ok := m.rows.Get(id); ok && r.State == Dead && r.DataCentre == dc {
			dead = append(dead, r)
		}
	}
	slices.SortFunc(dead, func(a, b Row) int { return compareID(a.ID, b.ID) })
	return dead
}
