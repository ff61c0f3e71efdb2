// Package sqmember keeps a daemon's view of the fleet: which daemons live,
// which targets they have announced, and the facts that the fleet shares.
//
// Within a data centre each daemon probes the others in turn, as in SWIM: a
// ping, then pings through others, then a suspicion that the suspect may
// refute by a higher version of its row, then death. How long a suspicion
// lasts depends on how many agree and on how well the daemon itself hears
// (Lifeguard). News travels as rumours on those messages and on gossip of
// its own while there is any. Between data centres the two relays of each,
// the live daemons of lowest rank, push news and compare digests. Digests on
// probes show what rumours have missed; an exchange repairs it.
//
// A daemon alone raises the version of its row, so rows are ordered and the
// order of their arrival does not matter. Facts are ordered by version.
package sqmember

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtable"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

const (
	// TickPeriod is the time between two calls of Tick.
	TickPeriod = 100 * time.Millisecond
	// protocolVersion changes when daemons of two versions can't talk.
	protocolVersion = "1"
)

// Send is a message to another daemon. Exactly one of Datagram, Exchange and
// Fetch is set. The answer to an Exchange goes to Exchanged, that to a Fetch
// to Fetched; each must be answered, by an error if need be.
type Send struct {
	// Address is the peer address of the other daemon.
	Address  string
	Datagram *sqmemberwire.Datagram
	Exchange *sqmemberwire.ExchangeRequest
	Fetch    *sqmemberwire.FetchRequest
}

// Member is one daemon's part of the membership. It does no I/O and reads no
// clock: messages and times go in, messages come out. Its methods may be
// called from several goroutines. Callbacks run one at a time, in order and
// outside of its lock; they may call its methods.
type Member struct {
	// Fleet separates fleets that can reach each other.
	Fleet string
	// Local is the daemon's own row: its names, addresses and incarnation.
	// Version and State are ignored.
	Local Row
	// Rand is the source of randomness; it must not be shared.
	Rand *rand.Rand
	// Targets has the targets of all live daemons, this one's included. The
	// member alone writes to it.
	Targets *sqtarget.Directory
	// Periods are the times of the protocol; zero fields have defaults.
	Periods Periods
	// Wake, if set, is called when Flush has something to return.
	Wake func()
	// OnReplaced, if set, is called when another live daemon uses this one's
	// name with a higher incarnation.
	OnReplaced func(other Row)

	mu    sync.Mutex
	ready bool
	now   time.Time
	fleet uint32
	self  Row
	rows  sqtable.Table[sqid.DaemonID, Row]
	out   []Send
	calls calls

	view    view
	rumours rumours
	probes  prober
	relays  relayer
	repair  repairer
	facts   facts

	hinted map[sqid.DaemonID]time.Time
	// announced is set once this daemon has told others of itself.
	announced bool
	leaving   bool
	replaced  sqid.Incarnation
	off       switches
}

// switches turn mechanisms off, to show in tests what they are for.
type switches struct {
	// repair is the comparing of digests.
	repair bool
	// hearsay is the time to refute a death that another merely holds.
	hearsay bool
}

// Periods are the times of the protocol.
type Periods struct {
	// Probe is the time between two probes; default 1 s.
	Probe time.Duration
	// Ack is the time to wait for the answer to a ping; default 300 ms.
	Ack time.Duration
	// SuspectLeast and SuspectMost bound the time to refute a suspicion;
	// defaults 1.5 s and 4.5 s.
	SuspectLeast time.Duration
	SuspectMost  time.Duration
	// Relay is the time between two probes of another data centre; default 10 s.
	// After news it is shorter.
	Relay time.Duration
	// Forget is the time after which a dead or left row is dropped; default 1 h.
	Forget time.Duration
}

func (p Periods) withDefaults() Periods {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&p.Probe, time.Second)
	set(&p.Ack, 300*time.Millisecond)
	set(&p.SuspectLeast, 1500*time.Millisecond)
	set(&p.SuspectMost, 4500*time.Millisecond)
	set(&p.Relay, 10*time.Second)
	set(&p.Forget, time.Hour)
	return p
}

// start sets up the member at its first use.
func (m *Member) start() {
	if m.ready {
		return
	}
	m.ready = true
	if m.Targets == nil {
		m.Targets = &sqtarget.Directory{}
	}
	m.Periods = m.Periods.withDefaults()
	m.fleet = uint32(xxhash.Sum64String(m.Fleet + "\x00" + protocolVersion))
	m.self = m.Local
	m.self.Version, m.self.State, m.self.Targets = 1, Alive, nil
	m.put(m.self)
}

