package sqledger

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtimer"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqledgerwire"
)

const (
	// chargeTimeout bounds the wait for a keeper. An answer that comes later
	// is not used: its token is spent.
	chargeTimeout = 400 * time.Millisecond
	// suspectTerm is how long an entry passes over a keeper that did not
	// answer or does not keep the shard.
	suspectTerm = 300 * time.Millisecond
	// moveWait is the first wait for a shard that moves between keepers of
	// the entry's own data centre; it doubles up to moveTries times.
	moveWait  = 2 * time.Millisecond
	moveTries = 5
)

var errNoKeeper = errors.New("no keeper can be asked")

// Decision is the answer to a charge.
type Decision struct {
	// Admitted says that the request is within its workspace's rate and
	// burst; it has been charged.
	Admitted bool
	// RetryAfter is the time after which a token is expected, 0 if unknown.
	RetryAfter time.Duration
}

// suspects are the keepers that an entry passes over, by address.
type suspects struct {
	mu    sync.Mutex
	until map[suspect]time.Time
}

type suspect struct {
	address string
	shard   sqid.ShardID
}

// anyShard stands for all shards of a keeper that did not answer.
const anyShard sqid.ShardID = sqkeeper.ShardCount

func (s *suspects) add(address string, shard sqid.ShardID, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[suspect]time.Time)
	}
	s.until[suspect{address, shard}] = until
}

// clear takes back the suspicion of a keeper that has answered.
func (s *suspects) clear(address string, shard sqid.ShardID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.until) > 0 {
		delete(s.until, suspect{address, shard})
		delete(s.until, suspect{address, anyShard})
	}
}

func (s *suspects) has(address string, shard sqid.ShardID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.until) == 0 {
		return false
	}
	return s.check(suspect{address, shard}, now) || s.check(suspect{address, anyShard}, now)
}

// check reports whether k is passed over. When its term has ended, one caller
// is let through, and the others pass over it until that one has its answer.
func (s *suspects) check(k suspect, now time.Time) bool {
	until, ok := s.until[k]
	if ok && !now.Before(until) {
		s.until[k] = now.Add(chargeTimeout)
		return false
	}
	return ok
}

// Charge charges one request to the rate and burst of a workspace. It asks the
// keeper of the own data centre, and if that does not answer those of others,
// nearest first. Its error is a refusal by LedgerUnavailable, not run: no
// keeper could be asked.
func (l *Ledger) Charge(ctx context.Context, w sqid.WorkspaceID) (Decision, error) {
	l.init()
	s := sqkeeper.Shard(string(w))
	for _, again := range []bool{false, true} {
		for _, dc := range l.view.Load().order {
			o, err := l.chargeAt(ctx, dc, s, w, again)
			if err == nil && o.kind != sqledgerwire.Outcome_OUTCOME_NOT_KEEPING {
				return Decision{Admitted: o == admitted, RetryAfter: o.retryAfter}, nil
			}
			if ctx.Err() != nil {
				return Decision{}, unavailable(ctx.Err())
			}
		}
	}
	return Decision{}, unavailable(errNoKeeper)
}

func unavailable(err error) error {
	return sqerror.Refuse(sqerror.StepLedger, sqreason.LedgerUnavailable, err)
}

// chargeAt charges at the keeper of one data centre. A shard that moves within
// the own data centre is waited for shortly. Suspects are asked only if even
// is set.
func (l *Ledger) chargeAt(ctx context.Context, dc sqid.DataCentreID, s sqid.ShardID, w sqid.WorkspaceID, even bool) (outcome, error) {
	wait := moveWait
	for try := 0; ; try++ {
		home, ok := l.Home(dc, s)
		address := home.Keeper.PeerAddress
		if !ok || l.suspects.has(address, s, time.Now()) != even {
			return notKeeping, errNoKeeper
		}
		o, err := l.chargeOnce(ctx, home.Keeper, w)
		switch {
		case err != nil:
			l.suspects.add(address, anyShard, time.Now().Add(suspectTerm))
			if next, _ := l.Home(dc, s); next.Keeper.PeerAddress == address || try >= moveTries {
				return notKeeping, err
			}
			continue
		case o != notKeeping:
			l.suspects.clear(address, s)
			return o, nil
		case even || dc != l.DataCentre || try >= moveTries:
			l.suspects.add(address, s, time.Now().Add(suspectTerm))
			return notKeeping, nil
		}
		if err := sqtimer.Sleep(ctx, wait); err != nil {
			return notKeeping, err
		}
		wait *= 2
	}
}

// chargeOnce charges at one keeper. An answer that was too long on its way is
// an error: what it admitted may no longer be within the rate.
func (l *Ledger) chargeOnce(ctx context.Context, keeper sqkeeper.Member, w sqid.WorkspaceID) (outcome, error) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, chargeTimeout)
	defer cancel()
	var o outcome
	var err error
	if keeper.Is(l.Self) {
		o, err = l.chargeHere(ctx, w)
	} else {
		var p peer
		if p, err = l.dial(keeper.PeerAddress); err == nil {
			o, err = p.Charge(ctx, w)
		}
	}
	if err == nil && time.Since(sent) > chargeTimeout {
		err = context.DeadlineExceeded
	}
	return o, err
}

// chargeHere charges at this daemon, which is the keeper.
func (l *Ledger) chargeHere(ctx context.Context, w sqid.WorkspaceID) (outcome, error) {
	replies := make(chan outcome, 1)
	if o, ok := l.decide(w, func(o outcome) { replies <- o }); ok {
		return o, nil
	}
	select {
	case o := <-replies:
		return o, nil
	case <-ctx.Done():
		return notKeeping, ctx.Err()
	}
}
