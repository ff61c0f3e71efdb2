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
	// chargeTimeout bounds the wait for a keeper. A later answer is not used, and its
	// token is lost.
	chargeTimeout = 400 * time.Millisecond
	// keeperSkipTime is how long an entry skips a keeper that did not answer or does
	// not keep the shard.
	keeperSkipTime = 300 * time.Millisecond
	// handoverWait is the first wait for a shard that moves between keepers of the
	// entry's own data centre. It doubles with each of at most maxHandoverWaits waits.
	handoverWait     = 2 * time.Millisecond
	maxHandoverWaits = 5
)

var errNoKeeper = errors.New("no keeper is available")

// Decision is the result of a charge.
type Decision struct {
	// Admitted says that the request is within its workspace's rate and burst and has
	// been charged.
	Admitted bool
	// RetryAfter is the time until a token is expected, 0 if unknown.
	RetryAfter time.Duration
}

// keeperSkips holds the keepers that an entry skips for a time.
type keeperSkips struct {
	mu    sync.Mutex
	until map[skipKey]time.Time
}

// skipKey is a keeper's address and one of its shards, or allShards.
type skipKey struct {
	address string
	shard   sqid.ShardID
}

// allShards stands for all shards of a keeper that did not answer.
const allShards sqid.ShardID = sqkeeper.ShardCount

func (s *keeperSkips) add(address string, shard sqid.ShardID, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[skipKey]time.Time)
	}
	s.until[skipKey{address, shard}] = until
}

// clear removes the skips of a keeper that has answered.
func (s *keeperSkips) clear(address string, shard sqid.ShardID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.until) > 0 {
		delete(s.until, skipKey{address, shard})
		delete(s.until, skipKey{address, allShards})
	}
}

func (s *keeperSkips) contains(address string, shard sqid.ShardID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.until) == 0 {
		return false
	}
	return s.isSkipped(skipKey{address, shard}, now) || s.isSkipped(skipKey{address, allShards}, now)
}

// isSkipped reports whether k is skipped. Once the time is over, it lets one caller ask
// the keeper; the others skip it for chargeTimeout longer, unless that caller gets an
// answer. mu is held.
func (s *keeperSkips) isSkipped(k skipKey, now time.Time) bool {
	until, ok := s.until[k]
	if ok && !now.Before(until) {
		s.until[k] = now.Add(chargeTimeout)
		return false
	}
	return ok
}

// Charge charges one request to the rate and burst of a workspace. It asks the keeper of
// this data centre, and if that does not answer, those of the others, nearest first.
// Skipped keepers come last. If no keeper answers, the error is a refusal with the reason
// LedgerUnavailable, and the request has not run.
func (l *Ledger) Charge(ctx context.Context, w sqid.WorkspaceID) (Decision, error) {
	l.init()
	s := sqkeeper.Shard(string(w))
	for _, onlySkipped := range []bool{false, true} {
		for _, dc := range l.view.Load().nearestFirst {
			o, err := l.chargeAt(ctx, dc, s, w, onlySkipped)
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

// chargeAt charges at the keeper of one data centre. It waits briefly for a shard that
// moves between keepers of this data centre. It asks only keepers that are not skipped,
// or, if onlySkipped is set, only those that are.
func (l *Ledger) chargeAt(ctx context.Context, dc sqid.DataCentreID, s sqid.ShardID, w sqid.WorkspaceID, onlySkipped bool) (outcome, error) {
	wait := handoverWait
	for try := 0; ; try++ {
		home, ok := l.ShardKeeper(dc, s)
		address := home.Keeper.PeerAddress
		if !ok || l.keeperSkips.contains(address, s, time.Now()) != onlySkipped {
			return notKeeping, errNoKeeper
		}
		o, err := l.chargeOnce(ctx, home.Keeper, w)
		switch {
		case err != nil:
			l.keeperSkips.add(address, allShards, time.Now().Add(keeperSkipTime))
			if next, _ := l.ShardKeeper(dc, s); next.Keeper.PeerAddress == address || try >= maxHandoverWaits {
				return notKeeping, err
			}
			continue
		case o != notKeeping:
			l.keeperSkips.clear(address, s)
			return o, nil
		case onlySkipped || dc != l.DataCentre || try >= maxHandoverWaits:
			l.keeperSkips.add(address, s, time.Now().Add(keeperSkipTime))
			return notKeeping, nil
		}
		if err := sqtimer.Sleep(ctx, wait); err != nil {
			return notKeeping, err
		}
		wait *= 2
	}
}

// chargeOnce charges at one keeper. An answer that took longer than chargeTimeout is an
// error: what it admitted may no longer be within the rate.
func (l *Ledger) chargeOnce(ctx context.Context, keeper sqkeeper.Member, w sqid.WorkspaceID) (outcome, error) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, chargeTimeout)
	defer cancel()
	var o outcome
	var err error
	if keeper.Is(l.Self) {
		o, err = l.chargeLocally(ctx, w)
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

// chargeLocally charges at this daemon, which is the keeper.
func (l *Ledger) chargeLocally(ctx context.Context, w sqid.WorkspaceID) (outcome, error) {
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
