package sqdaemon

import (
	"math/rand/v2"
	"net/http"
	"time"

	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqlog"
	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtimer"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqclaim"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqentry"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqetcd"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqgossip"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqledger"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqlocal"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqpeer"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqhold"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqnaive"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqroute"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqshed"
	"github.com/sequoiatack/sequoiatack/internal/state/sqcall"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
	"github.com/sequoiatack/sequoiatack/internal/state/sqmember"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
)

const (
	fleetName = "sequoiatack"
	// heldFraction is the part of the memory limit that the bytes under way of calls with
	// long bodies may take. The collector needs as much again, and calls that gave way may
	// take a moment to end.
	heldFraction = 0.2
	targetsTick  = 20 * time.Millisecond
	routerTick   = time.Second
	// connsTick is short compared with the seconds for which targets keep idle
	// connections open.
	connsTick = 500 * time.Millisecond
	// revisionTick is short, so that a new revision is published at once.
	revisionTick = 500 * time.Millisecond
)

// build creates the daemon's components and subscribes those with periodic work to the
// timer.
func (d *Daemon) build() {
	d.startTime = time.Now()
	d.lastUnsettled = d.startTime
	d.incarnation = sqid.Incarnation(d.startTime.UnixMilli())
	d.metrics = sqmetric.New()
	d.control = &sqpeer.ControlCounter{Metrics: d.metrics}
	d.pool = &sqpeer.Pool{Options: []grpc.DialOption{d.control.DialOption()}}
	if d.Adapter != nil {
		d.platform = d.Adapter.Store(d.metrics)
	} else {
		d.platform = &sqetcd.Client{Addresses: d.Settings.PlatformAddresses, Metrics: d.metrics, Logger: d.Logger}
	}
	d.directory = new(sqtarget.Directory)
	d.calls = new(sqcall.Table)
	d.buildMember()
	if d.Adapter != nil {
		d.buildCatalog()
		d.buildRateShares()
	} else {
		d.buildLists()
		d.buildLedger()
		d.buildClaims()
	}
	d.buildPath()
	if d.Adapter != nil {
		d.buildDepartures()
	}
	d.buildPeers()
}

func (d *Daemon) buildMember() {
	s := &d.Settings
	d.member = &sqmember.Member{
		Fleet: fleetName,
		Local: sqmember.Row{
			ID: s.DaemonName, DataCentre: s.DataCentre, Region: s.Region,
			CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress, Incarnation: d.incarnation,
		},
		Rand:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Targets: d.directory,
		OnReplaced: func(other sqmember.Row) {
			d.Logger.Error(nil, "another daemon uses this daemon's name", "peerAddress", other.PeerAddress)
		},
	}
	d.gossip = &sqgossip.Transport{
		Address: s.PeerAddress, Member: d.member, Pool: d.pool, Metrics: d.metrics, Logger: d.Logger,
	}
	d.member.Wake = d.gossip.Wake
	d.seedRecords = &sqgossip.SeedRecords{Member: d.member, Store: d.platform, Logger: d.Logger}
	d.gossip.SeedSources = []sqgossip.SeedSource{sqgossip.FixedSeeds(s.SeedPeers), d.seedRecords}
}

func (d *Daemon) buildLists() {
	d.listsHolder = &sqlists.Holder{Logger: d.Logger, Metrics: d.metrics}
	d.listsAcceptor = &sqlists.Acceptor{
		Store: d.platform, Holder: d.listsHolder, Logger: d.Logger,
		Publish: func(version uint64, body []byte) { d.publish(sqlists.FactLists, version, body) },
	}
	d.listsFollower = &sqlists.Follower{
		Store: d.platform, Holder: d.listsHolder, Logger: d.Logger,
		Watching: d.member.IsWatcher, Publish: d.publish, Repair: d.listsAcceptor.Repair,
	}
	d.revisions = &revisionExchange{centre: d.Settings.DataCentre, member: d.member, listsHolder: d.listsHolder, publish: d.publish}
	d.timer.Subscribe(revisionTick, d.revisions)
	d.member.OnFact(sqlists.FactLists, d.listsHolder.ApplyFact)
	d.member.OnFact(sqlists.FactEvidence, d.listsHolder.ApplyEvidence)
}

