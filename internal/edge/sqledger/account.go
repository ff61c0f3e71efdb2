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
	// shareChangeDelay is how long the smaller of an old and a new share applies, so
	// that the other data centres have applied the change before a share grows.
	shareChangeDelay = 3 * time.Second
	// maxWaiting bounds the charges of a workspace that wait for tokens, and those
	// that one request of another data centre may spend.
	maxWaiting = 4096
)

// shard holds a keeper's accounts of the workspaces of one shard.
type shard struct {
	id sqid.ShardID

	// mu guards the fields below and the accounts.
	mu sync.Mutex
	// assignedAt is the epoch at which the shard was assigned to this daemon for the
	// tenure that the accounts belong to.
	assignedAt sqid.Epoch
	// spendingSince is when this daemon may first have spent the shard in this tenure.
	spendingSince time.Time
	// complete says that the accounts include all tokens ever spent of the shard.
	complete bool
	// index is the index of the lists that were last applied, nil in a new tenure.
	index *sqlists.Index
	// recordsVersion is the version of the keepers records that the shares were
	// computed from.
	recordsVersion uint64
	// shareChangesUntil is when the last pending change of a share applies; zero if
	// none is pending.
	shareChangesUntil time.Time
	accounts          map[sqid.WorkspaceID]*account
	// handedOver is the state that the previous keeper has handed over, received at
	// handedOverAt; nil if there is none.
	handedOver   *sqledgerwire.ShardState
	handedOverAt time.Time
}

// account is a keeper's state for one workspace: its ledger, its share of the plan and
// its borrowing from other data centres. The shard's lock guards it.
type account struct {
	workspace sqid.WorkspaceID
	shard     *shard
	ledger    *sqlimit.Ledger
	plan      sqlimit.Capacity
	// isSplit says that the plan is divided among the data centres.
	isSplit bool
	// targetShare is the share to be applied at targetFrom; until then, share is the
	// smallest since the last change. targetFrom is zero if no change is pending.
	targetShare, share sqlimit.Capacity
	targetFrom         time.Time

	borrowing borrowing
}

// outcome is a keeper's answer to a charge.
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

// decide charges one request as the keeper. It returns the outcome, or false if the
// charge waits for a token; then reply is called later with the outcome, while the
// shard is locked.
func (l *Ledger) decide(w sqid.WorkspaceID, reply func(outcome)) (outcome, bool) {
	s := &l.shards[sqkeeper.Shard(string(w))]
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	a, o := l.openAccount(s, w, now)
	if a == nil {
		return o, true
	}
	d := a.ledger.Charge(now, 1)
	if d.Admitted {
		l.noteSpent(w, now)
		l.borrowAhead(a, now)
		return admitted, true
	}
	lenderWait, ok := l.awaitToken(a, now, reply)
	if ok {
		return outcome{}, false
	}
	return refused(soonest(d.RetryAfter, lenderWait)), true
}

// openAccount returns the account of a workspace if this daemon may spend it at now,
// otherwise nil and the outcome. The shard is locked.
func (l *Ledger) openAccount(s *shard, w sqid.WorkspaceID, now time.Time) (*account, outcome) {
	v := l.view.Load()
	if !v.maySpend(s.id, now) {
		return nil, notKeeping
	}
	l.startTenure(s, v, now)
	a := s.accounts[w]
	if a == nil {
		a = l.addAccount(s, v, w, now)
	}
	if a == nil {
		return nil, refused(0)
	}
	return a, outcome{}
}

// startTenure replaces the accounts if the view has a new tenure of the shard. The new
// ones come from the previous keeper's state if that was handed over. The shard is
// locked.
func (l *Ledger) startTenure(s *shard, v *view, now time.Time) {
	if s.assignedAt == v.assignedAt[s.id] {
		return
	}
	s.assignedAt, s.spendingSince = v.assignedAt[s.id], v.spendFrom[s.id]
	s.complete = s.assignedAt == 1
	s.index = nil
	s.accounts = make(map[sqid.WorkspaceID]*account)
	if s.handedOver != nil {
		l.restoreAccounts(s, v, now)
	}
	l.applyLists(s, v, now)
}

