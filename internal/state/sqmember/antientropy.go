package sqmember

import (
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

const (
	// settleTime is how long both digests must have been unchanged, so that a
	// difference is not just an update still being gossiped.
	settleTime = 700 * time.Millisecond
	// maxDivergence is how long digests may differ without an exchange while they
	// keep changing.
	maxDivergence = 8 * time.Second
	// minExchangeInterval is the least time between two exchanges.
	minExchangeInterval = time.Second
	// maxGossipedRows bounds the rows from one exchange that are gossiped on. More
	// are too many for gossip: none is, and anti-entropy repairs the other
	// daemons.
	maxGossipedRows = 64
	// introductions is the number of daemons to which a daemon that was just found
	// is made known.
	introductions = 2
	// maxPushedRows bounds the rows of one message.
	maxPushedRows = 400
	// settledUnit is the unit of a digest's age on the wire, and maxSettled the
	// largest age in that unit.
	settledUnit = 100 * time.Millisecond
	maxSettled  = 100
)

// antiEntropyState is the state of comparing digests with other daemons.
type antiEntropyState struct {
	nextExchange time.Time
	// rowsAgreed and factsAgreed are when the digests last agreed with another
	// daemon's.
	rowsAgreed  time.Time
	factsAgreed time.Time
}

// settledUnits returns the time since a digest changed in settledUnit.
func (m *Member) settledUnits(changed time.Time) uint32 {
	return uint32(min(m.now.Sub(changed)/settledUnit, maxSettled))
}

// withDigests adds the digests to a datagram.
func (m *Member) withDigests(d *sqmemberwire.Datagram) *sqmemberwire.Datagram {
	d.RowsDigest, d.RowsSettled = m.view.digest, m.settledUnits(m.view.digestChanged)
	d.FactsDigest, d.FactsSettled = m.facts.digest, m.settledUnits(m.facts.digestChanged)
	return d
}

// compareDigests starts an exchange with the sender of an acknowledgement whose
// digests differ for longer than updates take to spread.
func (m *Member) compareDigests(address string, d *sqmemberwire.Datagram) {
	rows := m.diverged(&m.antiEntropy.rowsAgreed, d.GetRowsDigest() == m.view.digest, m.view.digestChanged, d.GetRowsSettled())
	facts := m.diverged(&m.antiEntropy.factsAgreed, d.GetFactsDigest() == m.facts.digest, m.facts.digestChanged, d.GetFactsSettled())
	if (!rows && !facts) || m.now.Before(m.antiEntropy.nextExchange) || m.disabled.antiEntropy {
		return
	}
	m.antiEntropy.nextExchange = m.now.Add(minExchangeInterval + m.randomDuration(minExchangeInterval))
	m.outbox = append(m.outbox, Message{Address: address, Exchange: m.exchangeRequest(rows, facts)})
}

// diverged reports whether a difference of digests calls for an exchange: both
// digests have settled, or they have not agreed for maxDivergence. agreed is
// when they last agreed.
func (m *Member) diverged(agreed *time.Time, same bool, changed time.Time, theirs uint32) bool {
	if same || agreed.IsZero() {
		*agreed = m.now
	}
	if same {
		return false
	}
	settled := m.now.Sub(changed) >= settleTime && time.Duration(theirs)*settledUnit >= settleTime
	return settled || m.now.Sub(*agreed) >= maxDivergence
}

// exchangeRequest returns a request for the rows, the facts or both that this
// daemon lacks.
func (m *Member) exchangeRequest(rows, facts bool) *sqmemberwire.ExchangeRequest {
	req := &sqmemberwire.ExchangeRequest{
		Fleet: m.fleetHash, From: string(m.self.ID), CompareRows: rows, CompareFacts: facts,
		Rows: []*sqmemberwire.Row{m.self.wire()},
	}
	if rows {
		for _, dc := range m.view.dataCentres {
			c := m.view.dataCentre(dc)
			req.Digests = append(req.Digests, &sqmemberwire.Digests{DataCentre: string(dc), Buckets: slices.Clone(c.digests[:])})
		}
	}
	if facts {
		req.Facts = m.facts.summaries()
	}
	return req
}

// HandleExchange answers another daemon's request. The reply is not bounded; the
// transport sends it in parts.
func (m *Member) HandleExchange(now time.Time, req *sqmemberwire.ExchangeRequest) (*sqmemberwire.ExchangeReply, []Message) {
	finish := m.enter(now)
	reply := &sqmemberwire.ExchangeReply{From: string(m.self.ID)}
	if req.GetFleet() == m.fleetHash {
		m.answerExchange(req, reply)
	}
	return reply, finish()
}

func (m *Member) answerExchange(req *sqmemberwire.ExchangeRequest, reply *sqmemberwire.ExchangeReply) {
	src := source{daemon: sqid.DaemonID(req.GetFrom())}
	// The row of the sender comes first: it gives the address to fetch facts
	// from.
	for _, w := range req.GetRows() {
		if w.GetDaemon() == req.GetFrom() {
			src.address = w.GetPeerAddress()
			m.acceptWireRow(w, src)
		}
	}
	m.acceptRows(req.GetRows(), src)
	for _, f := range req.GetFacts() {
		m.acceptFact(f, src)
	}
	if req.GetCompareRows() {
		reply.Buckets = m.differingBuckets(req.GetDigests())
		reply.Rows = m.rowsInBuckets(reply.Buckets)
	}
	if req.GetCompareFacts() {
		reply.Facts = m.facts.newer(req.GetFacts())
	}
}

// acceptRows merges rows from another daemon's table.
func (m *Member) acceptRows(rows []*sqmemberwire.Row, src source) {
	var fresh []*sqmemberwire.Row
	for _, w := range rows {
		old, ok := m.rows.Get(sqid.DaemonID(w.GetDaemon()))
		if validWireRow(w) && (!ok || rowFromWire(w).supersedes(old)) || w.GetDaemon() == string(m.self.ID) {
			fresh = append(fresh, w)
		}
	}
	src.viaExchange = true
	src.noGossip = len(fresh) > maxGossipedRows
	for _, w := range fresh {
		m.acceptWireRow(w, src)
	}
}

// differingBuckets returns the buckets whose digests differ from another
// daemon's.
func (m *Member) differingBuckets(theirs []*sqmemberwire.Digests) []*sqmemberwire.Bucket {
	digests := make(map[sqid.DataCentreID][]uint64, len(theirs))
	for _, d := range theirs {
		digests[sqid.DataCentreID(d.GetDataCentre())] = d.GetBuckets()
	}
	var differ []*sqmemberwire.Bucket
	for _, dc := range m.view.dataCentres {
		other := digests[dc]
		for i, digest := range m.view.dataCentre(dc).digests {
			if same := len(other) == bucketCount && other[i] == digest; !same && (len(other) == bucketCount || digest != 0) {
				differ = append(differ, &sqmemberwire.Bucket{DataCentre: string(dc), Index: uint32(i)})
			}
		}
		delete(digests, dc)
	}
	for _, d := range theirs {
		if _, unknown := digests[sqid.DataCentreID(d.GetDataCentre())]; !unknown {
			continue
		}
		for i := range min(len(d.GetBuckets()), bucketCount) {
			differ = append(differ, &sqmemberwire.Bucket{DataCentre: d.GetDataCentre(), Index: uint32(i)})
		}
	}
	return differ
}

// rowsInBuckets returns the rows in some buckets, in order of id.
func (m *Member) rowsInBuckets(in []*sqmemberwire.Bucket) []*sqmemberwire.Row {
	wanted := make(map[sqid.DataCentreID]*[bucketCount]bool)
	for _, b := range in {
		dc := sqid.DataCentreID(b.GetDataCentre())
		if wanted[dc] == nil {
			wanted[dc] = new([bucketCount]bool)
		}
		wanted[dc][b.GetIndex()%bucketCount] = true
	}
	var rows []*sqmemberwire.Row
	m.rows.Each(func(id sqid.DaemonID, r Row) bool {
		if w := wanted[r.DataCentre]; w != nil && w[bucketOf(id)] {
			rows = append(rows, r.wire())
		}
		return true
	})
	slices.SortFunc(rows, func(a, b *sqmemberwire.Row) int {
		return compareID(sqid.DaemonID(a.GetDaemon()), sqid.DaemonID(b.GetDaemon()))
	})
	return rows
}

// HandleExchangeReply handles the reply to an Exchange that was sent to an address. It
// pushes the rows that the other daemon lacks.
func (m *Member) HandleExchangeReply(now time.Time, address string, reply *sqmemberwire.ExchangeReply, err error) []Message {
	finish := m.enter(now)
	if err == nil {
		m.exchanged(address, reply)
	}
	return finish()
}

func (m *Member) exchanged(address string, reply *sqmemberwire.ExchangeReply) {
	src := source{daemon: sqid.DaemonID(reply.GetFrom()), address: address}
	_, known := m.rows.Get(src.daemon)
	if !known {
		defer m.introduce(src.daemon)
	}
	theirs := make(map[string]Row, len(reply.GetRows()))
	for _, w := range reply.GetRows() {
		theirs[w.GetDaemon()] = rowFromWire(w)
	}
	m.acceptRows(reply.GetRows(), src)
	for _, f := range reply.GetFacts() {
		m.acceptFact(f, src)
	}
	if !m.announced {
		m.announced = true
		m.gossipRow(m.self, "", source{daemon: m.self.ID})
	}
	var missing []*sqmemberwire.Row
	for _, w := range m.rowsInBuckets(reply.GetBuckets()) {
		r := rowFromWire(w)
		held, ok := theirs[w.GetDaemon()]
		if (!ok && r.live()) || (ok && r.supersedes(held)) {
			missing = append(missing, w)
		}
	}
	for part := range slices.Chunk(missing, maxPushedRows) {
		req := &sqmemberwire.ExchangeRequest{Fleet: m.fleetHash, From: string(m.self.ID), Rows: part}
		m.outbox = append(m.outbox, Message{Address: address, Exchange: req})
	}
}

// introduce sends the row of a daemon that this one has just found to daemons of its data
// centre. After a restart of the fleet these may know only this daemon, and gossip of
// their data centre can't reach the new one.
func (m *Member) introduce(id sqid.DaemonID) {
	r, ok := m.rows.Get(id)
	if !ok || !r.live() || r.DataCentre == m.self.DataCentre {
		return
	}
	introduced := 0
	for _, other := range m.view.ranked(r.DataCentre) {
		o, ok := m.rows.Get(other)
		if !ok || o.State != Alive || other == id || introduced == introductions {
			continue
		}
		introduced++
		req := &sqmemberwire.ExchangeRequest{Fleet: m.fleetHash, From: string(m.self.ID), Rows: []*sqmemberwire.Row{r.wire()}}
		m.outbox = append(m.outbox, Message{Address: o.PeerAddress, Exchange: req})
	}
}
