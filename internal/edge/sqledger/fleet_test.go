package sqledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqlimit"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// node is one life of one daemon.
type node struct {
	*Ledger
	f      *fleet
	dc     sqid.DataCentreID
	end    context.CancelFunc
	mu     sync.Mutex
	dead   bool
	paused chan struct{}
}

// gate blocks while the node is paused.
func (n *node) gate() {
	for {
		n.mu.Lock()
		paused := n.paused
		n.mu.Unlock()
		if paused == nil {
			return
		}
		<-paused
	}
}

func (n *node) die() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
	if n.paused != nil {
		close(n.paused)
		n.paused = nil
	}
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

// fleet is daemons over fakes of the platform, the peers, the membership and
// the facts. Run it under synctest.
type fleet struct {
	t      testing.TB
	rnd    *rand.Rand
	loads  *rand.Rand
	store  *memory
	ctx    context.Context
	cancel context.CancelFunc

	mu          sync.Mutex
	nodes       map[string]*node
	names       []string
	lives       sqid.Incarnation
	suspected   map[sqkeeper.Member]bool
	leaving     map[sqkeeper.Member]bool
	platformCut map[sqid.DataCentreID]bool
	cut         map[[2]sqid.DataCentreID]bool
	isolated    map[string]bool
	facts       map[string]fact
	index       *sqlists.Index
	// drop and double are the parts of messages lost and doubled; late is the
	// largest extra delay.
	drop, double float64
	late         time.Duration
	delay        func(from, to sqid.DataCentreID) time.Duration
	// group is the number of charges that come at the same time.
	group    int
	tune     func(*Ledger)
	changes  []listChange
	spent    map[sqid.WorkspaceID][]time.Time
	lends    int
	messages int
	bytes    map[sqid.DaemonID]int
}

type fact struct {
	version uint64
	body    []byte
	subs    []func(uint64, []byte)
}

func newFleet(t testing.TB, seed uint64) *fleet {
	f := &fleet{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), loads: rand.New(rand.NewPCG(seed, 2)),
		store:       &memory{records: make(map[string]sqkv.Record)},
		nodes:       make(map[string]*node),
		suspected:   make(map[sqkeeper.Member]bool),
		leaving:     make(map[sqkeeper.Member]bool),
		platformCut: make(map[sqid.DataCentreID]bool),
		cut:         make(map[[2]sqid.DataCentreID]bool),
		isolated:    make(map[string]bool),
		facts:       make(map[string]fact),
		bytes:       make(map[sqid.DaemonID]int),
		spent:       make(map[sqid.WorkspaceID][]time.Time),
		delay: func(from, to sqid.DataCentreID) time.Duration {
			if from == to {
				return 200 * time.Microsecond
			}
			return 1500 * time.Microsecond
		},
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f
}

// plans sets the lists: workspaces with their rate and burst.
func (f *fleet) plans(plans ...sqlists.Plan) {
	lists := sqlists.Lists{Revision: 1, Plans: plans}
	for _, p := range plans {
		lists.Workspaces = append(lists.Workspaces, sqlists.Workspace{Name: sqid.WorkspaceID(p.Name), Plan: p.Name})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index = sqlists.NewIndex(lists)
}

// Index returns the lists, as Plans.
func (f *fleet) Index() *sqlists.Index {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.index
}

// start begins a new life of a daemon.
func (f *fleet) start(dc sqid.DataCentreID, name string) *node {
	f.mu.Lock()
	f.lives++
	n := &node{f: f, dc: dc}
	n.Ledger = &Ledger{
		Self:       sqkeeper.Member{Daemon: sqid.DaemonID(name), Incarnation: f.lives, PeerAddress: name},
		DataCentre: dc, Members: view2{f}, Plans: f, Facts: &factsOf{f: f, n: n}, Log: testLog(f.t),
		Distance: func(o sqid.DataCentreID) time.Duration { return f.delay(dc, o) },
	}
	n.Store = access{m: f.store, n: n, f: f, wait: time.Millisecond}
	n.Ledger.dial = func(address string) (peer, error) { return &simPeer{f: f, from: n, address: address}, nil }
	n.Ledger.spent = func(w sqid.WorkspaceID, now time.Time) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.spent[w] = append(f.spent[w], now)
	}
	if f.tune != nil {
		f.tune(n.Ledger)
	}
	f.nodes[name] = n
	if !slices.Contains(f.names, name) {
		f.names = append(f.names, name)
	}
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(f.ctx)
	n.end = cancel
	go func() { _ = n.Run(ctx) }()
	go n.tick(ctx)
	return n
}

func (n *node) tick(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(TickPeriod)
		n.gate()
		n.Tick(time.Now())
	}
}

// startAll starts a number of daemons in each of a number of data centres.
func (f *fleet) startAll(dcs, each int) {
	for d := range dcs {
		for i := range each {
			f.start(dcName(d), fmt.Sprintf("%s-%d", dcName(d), i))
		}
	}
}

