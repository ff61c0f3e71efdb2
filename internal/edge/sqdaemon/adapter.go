package sqdaemon

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtimer"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqconn"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqentry"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqidle"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqlimiter"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqretry"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqshare"
	"github.com/sequoiatack/sequoiatack/internal/state/sqcall"
	"github.com/sequoiatack/sequoiatack/internal/state/sqcatalog"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
	"github.com/sequoiatack/sequoiatack/internal/state/sqmember"
)

const (
	// joinTimeout is how long a daemon that finds no peers waits before it serves
	// alone: enough for a few attempts to reach the store.
	joinTimeout = 3 * time.Second
	// lookForPeers is how long a daemon that knows no other leaves the catalog's watch to
	// the peers that it may find.
	lookForPeers = 600 * time.Millisecond
	// maxPeerLines bounds the log lines for changed peers of one check. A daemon that joins
	// a large fleet learns of all its peers at once.
	maxPeerLines = 8
	// readinessNotice is how long a stopping daemon goes on serving callers: long
	// enough for two readiness checks, made once a second, to fail.
	readinessNotice = 2200 * time.Millisecond
	// retryBoundFactor is the fraction of the configured bound on retries that the
	// daemons use. The rest allows for their windows, which slide in steps of a
	// twentieth, and for their counts of members, which can differ briefly.
	retryBoundFactor = 0.9
	// discoveryTime is how long after its start a daemon may not know the whole fleet:
	// several rounds of the membership protocol, even with packet loss.
	discoveryTime = 5 * time.Second
	// maxMissedAnnouncements is the number of announcements that a target may miss
	// before it expires.
	maxMissedAnnouncements = 8
)

// Adapter is a protocol adapter. It provides the components of a daemon that speak an
// interface other than the product's own, and makes no decisions itself.
type Adapter interface {
	// Store returns a client of the platform's key-value service.
	Store(m *sqmetric.Set) sqkv.Store
	// CatalogKey returns the key of the operators' catalog in the store.
	CatalogKey() string
	// ParseCatalog parses the catalog's record; previous is the catalog in force, nil
	// if there is none.
	ParseCatalog(record []byte, previous *sqcatalog.Catalog) (*sqcatalog.Catalog, error)
	// CallerAdapter returns the protocol that callers and the host's target speak with the
	// entry.
	CallerAdapter(catalog func() *sqcatalog.Catalog, calls *sqcall.Table) sqentry.CallerAdapter
	// TargetAdapter returns the protocol that the gate speaks with targets.
	TargetAdapter() sqgate.TargetAdapter
	// Prober returns what asks the host's targets how they are.
	Prober(catalog func() *sqcatalog.Catalog) sqgate.Prober
	// AnswersRequest reports whether an answer belongs to the request with the given id.
	AnswersRequest(answer http.Header, requestID string) bool
	// AnnouncementHandler returns the handler of the announcements of the host's target.
	AnnouncementHandler(targets *sqgate.Targets, catalog func() *sqcatalog.Catalog) http.Handler
	// ReadinessHandler returns the handler of readiness checks; ready returns the reason why
	// the daemon is not ready, or nil.
	ReadinessHandler(ready func() error) http.Handler
}

func (d *Daemon) buildCatalog() {
	d.catalogHolder = &sqcatalog.Holder{
		Parse: d.Adapter.ParseCatalog, Logger: d.Logger,
		Publish: func(v sqcatalog.Version, record []byte) { d.publish(sqcatalog.FactName, uint64(v), record) },
	}
	d.catalogFollower = &sqcatalog.Follower{
		Store: d.platform, Key: d.Adapter.CatalogKey(), Holder: d.catalogHolder, Logger: d.Logger, Watching: d.followsStore,
		Polling: d.member.IsFirstRelay, Pollers: d.dataCentresOfRegion(),
	}
	d.member.OnFact(sqcatalog.FactName, func(_ uint64, record []byte) { d.catalogHolder.Apply(record, "peer") })
}