// addAccount makes the account of a workspace, or returns nil if the lists in force
// don't have it. The ledger starts without tokens, unless nobody can have spent any:
// the accounts are complete, or the workspace was added to the lists more than
// shareChangeDelay after the start of this tenure.
func (l *Ledger) addAccount(s *shard, v *view, w sqid.WorkspaceID, now time.Time) *account {
	plan, ok := l.planOf(w)
	if !ok {
		return nil
	}
	share := v.records[l.DataCentre].Share(w, plan, v.settledShares)
	a := l.newAccount(s, v, w, plan, share, s.spendingSince)
	if s.complete || s.index != nil && now.Sub(s.spendingSince) > shareChangeDelay {
		a.ledger.Fill()
	}
	return a
}

// newAccount makes an account with an empty ledger that refills from spendFrom on.
func (l *Ledger) newAccount(s *shard, v *view, w sqid.WorkspaceID, plan, share sqlimit.Capacity, spendFrom time.Time) *account {
	a := &account{
		workspace: w, shard: s, plan: plan, share: share, targetShare: share,
		isSplit: v.isSplit(l.DataCentre, plan),
		ledger:  sqlimit.NewLedger(l.loanTerms(), share, spendFrom),
	}
	s.accounts[w] = a
	return a
}

// isSplit reports whether the plan is divided among the data centres under the newest
// set of shares.
func (v *view) isSplit(dc sqid.DataCentreID, plan sqlimit.Capacity) bool {
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

// applyLists applies the lists in force and the keepers records to the accounts. It
// makes an account for each workspace of the shard: one that is made later counts as new
// in the lists and starts with a full bucket.
func (l *Ledger) applyLists(s *shard, v *view, now time.Time) {
	x := l.Plans.Index()
	if x == s.index && s.recordsVersion == v.recordsVersion && s.shareChangesUntil.IsZero() {
		return
	}
	if x != nil && x != s.index {
		for w := range x.Workspaces() {
			if sqkeeper.Shard(string(w)) == s.id && s.accounts[w] == nil {
				l.addAccount(s, v, w, now)
			}
		}
	}
	s.index, s.recordsVersion, s.shareChangesUntil = x, v.recordsVersion, time.Time{}
	for _, a := range s.accounts {
		a.updateShare(l, v, now)
		if a.targetFrom.After(s.shareChangesUntil) {
			s.shareChangesUntil = a.targetFrom
		}
	}
}

// updateShare applies the share that follows from the lists and the keepers record: a
// smaller one at once, a larger one after shareChangeDelay.
func (a *account) updateShare(l *Ledger, v *view, now time.Time) {
	plan, _ := l.planOf(a.workspace)
	targetShare := v.records[l.DataCentre].Share(a.workspace, plan, v.settledShares)
	if targetShare != a.targetShare {
		a.plan, a.isSplit = plan, v.isSplit(l.DataCentre, plan)
		a.targetShare, a.targetFrom = targetShare, now.Add(shareChangeDelay)
		a.share = a.share.Min(targetShare)
	}
	if !a.targetFrom.IsZero() && (l.sharesAtOnce || !now.Before(a.targetFrom)) {
		a.share, a.targetFrom = a.targetShare, time.Time{}
	}
	a.ledger.SetShare(now, a.share)
}

// tickAccounts applies changed lists and renews loans in the shards that this daemon
// keeps.
func (l *Ledger) tickAccounts(ctx context.Context, now time.Time) {
	for i := range l.shards {
		l.tickShard(ctx, &l.shards[i], now)
	}
}

func (l *Ledger) tickShard(ctx context.Context, s *shard, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := l.view.Load()
	if !v.maySpend(s.id, now) {
		return
	}
	l.startTenure(s, v, now)
	l.applyLists(s, v, now)
	for _, a := range s.accounts {
		l.renewLoans(ctx, a, now)
	}
}
