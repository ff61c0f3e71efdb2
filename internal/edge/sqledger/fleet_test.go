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

// node is one incarnation of a simulated daemon.
type node struct {
	*Ledger
	f       *fleet
	dc      sqid.DataCentreID
	stopRun context.CancelFunc
	// mu guards the fields below.
	mu   sync.Mutex
	dead bool
	// paused is closed when the node resumes; nil if it is not paused.
	paused chan struct{}
}

// waitWhilePaused blocks while the node is paused.
func (n *node) waitWhilePaused() {
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

func (n *node) markDead() {
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

// fleet is a simulated fleet: ledgers with fakes of the platform, the network, the
// membership and the facts. It has to run in a synctest bubble, but for the tests over
// gRPC.
type fleet struct {
	t         testing.TB
	faultRand *rand.Rand
	loadRand  *rand.Rand
	store     *memoryStore
	ctx       context.Context
	cancel    context.CancelFunc

	// mu guards the fields below.
	mu              sync.Mutex
	nodes           map[string]*node
	names           []string
	lastIncarnation sqid.Incarnation
	suspected       map[sqkeeper.Member]bool
	leaving         map[sqkeeper.Member]bool
	// platformCut has the data centres that can't reach the platform, cut the pairs of
	// data centres that can't reach each other, and isolated the daemons that can reach
	// nothing.
	platformCut map[sqid.DataCentreID]bool
	cut         map[[2]sqid.DataCentreID]bool
	isolated    map[string]bool
	facts       map[string]fact
	index       *sqlists.Index
	// lost and duplicated are the fractions of messages that are lost and duplicated;
	// maxExtraDelay bounds the extra delay of 5 % of the messages.
	lost, duplicated float64
	maxExtraDelay    time.Duration
	delay            func(from, to sqid.DataCentreID) time.Duration
	// batchSize is the number of charges that are sent at the same time.
	batchSize    int
	configure    func(*Ledger)
	changes      []listChange
	spent        map[sqid.WorkspaceID][]time.Time
	lendMessages int
	messages     int
	bytes        map[sqid.DaemonID]int
}

// fact is the newest version of a fact and its subscribers.
type fact struct {
	version     uint64
	body        []byte
	subscribers []func(uint64, []byte)
}

func newFleet(t testing.TB, seed uint64) *fleet {
	f := &fleet{
		t: t, faultRand: rand.New(rand.NewPCG(seed, 1)), loadRand: rand.New(rand.NewPCG(seed, 2)),
		store:       &memoryStore{records: make(map[string]sqkv.Record)},
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

// start starts a new incarnation of a daemon.
func (f *fleet) start(dc sqid.DataCentreID, name string) *node {
	f.mu.Lock()
	f.lastIncarnation++
	n := &node{f: f, dc: dc}
	n.Ledger = &Ledger{
		Self:       sqkeeper.Member{Daemon: sqid.DaemonID(name), Incarnation: f.lastIncarnation, PeerAddress: name},
		DataCentre: dc, Members: membership{f}, Plans: f, Facts: &factStore{f: f, n: n}, Log: testLog(f.t),
		Distance: func(o sqid.DataCentreID) time.Duration { return f.delay(dc, o) },
	}
	n.Store = storeClient{m: f.store, n: n, f: f, latency: time.Millisecond}
	n.Ledger.dial = func(address string) (peer, error) { return &fakePeer{f: f, from: n, address: address}, nil }
	n.Ledger.onSpent = func(w sqid.WorkspaceID, now time.Time) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.spent[w] = append(f.spent[w], now)
	}
	if f.configure != nil {
		f.configure(n.Ledger)
	}
	f.nodes[name] = n
	if !slices.Contains(f.names, name) {
		f.names = append(f.names, name)
	}
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(f.ctx)
	n.stopRun = cancel
	go func() { _ = n.Run(ctx) }()
	go n.tick(ctx)
	return n
}

func (n *node) tick(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(TickPeriod)
		n.waitWhilePaused()
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

// node returns the newest incarnation of a daemon.
func (f *fleet) node(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

// lendMessageCount returns the number of lend requests sent so far between the keepers of
// different data centres.
func (f *fleet) lendMessageCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lendMessages
}

// daemonNames returns the names of all daemons that were ever started.
func (f *fleet) daemonNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.names)
}

// kill ends a daemon without a planned stop; the membership suspects it a second later.
func (f *fleet) kill(name string) {
	n := f.node(name)
	n.markDead()
	n.stopRun()
	f.suspectAfterDelay(n)
}

// suspectAfterDelay marks a node as suspect after a second, if it is dead, paused or
// isolated by then.
func (f *fleet) suspectAfterDelay(n *node) {
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
	f.suspectAfterDelay(n)
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

// stop ends a daemon with a planned stop.
func (f *fleet) stop(name string) error {
	n := f.node(name)
	f.mu.Lock()
	f.leaving[n.Self] = true
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(f.ctx, 10*time.Second)
	defer cancel()
	err := n.Stop(ctx)
	time.Sleep(100 * time.Millisecond)
	n.markDead()
	n.stopRun()
	f.mu.Lock()
	f.suspected[n.Self] = true
	f.mu.Unlock()
	return err
}

// membership is the membership as all daemons see it.
type membership struct{ f *fleet }

func (v membership) Alive(dc sqid.DataCentreID) []sqkeeper.Member {
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

// factStore is one daemon's access to the facts.
type factStore struct {
	f *fleet
	n *node
}

func (s *factStore) Publish(name string, version uint64, body []byte) {
	s.f.mu.Lock()
	held := s.f.facts[name]
	if version <= held.version || s.f.isolated[string(s.n.Self.Daemon)] {
		s.f.mu.Unlock()
		return
	}
	held.version, held.body = version, body
	s.f.facts[name] = held
	s.f.mu.Unlock()
	for _, sub := range held.subscribers {
		go func() {
			time.Sleep(50 * time.Millisecond)
			sub(version, body)
		}()
	}
}

func (s *factStore) OnFact(name string, f func(uint64, []byte)) {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	held := s.f.facts[name]
	held.subscribers = append(held.subscribers, func(version uint64, body []byte) {
		s.n.waitWhilePaused()
		if s.f.delivers(s.n, s.n) {
			f(version, body)
		}
	})
	s.f.facts[name] = held
	if held.version > 0 {
		go f(held.version, held.body)
	}
}

// excess returns by how many tokens the spending of a workspace exceeds the plan, in the
// worst window.
func (f *fleet) excess(w sqid.WorkspaceID, plan sqlimit.Capacity) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return excess(f.spent[w], plan)
}

// excess checks all windows at once. Spending is at most burst + rate*window in every
// window if and only if a token bucket that starts full admits all of it. The bucket's
// largest deficit is the excess of the worst window.
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

// testLog logs to the test's output in verbose mode.
func testLog(t testing.TB) logr.Logger {
	if !testing.Verbose() {
		return logr.Discard()
	}
	return funcr.New(func(prefix, args string) { t.Log(time.Now().Format("05.000"), prefix, args) }, funcr.Options{})
}

// close ends all daemons and waits until their goroutines have ended.
func (f *fleet) close() {
	for _, name := range f.daemonNames() {
		f.resume(name)
	}
	f.cancel()
	time.Sleep(time.Minute)
}
