// Package sqmember is a SWIM-style membership and gossip protocol. It keeps a
// daemon's view of the fleet: which daemons are alive, which targets they have
// announced, and the facts (named, versioned values) that the fleet shares.
//
// Within a data centre each daemon probes the others in turn, as in SWIM: a
// ping, then indirect probes through other daemons, then a suspicion, which the
// suspect can refute by raising the version of its row, then death. The
// suspicion timeout depends on how many daemons confirm the suspicion and on
// the daemon's own health score (Lifeguard). Updates are piggybacked on these
// messages and, while there are any to send, on gossip messages of their own.
// Between data centres the two relays of each, its alive daemons of lowest
// rank (a hash of the id), push updates and compare digests. Digests on probes
// show which updates gossip has missed; an anti-entropy exchange repairs the
// difference.
//
// Only a daemon itself raises the version of its row, so rows are totally
// ordered and may arrive in any order. Facts are ordered by version.
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
	// TickPeriod is the interval at which Tick must be called.
	TickPeriod = 100 * time.Millisecond
	// protocolVersion is part of the fleet hash. It changes when daemons of two
	// versions are incompatible.
	protocolVersion = "1"
)

// Message is an outgoing message to another daemon. Exactly one of Datagram,
// Exchange and Fetch is set. The reply to an Exchange goes to
// HandleExchangeReply, the reply to a Fetch to HandleFetchReply; each request
// must be completed, with an error if it failed.
type Message struct {
	// Address is the peer address of the receiver.
	Address  string
	Datagram *sqmemberwire.Datagram
	Exchange *sqmemberwire.ExchangeRequest
	Fetch    *sqmemberwire.FetchRequest
}

// Member is one daemon's instance of the membership protocol. It does no I/O
// and reads no clock: the caller passes in messages and times and sends the
// messages that are returned. Its methods are safe for concurrent use.
// Callbacks run one at a time, in order and without the lock held; they may
// call its methods.
type Member struct {
	// Fleet is the fleet's name. Messages of other fleets are ignored.
	Fleet string
	// Local is the daemon's own row: its names, addresses and incarnation.
	// Version and State are ignored.
	Local Row
	// Rand is the source of randomness; it must not be shared.
	Rand *rand.Rand
	// Targets receives the targets of all live daemons, including this one. Only
	// the Member may write to it.
	Targets *sqtarget.Directory
	// Timing holds the protocol's intervals and timeouts; zero fields have
	// defaults.
	Timing Timing
	// Wake, if set, is called when Flush has messages to return.
	Wake func()
	// OnReplaced, if set, is called when another live daemon uses this daemon's
	// name with a higher incarnation.
	OnReplaced func(other Row)

	// mu guards the fields below. rows may also be read without it, and callbacks
	// has a lock of its own.
	mu      sync.Mutex
	started bool
	// now is the latest time that was passed in.
	now time.Time
	// fleetHash covers Fleet and protocolVersion.
	fleetHash uint32
	self      Row
	rows      sqtable.Table[sqid.DaemonID, Row]
	outbox    []Message
	callbacks callbackQueue

	view        view
	updates     updateQueue
	probes      prober
	relays      relayState
	antiEntropy antiEntropyState
	facts       factStore

	// lastHint is when a hint about each daemon was last acted on.
	lastHint map[sqid.DaemonID]time.Time
	// announced is set once this daemon has announced its own row.
	announced bool
	leaving   bool
	// reportedIncarnation is the highest incarnation that OnReplaced was called
	// for.
	reportedIncarnation sqid.Incarnation
	// disabled is set only by tests.
	disabled mechanisms
}

// mechanisms are parts of the protocol that tests can disable to show what each
// is for.
type mechanisms struct {
	// antiEntropy is the comparison of digests.
	antiEntropy bool
	// refutableDeath treats a death reported in an exchange as a suspicion.
	refutableDeath bool
}

// Timing holds the intervals and timeouts of the protocol.
type Timing struct {
	// ProbeInterval is the time between two probes; default 1 s.
	ProbeInterval time.Duration
	// AckTimeout is the time to wait for the acknowledgement of a ping; default 300 ms.
	AckTimeout time.Duration
	// MinSuspicion and MaxSuspicion bound the suspicion timeout; defaults 1.5 s
	// and 4.5 s.
	MinSuspicion time.Duration
	MaxSuspicion time.Duration
	// RelayInterval is the time between two probes of another data centre; default
	// 10 s. After a push or a missed probe the next one is sooner.
	RelayInterval time.Duration
	// TombstoneTTL is the time for which the row of a dead or left daemon is kept as a
	// tombstone; default 1 h.
	TombstoneTTL time.Duration
}

func (p Timing) withDefaults() Timing {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&p.ProbeInterval, time.Second)
	setDefault(&p.AckTimeout, 300*time.Millisecond)
	setDefault(&p.MinSuspicion, 1500*time.Millisecond)
	setDefault(&p.MaxSuspicion, 4500*time.Millisecond)
	setDefault(&p.RelayInterval, 10*time.Second)
	setDefault(&p.TombstoneTTL, time.Hour)
	return p
}

