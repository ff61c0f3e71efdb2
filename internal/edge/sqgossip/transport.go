// Package sqgossip is the network transport of the membership protocol in package
// sqmember. It sends gossip as UDP datagrams to and from the daemon's peer address, and
// anti-entropy exchanges and the bodies of facts over gRPC. It finds seed peers, through
// which a daemon joins the fleet, in the settings and in the platform's seed records.
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
	// receiveBufferBytes is more than the size of the largest datagram that a daemon
	// sends.
	receiveBufferBytes = 2048
	// callTimeout bounds an exchange or the fetch of a fact's body.
	callTimeout = 3 * time.Second
	// maxCalls bounds the concurrent exchanges and fetches.
	maxCalls = 8
	// leavePoll is the time between two checks whether the announcement that the
	// daemon leaves has been sent.
	leavePoll = 50 * time.Millisecond
)

// The values of the labels of the control bytes metric: what the bytes belong to, and
// their direction. Garbage is datagrams that can't be decoded or are not valid.
const (
	kindGossip  = "gossip"
	kindSync    = "sync"
	kindGarbage = "garbage"
	sent        = "sent"
	received    = "received"
)

// Pool provides the connections to the other daemons.
type Pool interface {
	// Conn returns the connection to a peer address.
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Transport connects a Member to the other daemons. Member.Wake must be set to
// Transport.Wake, and the exported fields must be set before the first call.
type Transport struct {
	// Address is the daemon's peer address, on which UDP is bound.
	Address string
	Member  *sqmember.Member
	Pool    Pool
	// SeedSources are the sources of seed peers.
	SeedSources []SeedSource
	Metrics     *sqmetric.Set
	Logger      logr.Logger

	once sync.Once
	// wake has an element if the member has messages to flush.
	wake chan struct{}
	// callSlots is a semaphore of maxCalls.
	callSlots chan struct{}

	// mu guards conn and ctx. Calls are added under it too, so that none is added
	// after Run has begun to wait for them.
	mu sync.Mutex
	// conn is nil while Run is not running; ctx ends when Run stops.
	conn *net.UDPConn
	ctx  context.Context
	// calls counts the running exchanges and fetches.
	calls sync.WaitGroup
}

var errNotRunning = errors.New("transport is not running")

func (t *Transport) init() {
	t.once.Do(func() {
		t.wake = make(chan struct{}, 1)
		t.callSlots = make(chan struct{}, maxCalls)
	})
}

// Wake makes Run send the member's pending messages soon. It doesn't block.
func (t *Transport) Wake() {
	t.init()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Run binds the address and sends and receives the member's messages until ctx ends. It
// returns an error if the address can't be bound.
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
	t.setRunning(ctx, conn)
	var timer sqtimer.Service
	timer.Subscribe(sqmember.TickPeriod, sqtimer.SystemFunc(func(now time.Time) { t.send(t.Member.Tick(now)) }))
	g.Go(func() error { return timer.Run(ctx) })
	g.Go(func() error { return t.read(conn) })
	g.Go(func() error { return t.flush(ctx) })
	g.Go(func() error { return t.joinSeeds(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	err = g.Wait()
	t.setRunning(ctx, nil)
	t.calls.Wait()
	return err
}

func (t *Transport) setRunning(ctx context.Context, conn *net.UDPConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ctx, t.conn = ctx, conn
}

// Leave announces that the daemon stops. It returns when the announcement has been
// sent, or with ctx's error. Run must still be running.
func (t *Transport) Leave(ctx context.Context) error {
	t.Member.Leave()
	ticker := time.NewTicker(leavePoll)
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
	b := make([]byte, receiveBufferBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The error may belong to an earlier datagram that its receiver's host
			// refused. It doesn't affect other datagrams.
			t.Logger.V(1).Info("receiving a datagram failed", "error", err.Error())
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

// count adds a message of n bytes and its headers to the control bytes metric.
func (t *Transport) count(direction, kind string, n int) {
	if t.Metrics != nil {
		t.Metrics.ControlBytes.WithLabelValues(direction, kind).Add(float64(n + headerBytes))
	}
}

// send sends messages. While Run is not running, it completes exchanges and fetches with
// an error and drops datagrams.
func (t *Transport) send(messages []sqmember.Message) {
	for _, s := range messages {
		t.mu.Lock()
		ctx, conn := t.ctx, t.conn
		switch {
		case conn == nil:
			t.mu.Unlock()
			t.failRequest(s)
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

// failRequest completes an exchange or fetch with errNotRunning.
func (t *Transport) failRequest(s sqmember.Message) {
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
		t.Logger.Error(err, "encoding a datagram failed")
		return
	}
	to, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		t.Logger.Error(err, "invalid peer address", "peerAddress", s.Address)
		return
	}
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil {
		t.Logger.V(1).Info("sending a datagram failed", "peerAddress", s.Address, "error", err.Error())
		return
	}
	t.count(sent, kindGossip, len(b))
}

// call makes the gRPC call of an exchange or fetch and passes the reply to the member.
func (t *Transport) call(ctx context.Context, s sqmember.Message) {
	t.callSlots <- struct{}{}
	defer func() { <-t.callSlots }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if s.Fetch != nil {
		body, err := t.fetch(ctx, s.Address, s.Fetch)
		t.logFailure(s, err)
		t.send(t.Member.HandleFetchReply(time.Now(), s.Address, s.Fetch, body, err))
		return
	}
	reply, err := t.exchange(ctx, s.Address, s.Exchange)
	t.logFailure(s, err)
	t.send(t.Member.HandleExchangeReply(time.Now(), s.Address, reply, err))
}

func (t *Transport) logFailure(s sqmember.Message, err error) {
	if err != nil {
		t.Logger.V(1).Info("calling a peer failed", "peerAddress", s.Address, "error", err.Error())
	}
}

// jittered returns d lengthened by up to a half, so that daemons that started at the
// same time don't act at the same time.
func jittered(d time.Duration) time.Duration {
	return d + rand.N(d/2+1)
}
