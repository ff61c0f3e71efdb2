package sqdaemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtimer"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqclaim"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqdeparture"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqentry"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqgossip"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqledger"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqlimiter"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqpeer"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqhold"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqstop"
	"github.com/sequoiatack/sequoiatack/internal/state/sqcall"
	"github.com/sequoiatack/sequoiatack/internal/state/sqcatalog"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
	"github.com/sequoiatack/sequoiatack/internal/state/sqmember"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
)

const (
	// settleTimeout bounds the wait for the ledger after the daemon's start, and
	// settledFor is how long the ledger must be settled before callers are served.
	settleTimeout = 15 * time.Second
	settledFor    = 2500 * time.Millisecond
)

// Daemon is one daemon of the fleet. It serves as an entry and a gate, takes part in the
// membership and, without an adapter, keeps shards. Its exported fields must be set
// before Run.
type Daemon struct {
	Settings sqsettings.Settings
	Logger   logr.Logger
	// Adapter is the protocol adapter; nil means the product's own protocol.
	Adapter Adapter

	incarnation sqid.Incarnation
	metrics     *sqmetric.Set
	timer       sqtimer.Service
	// budget bounds the memory that calls with long bodies hold.
	budget *sqhold.Budget
	// stopState is the state of the planned stop.
	stopState sqstop.Stop
	startTime time.Time
	// wasSettled is set once the ledger has been settled for settledFor since
	// lastUnsettled. Only the timer uses lastUnsettled after the start.
	wasSettled    atomic.Bool
	lastUnsettled time.Time

	platform      sqkv.Store
	control       *sqpeer.ControlCounter
	pool          *sqpeer.Pool
	listsHolder   *sqlists.Holder
	listsFollower *sqlists.Follower
	listsAcceptor *sqlists.Acceptor
	member        *sqmember.Member
	gossip        *sqgossip.Transport
	seedRecords   *sqgossip.SeedRecords
	revisions     *revisionExchange
	ledger        *sqledger.Ledger
	claims        *sqclaim.Service
	// targets are those of this host, and directory has those of the whole fleet.
	targets   *sqgate.Targets
	directory *sqtarget.Directory
	calls     *sqcall.Table
	gate      *sqgate.Gate
	entry     *sqentry.Entry

	// With an adapter, these replace the lists, the ledger and the claims.
	catalogHolder   *sqcatalog.Holder
	catalogFollower *sqcatalog.Follower
	rateShares      *sqlimiter.Limiter
	departures      *sqdeparture.Keeper

	peers        *grpc.Server
	peerListener net.Listener
	callers      *endpoint
	local        *endpoint
	admin        *endpoint
	readiness    *endpoint
}

// Run serves until ctx ends and then stops gracefully. Its error is nil if no request
// was aborted. When abort ends, requests that are still in progress are aborted.
func (d *Daemon) Run(ctx, abort context.Context) error {
	d.build()
	defer d.pool.Close()
	if c, ok := d.platform.(io.Closer); ok {
		defer c.Close()
	}
	if err := d.listen(); err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, runCtx := errgroup.WithContext(runCtx)
	d.start(runCtx, g)
	d.Logger.Info("serving", "daemon", d.Settings.DaemonName, "dataCentre", d.Settings.DataCentre,
		"incarnation", d.incarnation, "pid", os.Getpid())
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		// A component has failed. The others must not keep the process.
		d.closeAll()
		return g.Wait()
	}
	stopErr := d.stop(abort)
	cancel()
	if err := g.Wait(); err != nil {
		return err
	}
	return stopErr
}

// closeAll stops serving all addresses at once.
func (d *Daemon) closeAll() {
	d.peers.Stop()
	for _, e := range d.endpoints() {
		_ = e.server.Close()
	}
}

// endpoints returns the daemon's HTTP addresses.
func (d *Daemon) endpoints() []*endpoint {
	return slices.DeleteFunc([]*endpoint{d.callers, d.local, d.admin, d.readiness}, func(e *endpoint) bool { return e == nil })
}

