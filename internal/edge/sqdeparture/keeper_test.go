package sqdeparture_test

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqdeparture"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqpeer"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
)

// memoryStore is a store in memory.
type memoryStore struct {
	mu      sync.Mutex
	down    bool
	records map[string]sqkv.Record
	version sqkv.Version
	calls   int
}

func newMemoryStore() *memoryStore { return &memoryStore{records: make(map[string]sqkv.Record)} }

var errDown = errors.New("store is down")

func (s *memoryStore) use(f func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return errDown
	}
	return f()
}

func (s *memoryStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// expireAll removes all records, as the ends of their leases do.
func (s *memoryStore) expireAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.records)
}

func (s *memoryStore) set(key, value string) {
	_ = s.use(func() error {
		s.version++
		s.records[key] = sqkv.Record{Key: key, Value: []byte(value), Version: s.version}
		return nil
	})
}

// Get returns a record.
func (s *memoryStore) Get(_ context.Context, key string) (r sqkv.Record, err error) {
	err = s.use(func() error {
		r = s.records[key]
		return nil
	})
	return r, err
}

// Swap writes a record if its version is the expected one.
func (s *memoryStore) Swap(_ context.Context, key string, expected sqkv.Version, value []byte, lease sqkv.LeaseID) (v sqkv.Version, err error) {
	err = s.use(func() error {
		if s.records[key].Version != expected || lease == 0 {
			return sqkv.ErrConflict
		}
		s.version++
		v = s.version
		s.records[key] = sqkv.Record{Key: key, Value: value, Version: v}
		return nil
	})
	return v, err
}

// Grant creates a lease.
func (s *memoryStore) Grant(context.Context, time.Duration) (sqkv.LeaseID, error) {
	return 7, s.use(func() error { return nil })
}

// cluster is a few keepers that reach each other over gRPC.
type cluster struct {
	t     *testing.T
	store *memoryStore

	mu      sync.Mutex
	keepers map[sqid.DaemonID]*member
	// unknown are the keepers that a does not know.
	unknown []sqid.DaemonID
}

// get returns a running keeper, nil if there is none.
func (c *cluster) get(name sqid.DaemonID) *member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keepers[name]
}

type member struct {
	*sqdeparture.Keeper
	address  string
	server   *grpc.Server
	cancel   context.CancelFunc
	restored chan []sqdeparture.Departure
	// found are the departures that it has found after that.
	found chan sqdeparture.Departure
	// serving is false as long as it could not serve requests.
	serving atomic.Bool
}

func newCluster(t *testing.T, names ...sqid.DaemonID) *cluster {
	c := &cluster{t: t, store: newMemoryStore(), keepers: make(map[sqid.DaemonID]*member)}
	for _, name := range names {
		c.start(name)
	}
	for _, name := range names {
		c.restored(name)
	}
	return c
}

// start starts a keeper, which knows nothing of before.
func (c *cluster) start(name sqid.DaemonID) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(c.t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{address: l.Addr().String(), server: sqpeer.NewServer(logr.Discard()), cancel: cancel, restored: make(chan []sqdeparture.Departure, 1), found: make(chan sqdeparture.Departure, 10)}
	m.serving.Store(true)
	pool := new(sqpeer.Pool)
	m.Keeper = &sqdeparture.Keeper{
		Self: name, Store: c.store, Conns: pool, Logger: logr.Discard(), Peers: func() []string { return c.peersOf(name) },
		Restore: func(list []sqdeparture.Departure) { m.restored <- list },
		Departed: func(list []sqdeparture.Departure) {
			for _, d := range list {
				m.found <- d
			}
		},
		Serving: m.serving.Load,
	}
	m.Register(m.server)
	c.mu.Lock()
	c.keepers[name] = m
	c.mu.Unlock()
	go func() { _ = m.server.Serve(l) }()
	go func() { _ = m.Run(ctx) }()
	c.t.Cleanup(func() {
		cancel()
		m.server.Stop()
		pool.Close()
	})
}

func (c *cluster) kill(names ...sqid.DaemonID) {
	for _, name := range names {
		m := c.get(name)
		m.cancel()
		m.server.Stop()
		c.mu.Lock()
		delete(c.keepers, name)
		c.mu.Unlock()
	}
}

func (c *cluster) peersOf(name sqid.DaemonID) []string {
	var addresses []string
	c.mu.Lock()
	unknown := c.unknown
	c.mu.Unlock()
	for _, other := range []sqid.DaemonID{"a", "b", "c", "d", "e"} {
		if name == "a" && slices.Contains(unknown, other) {
			continue
		}
		if m := c.get(other); m != nil && other != name {
			addresses = append(addresses, m.address)
		}
	}
	return addresses
}

