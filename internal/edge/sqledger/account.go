package sqledger

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqledgerwire"
)

const (
	// spreadTerm is how long the smaller of an old and a new share applies.
	spreadTerm = 3 * time.Second
	// waitLimit bounds the charges of a workspace that wait for a token of
	// another data centre.
	waitLimit = 4096
)

// shard is the accounts that a keeper has for one shard.
type shard struct {
	id sqid.ShardID

	mu sync.Mutex
	// since is the epoch of the tenure that the accounts belong to.
	since sqid.Epoch
	// start is when the tenure began to spend.
	start time.Time
	// whole says that every spending of the shard, ever, is in the accounts.
	whole bool
	index *sqlists.Index
	// recordsAt is the version of the records that the shares are from.
	recordsAt uint64
	// spreadUntil is when the last change of a share has spread.
	spreadUntil time.Time
	accounts    map[sqid.WorkspaceID]*account
	// offered is the state that the keeper before has handed over.
	offered   *sqledgerwire.ShardState
	offeredAt time.Time
}

// account is a workspace's ledger at its keeper, with what belongs to it.
type account struct {
	workspace sqid.WorkspaceID
	shard     *shard
	ledger    *sqlimit.Ledger
	plan      sqlimit.Capacity
	split     bool
	// target is the share to be applied at `at`; until then the share is the
	// smallest of those since the last change.
	target, share sqlimit.Capacity
	at            time.Time

	borrowing borrowing
}

// outcome is the answer to a charge.
type outcome struct {
	kind       sqledgerwire.Outcome
	retryAfter time.Duration
}

var (
	notKeeping = outcome{kind: sqledgerwire.Outcome_OUTCOME_NOT_KEEPING}
	admitted   = outcome{kind: sqledgerwire.Outcome_OUTCOME_ADMITTED}
)

func refused(after time.Duration) outcome {
	return outcome{kind: sqledgerwire.Outcome_OUTCOME_REFUSED, retryAfter: after}
}

// decide charges one request as the keeper. It returns the outcome, or false
// if the charge waits for another data centre; then reply gets the outcome.
func (l *Ledger) decide(w sqid.WorkspaceID, reply func(outcome)) (outcome, bool) {
	s := &l.shards[sqkeeper.Shard(string(w))]
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	a, o := l.open(s, w, now)
	if a == nil {
		return o, true
	}
	d := a.ledger.Charge(now, 1)
	if d.Admitted {
		l.noteSpent(w, now)
		l.borrowAhead(a, now)
		return admitted, true
	}
	after, ok := l.await(a, now, reply)
	if ok {
		return outcome{}, false
	}
	return refused(soonest(d.RetryAfter, after)), true
}

// open returns the account of a workspace if this daemon may spend it at now,
// or nil and the outcome. The shard is locked.
func (l *Ledger) open(s *shard, w sqid.WorkspaceID, now time.Time) (*account, outcome) {
	v := l.view.Load()
	if !v.keeping(s.id, now) {
		return nil, notKeeping
	}
	l.begin(s, v, now)
	a := s.accounts[w]
	if a == nil {
		a = l.add(s, v, w, now)
	}
	if a == nil {
		return nil, refused(0)
	}
	return a, outcome{}
}

// begin makes the accounts those of the tenure of the view.
func (l *Ledger) begin(s *shard, v *view, now time.Time) {
	if s.since == v.since[s.id] {
		return
	}
	s.since, s.start = v.since[s.id], v.spendFrom[s.id]
	s.whole = s.since == 1
	s.index = nil
	s.accounts = make(map[sqid.WorkspaceID]*account)
	if s.offered != nil {
		l.restore(s, v, now)
	}
	l.applyLists(s, v, now)
}

// add makes the account of a workspace that the lists have; nil if they have
// not. Its ledger begins with no tokens, unless nobody can have spent it.
func (l *Ledger) add(s *shard, v *view, w sqid.WorkspaceID, now time.Time) *account {
	plan, ok := l.planOf(w)
	if !ok {
		return nil
	}
	share := v.records[l.DataCentre].Share(w, plan, v.settled)
	a := l.put(s, v, w, plan, share, s.start)
	if s.whole || s.index != nil && now.Sub(s.start) > spreadTerm {
		a.ledger.Fill()
	}
	return a
}

func (l *Ledger) put(s *shard, v *view, w sqid.WorkspaceID, plan, share sqlimit.Capacity, since time.Time) *account {
	a := &account{
		workspace: w, shard: s, plan: plan, share: share, target: share,
		split:  v.split(l.DataCentre, plan),
		ledger: sqlimit.NewLedger(l.limitTerms(), share, since),
	}
	s.accounts[w] = a
	return a
}

// split reports whether the plan is split under the newest set of shares.
func (v *view) split(dc sqid.DataCentreID, plan sqlimit.Capacity) bool {
	set := v.records[dc].NewestShares()
	return sqlimit.Shares{DataCentres: set.DataCentres}.IsSplit(plan)
}

func (l *Ledger) planOf(w sqid.WorkspaceID) (sqlimit.Capacity, bool) {
	x := l.Plans.Index()
	if x == nil {
		return sqlimit.Capacity{}, false
	}
	p := x.Plan(w)
	if p == nil {
		return sqlimit.Capacity{}, false
	}
	return sqlimit.Capacity{Rate: p.Rate, Burst: p.Burst}, true
}

// applyLists brings the accounts to the lists in force. Each workspace of the
// shard has an account, so that none is made later as if it had been idle.
func (l *Ledger) applyLists(s *shard, v *view, now time.Time) {
	x := l.Plans.Index()
	if x == s.index && s.recordsAt == v.recordsAt && s.spreadUntil.IsZero() {
		return
	}
	if x != nil && x != s.index {
		for w := range x.Workspaces() {
			if sqkeeper.Shard(string(w)) == s.id && s.accounts[w] == nil {
				l.add(s, v, w, now)
			}
		}
	}
	s.index, s.recordsAt, s.spreadUntil = x, v.recordsAt, time.Time{}
	for _, a := range s.accounts {
		a.reshare(l, v, now)
		if a.at.After(s.spreadUntil) {
			s.spreadUntil = a.at
		}
	}
}

// reshare applies the share that the lists and the record give: a smaller one
// at once, a larger one when the change has spread.
func (a *account) reshare(l *Ledger, v *view, now time.Time) {
	plan, _ := l.planOf(a.workspace)
	target := v.records[l.DataCentre].Share(a.workspace, plan, v.settled)
	if target != a.target {
		a.plan, a.split = plan, v.split(l.DataCentre, plan)
		a.target, a.at = target, now.Add(spreadTerm)
		a.share = a.share.Min(target)
	}
	if !a.at.IsZero() && (l.hasty || !now.Before(a.at)) {
		a.share, a.at = a.target, time.Time{}
	}
	a.ledger.SetShare(now, a.share)
}

// tickAccounts applies changed lists and renews loans at the kept shards.
func (l *Ledger) tickAccounts(ctx context.Context, now time.Time) {
	for i := range l.shards {
		l.tickShard(ctx, &l.shards[i], now)
	}
}

func (l *Ledger) tickShard(ctx context.Context, s *shard, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := l.view.Load()
	if !v.keeping(s.id, now) {
		return
	}
	l.begin(s, v, now)
	l.applyLists(s, v, now)
	for _, a := range s.accounts {
		l.renew(ctx, a, now)
	}
}