// start runs the components until runCtx ends.
func (d *Daemon) start(runCtx context.Context, g *errgroup.Group) {
	g.Go(func() error { return d.timer.Run(runCtx) })
	g.Go(func() error { return d.gossip.Run(runCtx) })
	g.Go(func() error { return d.seedRecords.Run(runCtx) })
	if d.Adapter != nil {
		g.Go(func() error { return d.catalogFollower.Run(runCtx) })
		g.Go(func() error { return d.departures.Run(runCtx) })
	} else {
		g.Go(func() error { return d.listsFollower.Run(runCtx) })
		g.Go(func() error { return d.ledger.Run(runCtx) })
		g.Go(func() error { return d.claims.Run(runCtx) })
	}
	g.Go(d.servePeers)
	for _, e := range d.endpoints() {
		g.Go(e.serve)
	}
}

// servePeers serves the peers' gRPC calls. It returns nil once the server is stopped.
func (d *Daemon) servePeers() error {
	if err := d.peers.Serve(d.peerListener); err != nil {
		return errors.Wrap(err, "serve peers")
	}
	return nil
}

// listen binds all addresses, before any of them is served.
func (d *Daemon) listen() error {
	var err error
	if d.peerListener, err = net.Listen("tcp", d.Settings.PeerAddress); err != nil {
		return errors.Wrap(err, "listen on peerAddress")
	}
	callers, local, admin := d.handlers()
	if d.callers, err = listen("callerAddress", d.Settings.CallerAddress, recoverPanics(callers, d.Logger)); err != nil {
		return err
	}
	if d.local, err = listen("localAddress", d.Settings.LocalAddress, recoverPanics(local, d.Logger)); err != nil {
		return err
	}
	if d.Adapter != nil {
		d.callers.watchIdle(d.buildIdleWatch())
		address, ready := d.Settings.Platform.ReadyAddress, d.Adapter.ReadinessHandler(d.ready)
		if d.readiness, err = listen("platform.readyAddress", address, ready); err != nil {
			return err
		}
	}
	d.admin, err = listen("adminAddress", d.Settings.AdminAddress, recoverPanics(admin, d.Logger))
	return err
}

// handlers returns the handlers of the daemon's HTTP addresses.
func (d *Daemon) handlers() (callers, local, admin http.Handler) {
	if d.Adapter != nil {
		return d.adapterHandlers()
	}
	return d.entry.Callers(), d.localHandler(), d.adminHandler()
}

// settled reports whether the ledger has been settled since the daemon's start, or the
// wait for it has timed out: a data centre that is disconnected from the others at the
// start serves what its share allows.
func (d *Daemon) settled() bool {
	return d.wasSettled.Load() || time.Since(d.startTime) > settleTimeout
}

// checkSettled sets wasSettled once the ledger has been settled for settledFor. A
// shorter time is not enough, since at first the ledger may not know all data centres.
func (d *Daemon) checkSettled(now time.Time) {
	switch {
	case d.wasSettled.Load():
	case !d.ledger.Settled(now):
		d.lastUnsettled = now
	case now.Sub(d.lastUnsettled) >= settledFor:
		d.wasSettled.Store(true)
	}
}

// listsKnown reports whether this daemon has received lists, or a confirmation that the
// fleet has been given none and uses empty ones.
func (d *Daemon) listsKnown() bool {
	return d.listsHolder.Revision() > 0 || !d.listsHolder.Confirmed().IsZero()
}

// ready returns the reason why the daemon does not serve callers now, or nil.
func (d *Daemon) ready() error {
	switch {
	case d.stopState.Begun():
		return errors.New("stopping")
	case d.Adapter != nil:
		return d.adapterReady(time.Now())
	case !d.listsKnown():
		return errors.New("the lists are not known yet")
	case !d.settled():
		return errors.New("the ledger is not settled yet")
	case (lists{d}).Stale(time.Now()):
		return errors.New("lists are stale")
	}
	return nil
}