func dcName(d int) sqid.DataCentreID {
	return sqid.DataCentreID(fmt.Sprintf("dc%02d", d))
}

// node returns the newest life of a daemon.
func (f *fleet) node(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

// lendings returns the messages sent so far between keepers of data centres.
func (f *fleet) lendings() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lends
}

// known returns the names of all daemons that ever began.
func (f *fleet) known() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.names)
}

// kill ends a life without a word; the membership finds out a second later.
func (f *fleet) kill(name string) {
	n := f.node(name)
	n.die()
	n.end()
	f.suspectLater(n)
}

func (f *fleet) suspectLater(n *node) {
	go func() {
		time.Sleep(time.Second)
		gone := n.isDead() || n.isPaused()
		f.mu.Lock()
		defer f.mu.Unlock()
		if gone || f.isolated[string(n.Self.Daemon)] {
			f.suspected[n.Self] = true
		}
	}()
}

func (n *node) isPaused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused != nil
}

func (f *fleet) pause(name string) {
	n := f.node(name)
	n.mu.Lock()
	if n.paused == nil && !n.dead {
		n.paused = make(chan struct{})
	}
	n.mu.Unlock()
	f.suspectLater(n)
}

func (f *fleet) resume(name string) {
	n := f.node(name)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused == nil {
		return
	}
	close(n.paused)
	n.paused = nil
	f.mu.Lock()
	delete(f.suspected, n.Self)
	f.mu.Unlock()
}

// stop ends a life in the planned way.
func (f *fleet) stop(name string) error {
	n := f.node(name)
	f.mu.Lock()
	f.leaving[n.Self] = true
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(f.ctx, 10*time.Second)
	defer cancel()
	err := n.Stop(ctx)
	time.Sleep(100 * time.Millisecond)
	n.die()
	n.end()
	f.mu.Lock()
	f.suspected[n.Self] = true
	f.mu.Unlock()
	return err
}

// view2 is the membership as all daemons see it.
type view2 struct{ f *fleet }

func (v view2) Alive(dc sqid.DataCentreID) []sqkeeper.Member {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	var alive []sqkeeper.Member
	for _, name := range v.f.names {
		n := v.f.nodes[name]
		if n.dc == dc && !v.f.suspected[n.Self] && !v.f.leaving[n.Self] {
			alive = append(alive, n.Self)
		}
	}
	return alive
}

// factsOf is one daemon's way to the facts.
type factsOf struct {
	f *fleet
	n *node
}

func (s *factsOf) Publish(name string, version uint64, body []byte) {
	s.f.mu.Lock()
	held := s.f.facts[name]
	if version <= held.version || s.f.isolated[string(s.n.Self.Daemon)] {
		s.f.mu.Unlock()
		return
	}
	held.version, held.body = version, body
	s.f.facts[name] = held
	s.f.mu.Unlock()
	for _, sub := range held.subs {
		go func() {
			time.Sleep(50 * time.Millisecond)
			sub(version, body)
		}()
	}
}

func (s *factsOf) OnFact(name string, f func(uint64, []byte)) {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	held := s.f.facts[name]
	held.subs = append(held.subs, func(version uint64, body []byte) {
		s.n.gate()
		if s.f.reaches(s.n, s.n) {
			f(version, body)
		}
	})
	s.f.facts[name] = held
	if held.version > 0 {
		go f(held.version, held.body)
	}
}

// excess returns by how many tokens the spending of a workspace exceeds one
// bucket of the plan, at the worst window.
func (f *fleet) excess(w sqid.WorkspaceID, plan sqlimit.Capacity) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return excess(f.spent[w], plan)
}

// excess checks every window: admitted <= burst + rate*window holds in all of
// them just if a bucket that begins full admits all; what it lacks at most is
// the excess of the worst window.
func excess(times []time.Time, plan sqlimit.Capacity) float64 {
	slices.SortFunc(times, time.Time.Compare)
	level, worst := float64(plan.Burst), 0.0
	for i, t := range times {
		if i > 0 {
			level = min(float64(plan.Burst), level+float64(plan.Rate)*t.Sub(times[i-1]).Seconds())
		}
		level--
		worst = max(worst, -level)
	}
	if worst < 1e-6 {
		return 0
	}
	return worst
}

// testLog logs to the test's output if it is verbose.
func testLog(t testing.TB) logr.Logger {
	if !testing.Verbose() {
		return logr.Discard()
	}
	return funcr.New(func(prefix, args string) { t.Log(time.Now().Format("05.000"), prefix, args) }, funcr.Options{})
}

// close ends all daemons and waits until their goroutines have ended.
func (f *fleet) close() {
	for _, name := range f.known() {
		f.resume(name)
	}
	f.cancel()
	time.Sleep(time.Minute)
}