// hide lets a know none of the named keepers.
func (c *cluster) hide(names ...sqid.DaemonID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unknown = names
}

// found returns a departure that a keeper has found after it has restored.
func (c *cluster) found(name sqid.DaemonID) sqdeparture.Departure {
	select {
	case d := <-c.get(name).found:
		return d
	case <-time.After(5 * time.Second):
		c.t.Fatalf("%s found nothing in time", name)
		return sqdeparture.Departure{}
	}
}

// restored returns what a keeper has restored since its start.
func (c *cluster) restored(name sqid.DaemonID) []sqdeparture.Departure {
	select {
	case list := <-c.get(name).restored:
		return list
	case <-time.After(5 * time.Second):
		c.t.Fatalf("%s restored nothing in time", name)
		return nil
	}
}

var left = sqdeparture.Departure{Target: "i-1", Incarnation: 1000}

// TestDepartureOutlivesDaemon guards against a target that has left and is in use again
// after its daemon was killed right after the acknowledgement.
func TestDepartureOutlivesDaemon(t *testing.T) {
	for name, c := range map[string]struct {
		before, killed func(c *cluster)
		kills          []sqid.DaemonID
	}{
		"the daemon alone":                     {kills: []sqid.DaemonID{"a"}},
		"all daemons":                          {kills: []sqid.DaemonID{"a", "b", "c", "d"}},
		"the daemon, the store always down":    {before: func(c *cluster) { c.store.setDown(true) }, kills: []sqid.DaemonID{"a"}},
		"the daemon, the store down after":     {killed: func(c *cluster) { c.store.setDown(true) }, kills: []sqid.DaemonID{"a"}},
		"the daemon, its lease expired":        {killed: func(c *cluster) { c.store.expireAll() }, kills: []sqid.DaemonID{"a"}},
		"the daemon and two of its holders":    {kills: []sqid.DaemonID{"a", "b", "c"}},
		"the daemon and all but the store":     {before: func(c *cluster) { c.kill("b", "c", "d") }, kills: []sqid.DaemonID{"a"}},
		"the daemon, its record odd":           {killed: func(c *cluster) { c.store.set(sqdeparture.KeyPrefix+"a", `{"departures":[{"target":5}]}`) }, kills: []sqid.DaemonID{"a"}},
		"the daemon, the record written again": {before: func(c *cluster) { c.store.set(sqdeparture.KeyPrefix+"a", `{}`) }, kills: []sqid.DaemonID{"a", "b", "c", "d"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cl := newCluster(t, "a", "b", "c", "d")
			if c.before != nil {
				c.before(cl)
			}
			start := time.Now()
			cl.get("a").Record(context.Background(), left)
			qt.Check(t, time.Since(start) < 900*time.Millisecond, qt.IsTrue, qt.Commentf("recorded after %v", time.Since(start)))
			cl.kill(c.kills...)
			if c.killed != nil {
				c.killed(cl)
			}
			for _, name := range c.kills {
				cl.start(name)
			}
			qt.Check(t, cl.restored("a"), qt.DeepEquals, []sqdeparture.Departure{left})
		})
	}
}

// TestStartAlone checks that a daemon that reaches neither the store nor a peer goes on
// without what they hold.
func TestStartAlone(t *testing.T) {
	c := &cluster{t: t, store: &memoryStore{down: true}, keepers: make(map[sqid.DaemonID]*member)}
	start := time.Now()
	c.start("a")
	qt.Check(t, c.restored("a"), qt.HasLen, 0)
	qt.Check(t, time.Since(start) < 3*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
}

// TestHoldersFoundLate guards against a target that has left and is in use again because
// its restarted daemon, without the store, first knows a peer that does not hold the
// departure.
func TestHoldersFoundLate(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d", "e")
	c.store.setDown(true)
	c.get("a").Record(context.Background(), left)
	c.kill("a")
	c.hide("b", "c", "d")
	c.start("a")
	time.Sleep(1500 * time.Millisecond)
	c.hide()
	qt.Check(t, c.restored("a"), qt.DeepEquals, []sqdeparture.Departure{left})
}

// TestStartBeforePeers guards against the same where the restarted daemon knows no peer for
// longer than it waits, and could not serve meanwhile.
func TestStartBeforePeers(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d")
	c.store.setDown(true)
	c.get("a").Record(context.Background(), left)
	c.kill("a")
	c.hide("b", "c", "d")
	c.start("a")
	c.get("a").serving.Store(false)
	time.Sleep(3 * time.Second)
	c.hide()
	c.get("a").serving.Store(true)
	qt.Check(t, c.restored("a"), qt.DeepEquals, []sqdeparture.Departure{left})
}

// TestFoundAfterStart guards against a target that stays in use although a peer or the store
// that is reached only later knows that it has left, and against a record in the store that
// a daemon overwrites without having read it.
func TestFoundAfterStart(t *testing.T) {
	for name, reach := range map[string]func(c *cluster){
		"a peer":    func(c *cluster) { c.hide() },
		"the store": func(c *cluster) { c.store.setDown(false) },
		"the store, by another departure": func(c *cluster) {
			c.store.setDown(false)
			c.get("a").Record(context.Background(), sqdeparture.Departure{Target: "i-2", Incarnation: 5})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, "a", "b")
			c.get("a").Record(context.Background(), left)
			c.kill("a")
			c.hide("b")
			c.store.setDown(true)
			c.start("a")
			qt.Check(t, c.restored("a"), qt.HasLen, 0)
			reach(c)
			qt.Check(t, c.found("a"), qt.Equals, left)
			c.store.setDown(false)
			qt.Check(t, func() string {
				r, _ := c.store.Get(context.Background(), sqdeparture.KeyPrefix+"a")
				return string(r.Value)
			}(), qt.Contains, `"i-1"`)
		})
	}
}