// enter locks the member. The function it returns unlocks it, runs the
// callbacks that have become due, and returns the messages to be sent.
func (m *Member) enter(now time.Time) func() []Send {
	m.mu.Lock()
	m.start()
	if now.After(m.now) {
		m.now = now
	}
	return func() []Send {
		m.pushAcross()
		out := m.out
		m.out = nil
		m.mu.Unlock()
		m.calls.run()
		return out
	}
}

// change runs f under the lock, for changes that come from this daemon; the
// messages that follow wait for Flush.
func (m *Member) change(f func()) {
	m.mu.Lock()
	m.start()
	f()
	m.mu.Unlock()
	m.calls.run()
	if m.Wake != nil {
		m.Wake()
	}
}

// Tick does what is due at now. It is called every TickPeriod; a longer gap
// is taken as a pause of the process, in which answers may have been missed.
func (m *Member) Tick(now time.Time) []Send {
	last := m.lastTick()
	leave := m.enter(now)
	if gap := now.Sub(last); !last.IsZero() && gap > pauseLimit {
		m.paused(gap)
	}
	m.probes.ticked = now
	m.tickProbes()
	m.tickSuspicions()
	m.tickRelay()
	m.tickForget()
	m.gossip()
	return leave()
}

func (m *Member) lastTick() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.probes.ticked
}

// Flush returns the messages of changes made by this daemon since the last
// call of Tick, Receive or Flush.
func (m *Member) Flush(now time.Time) []Send {
	leave := m.enter(now)
	m.gossip()
	return leave()
}

// Receive takes in a datagram that came from an address. It returns no
// messages for one of another fleet.
func (m *Member) Receive(now time.Time, from string, d *sqmemberwire.Datagram) []Send {
	leave := m.enter(now)
	if m.valid(d) {
		m.receive(from, d)
	}
	return leave()
}

// Valid says whether a datagram comes from another daemon of this fleet.
func (m *Member) Valid(d *sqmemberwire.Datagram) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start()
	return m.valid(d)
}

func (m *Member) valid(d *sqmemberwire.Datagram) bool {
	return d.GetFleet() == m.fleet && d.GetFrom() != "" &&
		(d.GetFrom() != string(m.self.ID) || d.GetIncarnation() != uint64(m.self.Incarnation))
}

func (m *Member) receive(address string, d *sqmemberwire.Datagram) {
	src := source{from: sqid.DaemonID(d.GetFrom()), address: address}
	for _, w := range d.GetRows() {
		m.acceptWire(w, src)
	}
	for _, f := range d.GetFacts() {
		m.acceptFact(f, src)
	}
	switch d.GetKind() {
	case sqmemberwire.Kind_KIND_PING:
		m.receivePing(address, d)
	case sqmemberwire.Kind_KIND_ACK:
		m.receiveAck(d)
		m.compare(address, d)
	case sqmemberwire.Kind_KIND_PING_REQUEST:
		m.receivePingRequest(address, d)
	case sqmemberwire.Kind_KIND_NACK:
		m.receiveNack(d)
	case sqmemberwire.Kind_KIND_HINT:
		m.hint(sqid.DaemonID(d.GetTarget()))
	}
}

// Self returns the daemon's own row.
func (m *Member) Self() Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start()
	return m.self
}

// Row returns the row of a daemon, also of one that is dead or has left and
// is not yet forgotten.
func (m *Member) Row(id sqid.DaemonID) (Row, bool) {
	return m.rows.Get(id)
}

// Each calls f with each row until f returns false. It must not call the
// member.
func (m *Member) Each(f func(Row) bool) {
	m.rows.Each(func(_ sqid.DaemonID, r Row) bool { return f(r) })
}

// Alive returns the rows of a data centre's daemons that are alive and not
// suspect, in order of rank. This daemon is one of them.
func (m *Member) Alive(dc sqid.DataCentreID) []Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start()
	var rows []Row
	for _, id := range m.view.ranked(dc) {
		if r, _ := m.rows.Get(id); r.State == Alive {
			rows = append(rows, r)
		}
	}
	return rows
}

// Watcher says whether this daemon is one of the two that watch the platform
// for its data centre.
func (m *Member) Watcher() bool {
	return m.Relay()
}

// First says whether this daemon is the one of its data centre that does what
// one daemon of each does.
func (m *Member) First() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start()
	return m.relayRank() == 0
}

// Relay says whether this daemon is one of the two that speak with the other
// data centres.
func (m *Member) Relay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start()
	return m.relayRank() >= 0
}
