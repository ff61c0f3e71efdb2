package sqledger

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqledgerwire"
)

// sendLendRequest sends a request to the keeper of the workspace in another data centre.
func (l *Ledger) sendLendRequest(ctx context.Context, dc sqid.DataCentreID, request *sqledgerwire.LendRequest) (*sqledgerwire.LendAnswer, error) {
	home, ok := l.ShardKeeper(dc, sqkeeper.Shard(request.Workspace))
	if !ok {
		return nil, errNoKeeper
	}
	p, err := l.dial(home.Keeper.PeerAddress)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	return p.Lend(ctx, request)
}

// serveLend serves a request of another data centre's keeper: it ends and extends loans,
// spends tokens for charges that wait there, and grants a loan if the plan is split.
func (l *Ledger) serveLend(r *sqledgerwire.LendRequest) *sqledgerwire.LendAnswer {
	w := sqid.WorkspaceID(r.Workspace)
	s := &l.shards[sqkeeper.Shard(r.Workspace)]
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	a, o := l.openAccount(s, w, now)
	if a == nil {
		return &sqledgerwire.LendAnswer{Keeping: o != notKeeping}
	}
	answer := &sqledgerwire.LendAnswer{Keeping: true}
	for _, loan := range r.GiveBack {
		a.ledger.TakeBack(now, sqlimit.LoanID(loan.Id), squnit.Tokens(loan.Tokens))
	}
	for _, id := range r.Extend {
		if a.ledger.Extend(now, sqlimit.LoanID(id)) {
			answer.Extended = append(answer.Extended, id)
		}
	}
	answer.Spent = uint32(l.spendTokens(a, now, int(min(r.Spend, maxWaiting))))
	wanted := sqlimit.Capacity{Rate: squnit.Rate(r.Rate), Burst: squnit.Tokens(r.Burst)}
	if a.isSplit {
		if loan, ok := a.ledger.Lend(now, l.newLoanID(), wanted); ok {
			answer.Loan = loanTo(loan)
		}
	}
	if after, ok := a.ledger.TimeUntilToken(now); ok {
		answer.RetryAfterUs = after.Microseconds()
	} else {
		answer.RetryAfterUs = failureBackoff.Microseconds()
	}
	return answer
}

// firstLoanID returns the id after which an incarnation numbers its loans. It is a hash of
// daemon and incarnation, so that ids are unique in the fleet.
func firstLoanID(m sqkeeper.Member) uint64 {
	return xxhash.Sum64String(string(m.Daemon)) ^ uint64(m.Incarnation)*0x9e3779b97f4a7c15
}

func (l *Ledger) newLoanID() sqlimit.LoanID {
	return sqlimit.LoanID(l.loanIDs.Add(1))
}

func loanFrom(m *sqledgerwire.Loan) sqlimit.Loan {
	return sqlimit.Loan{
		ID:       sqlimit.LoanID(m.Id),
		Capacity: sqlimit.Capacity{Rate: squnit.Rate(m.Rate), Burst: squnit.Tokens(m.Burst)},
		Tokens:   squnit.Tokens(m.Tokens),
	}
}

func loanTo(loan sqlimit.Loan) *sqledgerwire.Loan {
	return &sqledgerwire.Loan{
		Id: uint64(loan.ID), Rate: float64(loan.Capacity.Rate),
		Burst: float64(loan.Capacity.Burst), Tokens: float64(loan.Tokens),
	}
}
