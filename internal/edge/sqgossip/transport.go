// Package sqgossip carries the messages of the membership: datagrams over UDP
// at the daemon's peer address, exchanges and bodies over gRPC, and the first
// peers from the settings and the platform.
package sqgossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtimer"
	"github.com/sequoiatack/sequoiatack/internal/state/sqmember"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

const (
	// headerBytes is the size of an IPv4 and UDP header.
	headerBytes = 28
	// receiveBytes is above the largest datagram that a daemon sends.
	receiveBytes = 2048
	// callTimeout bounds an exchange and the fetch of a body.
	callTimeout = 3 * time.Second
	// callsMost bounds the exchanges and fetches under way.
	callsMost = 8
	// spreadPoll is the time between two looks whether news has been sent.
	spreadPoll = 50 * time.Millisecond
)

// The kinds and directions of control bytes.
const (
	kindGossip  = "gossip"
	kindSync    = "sync"
	kindGarbage = "garbage"
	sent        = "sent"
	received    = "received"
)

// Pool has the connections to the other daemons.
type Pool interface {
	// Conn returns the connection to a peer address.
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Transport connects a Member to the other daemons. Member.Wake must be set
// to Transport.Wake.
type Transport struct {
	// Address is the daemon's peer address, on which UDP is bound.
	Address string
	Member  *sqmember.Member
	Pool    Pool
	// Seeds are asked for first peers.
	Seeds   []Seeds
	Metrics *sqmetric.Set
	Logger  logr.Logger

	once  sync.Once
	wake  chan struct{}
	slots chan struct{}

	mu sync.Mutex
	// conn is nil while Run does not run, and ctx ends with it.
	conn  *net.UDPConn
	ctx   context.Context
	calls sync.WaitGroup
}

var errNotRunning = errors.New("the transport does not run")

func (t *Transport) init() {
	t.once.Do(func() {
		t.wake = make(chan struct{}, 1)
		t.slots = make(chan struct{}, callsMost)
	})
}

// Wake has the member's pending messages sent soon.
func (t *Transport) Wake() {
	t.init()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Run binds the address and speaks for the member until ctx ends. It returns
// an error if the address can't be bound.
func (t *Transport) Run(ctx context.Context) error {
	t.init()
	addr, err := netip.ParseAddrPort(t.Address)
	if err != nil {
		return sqerror.Wrap(sqerror.StepMember, t.Member.Self().ID, errors.Wrap(err, "peer address"))
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return sqerror.Wrap(sqerror.StepMember, t.Member.Self().ID, errors.Wrap(err, "bind the peer address"))
	}
	g, ctx := errgroup.WithContext(ctx)
	t.set(ctx, conn)
	var timer sqtimer.Service
	timer.Subscribe(sqmember.TickPeriod, sqtimer.SystemFunc(func(now time.Time) { t.send(t.Member.Tick(now)) }))
	g.Go(func() error { return timer.Run(ctx) })
	g.Go(func() error { return t.read(conn) })
	g.Go(func() error { return t.flush(ctx) })
	g.Go(func() error { return t.seed(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	err = g.Wait()
	t.set(ctx, nil)
	t.calls.Wait()
	return err
}

func (t *Transport) set(ctx context.Context, conn *net.UDPConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ctx, t.conn = ctx, conn
}

// Leave announces that the daemon stops and returns when the word has been
// passed on, or with ctx's error. Run must still be running.
func (t *Transport) Leave(ctx context.Context) error {
	t.Member.Leave()
	ticker := time.NewTicker(spreadPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return sqerror.Wrap(sqerror.StepMember, t.Member.Self().ID, errors.Wrap(ctx.Err(), "announce leaving"))
		case <-ticker.C:
			if !t.Member.HasPendingUpdates() {
				return nil
			}
		}
	}
}

func (t *Transport) flush(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.wake:
			t.send(t.Member.Flush(time.Now()))
		}
	}
}

func (t *Transport) read(conn *net.UDPConn) error {
	b := make([]byte, receiveBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// A refused datagram of before is reported here; it harms no other.
			t.Logger.V(1).Info("receive datagram", "error", err.Error())
			continue
		}
		var d sqmemberwire.Datagram
		if err := proto.Unmarshal(b[:n], &d); err != nil || !t.Member.Valid(&d) {
			t.count(received, kindGarbage, n)
			continue
		}
		t.count(received, kindGossip, n)
		address := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
		t.send(t.Member.Receive(time.Now(), address, &d))
	}
}

func (t *Transport) count(direction, kind string, n int) {
	if t.Metrics != nil {
		t.Metrics.ControlBytes.WithLabelValues(direction, kind).Add(float64(n + headerBytes))
	}
}

// send sends messages. Calls are answered by an error if Run does not run.
func (t *Transport) send(sends []sqmember.Message) {
	for _, s := range sends {
		t.mu.Lock()
		ctx, conn := t.ctx, t.conn
		switch {
		case conn == nil:
			t.mu.Unlock()
			t.refuse(s)
			continue
		case s.Datagram == nil:
			t.calls.Go(func() { t.call(ctx, s) })
		}
		t.mu.Unlock()
		if s.Datagram != nil {
			t.sendDatagram(conn, s)
		}
	}
}

func (t *Transport) refuse(s sqmember.Message) {
	switch {
	case s.Fetch != nil:
		t.send(t.Member.HandleFetchReply(time.Now(), s.Address, s.Fetch, nil, errNotRunning))
	case s.Exchange != nil:
		t.send(t.Member.HandleExchangeReply(time.Now(), s.Address, nil, errNotRunning))
	}
}

func (t *Transport) sendDatagram(conn *net.UDPConn, s sqmember.Message) {
	b, err := proto.Marshal(s.Datagram)
	if err != nil {
		t.Logger.Error(err, "encode datagram")
		return
	}
	to, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		t.Logger.Error(err, "peer address", "peerAddress", s.Address)
		return
	}
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil {
		t.Logger.V(1).Info("send datagram", "peerAddress", s.Address, "error", err.Error())
		return
	}
	t.count(sent, kindGossip, len(b))
}

// call makes the gRPC call of a message and hands over its answer.
func (t *Transport) call(ctx context.Context, s sqmember.Message) {
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if s.Fetch != nil {
		body, err := t.fetch(ctx, s.Address, s.Fetch)
		t.report(s, err)
		t.send(t.Member.HandleFetchReply(time.Now(), s.Address, s.Fetch, body, err))
		return
	}
	reply, err := t.exchange(ctx, s.Address, s.Exchange)
	t.report(s, err)
	t.send(t.Member.HandleExchangeReply(time.Now(), s.Address, reply, err))
}

func (t *Transport) report(s sqmember.Message, err error) {
	if err != nil {
		t.Logger.V(1).Info("call a peer", "peerAddress", s.Address, "error", err.Error())
	}
}

// jittered returns d lengthened by up to a half, so that daemons that started
// together don't act together.
func jittered(d time.Duration) time.Duration {
	return d + rand.N(d/2+1)
}
