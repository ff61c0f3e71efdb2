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
	"github.com/sequoiatack/sequoiatack/internal/edge/sqpurse"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqretry"
	"github.com/sequoiatack/sequoiatack/internal/state/sqcall"
	"github.com/sequoiatack/sequoiatack/internal/state/sqcatalog"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
	"github.com/sequoiatack/sequoiatack/internal/state/sqmember"
)

const (
	// joinTimeout is how long a daemon that finds no peers waits before it
	// serves alone: a few tries to reach the store.
	joinTimeout = 3 * time.Second
	// noticeTime is how long a daemon that stops goes on serving callers, so that
	// two questions for its readiness, one a second, have been answered by no.
	noticeTime = 2200 * time.Millisecond
	// cutMargin is the part of the stop's time that is kept for closing.
	cutMargin = 500 * time.Millisecond
	// boundPart is the part of the bound on repeats that is used: a window of the
	// daemons slides in steps of a twentieth, and their counts of members differ for
	// moments.
	boundPart = 0.9
	// meetTime is how long after its start a daemon may not know all of the fleet:
	// several rounds of the membership, also where packets are lost.
	meetTime = 5 * time.Second
	// expireBeats is the number of announcements that a target may miss.
	expireBeats = 8
)

// Adapter makes the parts of a daemon that speak another interface than the
// product's own. It decides nothing.
type Adapter interface {
	// Store is the platform's key-value service.
	Store(m *sqmetric.Set) sqkv.Store
	// CatalogKey is the store's key of the operators' catalog, and ParseCatalog
	// reads its record.
	CatalogKey() string
	ParseCatalog(record []byte, before *sqcatalog.Catalog) (*sqcatalog.Catalog, error)
	// Front is how callers and the host's target speak with the entry.
	Front(catalog func() *sqcatalog.Catalog, calls *sqcall.Table) sqentry.Front
	// Speech is how the gate speaks with targets; Owns reports whether an answer
	// is that of the request with an id.
	Speech() sqgate.Speech
	Owns(answer http.Header, requestID string) bool
	// Control takes the announcements of the host's target.
	Control(targets *sqgate.Targets, catalog func() *sqcatalog.Catalog) http.Handler
	// Ready answers whether the daemon is ready.
	Ready(ready func() error) http.Handler
}

func (d *Daemon) buildCatalog() {
	d.catalogs = &sqcatalog.Holder{
		Parse: d.Adapter.ParseCatalog, Logger: d.Logger,
		Publish: func(v sqcatalog.Version, record []byte) { d.publish(sqcatalog.FactName, uint64(v), record) },
	}
	d.catalog = &sqcatalog.Follower{
		Store: d.platform, Key: d.Adapter.CatalogKey(), Holder: d.catalogs, Logger: d.Logger, Watching: d.watches,
		Polling: d.member.IsFirstRelay,
	}
	d.member.OnFact(sqcatalog.FactName, func(_ uint64, record []byte) { d.catalogs.Apply(record, "peer") })
}

// watches reports whether this daemon follows the catalog in the store itself.
func (d *Daemon) watches() bool {
	n := 0
	d.member.Each(func(sqmember.Row) bool {
		n++
		return n <= d.Settings.Platform.MaxWatchers
	})
	return n <= d.Settings.Platform.MaxWatchers || d.member.IsWatcher()
}

func (d *Daemon) buildPurse() {
	d.purse = &sqpurse.Purse{
		Self: d.Settings.DaemonName, Plans: plans{d.catalogs}, Conns: d.pool, Members: d.purseMembers,
		Least: d.leastMembers, Logger: d.Logger,
	}
	d.timer.Subscribe(sqpurse.TickPeriod, d.purse)
	d.timer.Subscribe(sqpurse.TickPeriod, &peerLog{member: d.member, logger: d.Logger})
}

// peerLog is a system that logs what the daemon believes of its peers when that
// changes.
type peerLog struct {
	member *sqmember.Member
	logger logr.Logger
	states map[sqid.DaemonID]sqmember.State
}

// Tick logs the changes since the last one.
func (l *peerLog) Tick(time.Time) {
	if l.states == nil {
		l.states = make(map[sqid.DaemonID]sqmember.State)
	}
	self := l.member.Self().ID
	l.member.Each(func(r sqmember.Row) bool {
		before, known := l.states[r.ID]
		if r.ID != self && (!known || before != r.State) {
			l.states[r.ID] = r.State
			l.logger.Info("peer changed", "peer", r.ID, "state", r.State.String(), "known", known,
				"dataCentre", r.DataCentre, "incarnation", r.Incarnation)
		}
		return true
	})
}