// start initialises the member on first use.
func (m *Member) start() {
	if m.started {
		return
	}
	m.started = true
	if m.Targets == nil {
		m.Targets = &sqtarget.Directory{}
	}
	m.Timing = m.Timing.withDefaults()
	m.fleetHash = uint32(xxhash.Sum64String(m.Fleet + "\x00" + protocolVersion))
	m.self = m.Local
	m.self.Version, m.self.State, m.self.Targets = 1, Alive, nil
	m.putRow(m.self)
}

// enter locks the member. The returned function unlocks it, runs the callbacks
// that are due and returns the messages to send.
func (m *Member) enter(now time.Time) func() []Message {
	m.mu.Lock()
	m.start()
	if now.After(m.now) {
		m.now = now
	}
	return func() []Message {
		m.pushOutbound()
		outbox := m.outbox
		m.outbox = nil
		m.mu.Unlock()
		m.callbacks.run()
		return outbox
	}
}

// changeLocal runs f under the lock, for changes made by this daemon itself.
// The resulting messages are returned by the next call of Flush, Tick or
// Receive.
func (m *Member) changeLocal(f func()) {
	m.mu.Lock()
	m.start()
	f()
	m.mu.Unlock()
	m.callbacks.run()
	if m.Wake != nil {
		m.Wake()
	}
}

// Tick runs the work that is due at now. It must be called every TickPeriod; a
// gap of more than a second is taken as a pause of the process, in which
// replies may have been missed.
func (m *Member) Tick(now time.Time) []Message {
	last := m.lastTick()
	finish := m.enter(now)
	if gap := now.Sub(last); !last.IsZero() && gap > pauseThreshold {
		m.resumeAfterPause(gap)
	}
	m.probes.tickedAt = now
	m.tickProbes()
	m.expireSuspicions()
	m.tickRelay()
	m.reapTombstones()
	m.gossip()
	return finish()
}

func (m *Member) lastTick() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.probes.tickedAt
}

// Flush returns the messages for the changes that this daemon made since the
// last call of Tick, Receive or Flush.
func (m *Member) Flush(now time.Time) []Message {
	finish := m.enter(now)
	m.gossip()
	return finish()
}

// Receive handles a datagram that came from an address. Datagrams of other
// fleets are ignored.
func (m *Member) Receive(now time.Time, from string, d *sqmemberwire.Datagram) []Message {
	finish := m.enter(now)
	if m.valid(d) {
		m.receive(from, d)
	}
	return finish()
}

// Valid reports whether a datagram comes from another daemon of this fleet.
func (m *Member) Valid(d *sqmemberwire.Datagram) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start()
	return m.valid(d)
}

func (m *Member) valid(d *sqmemberwire.Datagram) bool {
	return d.GetFleet() == m.fleetHash && d.GetFrom() != "" &&
		(d.GetFrom() != string(m.self.ID) || d.GetIncarnation() != uint64(m.self.Incarnation))
}

func (m *Member) receive(address string, d *sqmemberwire.Datagram) {
	src := source{daemon: sqid.DaemonID(d.GetFrom()), address: address}
	for _, w := range d.GetRows() {
		m.acceptWireRow(w, src)
	}
	for _, f := range d.GetFacts() {
		m.acceptFact(f, src)
	}
	switch d.GetKind() {
	case sqmemberwire.Kind_KIND_PING:
		m.receivePing(address, d)
	case sqmemberwire.Kind_KIND_ACK:
		m.receiveAck(d)
		m.compareDigests(address, d)
	case sqmemberwire.Kind_KIND_PING_REQUEST:
		m.receivePingRequest(address, d)
	case sqmemberwire.Kind_KIND_NACK:
		m.receiveNack(d)
	case sqmemberwire.Kind_KIND_HINT:
		m.probeHinted(sqid.DaemonID(d.GetTarget()))
	}
}

// Self returns the daemon's own row.
func (m *Member) Self() Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start()
	return m.self
}

// Row returns the row of a daemon, including that of a dead or left daemon
// whose tombstone is still kept.
func (m *Member) Row(id sqid.DaemonID) (Row, bool) {
	return m.rows.Get(id)
}

// Each calls f with each row until f returns false. f must not call the Member.
func (m *Member) Each(f func(Row) bool) {
	m.rows.Each(func(_ sqid.DaemonID, r Row) bool { return f(r) })
}

// Alive returns the rows of a data centre's daemons that are alive and not
// suspect, in order of rank, including this daemon's row.
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

// IsWatcher reports whether this daemon is one of the two that watch the platform
// for its data centre. They are its relays.
func (m *Member) IsWatcher() bool {
	return m.IsRelay()
}

// IsFirstRelay reports whether this daemon is the first relay of its data centre,
// which does the work that one daemon per data centre does.
func (m *Member) IsFirstRelay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start()
	return m.relayRank() == 0
}

// Rank returns this daemon's rank among the alive daemons of its data centre, 0 being
// the first, or -1 if it is not one of them.
func (m *Member) Rank() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start()
	rank := 0
	for _, id := range m.view.ranked(m.self.DataCentre) {
		if id == m.self.ID {
			return rank
		}
		if r, ok := m.rows.Get(id); ok && r.State == Alive {
			rank++
		}
	}
	return -1
}

// IsRelay reports whether this daemon is one of the two relays, which exchange
// updates with the other data centres.
func (m *Member) IsRelay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start()
	return m.relayRank() >= 0
}