// TestRestoredIsNotSavedAgain checks that a start with departures costs the store a read.
func TestRestoredIsNotSavedAgain(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d")
	c.get("a").Record(context.Background(), left)
	c.kill("a")
	before := c.store.callCount()
	c.start("a")
	qt.Check(t, c.restored("a"), qt.DeepEquals, []sqdeparture.Departure{left})
	time.Sleep(2500 * time.Millisecond)
	qt.Check(t, c.store.callCount()-before, qt.Equals, 1)
}

// TestSavedAfterOutage checks that a departure that only peers hold gets into the store
// once that is back.
func TestSavedAfterOutage(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.store.setDown(true)
	c.get("a").Record(context.Background(), left)
	c.store.setDown(false)
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if r, err := c.store.Get(context.Background(), sqdeparture.KeyPrefix+"a"); err == nil && r.Version > 0 {
			break
		}
		qt.Assert(t, time.Since(start) < 5*time.Second, qt.IsTrue)
	}
	c.kill("a", "b")
	c.start("a")
	qt.Check(t, c.restored("a"), qt.DeepEquals, []sqdeparture.Departure{left})
}

// TestDepartureIsRecordedOnce checks what a departure costs: a read at the start, a lease
// and a write, however often it is reported.
func TestDepartureIsRecordedOnce(t *testing.T) {
	c := newCluster(t, "a", "b")
	before := c.store.callCount()
	for range 5 {
		c.get("a").Record(context.Background(), left)
	}
	qt.Check(t, c.store.callCount()-before, qt.Equals, 2)
	c.get("a").Record(context.Background(), sqdeparture.Departure{Target: "i-1", Incarnation: 2000})
	qt.Check(t, c.store.callCount()-before, qt.Equals, 4)
	c.kill("a")
	c.start("a")
	qt.Check(t, c.restored("a"), qt.DeepEquals, []sqdeparture.Departure{{Target: "i-1", Incarnation: 2000}})
}

// TestDeparturesExpire checks that what is held does not grow without end.
func TestDeparturesExpire(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.get("a").Record(context.Background(), left)
	for _, m := range c.keepers {
		m.Tick(time.Now().Add(sqdeparture.Retention + time.Second))
	}
	c.store.expireAll()
	c.kill("a")
	c.start("a")
	qt.Check(t, c.restored("a"), qt.HasLen, 0)
}

// TestRecordReportsWhatIsKept guards against an acknowledgement of a departure that only the
// daemon's own memory keeps.
func TestRecordReportsWhatIsKept(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(c *cluster)
		want    bool
	}{
		"store and peers":        {func(*cluster) {}, true},
		"the store alone":        {func(c *cluster) { c.kill("b", "c") }, true},
		"peers alone":            {func(c *cluster) { c.store.setDown(true) }, true},
		"neither store nor peer": {func(c *cluster) { c.store.setDown(true); c.kill("b", "c") }, false},
		"no peer is known":       {func(c *cluster) { c.store.setDown(true); c.hide("b", "c") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cl := newCluster(t, "a", "b", "c")
			c.prepare(cl)
			qt.Check(t, cl.get("a").Record(context.Background(), left), qt.Equals, c.want)
			// Reported again, it is kept as soon as the store is back.
			cl.store.setDown(false)
			qt.Check(t, cl.get("a").Record(context.Background(), left), qt.IsTrue)
		})
	}
}
