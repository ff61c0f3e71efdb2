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
	// witnessTimeout bounds the wait for a witness.
	witnessTimeout = 400 * time.Millisecond
	// tellPeriod is the period at which daemons that may not know of a new
	// epoch are told.
	tellPeriod = 200 * time.Millisecond
)

// learn takes in a record of any data centre.
func (l *Ledger) learn(r *sqkeeper.Record) {
	l.mu.Lock()
	newer := l.learnLocked(r, time.Now())
	l.mu.Unlock()
	if newer {
		l.followAll(r)
	}
}

func (l *Ledger) learnLocked(r *sqkeeper.Record, now time.Time) bool {
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
	l.refresh(now)
	return true
}

func (l *Ledger) learnBody(body []byte) {
	r, err := sqkeeper.Decode(body)
	if err != nil {
		l.Log.Error(err, "keepers record from a peer")
		return
	}
	l.learn(r)
}

// follow subscribes to the fact of a data centre's keepers record.
func (l *Ledger) follow(dc sqid.DataCentreID) {
	l.mu.Lock()
	again := l.followed[dc]
	if l.followed == nil {
		l.followed = make(map[sqid.DataCentreID]bool)
	}
	l.followed[dc] = true
	l.mu.Unlock()
	if !again && l.Facts != nil {
		l.Facts.OnFact(FactPrefix+string(dc), func(_ uint64, body []byte) { l.learnBody(body) })
	}
}

func (l *Ledger) followAll(r *sqkeeper.Record) {
	for _, dc := range r.NewestShares().DataCentres {
		l.follow(dc)
	}
}

func (l *Ledger) publish(r *sqkeeper.Record) {
	if l.Facts != nil {
		l.Facts.Publish(FactPrefix+string(r.DataCentre), uint64(r.Epoch), r.Encode())
	}
}

// serveWitness answers with the epoch that this daemon knows; what it did not
// know before it has learnt first.
func (l *Ledger) serveWitness(r *sqledgerwire.WitnessRequest) *sqledgerwire.WitnessAnswer {
	if len(r.Record) > 0 {
		l.learnBody(r.Record)
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

// consult asks daemons of the own data centre for the epoch that they know,
// all at once, and tells those that may not know of the newest record.
func (l *Ledger) consult(ctx context.Context, members []sqkeeper.Member) {
	var wait sync.WaitGroup
	for _, m := range members {
		if !m.Is(l.Self) {
			wait.Go(func() { l.consultOne(ctx, m) })
		}
	}
	wait.Wait()
}

func (l *Ledger) consultOne(ctx context.Context, m sqkeeper.Member) {
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
	l.heard(answer, sent)
}

func (l *Ledger) heard(answer *sqledgerwire.WitnessAnswer, sent time.Time) {
	if len(answer.Record) > 0 {
		l.learnBody(answer.Record)
	}
	from := sqkeeper.Member{Daemon: sqid.DaemonID(answer.Daemon), Incarnation: sqid.Incarnation(answer.Incarnation)}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.machine.NoteAnswer(from, sqid.Epoch(answer.Epoch), sent, now)
	l.refresh(now)
}

// witnesses returns whom to ask for evidence now: as few as make a majority
// while the evidence is young, else the whole roster, and then the platform
// too.
func (l *Ledger) witnesses(now time.Time) (ask []sqkeeper.Member, platform bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.machine.Record()
	if r == nil || len(r.HeldBy(l.Self)) == 0 {
		return nil, false
	}
	left := l.machine.EvidenceUntil(now).Sub(now)
	if len(r.Roster) == 1 {
		return nil, left < l.Terms.SoloLifetime-10*time.Second
	}
	others := make([]sqkeeper.Member, 0, len(r.Roster))
	self := r.Roster.Index(l.Self)
	for i := 1; i < len(r.Roster); i++ {
		others = append(others, r.Roster[(self+i)%len(r.Roster)])
	}
	if left > l.Terms.EvidenceLifetime/2 {
		return others[:r.Roster.Majority()-1], false
	}
	return others, true
}

// refreshEvidence asks the witnesses, and the platform if need be.
func (l *Ledger) refreshEvidence(ctx context.Context) {
	ask, platform := l.witnesses(time.Now())
	var wait sync.WaitGroup
	if platform {
		wait.Go(func() { l.readOwn(ctx) })
	}
	l.consult(ctx, ask)
	wait.Wait()
}

// tell tells the members of earlier rosters that may not know of the newest
// record, or the daemons that now live under their names: only a daemon itself
// can say that its former life has ended.
func (l *Ledger) tell(ctx context.Context) {
	alive, first := l.Members.Alive(l.DataCentre), l.rank() == 0
	l.mu.Lock()
	var unaware []sqkeeper.Member
	if first || l.machine.Waiting() {
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
	l.consult(ctx, unaware)
}
