package sqgossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
	"github.com/sequoiatack/sequoiatack/internal/state/sqmember"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
)

// pool holds plain gRPC connections to the peers.
type pool struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func (p *pool) Conn(address string) (grpc.ClientConnInterface, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[address]; c != nil {
		return c, nil
	}
	c, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err == nil {
		p.conns[address] = c
	}
	return c, err
}

// peer is the membership of one daemon, on loopback addresses.
type peer struct {
	*Transport
	seedRecords *SeedRecords
	stop        func()
}

func start(c *qt.C, name, dc string, seeds ...string) *peer {
	return startWith(c, name, dc, nil, seeds...)
}

// startWith starts a peer that also finds seed peers in a platform, if store isn't nil.
func startWith(c *qt.C, name, dc string, store SeedStore, seeds ...string) *peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	t := &Transport{
		Address: address, Pool: &pool{conns: make(map[string]*grpc.ClientConn)},
		SeedSources: []SeedSource{FixedSeeds(seeds)}, Metrics: sqmetric.New(), Logger: logr.Discard(),
	}
	t.Member = &sqmember.Member{
		Fleet: "test", Rand: rand.New(rand.NewPCG(1, uint64(len(name)))), Wake: t.Wake,
		Local: sqmember.Row{
			ID: sqid.DaemonID(name), DataCentre: sqid.DataCentreID(dc), Region: "r",
			PeerAddress: address, CallerAddress: address, Incarnation: sqid.Incarnation(time.Now().UnixMilli()),
		},
	}
	seedRecords := &SeedRecords{Member: t.Member, Store: store, Logger: logr.Discard()}
	if store != nil {
		t.SeedSources = append(t.SeedSources, seedRecords)
	}
	s := grpc.NewServer()
	t.Register(s)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(l) })
	wg.Go(func() { c.Check(t.Run(ctx), qt.IsNil) })
	if store != nil {
		wg.Go(func() { c.Check(seedRecords.Run(ctx), qt.IsNil) })
	}
	p := &peer{Transport: t, seedRecords: seedRecords, stop: sync.OnceFunc(func() { cancel(); s.Stop(); wg.Wait() })}
	c.Cleanup(p.stop)
	return p
}

func eventually(c *qt.C, what string, f func() bool) {
	deadline := time.Now().Add(30 * time.Second)
	for !f() {
		if time.Now().After(deadline) {
			c.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestLoopback runs members of two data centres over real UDP and gRPC.
func TestLoopback(t *testing.T) {
	c := qt.New(t)
	first := start(c, "a1", "a")
	peers := []*peer{first}
	for _, name := range []string{"a2", "a3", "b1", "b2"} {
		peers = append(peers, start(c, name, name[:1], first.Address))
	}
	all := func(f func(p *peer) bool) func() bool {
		return func() bool {
			for _, p := range peers {
				if !f(p) {
					return false
				}
			}
			return true
		}
	}
	eventually(c, "all daemons know each other", all(func(p *peer) bool {
		return len(p.Member.Alive("a")) == 3 && len(p.Member.Alive("b")) == 2
	}))

	id := sqtarget.ID{Daemon: "b2", Target: "t"}
	c.Assert(peers[4].Member.SetTarget(sqtarget.Row{ID: id, Service: "orders", Slots: 7}), qt.IsNil)
	eventually(c, "the target is known", all(func(p *peer) bool {
		row, ok := p.Member.Targets.Get(id)
		return ok && row.Slots == 7 && row.PeerAddress == peers[4].Address && !row.Draining
	}))
	peers[4].Member.DrainTarget("t")
	eventually(c, "the drain is known", all(func(p *peer) bool {
		row, _ := p.Member.Targets.Get(id)
		return row.Draining
	}))

	body := make([]byte, 200<<10)
	took, err := first.Member.Publish("lists", 1, body)
	c.Assert(err, qt.IsNil)
	c.Assert(took, qt.IsTrue)
	eventually(c, "the large fact is known", all(func(p *peer) bool {
		version, held := p.Member.Fact("lists")
		return version == 1 && len(held) == len(body)
	}))

	c.Assert(peers[4].Leave(context.Background()), qt.IsNil)
	peers[1].stop()
	peers = []*peer{peers[0], peers[2], peers[3]}
	eventually(c, "the daemons that left and failed are no longer used", all(func(p *peer) bool {
		_, used := p.Member.Targets.Get(id)
		return !used && len(p.Member.Alive("a")) == 2 && len(p.Member.Alive("b")) == 1
	}))
}

// TestOneDaemonServesRestartedFleet gives the seed addresses of a fleet that was
// restarted, and a fact, to one daemon alone, as when the platform serves only that one.
// All daemons must hold the fact within 2 s.
func TestOneDaemonServesRestartedFleet(t *testing.T) {
	c := qt.New(t)
	var peers []*peer
	var seeds []string
	for i := range 14 {
		dc := string(rune('a' + i%3))
		p := start(c, fmt.Sprintf("%s%d", dc, i), dc)
		peers, seeds = append(peers, p), append(seeds, p.Address)
	}
	began := time.Now()
	served := start(c, "c9", "c", seeds...)
	_, err := served.Member.Publish("catalog", 1, []byte("body"))
	c.Assert(err, qt.IsNil)
	eventually(c, "all daemons hold the fact", func() bool {
		for _, p := range peers {
			if version, _ := p.Member.Fact("catalog"); version != 1 {
				return false
			}
		}
		return true
	})
	took := time.Since(began)
	c.Assert(took <= 2*time.Second, qt.IsTrue, qt.Commentf("took %v", took))
}

// TestFoundDaemonsKnowTheirNeighbours restarts two data centres, one of which has a single
// daemon that finds the others. The daemons of the other one must know each other within a
// second, before anti-entropy repairs what they don't know.
func TestFoundDaemonsKnowTheirNeighbours(t *testing.T) {
	c := qt.New(t)
	others := []*peer{start(c, "b1", "b"), start(c, "b2", "b"), start(c, "b3", "b")}
	began := time.Now()
	start(c, "a1", "a", others[0].Address, others[1].Address, others[2].Address)
	for _, p := range others {
		eventually(c, "the data centre is known", func() bool { return len(p.Member.Alive("b")) == len(others) })
	}
	took := time.Since(began)
	c.Assert(took <= time.Second, qt.IsTrue, qt.Commentf("took %v", took))
}

func TestAddressInUse(t *testing.T) {
	c := qt.New(t)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	tr := &Transport{Address: conn.LocalAddr().String(), Member: &sqmember.Member{Rand: rand.New(rand.NewPCG(1, 1))}, Logger: logr.Discard()}
	c.Assert(tr.Run(context.Background()), qt.ErrorMatches, fmt.Sprintf("member: bind the peer address: .*%s.*", tr.Address))
}
