package sqledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtimer"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqledgerwire"
)

const (
	// handoverTimeout bounds one message of a handover.
	handoverTimeout = time.Second
	// retryPause is the pause between two tries to write a handover.
	retryPause = 50 * time.Millisecond
	// lingerTerm is how long the streams of entries stay open after a stop, so
	// that the entries hear of the next keepers.
	lingerTerm = 300 * time.Millisecond
)

// Giver is told of a planned handover.
type Giver interface {
	// Give is called when this daemon has stopped keeping the shards and
	// before the record names their next keeper. It may take until ctx ends.
	Give(ctx context.Context, shards []sqid.ShardID, to sqkeeper.Member)
}

// OnGive has g told of the handovers from now on.
func (l *Ledger) OnGive(g Giver) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.givers = append(l.givers, g)
}

// Stop hands over the shards of this daemon with their ledgers and takes it
// out of the roster. The next keeper begins at once: this daemon has stopped
// before the record changes, and what it had lent is in the ledgers. Loans that
// it had borrowed go back to their lenders. Charges that come meanwhile are
// told to ask again and are not refused. Stop returns an error if ctx ends
// before the record has changed; the shards then wait for a takeover. Shortly
// after Stop the streams of the entries end.
func (l *Ledger) Stop(ctx context.Context) error {
	l.init()
	l.mu.Lock()
	again := l.stopping
	l.stopping = true
	r := l.machine.Record()
	l.mu.Unlock()
	if !again {
		defer time.AfterFunc(lingerTerm, func() { close(l.ended) })
	}
	if r == nil || r.Roster.Index(l.Self) < 0 {
		return nil
	}
	to := l.successors(ctx, r)
	if len(to) == 0 {
		return errors.New("no daemon of the data centre can take the shards over")
	}
	return l.handOver(ctx, to, true)
}

// successors returns the daemons that each kept shard should go to.
func (l *Ledger) successors(ctx context.Context, r *sqkeeper.Record) map[sqid.ShardID]sqkeeper.Member {
	var takers []sqkeeper.Member
	for _, m := range l.Members.Alive(l.DataCentre) {
		if len(takers) < sqkeeper.RosterSize && !m.Is(l.Self) && l.accepts(ctx, m, nil) {
			takers = append(takers, m)
		}
	}
	slices.SortStableFunc(takers, func(a, b sqkeeper.Member) int {
		return len(r.HeldBy(a)) - len(r.HeldBy(b))
	})
	to := make(map[sqid.ShardID]sqkeeper.Member)
	for i, s := range r.HeldBy(l.Self) {
		if len(takers) > 0 {
			to[s] = takers[i%len(takers)]
		}
	}
	return to
}

// balance hands over the shards that this daemon has too many of.
func (l *Ledger) balance(ctx context.Context) {
	l.mu.Lock()
	r, stopping := l.machine.Record(), l.stopping
	l.mu.Unlock()
	if stopping || len(l.Kept(time.Now())) == 0 {
		return
	}
	to, alive := r.Surplus(l.Self), sqkeeper.Roster(l.Members.Alive(l.DataCentre))
	takers := make(map[sqid.DaemonID]bool)
	for s, m := range to {
		if _, asked := takers[m.Daemon]; !asked {
			takers[m.Daemon] = alive.Index(m) >= 0 && l.accepts(ctx, m, nil)
		}
		if !takers[m.Daemon] {
			delete(to, s)
		}
	}
	if len(to) == 0 {
		return
	}
	if _, err := l.readOwn(ctx); err != nil {
		return
	}
	if err := l.handOver(ctx, to, false); err != nil {
		l.Log.Error(err, "handover")
	}
}

// accepts offers the shards to m; without shards it asks whether m would take
// some.
func (l *Ledger) accepts(ctx context.Context, m sqkeeper.Member, shards []*sqledgerwire.ShardState) bool {
	p, err := l.dial(m.PeerAddress)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	answer, err := p.Handover(ctx, &sqledgerwire.HandoverRequest{DataCentre: string(l.DataCentre), Shards: shards})
	return err == nil && answer.Accepted
}

