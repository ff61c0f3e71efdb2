// Package sqpeer manages the gRPC connections between daemons: one to each peer in
// use, closed when it has been idle.
package sqpeer

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
)

const (
	idleTimeout    = 2 * time.Minute
	connectTimeout = time.Second
	reconnectDelay = 50 * time.Millisecond
	reconnectMax   = time.Second
	keepaliveTime  = 10 * time.Second
	// keepaliveTimeout is also the time without an acknowledgement after which TCP
	// closes a connection, so an unreachable peer is noticed after it. Three packets
	// lost in a row between regions do not exceed it.
	keepaliveTimeout = time.Second
	// streamWindowBytes is what a stream may hold unread, and windowBytes what the streams
	// of a connection may have under way.
	streamWindowBytes = 256 << 10
	windowBytes       = 1 << 20
	// streamWorkers is the number of goroutines that serve streams. They save the start
	// of a goroutine, with a new stack, for each stream.
	streamWorkers = 32
	// MaxMessageBytes bounds one message between daemons.
	MaxMessageBytes = 1 << 20
)

// HeldBytes is what a stream of long messages can hold at either end: the unread part, and
// messages that are being encoded or decoded.
const HeldBytes = streamWindowBytes + 2*(72<<10)

// Pool holds one connection to each peer address. The zero value is ready to use.
// Its methods are safe for concurrent use.
type Pool struct {
	// Options are added to the options of every connection.
	Options []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// Conn returns the connection to address, an IP:port. It is created on first use and
// dials in the background.
func (p *Pool) Conn(address string) (grpc.ClientConnInterface, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address, p.options()...)
	if err != nil {
		return nil, sqerror.Wrap(sqerror.StepPeer, "", err)
	}
	if p.conns == nil {
		p.conns = make(map[string]*grpc.ClientConn)
	}
	p.conns[address] = c
	return c, nil
}

func (p *Pool) options() []grpc.DialOption {
	return append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithInitialWindowSize(streamWindowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.ForceCodecV2(codec{})),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMax},
			MinConnectTimeout: connectTimeout,
		}),
	}, p.Options...)
}

// Close closes every connection. Calls in progress end with an error.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

// NewServer returns a gRPC server with the window sizes, message limit and keepalive
// settings that the pool's connections expect. A handler that panics ends its call, not
// the process.
func NewServer(log logr.Logger, options ...grpc.ServerOption) *grpc.Server {
	return grpc.NewServer(append(append([]grpc.ServerOption{
		grpc.InitialWindowSize(streamWindowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.ForceServerCodecV2(codec{}),
		grpc.NumStreamWorkers(streamWorkers),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	}, recoverOptions(log)...), options...)...)
}
