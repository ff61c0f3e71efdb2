// Package sqclaim replicates the dedup tables of operations, so that an operation
// (a non-idempotent request with an idempotency key) runs at most once, however
// often and to whichever daemon it is sent.
//
// Each key has a home, a shard of one data centre. A key that a daemon has minted names
// its home. The home of a key that the caller has chosen is computed from the agreed
// set of data centres, so it may move when that set changes.
//
// The keepers record of a data centre, stored in the platform, assigns each shard to a
// daemon, its keeper, and may name another as its backup. A tenure is the time for
// which a daemon is assigned a shard; it is identified by the epoch of the record at
// which it began.
//
// The keeper of a shard holds its dedup table. Before an entry runs an operation, it
// claims the key there. The keeper grants a claim only while recent evidence confirms
// that it still keeps the shard, and only once the shard's backup has a copy of the
// claim. A backup that takes over therefore knows every claim that was granted. Only
// the keeper names a new backup, after copying the whole table to it. A keeper of
// shards without a backup grants claims alone. If it fails, its successor knows that
// its own table is incomplete, and reports the outcome of a key as unknown instead of
// running an operation that may have run already.
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
	// TickPeriod is the period at which the timer service should call Service.Tick.
	TickPeriod = 200 * time.Millisecond
	// DefaultDedupWindow is the dedup window: how long the record of an operation is
	// kept after the operation's deadline.
	DefaultDedupWindow = 10 * time.Minute
	// MaxTimeout bounds the time that an operation may take.
	MaxTimeout = 2 * time.Minute

	// maxShardRecords and maxShardBytes bound the dedup table of one shard.
	maxShardRecords = 4096
	maxShardBytes   = squnit.Bytes(2 << 20)

	// mirrorTimeout bounds one call that updates a backup's replica.
	mirrorTimeout = 500 * time.Millisecond
)

// Assignment is the keepers record's assignment of a shard to this daemon.
type Assignment struct {
	// RecordEpoch is the epoch of the record.
	RecordEpoch sqid.Epoch
	// Tenure is the epoch at which this daemon was assigned the shard.
	Tenure sqid.Epoch
	// PreviousTenure is the epoch at which the previous keeper was assigned the shard, if
	// that keeper handed its table over to this daemon or had it as its backup. Otherwise it
	// is 0.
	PreviousTenure sqid.Epoch
	// First reports whether the shard had no keeper before.
	First bool
	// Backup holds a replica of the table; its Daemon is empty if there is no backup.
	Backup sqkeeper.Member
}

// Keepers reads the keepers records and changes the backups in the record of this
// daemon's data centre.
type Keepers interface {
	// ActiveAssignment returns the assignment of a shard of this data centre to this daemon,
	// and false if the daemon may not act as its keeper at now.
	ActiveAssignment(s sqid.ShardID, now time.Time) (Assignment, bool)
	// Assignment returns the assignment of a shard to this daemon, even if the daemon
	// may not act as its keeper now.
	Assignment(s sqid.ShardID) (Assignment, bool)
	// Home returns the keeper of a data centre's shard and the epoch at which its
	// tenure began, and false if this daemon doesn't know them.
	Home(dc sqid.DataCentreID, s sqid.ShardID) (keeper sqkeeper.Member, tenure sqid.Epoch, ok bool)
	// Candidates returns the other daemons that may be backups.
	Candidates() []sqkeeper.Member
	// SetBackups writes the backups of shards that this daemon keeps into the
	// record. A member without a name removes the backup.
	SetBackups(ctx context.Context, backups map[sqid.ShardID]sqkeeper.Member) error
	// DataCentres returns the agreed set of data centres and the set's epoch.
	DataCentres() ([]sqid.DataCentreID, uint64)
}