// handOver stops spending the shards, sends their state, and then changes the
// record until that has taken effect.
func (l *Ledger) handOver(ctx context.Context, to map[sqid.ShardID]sqkeeper.Member, leave bool) error {
	to = l.started(to)
	l.giveBackLoans(ctx, to)
	states := l.release(to)
	l.sendStates(ctx, to, states)
	derive := func(r *sqkeeper.Record, now time.Time) (*sqkeeper.Record, bool) {
		return l.given(r, now, to, leave)
	}
	for {
		err := l.change(ctx, derive)
		if err == nil {
			return nil
		}
		if sqtimer.Sleep(ctx, retryPause) != nil {
			return errors.Wrap(err, "handover is not in the record")
		}
	}
}

// given returns the record in which the shards have moved, and false if they
// have moved already.
func (l *Ledger) given(r *sqkeeper.Record, now time.Time, to map[sqid.ShardID]sqkeeper.Member, leave bool) (*sqkeeper.Record, bool) {
	if r.Roster.Index(l.Self) < 0 {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	mine := make(map[sqid.ShardID]sqkeeper.Member)
	for s, m := range to {
		if r.Keeper(s).Is(l.Self) && r.Assignments[s].Since == l.machine.Since(s) {
			mine[s] = m
		}
	}
	if len(mine) == 0 && !leave {
		return nil, false
	}
	return r.HandOver(l.Self, mine, leave, func(e sqkeeper.EarlierRoster) bool { return l.machine.Closed(e, now) })
}

// started returns those of the shards that this daemon spends. Of another the
// keeper before may still spend, so its next keeper has to wait for that one.
func (l *Ledger) started(to map[sqid.ShardID]sqkeeper.Member) map[sqid.ShardID]sqkeeper.Member {
	now, kept := time.Now(), make(map[sqid.ShardID]sqkeeper.Member)
	for s, m := range to {
		if l.Keeping(s, now) {
			kept[s] = m
		}
	}
	return kept
}

// giveBackLoans returns what the shards' ledgers have borrowed.
func (l *Ledger) giveBackLoans(ctx context.Context, to map[sqid.ShardID]sqkeeper.Member) {
	var wait sync.WaitGroup
	for s := range to {
		for dc, requests := range l.loansOf(&l.shards[s]) {
			for _, r := range requests {
				wait.Go(func() {
					// Without an answer the loans end with their term.
					_, _ = l.lend(ctx, dc, r)
				})
			}
		}
	}
	wait.Wait()
}

func (l *Ledger) loansOf(s *shard) map[sqid.DataCentreID][]*sqledgerwire.LendRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, requests := time.Now(), make(map[sqid.DataCentreID][]*sqledgerwire.LendRequest)
	for _, a := range s.accounts {
		for _, h := range a.ledger.Borrowed(now) {
			if loan, ok := a.ledger.GiveBack(now, h.ID); ok {
				dc := a.borrowing.lenders[h.ID]
				requests[dc] = append(requests[dc], &sqledgerwire.LendRequest{
					Workspace: string(a.workspace), DataCentre: string(l.DataCentre),
					GiveBack: []*sqledgerwire.Loan{loanTo(loan)},
				})
			}
		}
	}
	return requests
}

// release stops spending the shards, for good, and returns their state.
func (l *Ledger) release(to map[sqid.ShardID]sqkeeper.Member) map[sqid.ShardID]*sqledgerwire.ShardState {
	l.mu.Lock()
	for s := range to {
		l.machine.Release(s)
	}
	l.refresh(time.Now())
	l.mu.Unlock()
	states := make(map[sqid.ShardID]*sqledgerwire.ShardState)
	for s := range to {
		states[s] = l.shards[s].state()
	}
	return states
}

