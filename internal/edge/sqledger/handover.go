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
	// handoverTimeout bounds one request of a handover.
	handoverTimeout = time.Second
	// handoverRetryPause is the pause between two attempts to write a handover into the
	// keepers record.
	handoverRetryPause = 50 * time.Millisecond
	// streamCloseDelay is how long the streams of entries stay open after Stop, so that
	// the entries receive the record that names the next keepers.
	streamCloseDelay = 300 * time.Millisecond
)

// HandoverListener is called during planned handovers, to hand over further state of the
// shards.
type HandoverListener interface {
	// BeforeHandover is called after this daemon has stopped keeping the shards and before
	// the keepers record names their next keeper. It may block until ctx ends.
	BeforeHandover(ctx context.Context, shards []sqid.ShardID, to sqkeeper.Member)
}

// AddHandoverListener registers listener for later handovers.
func (l *Ledger) AddHandoverListener(listener HandoverListener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listeners = append(l.listeners, listener)
}

// Stop hands over the shards of this daemon with their ledgers and removes it from the
// roster. The next keepers may spend at once: this daemon stops spending before the
// record changes, and the ledgers list what it has lent. Loans that it has borrowed are
// given back to their lenders. Charges that arrive during the handover are not refused
// but answered as not kept here, so that entries retry them. Stop returns an error if
// ctx ends before the record has changed; the shards then wait for a takeover. The
// streams of entries end streamCloseDelay after Stop.
func (l *Ledger) Stop(ctx context.Context) error {
	l.init()
	l.mu.Lock()
	stoppedBefore := l.stopping
	l.stopping = true
	r := l.machine.Record()
	l.mu.Unlock()
	if !stoppedBefore {
		defer time.AfterFunc(streamCloseDelay, func() { close(l.stopped) })
	}
	if r == nil || r.Roster.Index(l.Self) < 0 {
		return nil
	}
	nextKeepers := l.successors(ctx, r)
	if len(nextKeepers) == 0 {
		return errors.New("no other daemon of the data centre accepts the shards")
	}
	return l.handOver(ctx, nextKeepers, true)
}

// successors returns the next keeper of each shard of this daemon. It assigns the shards
// in turn to the daemons that accept them, beginning with those that keep the fewest.
func (l *Ledger) successors(ctx context.Context, r *sqkeeper.Record) map[sqid.ShardID]sqkeeper.Member {
	var candidates []sqkeeper.Member
	for _, m := range l.Members.Alive(l.DataCentre) {
		if len(candidates) < sqkeeper.RosterSize && !m.Is(l.Self) && l.offerHandover(ctx, m, nil) {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b sqkeeper.Member) int {
		return len(r.HeldBy(a)) - len(r.HeldBy(b))
	})
	nextKeepers := make(map[sqid.ShardID]sqkeeper.Member)
	for i, s := range r.HeldBy(l.Self) {
		if len(candidates) > 0 {
			nextKeepers[s] = candidates[i%len(candidates)]
		}
	}
	return nextKeepers
}

// balanceShards hands over the shards that this daemon has beyond an even distribution.
func (l *Ledger) balanceShards(ctx context.Context) {
	l.mu.Lock()
	r, stopping := l.machine.Record(), l.stopping
	l.mu.Unlock()
	if stopping || len(l.KeptShards(time.Now())) == 0 {
		return
	}
	nextKeepers, alive := r.Surplus(l.Self), sqkeeper.Roster(l.Members.Alive(l.DataCentre))
	accepted := make(map[sqid.DaemonID]bool)
	for s, m := range nextKeepers {
		if _, asked := accepted[m.Daemon]; !asked {
			accepted[m.Daemon] = alive.Index(m) >= 0 && l.offerHandover(ctx, m, nil)
		}
		if !accepted[m.Daemon] {
			delete(nextKeepers, s)
		}
	}
	if len(nextKeepers) == 0 {
		return
	}
	if _, err := l.refreshRecord(ctx); err != nil {
		return
	}
	if err := l.handOver(ctx, nextKeepers, false); err != nil {
		l.Log.Error(err, "handover")
	}
}