// followsStore reports whether this daemon follows the catalog in the store itself, as the
// first few of each data centre do. The others receive it by gossip. A daemon that has
// just started first looks for peers, and may not know all of them for a while.
func (d *Daemon) followsStore() bool {
	age := time.Since(d.startTime)
	if d.member.Alone() && age < lookForPeers {
		return false
	}
	dataCentres := d.dataCentresOfRegion()
	watchers := (d.Settings.Platform.WatchersPerRegion + dataCentres - 1) / dataCentres
	if age < joinTimeout {
		watchers = 1
	}
	rank := d.member.Rank()
	return rank >= 0 && rank < watchers
}

// dataCentresOfRegion returns the number of data centres of this daemon's region.
func (d *Daemon) dataCentresOfRegion() int {
	n := 0
	for _, region := range d.Settings.Platform.DataCentres {
		if region == d.Settings.Region {
			n++
		}
	}
	return max(1, n)
}

func (d *Daemon) buildRateShares() {
	d.rateShares = &sqlimiter.Limiter{
		Self: d.Settings.DaemonName, Plans: plans{d.catalogHolder}, Conns: d.pool, Members: d.rateShareMembers,
		MinMembers: d.minMembers, Logger: d.Logger,
	}
	d.timer.Subscribe(sqlimiter.TickPeriod, d.rateShares)
	d.timer.Subscribe(sqlimiter.TickPeriod, &peerLog{member: d.member, logger: d.Logger})
}

// peerLog logs each change of a peer's state in this daemon's view of the membership.
type peerLog struct {
	member *sqmember.Member
	logger logr.Logger
	states map[sqid.DaemonID]sqmember.State
}

// Tick logs the changes since the previous call: a line for each, or one line with
// their numbers if there are many.
func (l *peerLog) Tick(time.Time) {
	if l.states == nil {
		l.states = make(map[sqid.DaemonID]sqmember.State)
	}
	self := l.member.Self().ID
	var changed []sqmember.Row
	l.member.Each(func(r sqmember.Row) bool {
		if before, known := l.states[r.ID]; r.ID != self && (!known || before != r.State) {
			changed = append(changed, r)
		}
		return true
	})
	if len(changed) > maxPeerLines {
		counts := make(map[string]int)
		for _, r := range changed {
			l.states[r.ID] = r.State
			counts[r.State.String()]++
		}
		l.logger.Info("peers changed", "peers", len(changed), "states", counts, "known", len(l.states))
		return
	}
	for _, r := range changed {
		_, known := l.states[r.ID]
		l.states[r.ID] = r.State
		l.logger.Info("peer changed", "peer", r.ID, "state", r.State.String(), "known", known,
			"dataCentre", r.DataCentre, "incarnation", r.Incarnation)
	}
}

// plans provides the rates of the catalog in force for the division into shares.
type plans struct{ h *sqcatalog.Holder }

// Plan returns a workspace's rate and burst, and false if it has no limit.
func (p plans) Plan(w sqid.WorkspaceID) (sqlimit.Capacity, bool) {
	c := p.h.Catalog()
	if c == nil {
		return sqlimit.Capacity{}, false
	}
	return c.Plan(w)
}

// Limited returns the workspaces that have a limit.
func (p plans) Limited() []sqid.WorkspaceID {
	c := p.h.Catalog()
	if c == nil {
		return nil
	}
	return c.LimitedWorkspaces()
}

// The distances by which the holders of shares are ordered.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
)

// fleetSize returns the number of members of the fleet, counted as rateShareMembers does:
// all that have not left. It is called for each retry, so it doesn't build a list.
func (d *Daemon) fleetSize() int {
	n := 0
	d.member.Each(func(r sqmember.Row) bool {
		if r.State != sqmember.Left {
			n++
		}
		return true
	})
	return n
}

// minMembers returns a lower bound of the fleet's size. A daemon that has just started
// may not know all members, and if rates were divided among too few, the shares would
// add up to more than the rates.
func (d *Daemon) minMembers() int {
	minimum := len(d.Settings.Platform.DataCentres)
	if time.Since(d.startTime) < discoveryTime {
		minimum = max(minimum, d.seedRecords.FleetSize())
	}
	return minimum
}