// state returns the ledgers of a shard that is no longer spent.
func (s *shard) state() *sqledgerwire.ShardState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	m := &sqledgerwire.ShardState{Shard: uint32(s.id), Since: uint64(s.since), Whole: s.whole}
	for _, a := range s.accounts {
		state := &sqledgerwire.LedgerState{
			Workspace: string(a.workspace), Tokens: float64(a.ledger.Tokens(now)),
			ShareRate: float64(a.share.Rate), ShareBurst: float64(a.share.Burst),
		}
		for _, h := range a.ledger.Lent(now) {
			state.Lent = append(state.Lent, &sqledgerwire.LentState{
				Id: uint64(h.ID), Rate: float64(h.Capacity.Rate), Burst: float64(h.Capacity.Burst),
				LeftUs: h.End.Sub(now).Microseconds() + 1,
			})
		}
		m.Ledgers = append(m.Ledgers, state)
	}
	s.accounts, s.since = nil, 0
	return m
}

// sendStates sends each next keeper its shards. One that does not get them
// waits for the loans to end.
func (l *Ledger) sendStates(ctx context.Context, to map[sqid.ShardID]sqkeeper.Member, states map[sqid.ShardID]*sqledgerwire.ShardState) {
	byTaker := make(map[sqkeeper.Member][]sqid.ShardID)
	for s, m := range to {
		byTaker[m] = append(byTaker[m], s)
	}
	l.mu.Lock()
	givers := slices.Clone(l.givers)
	l.mu.Unlock()
	var wait sync.WaitGroup
	for m, shards := range byTaker {
		wait.Go(func() {
			for _, g := range givers {
				g.Give(ctx, shards, m)
			}
			var offer []*sqledgerwire.ShardState
			for _, s := range shards {
				offer = append(offer, states[s])
			}
			if !l.accepts(ctx, m, offer) {
				l.Log.Info("handover was not accepted", "daemon", m.Daemon)
			}
		})
	}
	wait.Wait()
}

// serveHandover takes in the state of shards whose keeper has stopped.
func (l *Ledger) serveHandover(r *sqledgerwire.HandoverRequest) *sqledgerwire.HandoverAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping || sqid.DataCentreID(r.DataCentre) != l.DataCentre {
		return &sqledgerwire.HandoverAnswer{}
	}
	for _, m := range r.Shards {
		if m.Shard < sqkeeper.ShardCount && l.machine.NoteHandover(sqid.ShardID(m.Shard), sqid.Epoch(m.Since)) {
			s := &l.shards[m.Shard]
			s.mu.Lock()
			s.offered, s.offeredAt = m, time.Now()
			s.mu.Unlock()
		}
	}
	return &sqledgerwire.HandoverAnswer{Accepted: true}
}

// restore makes the accounts those that the keeper before has handed over. Its
// loans end at the latest when they would have ended there. The shard is locked.
func (l *Ledger) restore(s *shard, v *view, now time.Time) {
	m := s.offered
	s.offered = nil
	if h := v.records[l.DataCentre].Assignments[s.id]; h.HandedSince == 0 || h.HandedSince != sqid.Epoch(m.Since) {
		return
	}
	s.whole = m.Whole
	for _, state := range m.Ledgers {
		share := sqlimit.Capacity{Rate: squnit.Rate(state.ShareRate), Burst: squnit.Tokens(state.ShareBurst)}
		w := sqid.WorkspaceID(state.Workspace)
		plan, _ := l.planOf(w)
		a := l.put(s, v, w, plan, share, now)
		var lent []sqlimit.LoanRecord
		for _, h := range state.Lent {
			lent = append(lent, sqlimit.LoanRecord{
				ID:       sqlimit.LoanID(h.Id),
				Capacity: sqlimit.Capacity{Rate: squnit.Rate(h.Rate), Burst: squnit.Tokens(h.Burst)},
				End:      s.offeredAt.Add(time.Duration(h.LeftUs)*time.Microsecond + l.Terms.MaxDrift),
			})
		}
		a.ledger.Restore(now, squnit.Tokens(state.Tokens), lent)
	}
}
