package sqmember

import (
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

const (
	// settle is the time for which digests must have stood, so that a
	// difference is not merely news under way.
	settle = 700 * time.Millisecond
	// differMost is how long a difference may last while news never settles.
	differMost = 8 * time.Second
	// exchangePeriod is the least time between two exchanges.
	exchangePeriod = time.Second
	// quietRows is the number of rows learned at once that is too large for
	// rumours; the digests then repair the others.
	quietRows = 64
	// pushRows bounds the rows of one message.
	pushRows    = 400
	settledUnit = 100 * time.Millisecond
	settledMost = 100
)

// repairer compares digests with those of others.
type repairer struct {
	next time.Time
	// rows and facts are when the digests last agreed with another daemon's.
	rows  time.Time
	facts time.Time
}

func (m *Member) settled(changed time.Time) uint32 {
	return uint32(min(m.now.Sub(changed)/settledUnit, settledMost))
}

// withDigests adds the digests to a datagram.
func (m *Member) withDigests(d *sqmemberwire.Datagram) *sqmemberwire.Datagram {
	d.RowsDigest, d.RowsSettled = m.view.digest, m.settled(m.view.changed)
	d.FactsDigest, d.FactsSettled = m.facts.digest, m.settled(m.facts.changed)
	return d
}

// compare starts an exchange with the sender of an answer whose digests
// differ for longer than news takes to spread.
func (m *Member) compare(address string, d *sqmemberwire.Datagram) {
	rows := m.differs(&m.repair.rows, d.GetRowsDigest() == m.view.digest, m.view.changed, d.GetRowsSettled())
	facts := m.differs(&m.repair.facts, d.GetFactsDigest() == m.facts.digest, m.facts.changed, d.GetFactsSettled())
	if (!rows && !facts) || m.now.Before(m.repair.next) || m.off.repair {
		return
	}
	m.repair.next = m.now.Add(exchangePeriod + m.randomSpan(exchangePeriod))
	m.out = append(m.out, Send{Address: address, Exchange: m.exchangeRequest(rows, facts)})
}

func (m *Member) differs(last *time.Time, same bool, changed time.Time, theirs uint32) bool {
	if same || last.IsZero() {
		*last = m.now
	}
	if same {
		return false
	}
	settled := m.now.Sub(changed) >= settle && time.Duration(theirs)*settledUnit >= settle
	return settled || m.now.Sub(*last) >= differMost
}

func (m *Member) exchangeRequest(rows, facts bool) *sqmemberwire.ExchangeRequest {
	req := &sqmemberwire.ExchangeRequest{
		Fleet: m.fleet, From: string(m.self.ID), CompareRows: rows, CompareFacts: facts,
		Rows: []*sqmemberwire.Row{m.self.wire()},
	}
	if rows {
		for _, dc := range m.view.order {
			c := m.view.centre(dc)
			req.Digests = append(req.Digests, &sqmemberwire.Digests{DataCentre: string(dc), Buckets: slices.Clone(c.digests[:])})
		}
	}
	if facts {
		req.Facts = m.facts.names()
	}
	return req
}

// Exchange answers another daemon's request. The reply is not bounded; the
// transport sends it in parts.
func (m *Member) Exchange(now time.Time, req *sqmemberwire.ExchangeRequest) (*sqmemberwire.ExchangeReply, []Send) {
	leave := m.enter(now)
	reply := &sqmemberwire.ExchangeReply{From: string(m.self.ID)}
	if req.GetFleet() == m.fleet {
		m.answer(req, reply)
	}
	return reply, leave()
}

func (m *Member) answer(req *sqmemberwire.ExchangeRequest, reply *sqmemberwire.ExchangeReply) {
	src := source{from: sqid.DaemonID(req.GetFrom())}
	for _, w := range req.GetRows() {
		if w.GetDaemon() == req.GetFrom() {
			src.address = w.GetPeerAddress()
			m.acceptWire(w, src)
		}
	}
	m.acceptRows(req.GetRows(), src)
	for _, f := range req.GetFacts() {
		m.acceptFact(f, src)
	}
	if req.GetCompareRows() {
		reply.Buckets = m.differing(req.GetDigests())
		reply.Rows = m.rowsIn(reply.Buckets)
	}
	if req.GetCompareFacts() {
		reply.Facts = m.facts.newer(req.GetFacts())
	}
}

// acceptRows takes in rows that another daemon holds.
func (m *Member) acceptRows(rows []*sqmemberwire.Row, src source) {
	var fresh []*sqmemberwire.Row
	for _, w := range rows {
		old, ok := m.rows.Get(sqid.DaemonID(w.GetDaemon()))
		if validRow(w) && (!ok || rowOf(w).supersedes(old)) || w.GetDaemon() == string(m.self.ID) {
			fresh = append(fresh, w)
		}
	}
	src.exchange = true
	src.quiet = len(fresh) > quietRows
	for _, w := range fresh {
		m.acceptWire(w, src)
	}
}

// differing returns the buckets whose digests differ from another daemon's.
func (m *Member) differing(theirs []*sqmemberwire.Digests) []*sqmemberwire.Bucket {
	digests := make(map[sqid.DataCentreID][]uint64, len(theirs))
	for _, d := range theirs {
		digests[sqid.DataCentreID(d.GetDataCentre())] = d.GetBuckets()
	}
	var differ []*sqmemberwire.Bucket
	for _, dc := range m.view.order {
		other := digests[dc]
		for i, digest := range m.view.centre(dc).digests {
			if same := len(other) == buckets && other[i] == digest; !same && (len(other) == buckets || digest != 0) {
				differ = append(differ, &sqmemberwire.Bucket{DataCentre: string(dc), Index: uint32(i)})
			}
		}
		delete(digests, dc)
	}
	for _, d := range theirs {
		if _, unknown := digests[sqid.DataCentreID(d.GetDataCentre())]; !unknown {
			continue
		}
		for i := range min(len(d.GetBuckets()), buckets) {
			differ = append(differ, &sqmemberwire.Bucket{DataCentre: d.GetDataCentre(), Index: uint32(i)})
		}
	}
	return differ
}

// rowsIn returns the rows in some buckets, in order of id.
func (m *Member) rowsIn(in []*sqmemberwire.Bucket) []*sqmemberwire.Row {
	wanted := make(map[sqid.DataCentreID]*[buckets]bool)
	for _, b := range in {
		dc := sqid.DataCentreID(b.GetDataCentre())
		if wanted[dc] == nil {
			wanted[dc] = new([buckets]bool)
		}
		wanted[dc][b.GetIndex()%buckets] = true
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

// Exchanged takes in the answer to an Exchange that was sent to an address.
func (m *Member) Exchanged(now time.Time, address string, reply *sqmemberwire.ExchangeReply, err error) []Send {
	leave := m.enter(now)
	if err == nil {
		m.exchanged(address, reply)
	}
	return leave()
}

func (m *Member) exchanged(address string, reply *sqmemberwire.ExchangeReply) {
	src := source{from: sqid.DaemonID(reply.GetFrom()), address: address}
	theirs := make(map[string]Row, len(reply.GetRows()))
	for _, w := range reply.GetRows() {
		theirs[w.GetDaemon()] = rowOf(w)
	}
	m.acceptRows(reply.GetRows(), src)
	for _, f := range reply.GetFacts() {
		m.acceptFact(f, src)
	}
	if !m.announced {
		m.announced = true
		m.spreadRow(m.self, "", source{from: m.self.ID})
	}
	var lacking []*sqmemberwire.Row
	for _, w := range m.rowsIn(reply.GetBuckets()) {
		r := rowOf(w)
		held, ok := theirs[w.GetDaemon()]
		if (!ok && r.live()) || (ok && r.supersedes(held)) {
			lacking = append(lacking, w)
		}
	}
	for part := range slices.Chunk(lacking, pushRows) {
		req := &sqmemberwire.ExchangeRequest{Fleet: m.fleet, From: string(m.self.ID), Rows: part}
		m.out = append(m.out, Send{Address: address, Exchange: req})
	}
}
