// Package sqledger is a distributed rate limiter, which charges requests to the rate and
// burst of their workspaces over all data centres.
//
// Workspaces are hashed to shards. In each data centre one daemon is the keeper of a
// shard: it alone spends the tokens of the data centre's shares of its workspaces' rates.
// An entry, the side of a daemon that accepts callers' requests, sends charges to the
// keeper in its own data centre. A keeper without tokens asks the keepers of other data
// centres to spend theirs, and borrows capacity from them as loans with a term.
//
// The keepers record in the platform's key-value store names the keepers and the roster,
// the daemons that confirm which epoch of the record is current. Package sqkeeper decides
// which shards a daemon may spend, and sqlimit what it may spend of a workspace. This
// package does the I/O: it reads, changes and spreads the records, collects evidence that
// an epoch is current, and hands shards over when a daemon stops.
package sqledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqledgerwire"
)

// TickPeriod is the period at which the timer service should tick a Ledger.
const TickPeriod = 50 * time.Millisecond

// ConnPool returns the connection to a daemon by its peer address.
type ConnPool interface {
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Members is the membership of the fleet.
type Members interface {
	// Alive returns the daemons of a data centre that are alive and not
	// leaving, in an order that all daemons agree on.
	Alive(dc sqid.DataCentreID) []sqkeeper.Member
}

// Plans returns the lists of workspaces and plans in force.
type Plans interface {
	// Index returns the index of the lists in force, nil before there are any. It
	// returns the same pointer until the lists change.
	Index() *sqlists.Index
}

// Facts spreads small named, versioned values to all daemons.
type Facts interface {
	// Publish spreads body as a version of the named fact. An older version never
	// replaces a newer one.
	Publish(name string, version uint64, body []byte)
	// OnFact registers f, which is called with each newer version of the named fact.
	OnFact(name string, f func(version uint64, body []byte))
}

// FactPrefix followed by a data centre's name is the name of the fact that holds its
// keepers record.
const FactPrefix = "keepers/"

// Ledger is one daemon's part of the rate limiter: the entry that sends charges, and the
// keeper of the shards that are assigned to the daemon.
type Ledger struct {
	// Self is this incarnation of this daemon.
	Self       sqkeeper.Member
	DataCentre sqid.DataCentreID
	Store      sqkv.Store
	Conns      ConnPool
	Members    Members
	Plans      Plans
	// Facts may be nil; records then spread only through the platform and with answers of
	// other daemons.
	Facts Facts
	// Distance returns the distance of a data centre, for asking the nearest first. If it
	// is nil, the order is that of their names.
	Distance func(sqid.DataCentreID) time.Duration
	Log      logr.Logger
	// Timing must be the same for all daemons; the zero value stands for DefaultTiming.
	Timing sqkeeper.Timing

	// onSpent is set by tests: it is called for each token that this daemon spends.
	onSpent func(w sqid.WorkspaceID, now time.Time)
	// unfenced is set by tests: the daemon spends the shards that the newest known record
	// assigns to it at once and without evidence.
	unfenced bool
	// unsafeLending is set by tests: lenders keep the capacity that they lend.
	unsafeLending bool
	// sharesAtOnce is set by tests: a changed share applies at once.
	sharesAtOnce bool

	once sync.Once
	// dial returns the daemon with a peer address, over gRPC unless a test sets it.
	dial func(address string) (peer, error)

	// mu guards the fields up to missingSince.
	mu      sync.Mutex
	machine sqkeeper.Machine
	// records are the newest known keepers records of all data centres.
	records map[sqid.DataCentreID]*sqkeeper.Record
	// platformShares is the newest set of shares read from the platform.
	platformShares sqkeeper.SharesSet
	listeners      []HandoverListener
	stopping       bool
	// subscribed has the data centres whose record facts are subscribed to.
	subscribed map[sqid.DataCentreID]bool
	// changeNeededSince is when the data centre's record was first found to need a
	// change; zero if it needs none.
	changeNeededSince time.Time
	// missingSince is when members of the roster were first found not to be alive.
	missingSince map[sqkeeper.Member]time.Time

	view          atomic.Pointer[view]
	shards        [sqkeeper.ShardCount]shard
	loanIDs       atomic.Uint64
	keeperSkips   keeperSkips
	peers         peers
	periodicTasks periodicTasks
	// ctx is the context of Run, nil before it runs.
	ctx       atomic.Pointer[context.Context]
	startedAt time.Time
	// stopped is closed streamCloseDelay after Stop.
	stopped chan struct{}
	tasks   tasks
}

// view is a snapshot of the machine for handling requests without its lock. It is
// immutable once it is stored.
type view struct {
	records map[sqid.DataCentreID]*sqkeeper.Record
	// recordsVersion counts the changes of records.
	recordsVersion uint64
	// nearestFirst has the data centres of records, in order of distance.
	nearestFirst []sqid.DataCentreID
	// evidenceUntil is when the evidence that the epoch is current expires.
	evidenceUntil time.Time
	// spendFrom is when this daemon may begin to spend a shard, assignedAt the epoch at
	// which it was assigned the shard; both are zero for other shards.
	spendFrom  [sqkeeper.ShardCount]time.Time
	assignedAt [sqkeeper.ShardCount]sqid.Epoch
}

// maySpend reports whether the daemon may spend the shard at now.
func (v *view) maySpend(s sqid.ShardID, now time.Time) bool {
	from := v.spendFrom[s]
	return !from.IsZero() && !now.Before(from) && now.Before(v.evidenceUntil)
}

// mayAct reports whether the daemon may act as keeper of the shard in matters other than
// rates. For those it need not wait until the loans of the previous keeper have ended.
func (v *view) mayAct(s sqid.ShardID, now time.Time, maxLoanTerm time.Duration) bool {
	from := v.spendFrom[s]
	return !from.IsZero() && !now.Before(from.Add(-maxLoanTerm)) && now.Before(v.evidenceUntil)
}

// settledShares returns the newest set of shares that a data centre has settled, 0 if its
// record is not known.
func (v *view) settledShares(dc sqid.DataCentreID) sqkeeper.SharesEpoch {
	if r := v.records[dc]; r != nil {
		return r.Settled
	}
	return 0
}

// init initializes the internal state from the exported fields, once.
func (l *Ledger) init() {
	l.once.Do(func() {
		if l.Timing == (sqkeeper.Timing{}) {
			l.Timing = sqkeeper.DefaultTiming()
		}
		if l.dial == nil {
			l.dial = l.peers.dialer(l.Conns, l.adoptEncoded)
		}
		l.machine.Self, l.machine.Timing = l.Self, l.Timing
		l.loanIDs.Store(firstLoanID(l.Self))
		for s := range l.shards {
			l.shards[s].id = sqid.ShardID(s)
		}
		l.stopped = make(chan struct{})
		l.view.Store(&view{})
	})
}

// Run works until ctx ends, and returns when all background tasks have ended. It always
// returns nil. The timer service must tick the ledger meanwhile.
func (l *Ledger) Run(ctx context.Context) error {
	l.init()
	l.startedAt = time.Now()
	l.ctx.Store(&ctx)
	l.subscribe(l.DataCentre)
	<-ctx.Done()
	l.tasks.close()
	return nil
}

// Register adds the keeper's service to a server.
func (l *Ledger) Register(r grpc.ServiceRegistrar) {
	l.init()
	sqledgerwire.RegisterLedgerServer(r, &server{l: l})
}

// Tick starts the work that is due. It does not block.
func (l *Ledger) Tick(now time.Time) {
	l.init()
	ctx := l.ctx.Load()
	if ctx == nil || (*ctx).Err() != nil {
		return
	}
	l.mu.Lock()
	l.machine.Tick(now)
	l.updateView(now)
	l.mu.Unlock()
	l.tickAccounts(*ctx, now)
	l.startPeriodicTasks(*ctx, now)
}

// updateView stores a new view of the machine. mu is held.
func (l *Ledger) updateView(now time.Time) {
	old := l.view.Load()
	v := &view{records: old.records, recordsVersion: old.recordsVersion, nearestFirst: old.nearestFirst, evidenceUntil: l.machine.EvidenceUntil(now)}
	if len(l.records) != len(old.records) || l.recordsChanged(old) {
		v.records, v.nearestFirst = l.copyRecords()
		v.recordsVersion++
	}
	for s := range sqid.ShardID(sqkeeper.ShardCount) {
		if from, ok := l.machine.SpendFrom(s); ok {
			v.spendFrom[s], v.assignedAt[s] = from, l.machine.Since(s)
		}
	}
	if l.unfenced {
		l.skipFencing(v, now)
	}
	l.view.Store(v)
}

// skipFencing changes a view as if no fencing protected the shards, for tests.
func (l *Ledger) skipFencing(v *view, now time.Time) {
	v.evidenceUntil = now.Add(time.Hour)
	for s := range sqid.ShardID(sqkeeper.ShardCount) {
		if assignedAt := l.machine.Since(s); assignedAt > 0 {
			v.spendFrom[s], v.assignedAt[s] = time.Unix(0, 0), assignedAt
		}
	}
}

// noteSpent reports a spent token to tests.
func (l *Ledger) noteSpent(w sqid.WorkspaceID, now time.Time) {
	if l.onSpent != nil {
		l.onSpent(w, now)
	}
}

func (l *Ledger) recordsChanged(old *view) bool {
	for dc, r := range l.records {
		if old.records[dc] != r {
			return true
		}
	}
	return false
}

// copyRecords returns a copy of the records, and their data centres, nearest first.
func (l *Ledger) copyRecords() (map[sqid.DataCentreID]*sqkeeper.Record, []sqid.DataCentreID) {
	records := make(map[sqid.DataCentreID]*sqkeeper.Record, len(l.records))
	var nearestFirst []sqid.DataCentreID
	for dc, r := range l.records {
		records[dc] = r
		nearestFirst = append(nearestFirst, dc)
	}
	l.sortNearest(nearestFirst)
	return records, nearestFirst
}

func (l *Ledger) loanTerms() sqlimit.Terms {
	return sqlimit.Terms{Loan: l.Timing.MaxLoanTerm, Drift: l.Timing.MaxDrift}.UnsafeLending(l.unsafeLending)
}