// Conns provides the connections to peers.
type Conns interface {
	// Conn returns the connection to a peer address.
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Service claims operations for this daemon's entry and holds the dedup tables of the
// shards that the daemon keeps or backs up. The exported fields must be set before
// the first call.
type Service struct {
	Self       sqkeeper.Member
	DataCentre sqid.DataCentreID
	Keepers    Keepers
	Conns      Conns
	Logger     logr.Logger
	// ReportFailure is called with a keeper that could not be reached; it may be nil.
	ReportFailure func(id sqid.DaemonID)
	// DedupWindow is the dedup window, the same for all daemons; 0 means DefaultDedupWindow.
	DedupWindow time.Duration

	// skipMirroring is set by a test: grants are not copied to the backup, and a
	// successor takes its table as complete.
	skipMirroring bool

	shards [sqid.ShardCount]shard
	once   sync.Once
	dial   func(address string) (sqclaimwire.ClaimsClient, error)
}

// shard holds the dedup table of one shard, if this daemon keeps the shard, and the
// replica of another keeper's table, if it is the shard's backup.
type shard struct {
	// mu guards all other fields.
	mu sync.Mutex
	// tenure is the epoch of the tenure that table belongs to, 0 if there is none.
	tenure sqid.Epoch
	table  *sqoperation.DedupTable
	// paused stops grants while the backup is being changed.
	paused bool
	// uncertainWrite is the epoch of the keepers record that a write with unknown
	// outcome was meant to replace, 0 if there is no such write.
	uncertainWrite sqid.Epoch
	// importedEpoch is the epoch of the set of data centres for which the table has
	// the records that were imported from the keys' previous homes.
	importedEpoch uint64
	replica       *replica
}

// replica is this daemon's copy of another keeper's table.
type replica struct {
	// tenure is the epoch at which that keeper's tenure began.
	tenure sqid.Epoch
	// fullyCopied reports whether all messages of the initial copy have arrived.
	fullyCopied bool
	table       *sqoperation.DedupTable
}

func (svc *Service) init() {
	svc.once.Do(func() {
		if svc.DedupWindow == 0 {
			svc.DedupWindow = DefaultDedupWindow
		}
		if svc.dial == nil {
			svc.dial = func(address string) (sqclaimwire.ClaimsClient, error) {
				conn, err := svc.Conns.Conn(address)
				if err != nil {
					return nil, err
				}
				return sqclaimwire.NewClaimsClient(conn), nil
			}
		}
	})
}

func (svc *Service) newTable() *sqoperation.DedupTable {
	return &sqoperation.DedupTable{DedupWindow: svc.DedupWindow, MaxRecords: maxShardRecords, MaxBytes: maxShardBytes}
}

// startTenure sets the table that a tenure begins with. It uses the replica only if
// that is a copy of the previous keeper's table. The caller holds the shard's lock.
func (svc *Service) startTenure(id sqid.ShardID, k Assignment, now time.Time) {
	s := &svc.shards[id]
	if s.tenure == k.Tenure {
		return
	}
	switch {
	case k.PreviousTenure != 0 && s.replicaTenure() == k.PreviousTenure:
		s.table = s.replica.table
	case k.PreviousTenure != 0 && s.tenure == k.PreviousTenure:
		// This daemon was itself the previous keeper: its table goes on.
	case k.First, svc.skipMirroring:
		s.table = svc.newTable()
	default:
		svc.Logger.Info("dedup table is incomplete", "shard", id, "since", k.Tenure, "from", k.PreviousTenure, "copy", s.replicaTenure())
		s.table = svc.newTable()
		s.table.CompleteSince, s.table.CompleteEpoch = now.Add(MaxTimeout), k.Tenure
	}
	s.tenure, s.replica, s.paused, s.importedEpoch, s.uncertainWrite = k.Tenure, nil, false, 0, 0
}

// replicaTenure returns the tenure of the replica's keeper, 0 if there is no replica
// or it is not fully copied.
func (s *shard) replicaTenure() sqid.Epoch {
	if s.replica == nil || !s.replica.fullyCopied {
		return 0
	}
	return s.replica.tenure
}

// Tick deletes the records whose dedup window has passed.
func (svc *Service) Tick(now time.Time) {
	svc.init()
	for i := range svc.shards {
		s := &svc.shards[i]
		s.mu.Lock()
		if s.table != nil {
			s.table.Tick(now)
		}
		if s.replica != nil {
			s.replica.table.Tick(now)
		}
		s.mu.Unlock()
	}
}

// Len returns the number of records in the tables of the daemon's own shards.
func (svc *Service) Len() int {
	n := 0
	for i := range svc.shards {
		s := &svc.shards[i]
		s.mu.Lock()
		if s.table != nil {
			n += s.table.Len()
		}
		s.mu.Unlock()
	}
	return n
}