// plans gives the purse the rates of the catalog in force.
type plans struct{ h *sqcatalog.Holder }

// Plan returns a workspace's rate and burst.
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

// The distances by which holders of parts are ordered.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
)

// fleetSize returns the number of members of the fleet, as parts are made for. It
// is asked at each attempt beyond the first, so it builds no list.
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

// leastMembers returns the number of members that there are at least, as far as a
// daemon can tell that has just started: parts of rates for fewer would sum up to
// more than the rates.
func (d *Daemon) leastMembers() int {
	least := len(d.Settings.Platform.DataCentres)
	if time.Since(d.began) < meetTime {
		least = max(least, d.seeds.Fleet())
	}
	return least
}

// purseMembers returns the members of the fleet in order of name.
func (d *Daemon) purseMembers() []sqpurse.Member {
	var members []sqpurse.Member
	s := &d.Settings
	d.member.Each(func(r sqmember.Row) bool {
		if r.State == sqmember.Left {
			return true
		}
		m := sqpurse.Member{ID: r.ID, Address: r.PeerAddress, Away: otherRegion, Alive: r.State <= sqmember.Suspect}
		switch {
		case r.DataCentre == s.DataCentre:
			m.Away = sameDataCentre
		case r.Region == s.Region:
			m.Away = sameRegion
		}
		members = append(members, m)
		return true
	})
	slices.SortFunc(members, func(a, b sqpurse.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// adaptPath has the entry and the gate speak the adapter's interface.
func (d *Daemon) adaptPath() {
	d.gate.Speech = d.Adapter.Speech()
	d.gate.Conns = &sqconn.Pool{Owns: d.Adapter.Owns}
	d.targets.Expire = expireBeats * time.Duration(d.Settings.Platform.AnnounceEvery)
	d.entry.Service = d.Settings.Platform.Service
	d.entry.Charger = d.purse
	d.entry.Router.Shed.FineLevels = true
	r := d.Settings.Platform.Retry
	d.entry.Router.Bound = sqretry.Bound{
		Ratio: boundPart * r.Ratio, Window: time.Duration(r.Window), Slack: boundPart * float64(r.Slack),
	}
	d.entry.Router.Daemons = d.fleetSize
}

func (d *Daemon) adaptedHandlers() (callers, local, admin http.Handler) {
	callers = d.entry.Handler(d.Adapter.Front(d.catalogs.Catalog, d.calls))
	local = d.Adapter.Control(d.targets, d.catalogs.Catalog)
	m := mux.NewRouter()
	m.Handle("/metrics", promhttp.HandlerFor(d.metrics.Registry, promhttp.HandlerOpts{}))
	m.Handle("/readyz", d.Adapter.Ready(d.ready))
	return callers, local, m
}

// buildIdleWatch has callers' connections held to the limits of the catalog.
func (d *Daemon) buildIdleWatch() *sqidle.Watch {
	w := &sqidle.Watch{Logger: d.Logger, Limits: func() sqidle.Limits {
		l := sqidle.Limits{Head: readHeaderTimeout, Idle: idleTimeout}
		if c := d.catalogs.Catalog(); c != nil {
			l.Head = cmp.Or(c.Limits.HeaderTime, l.Head)
			l.Idle = cmp.Or(c.Limits.IdleTime, l.Idle)
		}
		return l
	}}
	d.timer.Subscribe(sqidle.TickPeriod, w)
	return w
}

// adaptedReady returns why the daemon does not serve callers at now.
func (d *Daemon) adaptedReady(now time.Time) error {
	switch {
	case d.catalogs.Catalog() == nil:
		return errors.New("no catalog is known yet")
	case d.member.Alone() && now.Sub(d.began) < joinTimeout:
		return errors.New("no peers are known yet")
	}
	return nil
}

// awaitCallers serves on until callers have had time to notice that the daemon
// stops, and no request is under way.
func (d *Daemon) awaitCallers(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-cutMargin))
		defer cancel()
	}
	_ = sqtimer.Sleep(ctx, noticeTime-settleTime)
	for d.entry.Active() > 0 && ctx.Err() == nil {
		_ = sqtimer.Sleep(ctx, drainPoll)
	}
}
