package sqledger

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqledgerwire"
)

const (
	// witnessTimeout bounds one request to a witness, a daemon that is asked which epoch
	// it knows.
	witnessTimeout = 400 * time.Millisecond
	// informPeriod is the period at which the newest record is sent to daemons that may
	// not have it.
	informPeriod = 200 * time.Millisecond
)

// adoptRecord adopts a record of any data centre if it is newer than the known one.
func (l *Ledger) adoptRecord(r *sqkeeper.Record) {
	l.mu.Lock()
	isNewer := l.adoptRecordLocked(r, time.Now())
	l.mu.Unlock()
	if isNewer {
		l.subscribeAll(r)
	}
}

// adoptRecordLocked does the same without subscribing to further records, and reports
// whether the record was newer. mu is held.
func (l *Ledger) adoptRecordLocked(r *sqkeeper.Record, now time.Time) bool {
	known := l.records[r.DataCentre]
	if known != nil && known.Epoch >= r.Epoch {
		return false
	}
	if l.records == nil {
		l.records = make(map[sqid.DataCentreID]*sqkeeper.Record)
	}
	l.records[r.DataCentre] = r
	if r.DataCentre == l.DataCentre {
		l.machine.Adopt(r, now)
	}
	l.updateView(now)
	return true
}

// adoptEncoded adopts an encoded record from another daemon.
func (l *Ledger) adoptEncoded(body []byte) {
	r, err := sqkeeper.Decode(body)
	if err != nil {
		l.Log.Error(err, "invalid keepers record from a peer")
		return
	}
	l.adoptRecord(r)
}

// subscribe subscribes to the fact of a data centre's keepers record.
func (l *Ledger) subscribe(dc sqid.DataCentreID) {
	l.mu.Lock()
	already := l.subscribed[dc]
	if l.subscribed == nil {
		l.subscribed = make(map[sqid.DataCentreID]bool)
	}
	l.subscribed[dc] = true
	l.mu.Unlock()
	if !already && l.Facts != nil {
		l.Facts.OnFact(FactPrefix+string(dc), func(_ uint64, body []byte) { l.adoptEncoded(body) })
	}
}

// subscribeAll subscribes to the records of all data centres with shares.
func (l *Ledger) subscribeAll(r *sqkeeper.Record) {
	for _, dc := range r.NewestShares().DataCentres {
		l.subscribe(dc)
	}
}

// publishRecord spreads a record to all daemons as a fact.
func (l *Ledger) publishRecord(r *sqkeeper.Record) {
	if l.Facts != nil {
		l.Facts.Publish(FactPrefix+string(r.DataCentre), uint64(r.Epoch), r.Encode())
	}
}

// serveWitness answers with the newest epoch that this daemon knows, after it has adopted
// the record in the request.
func (l *Ledger) serveWitness(r *sqledgerwire.WitnessRequest) *sqledgerwire.WitnessAnswer {
	if len(r.Record) > 0 {
		l.adoptEncoded(r.Record)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	answer := &sqledgerwire.WitnessAnswer{Daemon: string(l.Self.Daemon), Incarnation: uint64(l.Self.Incarnation)}
	if known := l.records[sqid.DataCentreID(r.DataCentre)]; known != nil {
		answer.Epoch = uint64(known.Epoch)
		if answer.Epoch > r.Epoch {
			answer.Record = known.Encode()
		}
	}
	return answer
}

// askWitnesses asks daemons of this data centre in parallel which epoch they know, and
// sends the newest record to those that may not have it.
func (l *Ledger) askWitnesses(ctx context.Context, members []sqkeeper.Member) {
	var wait sync.WaitGroup
	for _, m := range members {
		if !m.Is(l.Self) {
			wait.Go(func() { l.askWitness(ctx, m) })
		}
	}
	wait.Wait()
}

func (l *Ledger) askWitness(ctx context.Context, m sqkeeper.Member) {
	request := &sqledgerwire.WitnessRequest{DataCentre: string(l.DataCentre)}
	l.mu.Lock()
	if r := l.machine.Record(); r != nil {
		request.Epoch = uint64(r.Epoch)
		if !l.machine.KnowsNewest(m) {
			request.Record = r.Encode()
		}
	}
	l.mu.Unlock()
	p, err := l.dial(m.PeerAddress)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := p.Witness(ctx, request)
	if err != nil {
		return
	}
	l.noteWitnessAnswer(answer, sent)
}

// noteWitnessAnswer notes a witness's answer to a request sent at sent.
func (l *Ledger) noteWitnessAnswer(answer *sqledgerwire.WitnessAnswer, sent time.Time) {
	if len(answer.Record) > 0 {
		l.adoptEncoded(answer.Record)
	}
	from := sqkeeper.Member{Daemon: sqid.DaemonID(answer.Daemon), Incarnation: sqid.Incarnation(answer.Incarnation)}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.machine.NoteAnswer(from, sqid.Epoch(answer.Epoch), sent, now)
	l.updateView(now)
}

// witnessesToAsk returns the members of the roster to ask for evidence now: only as many
// as make a majority while the evidence is in the first half of its lifetime, then all of
// them and the platform as well. The only member of a roster of one reads the platform
// once its evidence is 10 s old. It returns none if this daemon keeps no shard.
func (l *Ledger) witnessesToAsk(now time.Time) (witnesses []sqkeeper.Member, alsoPlatform bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.machine.Record()
	if r == nil || len(r.HeldBy(l.Self)) == 0 {
		return nil, false
	}
	left := l.machine.EvidenceUntil(now).Sub(now)
	if len(r.Roster) == 1 {
		return nil, left < l.Timing.SoloLifetime-10*time.Second
	}
	others := make([]sqkeeper.Member, 0, len(r.Roster))
	self := r.Roster.Index(l.Self)
	for i := 1; i < len(r.Roster); i++ {
		others = append(others, r.Roster[(self+i)%len(r.Roster)])
	}
	if left > l.Timing.EvidenceLifetime/2 {
		return others[:r.Roster.Majority()-1], false
	}
	return others, true
}

// refreshEvidence asks the witnesses, and the platform if necessary.
func (l *Ledger) refreshEvidence(ctx context.Context) {
	witnesses, alsoPlatform := l.witnessesToAsk(time.Now())
	var wait sync.WaitGroup
	if alsoPlatform {
		wait.Go(func() { l.refreshRecord(ctx) })
	}
	l.askWitnesses(ctx, witnesses)
	wait.Wait()
}

// informUnaware sends the newest record to members of earlier rosters that may not have
// it. A daemon that has restarted at another address is asked there too: only its new
// incarnation can confirm that the earlier one has ended. The daemon of rank 0 does this,
// and so does one with a shard that waits for earlier rosters to close.
func (l *Ledger) informUnaware(ctx context.Context) {
	alive, isFirst := l.Members.Alive(l.DataCentre), l.rank() == 0
	l.mu.Lock()
	var unaware []sqkeeper.Member
	if isFirst || l.machine.Waiting() {
		unaware = l.machine.Unaware(time.Now())
	}
	l.mu.Unlock()
	for _, o := range unaware {
		for _, m := range alive {
			if m.Daemon == o.Daemon && m.PeerAddress != o.PeerAddress {
				unaware = append(unaware, m)
			}
		}
	}
	l.askWitnesses(ctx, unaware)
}
