// Package sqledger charges requests to the rate and burst of their workspaces
// over the whole fleet. Each daemon is an entry that asks the keepers, and may
// itself be a keeper: sqkeeper says of which shards, sqlimit what it may spend
// of them.
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

// ConnPool gives the connection to a daemon by its peer address.
type ConnPool interface {
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Members tells which daemons are alive.
type Members interface {
	// Alive returns the daemons of a data centre that are alive and not
	// leaving, in an order that all daemons agree on.
	Alive(dc sqid.DataCentreID) []sqkeeper.Member
}

// Plans gives the lists in force.
type Plans interface {
	// Index returns the index in force, nil before there is one. It returns
	// the same pointer until the lists change.
	Index() *sqlists.Index
}

// Facts spreads small values to all daemons.
type Facts interface {
	// Publish spreads body as the version of the named fact. An older version
	// never replaces a newer one.
	Publish(name string, version uint64, body []byte)
	// OnFact has f called with each newer version of the named fact.
	OnFact(name string, f func(version uint64, body []byte))
}

// FactPrefix followed by a data centre names the fact of its keepers record.
const FactPrefix = "keepers/"

// Ledger is a daemon's part in the fleet's ledger of rates and bursts.
type Ledger struct {
	// Self is this life of this daemon.
	Self       sqkeeper.Member
	DataCentre sqid.DataCentreID
	Store      sqkv.Store
	Conn       ConnPool
	Members    Members
	Plans      Plans
	// Facts may be nil; then records spread by the platform and by answers.
	Facts Facts
	// Distance orders the data centres, nearest first; nil takes them by name.
	Distance func(sqid.DataCentreID) time.Duration
	Log      logr.Logger
	// Terms are those of all daemons; the zero value is DefaultTiming.
	Terms sqkeeper.Timing

	// spent is a test switch: it sees each token that this daemon spends.
	spent func(w sqid.WorkspaceID, now time.Time)
	// unfenced is a test switch: the daemon spends what the newest record that
	// it knows gives it, at once and without evidence.
	unfenced bool
	// looseLoans is a test switch: loans leave the lender its capacity.
	looseLoans bool
	// hasty is a test switch: a changed share applies at once.
	hasty bool

	once sync.Once
	dial func(address string) (peer, error)

	// mu guards the machine and what is known of other data centres.
	mu       sync.Mutex
	machine  sqkeeper.Machine
	records  map[sqid.DataCentreID]*sqkeeper.Record
	shares   sqkeeper.SharesSet
	givers   []Giver
	stopping bool
	followed map[sqid.DataCentreID]bool
	needFrom time.Time
	missing  map[sqkeeper.Member]time.Time

	view     atomic.Pointer[view]
	shards   [sqkeeper.ShardCount]shard
	loanIDs  atomic.Uint64
	suspects suspects
	peers    peers
	duties   duties
	ctx      atomic.Pointer[context.Context]
	began    time.Time
	ended    chan struct{}
	tasks    tasks
}

// view is what the path of a request needs of the machine. It is never
// changed once it is stored.
type view struct {
	records    map[sqid.DataCentreID]*sqkeeper.Record
	recordsAt  uint64
	order      []sqid.DataCentreID
	freshUntil time.Time
	spendFrom  [sqkeeper.ShardCount]time.Time
	since      [sqkeeper.ShardCount]sqid.Epoch
}

// keeping reports whether the daemon may spend the shard at now.
func (v *view) keeping(s sqid.ShardID, now time.Time) bool {
	from := v.spendFrom[s]
	return !from.IsZero() && !now.Before(from) && now.Before(v.freshUntil)
}

// acting reports whether the daemon may act as keeper of the shard in what no
// loan touches: it need not wait for the end of those that the keeper before
// may have taken.
func (v *view) acting(s sqid.ShardID, now time.Time, loan time.Duration) bool {
	from := v.spendFrom[s]
	return !from.IsZero() && !now.Before(from.Add(-loan)) && now.Before(v.freshUntil)
}

func (v *view) settled(dc sqid.DataCentreID) sqkeeper.SharesEpoch {
	if r := v.records[dc]; r != nil {
		return r.Settled
	}
	return 0
}

// init makes the parts that depend on the fields; it runs once.
func (l *Ledger) init() {
	l.once.Do(func() {
		if l.Terms == (sqkeeper.Timing{}) {
			l.Terms = sqkeeper.DefaultTiming()
		}
		if l.dial == nil {
			l.dial = l.peers.over(l.Conn, l.learnBody)
		}
		l.machine.Self, l.machine.Timing = l.Self, l.Terms
		l.loanIDs.Store(firstLoanID(l.Self))
		for s := range l.shards {
			l.shards[s].id = sqid.ShardID(s)
		}
		l.ended = make(chan struct{})
		l.view.Store(&view{})
	})
}

// Run serves until ctx ends, and returns when all work has ended. Its error is
// nil. The timer service has to tick the ledger meanwhile.
func (l *Ledger) Run(ctx context.Context) error {
	l.init()
	l.began = time.Now()
	l.ctx.Store(&ctx)
	l.follow(l.DataCentre)
	<-ctx.Done()
	l.tasks.close()
	return nil
}

// Register adds the keeper's service to a server.
func (l *Ledger) Register(r grpc.ServiceRegistrar) {
	l.init()
	sqledgerwire.RegisterLedgerServer(r, &server{l: l})
}

// Tick starts what is due. It does not block.
func (l *Ledger) Tick(now time.Time) {
	l.init()
	ctx := l.ctx.Load()
	if ctx == nil || (*ctx).Err() != nil {
		return
	}
	l.mu.Lock()
	l.machine.Tick(now)
	l.refresh(now)
	l.mu.Unlock()
	l.tickAccounts(*ctx, now)
	l.tickDuties(*ctx, now)
}

// refresh stores a new view of the machine; mu is held.
func (l *Ledger) refresh(now time.Time) {
	old := l.view.Load()
	v := &view{records: old.records, recordsAt: old.recordsAt, order: old.order, freshUntil: l.machine.EvidenceUntil(now)}
	if len(l.records) != len(old.records) || l.recordsChanged(old) {
		v.records, v.order = l.snapshot()
		v.recordsAt++
	}
	for s := range sqid.ShardID(sqkeeper.ShardCount) {
		if from, ok := l.machine.SpendFrom(s); ok {
			v.spendFrom[s], v.since[s] = from, l.machine.Since(s)
		}
	}
	if l.unfenced {
		l.unfence(v, now)
	}
	l.view.Store(v)
}

func (l *Ledger) unfence(v *view, now time.Time) {
	v.freshUntil = now.Add(time.Hour)
	for s := range sqid.ShardID(sqkeeper.ShardCount) {
		if since := l.machine.Since(s); since > 0 {
			v.spendFrom[s], v.since[s] = time.Unix(0, 0), since
		}
	}
}

func (l *Ledger) noteSpent(w sqid.WorkspaceID, now time.Time) {
	if l.spent != nil {
		l.spent(w, now)
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

func (l *Ledger) snapshot() (map[sqid.DataCentreID]*sqkeeper.Record, []sqid.DataCentreID) {
	records := make(map[sqid.DataCentreID]*sqkeeper.Record, len(l.records))
	var order []sqid.DataCentreID
	for dc, r := range l.records {
		records[dc] = r
		order = append(order, dc)
	}
	l.sortNearest(order)
	return records, order
}

func (l *Ledger) limitTerms() sqlimit.Terms {
	return sqlimit.Terms{Loan: l.Terms.MaxLoanTerm, Drift: l.Terms.MaxDrift}.UnsafeLending(l.looseLoans)
}