func (d *Daemon) buildLedger() {
	s := &d.Settings
	d.ledger = &sqledger.Ledger{
		Self:       sqkeeper.Member{Daemon: s.DaemonName, Incarnation: d.incarnation, PeerAddress: s.PeerAddress},
		DataCentre: s.DataCentre, Store: d.platform, Conns: d.pool,
		Members: members{d.member}, Plans: d.listsHolder, Facts: facts{d}, Log: d.Logger,
		Distance: d.distance,
	}
	d.timer.Subscribe(sqledger.TickPeriod, d.ledger)
	d.timer.Subscribe(sqledger.TickPeriod, sqtimer.SystemFunc(d.checkSettled))
}

func (d *Daemon) buildClaims() {
	d.claims = &sqclaim.Service{
		Self: d.ledger.Self, DataCentre: d.Settings.DataCentre, Keepers: keepers{d.ledger}, Conns: d.pool, Logger: d.Logger,
		ReportFailure: d.member.ReportFailure,
	}
	d.ledger.AddHandoverListener(d.claims)
	d.timer.Subscribe(sqclaim.TickPeriod, d.claims)
}

func (d *Daemon) buildPath() {
	s := &d.Settings
	d.budget = &sqhold.Budget{Limit: squnit.Bytes(heldFraction * float64(s.Memory.Limit))}
	d.targets = &sqgate.Targets{Listener: targetAnnouncer{d}, NewAdmission: newAdmission(s.Policy, d.Adapter != nil), Logger: d.Logger}
	d.gate = &sqgate.Gate{
		Daemon: s.DaemonName, Targets: d.targets, Calls: d.calls, Metrics: d.metrics, Logger: d.Logger,
		Conns: sqgate.NewConns(), Stop: &d.stopState, Budget: d.budget,
	}
	router := &sqentry.Router{
		Targets: d.directory,
		Balancer: &sqroute.Router{
			DataCentre: s.DataCentre, Region: s.Region,
			OnEject: func(id sqtarget.ID, failed float64, lasts time.Duration) {
				d.Logger.Info("target taken out for its failures", "target", id.Target, "peer", id.Daemon,
					"failedPart", failed, "lastsMs", lasts.Milliseconds())
			},
		},
		Shed: new(sqshed.Table),
	}
	d.entry = &sqentry.Entry{
		Daemon: s.DaemonName, Router: router, Gate: d.gate, Conns: d.pool, Calls: d.calls,
		Metrics: d.metrics, Decisions: &sqlog.DecisionLog{Logger: d.Logger}, ReportUnreachable: d.member.ReportFailure, Stop: &d.stopState, Budget: d.budget,
	}
	if d.Adapter != nil {
		d.applyAdapter()
	} else {
		d.entry.Lists, d.entry.Charger, d.entry.Operations = lists{d}, ledgerCharger{d.ledger}, operations{d.claims}
	}
	d.timer.Subscribe(connsTick, d.gate)
	d.timer.Subscribe(routerTick, d.entry)
	d.timer.Subscribe(sqlog.DecisionLogTick, d.entry.Decisions)
	d.timer.Subscribe(targetsTick, d.targets)
	d.timer.Subscribe(routerTick, router)
	l := &links{
		member: d.member, route: router.Balancer, region: s.Region, rate: s.LinkBytesPerSecond, configured: s.Platform.DataCentres,
	}
	l.Tick(time.Now())
	d.timer.Subscribe(routerTick, l)
}

func (d *Daemon) buildPeers() {
	d.peers = sqpeer.NewServer(d.Logger, d.control.ServerOption())
	(&sqgate.Server{Gate: d.gate}).Register(d.peers)
	d.gossip.Register(d.peers)
	if d.Adapter != nil {
		d.rateShares.Register(d.peers)
		d.departures.Register(d.peers)
		return
	}
	d.ledger.Register(d.peers)
	d.claims.Register(d.peers)
}

func (d *Daemon) localHandler() http.Handler {
	s := &sqlocal.Server{Daemon: d.Settings.DaemonName, Targets: d.targets, Nested: d.entry.Nested()}
	return s.Handler()
}

// newAdmission returns the constructor of targets' admission control under a policy.
// exact says that targets run exactly as many calls at once as they announce.
func newAdmission(p sqsettings.Policy, exact bool) func() sqgate.Admission {
	if p == sqsettings.PolicyFull {
		return func() sqgate.Admission { return &sqadmit.Gate{ExactSlots: exact} }
	}
	return func() sqgate.Admission { return &sqnaive.Admission{Unlimited: p == sqsettings.PolicyNone} }
}
