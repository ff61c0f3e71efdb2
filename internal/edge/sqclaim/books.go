// Package sqclaim keeps the books of operations, so that an operation named by
// an idempotency key runs at most once however often and wherever it is sent.
//
// The keeper of a shard holds its book. It grants a claim only while it keeps
// the shard on fresh evidence, and only when the shard's backup has a copy of
// the claim; a backup that takes over therefore knows every claim that was
// granted. The keepers record names the backup, and the keeper alone names a
// new one, after it has copied the whole book. A keeper for whose shards the
// record names no backup grants on its own; if it is lost, its successor knows
// that its book is incomplete, and says "unknown" instead of running a key that
// may have run.
package sqclaim

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqoperation"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqclaimwire"
)

const (
	// TickPeriod is the period at which the timer service should tick Books.
	TickPeriod = 200 * time.Millisecond
	// DefaultHorizon is how long an operation is known after its deadline.
	DefaultHorizon = 10 * time.Minute
	// MaxTimeout bounds the time that an operation may take.
	MaxTimeout = 2 * time.Minute

	shardEntries = 4096
	shardBytes   = squnit.Bytes(2 << 20)

	mirrorTimeout = 500 * time.Millisecond
)

// Keeping is what the keepers record says of a shard that this daemon keeps.
type Keeping struct {
	// Record is the epoch of the record.
	Record sqid.Epoch
	// Since is the epoch at which it was assigned the shard.
	Since sqid.Epoch
	// From is the epoch at which the keeper before it was assigned the shard,
	// if this daemon has been given its book or was its backup; 0 if not.
	From sqid.Epoch
	// First says that nobody kept the shard before.
	First bool
	// Backup holds a copy of the book; its Daemon is empty if there is none.
	Backup sqkeeper.Member
}

// Keepers tells who keeps the shards, and changes backups.
type Keepers interface {
	// Keeping returns what this daemon keeps of a shard of its data centre at
	// now, and false if it may not act as keeper.
	Keeping(s sqid.ShardID, now time.Time) (Keeping, bool)
	// Assigned returns what the record assigns this daemon of a shard, also if
	// it may not act as keeper now.
	Assigned(s sqid.ShardID) (Keeping, bool)
	// Home returns the keeper of a data centre's shard, as far as is known.
	Home(dc sqid.DataCentreID, s sqid.ShardID) (keeper sqkeeper.Member, since sqid.Epoch, ok bool)
	// Candidates returns the daemons that may be backups, this one excluded.
	Candidates() []sqkeeper.Member
	// SetBackups writes the backups of shards that this daemon keeps into the
	// record; a member without a name takes the backup away.
	SetBackups(ctx context.Context, backups map[sqid.ShardID]sqkeeper.Member) error
	// Centres returns the agreed set of data centres and its epoch.
	Centres() ([]sqid.DataCentreID, uint64)
}

// Conns gives the connections to peers.
type Conns interface {
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Books is a daemon's part in the books of operations.
type Books struct {
	Self       sqkeeper.Member
	DataCentre sqid.DataCentreID
	Keepers    Keepers
	Conns      Conns
	Logger     logr.Logger
	// Suspect is told of a keeper that could not be reached; it may be nil.
	Suspect func(id sqid.DaemonID)
	// Horizon is that of all daemons; 0 is DefaultHorizon.
	Horizon time.Duration

	// unbacked is a test switch: grants are not copied, and a successor
	// believes that it knows them all.
	unbacked bool

	shards [sqid.ShardCount]shard
	once   sync.Once
	dial   func(address string) (sqclaimwire.ClaimsClient, error)
}

// shard is the book of one shard, if this daemon keeps it, and the copy of
// another keeper's book.
type shard struct {
	mu sync.Mutex
	// since is the epoch of the tenure that book belongs to, 0 if none does.
	since sqid.Epoch
	book  *sqoperation.DedupTable
	// paused stops grants while the backup is being changed.
	paused bool
	// doubt is the epoch of the record that a write of unknown outcome was to
	// replace, 0 if there is none.
	doubt sqid.Epoch
	// joined is the epoch of the set of data centres for which the book has
	// the operations of the keys' earlier homes.
	joined uint64
	copy   *mirror
}

// mirror is the copy of another keeper's book.
type mirror struct {
	since sqid.Epoch
	whole bool
	book  *sqoperation.DedupTable
}

func (b *Books) init() {
	b.once.Do(func() {
		if b.Horizon == 0 {
			b.Horizon = DefaultHorizon
		}
		if b.dial == nil {
			b.dial = func(address string) (sqclaimwire.ClaimsClient, error) {
				conn, err := b.Conns.Conn(address)
				if err != nil {
					return nil, err
				}
				return sqclaimwire.NewClaimsClient(conn), nil
			}
		}
	})
}

func (b *Books) newBook() *sqoperation.DedupTable {
	return &sqoperation.DedupTable{DedupWindow: b.Horizon, MaxRecords: shardEntries, MaxBytes: shardBytes}
}

// adopt makes the book that a tenure begins with; the shard is locked. A copy
// is taken over only if it is that of the keeper before.
func (b *Books) adopt(id sqid.ShardID, k Keeping, now time.Time) {
	s := &b.shards[id]
	if s.since == k.Since {
		return
	}
	switch {
	case k.From != 0 && s.copySince() == k.From:
		s.book = s.copy.book
	case k.From != 0 && s.since == k.From:
		// The shard has come back to this daemon's own tenure.
	case k.First, b.unbacked:
		s.book = b.newBook()
	default:
		b.Logger.Info("book is not complete", "shard", id, "since", k.Since, "from", k.From, "copy", s.copySince())
		s.book = b.newBook()
		s.book.CompleteSince, s.book.CompleteEpoch = now.Add(MaxTimeout), k.Since
	}
	s.since, s.copy, s.paused, s.joined, s.doubt = k.Since, nil, false, 0, 0
}

// copySince returns the tenure that the copy is of, 0 if there is none whole.
func (s *shard) copySince() sqid.Epoch {
	if s.copy == nil || !s.copy.whole {
		return 0
	}
	return s.copy.since
}

// Tick forgets the operations that are past the horizon.
func (b *Books) Tick(now time.Time) {
	b.init()
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		if s.book != nil {
			s.book.Tick(now)
		}
		if s.copy != nil {
			s.copy.book.Tick(now)
		}
		s.mu.Unlock()
	}
}

// Len returns the number of operations in the books that the daemon holds.
func (b *Books) Len() int {
	n := 0
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		if s.book != nil {
			n += s.book.Len()
		}
		s.mu.Unlock()
	}
	return n
}