// rateShareMembers returns the members of the fleet, sorted by name.
func (d *Daemon) rateShareMembers() []sqlimiter.Member {
	var members []sqlimiter.Member
	s := &d.Settings
	d.member.Each(func(r sqmember.Row) bool {
		if r.State == sqmember.Left {
			return true
		}
		m := sqlimiter.Member{
			Member: sqshare.Member{ID: r.ID, Region: r.Region}, Address: r.PeerAddress,
			Distance: otherRegion, Near: r.Region == s.Region, Alive: r.State <= sqmember.Suspect,
		}
		switch {
		case r.DataCentre == s.DataCentre:
			m.Distance = sameDataCentre
		case r.Region == s.Region:
			m.Distance = sameRegion
		}
		members = append(members, m)
		return true
	})
	slices.SortFunc(members, func(a, b sqlimiter.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// applyAdapter configures the entry and the gate for the adapter's protocol.
func (d *Daemon) applyAdapter() {
	d.gate.Adapter = d.Adapter.TargetAdapter()
	d.gate.Conns = &sqconn.Pool{IsOwnAnswer: d.Adapter.AnswersRequest}
	d.targets.Prober, d.targets.AnnounceEvery = d.Adapter.Prober(d.catalogHolder.Catalog), time.Duration(d.Settings.Platform.AnnounceEvery)
	d.targets.ExpireAfter = maxMissedAnnouncements * time.Duration(d.Settings.Platform.AnnounceEvery)
	d.entry.Service = d.Settings.Platform.Service
	d.entry.Charger = d.rateShares
	d.entry.Router.Shed.FineLevels = true
	r := d.Settings.Platform.Retry
	d.entry.Router.RetryBound = sqretry.Bound{
		Ratio: retryBoundFactor * r.Ratio, Window: time.Duration(r.Window), Slack: retryBoundFactor * r.Slack,
	}
	d.entry.Router.Daemons = d.fleetSize
}

// adapterHandlers returns the handlers of the daemon's addresses under an adapter.
func (d *Daemon) adapterHandlers() (callers, local, admin http.Handler) {
	callers = d.entry.Handler(d.Adapter.CallerAdapter(d.catalogHolder.Catalog, d.calls))
	local = d.Adapter.AnnouncementHandler(d.targets, d.catalogHolder.Catalog)
	m := mux.NewRouter()
	m.Handle("/metrics", promhttp.HandlerFor(d.metrics.Registry, promhttp.HandlerOpts{}))
	m.Handle("/readyz", d.Adapter.ReadinessHandler(d.ready))
	return callers, local, m
}

// buildIdleWatch returns the watch that applies the catalog's time limits to callers'
// connections.
func (d *Daemon) buildIdleWatch() *sqidle.Watch {
	w := &sqidle.Watch{Logger: d.Logger, Limits: func() sqidle.Limits {
		l := sqidle.Limits{Head: readHeaderTimeout, Idle: idleTimeout}
		if c := d.catalogHolder.Catalog(); c != nil {
			l.Head = cmp.Or(c.Limits.HeaderTime, l.Head)
			l.Idle = cmp.Or(c.Limits.IdleTime, l.Idle)
		}
		return l
	}}
	d.timer.Subscribe(sqidle.TickPeriod, w)
	return w
}

// adapterReady returns the reason why the daemon does not serve callers at now, or nil.
func (d *Daemon) adapterReady(now time.Time) error {
	switch {
	case d.catalogHolder.Catalog() == nil:
		return errors.New("no catalog is known yet")
	case d.member.Alone() && now.Sub(d.startTime) < joinTimeout:
		return errors.New("no peers are known yet")
	case now.Sub(d.startTime) < joinTimeout && !d.seedRecords.Settled():
		return errors.New("the data centre's seed record does not list its daemons yet")
	}
	return nil
}

// awaitCallers waits until callers have had time to notice that the daemon is stopping
// and no request is in progress, here or at the host's targets, or until shutdownTime
// before ctx's deadline. Callers and targets are served meanwhile: a target may still make
// nested calls for a call of another daemon.
func (d *Daemon) awaitCallers(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-shutdownTime))
		defer cancel()
	}
	_ = sqtimer.Sleep(ctx, readinessNotice-leaveGrace)
	for d.entry.Active() > 0 && ctx.Err() == nil {
		_ = sqtimer.Sleep(ctx, drainPoll)
	}
	d.targets.DrainAll()
	for d.entry.Active()+d.targets.PendingCalls()+d.calls.Len() > 0 && ctx.Err() == nil {
		_ = sqtimer.Sleep(ctx, drainPoll)
	}
}