// offerHandover sends the state of shards to m and reports whether m accepts it. Without
// shards it asks whether m would accept some.
func (l *Ledger) offerHandover(ctx context.Context, m sqkeeper.Member, shards []*sqledgerwire.ShardState) bool {
	p, err := l.dial(m.PeerAddress)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	answer, err := p.Handover(ctx, &sqledgerwire.HandoverRequest{DataCentre: string(l.DataCentre), Shards: shards})
	return err == nil && answer.Accepted
}

// handOver stops spending the shards, sends their state to the next keepers, and then
// changes the keepers record. It retries the change until it has succeeded or ctx ends.
func (l *Ledger) handOver(ctx context.Context, nextKeepers map[sqid.ShardID]sqkeeper.Member, leaveRoster bool) error {
	nextKeepers = l.onlySpendable(nextKeepers)
	l.giveBackLoans(ctx, nextKeepers)
	states := l.releaseShards(nextKeepers)
	l.sendStates(ctx, nextKeepers, states)
	derive := func(r *sqkeeper.Record, now time.Time) (*sqkeeper.Record, bool) {
		return l.recordAfterHandover(r, now, nextKeepers, leaveRoster)
	}
	for {
		err := l.changeRecord(ctx, derive)
		if err == nil {
			return nil
		}
		if sqtimer.Sleep(ctx, handoverRetryPause) != nil {
			return errors.Wrap(err, "write handover to keepers record")
		}
	}
}

// recordAfterHandover returns the record in which the shards have their next keepers,
// and false if they have moved already.
func (l *Ledger) recordAfterHandover(r *sqkeeper.Record, now time.Time, nextKeepers map[sqid.ShardID]sqkeeper.Member, leaveRoster bool) (*sqkeeper.Record, bool) {
	if r.Roster.Index(l.Self) < 0 {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	moved := make(map[sqid.ShardID]sqkeeper.Member)
	for s, m := range nextKeepers {
		if r.Keeper(s).Is(l.Self) && r.Assignments[s].Since == l.machine.Since(s) {
			moved[s] = m
		}
	}
	if len(moved) == 0 && !leaveRoster {
		return nil, false
	}
	return r.HandOver(l.Self, moved, leaveRoster, func(e sqkeeper.EarlierRoster) bool { return l.machine.Closed(e, now) })
}

// onlySpendable returns those of the shards that this daemon may spend. The others can't
// be handed over: their previous keepers may still be spending them, so their next keepers
// have to wait for those.
func (l *Ledger) onlySpendable(nextKeepers map[sqid.ShardID]sqkeeper.Member) map[sqid.ShardID]sqkeeper.Member {
	now, kept := time.Now(), make(map[sqid.ShardID]sqkeeper.Member)
	for s, m := range nextKeepers {
		if l.MaySpend(s, now) {
			kept[s] = m
		}
	}
	return kept
}

// giveBackLoans gives back what the shards' ledgers have borrowed.
func (l *Ledger) giveBackLoans(ctx context.Context, nextKeepers map[sqid.ShardID]sqkeeper.Member) {
	var wait sync.WaitGroup
	for s := range nextKeepers {
		for dc, requests := range l.loansOf(&l.shards[s]) {
			for _, r := range requests {
				wait.Go(func() {
					// If the request fails, the loans end with their term.
					_, _ = l.sendLendRequest(ctx, dc, r)
				})
			}
		}
	}
	wait.Wait()
}

// loansOf ends the loans that a shard's ledgers have borrowed, and returns the requests
// that give them back to their lenders.
func (l *Ledger) loansOf(s *shard) map[sqid.DataCentreID][]*sqledgerwire.LendRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, requests := time.Now(), make(map[sqid.DataCentreID][]*sqledgerwire.LendRequest)
	for _, a := range s.accounts {
		for _, h := range a.ledger.Borrowed(now) {
			if loan, ok := a.ledger.GiveBack(now, h.ID); ok {
				dc := a.borrowing.lenderOf[h.ID]
				requests[dc] = append(requests[dc], &sqledgerwire.LendRequest{
					Workspace: string(a.workspace), DataCentre: string(l.DataCentre),
					GiveBack: []*sqledgerwire.Loan{loanTo(loan)},
				})
			}
		}
	}
	return requests
}

