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
	"github.com/sequoiatack/sequoiatack/internal/edge/sqclaim"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqentry"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqgossip"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqledger"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqlocal"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqpeer"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqplatform"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
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
	fleetName   = "sequoiatack"
	targetsTick = 20 * time.Millisecond
	routerTick  = time.Second
	// connsTick is short beside the seconds for which targets keep connections.
	connsTick = 500 * time.Millisecond
	// evidenceTick is short, since a change should be seen at once.
	evidenceTick = 500 * time.Millisecond
)

// build makes the parts and subscribes the systems to the timer.
func (d *Daemon) build() {
	d.began = time.Now()
	d.unsettled = d.began
	d.incarnation = sqid.Incarnation(d.began.UnixMilli())
	d.metrics = sqmetric.New()
	d.control = &sqpeer.Control{Metrics: d.metrics}
	d.pool = &sqpeer.Pool{Options: []grpc.DialOption{d.control.Dial()}}
	if d.Adapter != nil {
		d.platform = d.Adapter.Store(d.metrics)
	} else {
		d.platform = &sqplatform.Client{Addresses: d.Settings.PlatformAddresses, Metrics: d.metrics, Logger: d.Logger}
	}
	d.fleet = new(sqtarget.Directory)
	d.calls = new(sqcall.Table)
	d.buildMember()
	if d.Adapter != nil {
		d.buildCatalog()
		d.buildPurse()
	} else {
		d.buildLists()
		d.buildLedger()
		d.buildBooks()
	}
	d.buildPath()
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
		Targets: d.fleet,
		OnReplaced: func(other sqmember.Row) {
			d.Logger.Error(nil, "another daemon uses this daemon's name", "peerAddress", other.PeerAddress)
		},
	}
	d.gossip = &sqgossip.Transport{
		Address: s.PeerAddress, Member: d.member, Pool: d.pool, Metrics: d.metrics, Logger: d.Logger,
	}
	d.member.Wake = d.gossip.Wake
	d.seeds = &sqgossip.Seeding{Member: d.member, Store: d.platform, Logger: d.Logger}
	d.gossip.Seeds = []sqgossip.Seeds{sqgossip.FixedSeeds(s.SeedPeers), d.seeds}
}

func (d *Daemon) buildLists() {
	d.holder = &sqlists.Holder{Logger: d.Logger, Metrics: d.metrics}
	d.acceptor = &sqlists.Acceptor{
		Store: d.platform, Holder: d.holder, Logger: d.Logger,
		Publish: func(version uint64, body []byte) { d.publish(sqlists.FactLists, version, body) },
	}
	d.follower = &sqlists.Follower{
		Store: d.platform, Holder: d.holder, Logger: d.Logger,
		Watching: d.member.IsWatcher, Publish: d.publish, Repair: d.acceptor.Repair,
	}
	d.evidence = &evidence{centre: d.Settings.DataCentre, member: d.member, holder: d.holder, publish: d.publish}
	d.timer.Subscribe(evidenceTick, d.evidence)
	d.member.OnFact(sqlists.FactLists, d.holder.ApplyFact)
	d.member.OnFact(sqlists.FactEvidence, d.holder.ApplyEvidence)
}

func (d *Daemon) buildLedger() {
	s := &d.Settings
	d.ledger = &sqledger.Ledger{
		Self:       sqkeeper.Member{Daemon: s.DaemonName, Incarnation: d.incarnation, PeerAddress: s.PeerAddress},
		DataCentre: s.DataCentre, Store: d.platform, Conn: d.pool,
		Members: members{d.member}, Plans: d.holder, Facts: facts{d}, Log: d.Logger,
		Distance: d.distance,
	}
	d.timer.Subscribe(sqledger.TickPeriod, d.ledger)
	d.timer.Subscribe(sqledger.TickPeriod, sqtimer.SystemFunc(d.settle))
}

func (d *Daemon) buildBooks() {
	d.books = &sqclaim.Books{
		Self: d.ledger.Self, DataCentre: d.Settings.DataCentre, Keepers: keepers{d.ledger}, Conns: d.pool, Logger: d.Logger,
		Suspect: d.member.ReportFailure,
	}
	d.ledger.OnGive(d.books)
	d.timer.Subscribe(sqclaim.TickPeriod, d.books)
}

func (d *Daemon) buildPath() {
	s := &d.Settings
	d.targets = &sqgate.Targets{Listener: spread{d}, NewAdmission: newAdmission(s.Policy, d.Adapter != nil)}
	d.gate = &sqgate.Gate{
		Daemon: s.DaemonName, Targets: d.targets, Calls: d.calls, Metrics: d.metrics, Logger: d.Logger,
		Conns: sqgate.NewConns(),
	}
	router := &sqentry.Router{
		Targets: d.fleet,
		Route: &sqroute.Router{
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
		Metrics: d.metrics, Decisions: &sqlog.DecisionLog{Logger: d.Logger}, Suspect: d.member.ReportFailure, Stopping: d.stopping.Load,
	}
	if d.Adapter != nil {
		d.adaptPath()
	} else {
		d.entry.Lists, d.entry.Charger, d.entry.Operations = lists{d}, charger{d.ledger}, operations{d.books}
	}
	d.timer.Subscribe(connsTick, d.gate)
	d.timer.Subscribe(sqlog.DecisionLogTick, d.entry.Decisions)
	d.timer.Subscribe(targetsTick, d.targets)
	d.timer.Subscribe(routerTick, router)
	l := &links{
		member: d.member, route: router.Route, region: s.Region, rate: s.LinkBytesPerSecond, known: s.Platform.DataCentres,
	}
	l.Tick(time.Now())
	d.timer.Subscribe(routerTick, l)
}

func (d *Daemon) buildPeers() {
	d.peers = sqpeer.NewServer(d.control.Serve())
	(&sqgate.Server{Gate: d.gate}).Register(d.peers)
	d.gossip.Register(d.peers)
	if d.Adapter != nil {
		d.purse.Register(d.peers)
		return
	}
	d.ledger.Register(d.peers)
	d.books.Register(d.peers)
}

func (d *Daemon) localHandler() http.Handler {
	s := &sqlocal.Server{Daemon: d.Settings.DaemonName, Targets: d.targets, Nested: d.entry.Nested()}
	return s.Handler()
}

// newAdmission returns how a target's admission is made. exact says that
// targets run just as many calls at once as they announce.
func newAdmission(p sqsettings.Policy, exact bool) func() sqgate.Admission {
	if p == sqsettings.PolicyFull {
		return func() sqgate.Admission { return &sqadmit.Gate{ExactSlots: exact} }
	}
	return func() sqgate.Admission { return &sqnaive.Admission{Unlimited: p == sqsettings.PolicyNone} }
}
