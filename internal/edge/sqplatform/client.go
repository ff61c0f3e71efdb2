// Package sqplatform is the platform of an etcd v3 service.
package sqplatform

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
)

const (
	// DefaultCallTimeout bounds a call where the client sets no timeout.
	DefaultCallTimeout = 2 * time.Second

	maxMessageBytes   = 16 << 20
	reconnectDelay    = 100 * time.Millisecond
	reconnectMaxDelay = time.Second
	keepaliveTime     = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
)

// CallKind names a kind of platform call; it is the label of its counter.
type CallKind string

// The kinds of platform calls.
const (
	CallGet    CallKind = "get"
	CallList   CallKind = "list"
	CallSwap   CallKind = "swap"
	CallDelete CallKind = "delete"
	CallGrant  CallKind = "grant"
	CallRenew  CallKind = "renew"
	CallWatch  CallKind = "watch"
)

// Client is the sqkv.Store that an etcd v3 service offers. Reads and lease calls
// go to the next address if one does not answer; a write is sent once, and is
// sqkv.ErrUncertain if its answer is lost. Its methods may be called from several
// goroutines.
type Client struct {
	// Addresses are those of the platform, as IP:port, the preferred first.
	Addresses []string
	// Metrics counts the calls by kind; nil counts none.
	Metrics *sqmetric.Set
	// Logger tells of lost addresses.
	Logger logr.Logger
	// CallTimeout bounds a call with all its tries, by default
	// DefaultCallTimeout. A watch is bounded until it is open.
	CallTimeout time.Duration

	mu        sync.Mutex
	conns     map[string]*grpc.ClientConn
	preferred int
	closed    bool
}

var _ sqkv.Store = (*Client)(nil)

// Close ends the client's connections; calls after it are sqkv.ErrUnavailable.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	var err error
	for _, conn := range c.conns {
		err = errors.Join(err, conn.Close())
	}
	c.conns = nil
	return err
}

func (c *Client) timeout() time.Duration {
	if c.CallTimeout > 0 {
		return c.CallTimeout
	}
	return DefaultCallTimeout
}

func (c *Client) count(kind CallKind) {
	if c.Metrics != nil {
		c.Metrics.PlatformCalls.WithLabelValues(string(kind)).Inc()
	}
}

// conn returns the connection to an address, which may not be up yet.
func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("client is closed")
	}
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: reconnectMaxDelay},
			MinConnectTimeout: c.timeout(),
		}))
	if err != nil {
		return nil, err
	}
	if c.conns == nil {
		c.conns = make(map[string]*grpc.ClientConn)
	}
	c.conns[address] = conn
	return conn, nil
}

// order returns the addresses, the preferred one first.
func (c *Client) order() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.Addresses)
	order := make([]string, 0, n)
	for i := range n {
		order = append(order, c.Addresses[(c.preferred+i)%n])
	}
	return order
}

// avoid makes the address after a lost one the preferred one.
func (c *Client) avoid(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.Addresses); n > 1 && c.Addresses[c.preferred] == address {
		c.preferred = (c.preferred + 1) % n
	}
	c.Logger.V(1).Info("platform address lost", "address", address, "error", err.Error())
}

// connect returns a connection that is up, from the first address that has
// one before its part of the time left is over.
func (c *Client) connect(ctx context.Context, addresses []string) (*grpc.ClientConn, int, error) {
	err := errors.New("no address")
	for i, address := range addresses {
		var conn *grpc.ClientConn
		if conn, err = c.conn(address); err != nil {
			return nil, 0, err
		}
		part, cancel := partOf(ctx, len(addresses)-i)
		err = waitReady(part, conn)
		cancel()
		if err == nil {
			return conn, i, nil
		}
		c.avoid(address, err)
	}
	return nil, 0, err
}

// partOf returns a context that ends after an n-th of ctx's time left.
func partOf(ctx context.Context, n int) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok || n <= 1 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/time.Duration(n))
}

func waitReady(ctx context.Context, conn *grpc.ClientConn) error {
	for {
		switch state := conn.GetState(); state {
		case connectivity.Ready:
			return nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			return errors.Errorf("connection is in state %s", state)
		default:
			conn.Connect()
			if !conn.WaitForStateChange(ctx, state) {
				return ctx.Err()
			}
		}
	}
}

// read makes a call that may be repeated, at each address in turn.
func (c *Client) read(ctx context.Context, kind CallKind, call func(context.Context, grpc.ClientConnInterface) error) error {
	c.count(kind)
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	var err error
	for left := c.order(); len(left) > 0; {
		conn, i, cerr := c.connect(ctx, left)
		if cerr != nil {
			return failure(kind, sqkv.ErrUnavailable, cerr)
		}
		part, stop := partOf(ctx, len(left)-i)
		err = call(part, conn)
		stop()
		if err == nil || !lost(err) {
			return refusal(kind, err)
		}
		c.avoid(left[i], err)
		left = left[i+1:]
	}
	return failure(kind, sqkv.ErrUnavailable, err)
}

// write makes a call once, on a connection that is up.
func (c *Client) write(ctx context.Context, kind CallKind, call func(context.Context, grpc.ClientConnInterface) error) error {
	c.count(kind)
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	addresses := c.order()
	conn, i, err := c.connect(ctx, addresses)
	if err != nil {
		return failure(kind, sqkv.ErrUnavailable, err)
	}
	err = call(ctx, conn)
	if err != nil && lost(err) {
		c.avoid(addresses[i], err)
		return failure(kind, sqkv.ErrUncertain, err)
	}
	return refusal(kind, err)
}

// lost reports whether a failed call may have been carried out.
func lost(err error) bool {
	switch status.Code(err) {
	case codes.InvalidArgument, codes.NotFound, codes.AlreadyExists, codes.FailedPrecondition,
		codes.OutOfRange, codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented:
		return false
	}
	return !errors.Is(err, sqkv.ErrConflict) && !errors.Is(err, sqkv.ErrLeaseEnded) && !errors.Is(err, sqkv.ErrCompacted)
}

func failure(kind CallKind, what, err error) error {
	return &sqerror.Error{Step: sqerror.StepPlatform, Err: errors.Wrapf(what, "%s: %s", kind, err.Error())}
}

func refusal(kind CallKind, err error) error {
	if err == nil {
		return nil
	}
	if status.Code(err) == codes.NotFound {
		err = errors.Wrap(sqkv.ErrLeaseEnded, status.Convert(err).Message())
	}
	return sqerror.Wrap(sqerror.StepPlatform, "", errors.Wrap(err, string(kind)))
}