// releaseShards stops spending the shards, until a later record assigns them to this
// daemon again, and returns their state.
func (l *Ledger) releaseShards(nextKeepers map[sqid.ShardID]sqkeeper.Member) map[sqid.ShardID]*sqledgerwire.ShardState {
	l.mu.Lock()
	for s := range nextKeepers {
		l.machine.Release(s)
	}
	l.updateView(time.Now())
	l.mu.Unlock()
	states := make(map[sqid.ShardID]*sqledgerwire.ShardState)
	for s := range nextKeepers {
		states[s] = l.shards[s].state()
	}
	return states
}

// state returns the ledgers of a shard that this daemon no longer spends, and drops its
// accounts.
func (s *shard) state() *sqledgerwire.ShardState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	m := &sqledgerwire.ShardState{Shard: uint32(s.id), Since: uint64(s.assignedAt), Whole: s.complete}
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
	s.accounts, s.assignedAt = nil, 0
	return m
}

// sendStates sends each next keeper the state of its shards. A keeper that does not
// receive it has to wait until the loans have ended.
func (l *Ledger) sendStates(ctx context.Context, nextKeepers map[sqid.ShardID]sqkeeper.Member, states map[sqid.ShardID]*sqledgerwire.ShardState) {
	byKeeper := make(map[sqkeeper.Member][]sqid.ShardID)
	for s, m := range nextKeepers {
		byKeeper[m] = append(byKeeper[m], s)
	}
	l.mu.Lock()
	listeners := slices.Clone(l.listeners)
	l.mu.Unlock()
	var wait sync.WaitGroup
	for m, shards := range byKeeper {
		wait.Go(func() {
			for _, listener := range listeners {
				listener.BeforeHandover(ctx, shards, m)
			}
			var offer []*sqledgerwire.ShardState
			for _, s := range shards {
				offer = append(offer, states[s])
			}
			if !l.offerHandover(ctx, m, offer) {
				l.Log.Info("handover not accepted", "daemon", m.Daemon)
			}
		})
	}
	wait.Wait()
}

// serveHandover stores the state of shards whose keeper has stopped spending them. It
// accepts none while this daemon stops.
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
			s.handedOver, s.handedOverAt = m, time.Now()
			s.mu.Unlock()
		}
	}
	return &sqledgerwire.HandoverAnswer{Accepted: true}
}

// restoreAccounts makes the accounts from the state that the previous keeper has handed
// over, if that is the one in the keepers record. The loans that it has granted end here
// no earlier than they would have ended there; MaxDrift covers the drift between the two
// clocks. The shard is locked.
func (l *Ledger) restoreAccounts(s *shard, v *view, now time.Time) {
	m := s.handedOver
	s.handedOver = nil
	if h := v.records[l.DataCentre].Assignments[s.id]; h.HandedSince == 0 || h.HandedSince != sqid.Epoch(m.Since) {
		return
	}
	s.complete = m.Whole
	for _, state := range m.Ledgers {
		share := sqlimit.Capacity{Rate: squnit.Rate(state.ShareRate), Burst: squnit.Tokens(state.ShareBurst)}
		w := sqid.WorkspaceID(state.Workspace)
		plan, _ := l.planOf(w)
		a := l.newAccount(s, v, w, plan, share, now)
		var lent []sqlimit.LoanRecord
		for _, h := range state.Lent {
			lent = append(lent, sqlimit.LoanRecord{
				ID:       sqlimit.LoanID(h.Id),
				Capacity: sqlimit.Capacity{Rate: squnit.Rate(h.Rate), Burst: squnit.Tokens(h.Burst)},
				End:      s.handedOverAt.Add(time.Duration(h.LeftUs)*time.Microsecond + l.Timing.MaxDrift),
			})
		}
		a.ledger.Restore(now, squnit.Tokens(state.Tokens), lent)
	}
}
