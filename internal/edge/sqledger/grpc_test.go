package sqledger

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
)

// pool is a ConnPool over the loopback interface.
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

// startPair starts a keeper and an entry that are connected over gRPC on the loopback
// interface. The fleet provides the platform, the lists and the membership.
func startPair(t testing.TB, f *fleet) (keeper, entry *Ledger, stop func()) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	servers, ledgers := make([]*grpc.Server, 2), make([]*Ledger, 2)
	var done sync.WaitGroup
	p := &pool{conns: make(map[string]*grpc.ClientConn)}
	for i, name := range []string{"first", "second"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		n := &node{f: f, dc: "dc00"}
		n.Ledger = &Ledger{
			Self:       sqkeeper.Member{Daemon: sqid.DaemonID(name), Incarnation: 1, PeerAddress: listener.Addr().String()},
			DataCentre: "dc00", Members: membership{f}, Plans: f, Log: testLog(t), Conns: p,
			Store: storeClient{m: f.store, n: n, f: f},
		}
		f.mu.Lock()
		f.nodes[name], f.names = n, append(f.names, name)
		f.mu.Unlock()
		ledgers[i], servers[i] = n.Ledger, grpc.NewServer()
		n.Register(servers[i])
		done.Go(func() { _ = servers[i].Serve(listener) })
		done.Go(func() { _ = n.Run(ctx) })
		done.Go(func() { n.tick(ctx) })
		for n.Epoch() == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	return ledgers[0], ledgers[1], func() {
		cancel()
		for i, s := range servers {
			s.Stop()
			if conn := p.conns[ledgers[i].Self.PeerAddress]; conn != nil {
				_ = conn.Close()
			}
		}
		done.Wait()
	}
}

func TestChargeOverStream(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1)
	f.plans(plan("shop", 1, 100))
	keeper, entry, stop := startPair(t, f)
	defer stop()
	var wait sync.WaitGroup
	results := make(chan Decision, 300)
	for range 150 {
		for _, l := range []*Ledger{keeper, entry} {
			wait.Go(func() {
				d, err := l.Charge(context.Background(), "shop")
				c.Check(err, qt.IsNil)
				results <- d
			})
		}
	}
	wait.Wait()
	close(results)
	admitted := 0
	for d := range results {
		if d.Admitted {
			admitted++
		} else {
			c.Check(d.RetryAfter > 0, qt.IsTrue)
		}
	}
	c.Check(admitted >= 100 && admitted <= 105, qt.IsTrue, qt.Commentf("%d", admitted))
	d, err := entry.Charge(context.Background(), "nobody")
	c.Check(err, qt.IsNil)
	c.Check(d.Admitted, qt.IsFalse)
	c.Check(runtime.NumGoroutine() < 100, qt.IsTrue)
}

func benchmarkCharge(b *testing.B, pick func(keeper, entry *Ledger) *Ledger) {
	f := newFleet(b, 1)
	f.plans(plan("shop", 1e9, 1e9))
	keeper, entry, stop := startPair(b, f)
	defer stop()
	l := pick(keeper, entry)
	charge := func() {
		if d, err := l.Charge(context.Background(), "shop"); err != nil || !d.Admitted {
			b.Error("not admitted", err)
		}
	}
	b.Run("alone", func(b *testing.B) {
		for b.Loop() {
			charge()
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.SetParallelism(8)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				charge()
			}
		})
	})
}

// BenchmarkCharge measures a charge at an entry whose keeper is another daemon.
func BenchmarkCharge(b *testing.B) {
	benchmarkCharge(b, func(_, entry *Ledger) *Ledger { return entry })
}

// BenchmarkChargeAtKeeper measures a charge at the keeper itself.
func BenchmarkChargeAtKeeper(b *testing.B) {
	benchmarkCharge(b, func(keeper, _ *Ledger) *Ledger { return keeper })
}
