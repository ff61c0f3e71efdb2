// Package sqetcd is the client of the platform's key-value store where that is an
// etcd v3 service. It uses a subset of the etcd v3 API.
package sqetcd

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
	// DefaultCallTimeout bounds a call if Client.CallTimeout is 0.
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

// Client implements sqkv.Store with an etcd v3 service. Reads and lease calls fail over
// to the next address if one does not answer. A write is sent only once; if its answer
// is lost, the error is sqkv.ErrUncertain. A Client is safe for concurrent use.
type Client struct {
	// Addresses are the platform's addresses, as IP:port, the preferred one first.
	Addresses []string
	// Metrics counts the calls by kind; nil turns counting off.
	Metrics *sqmetric.Set
	// Logger logs failed addresses at level 1.
	Logger logr.Logger
	// CallTimeout bounds a call with all its attempts; 0 means DefaultCallTimeout.
	// For a watch it bounds only the opening.
	CallTimeout time.Duration

	// mu guards the fields below. conns has the connections by address, and preferred
	// is the index in Addresses of the address to try first.
	mu        sync.Mutex
	conns     map[string]*grpc.ClientConn
	preferred int
	closed    bool
}

var _ sqkv.Store = (*Client)(nil)

// Close closes the client's connections. Later calls return sqkv.ErrUnavailable.
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

// conn returns the connection to an address. It may not be established yet.
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

// orderedAddresses returns the addresses, the preferred one first.
func (c *Client) orderedAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.Addresses)
	addresses := make([]string, 0, n)
	for i := range n {
		addresses = append(addresses, c.Addresses[(c.preferred+i)%n])
	}
	return addresses
}

// demote makes the next address the preferred one if address, which has failed, was it.
func (c *Client) demote(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.Addresses); n > 1 && c.Addresses[c.preferred] == address {
		c.preferred = (c.preferred + 1) % n
	}
	c.Logger.V(1).Info("platform address failed", "address", address, "error", err.Error())
}

// connect returns an established connection and the index of its address. It tries the
// addresses in order, each for an equal share of the time left.
func (c *Client) connect(ctx context.Context, addresses []string) (*grpc.ClientConn, int, error) {
	err := errors.New("no platform address")
	for i, address := range addresses {
		var conn *grpc.ClientConn
		if conn, err = c.conn(address); err != nil {
			return nil, 0, err
		}
		attemptCtx, cancel := withShareOfTime(ctx, len(addresses)-i)
		err = waitReady(attemptCtx, conn)
		cancel()
		if err == nil {
			return conn, i, nil
		}
		c.demote(address, err)
	}
	return nil, 0, err
}

// withShareOfTime returns a context that ends after 1/n of ctx's remaining time.
func withShareOfTime(ctx context.Context, n int) (context.Context, context.CancelFunc) {
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

// read makes a call that may safely be repeated. It tries the addresses in turn until
// one answers.
func (c *Client) read(ctx context.Context, kind CallKind, call func(context.Context, grpc.ClientConnInterface) error) error {
	c.count(kind)
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	var err error
	for remaining := c.orderedAddresses(); len(remaining) > 0; {
		conn, i, connErr := c.connect(ctx, remaining)
		if connErr != nil {
			return storeError(kind, sqkv.ErrUnavailable, connErr)
		}
		attemptCtx, stop := withShareOfTime(ctx, len(remaining)-i)
		err = call(attemptCtx, conn)
		stop()
		if err == nil || !mayHaveRun(err) {
			return wrapError(kind, err)
		}
		c.demote(remaining[i], err)
		remaining = remaining[i+1:]
	}
	return storeError(kind, sqkv.ErrUnavailable, err)
}

// write makes a call only once, on an established connection. If the call may have been
// carried out although it failed, the error is sqkv.ErrUncertain.
func (c *Client) write(ctx context.Context, kind CallKind, call func(context.Context, grpc.ClientConnInterface) error) error {
	c.count(kind)
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	addresses := c.orderedAddresses()
	conn, i, err := c.connect(ctx, addresses)
	if err != nil {
		return storeError(kind, sqkv.ErrUnavailable, err)
	}
	err = call(ctx, conn)
	if err != nil && mayHaveRun(err) {
		c.demote(addresses[i], err)
		return storeError(kind, sqkv.ErrUncertain, err)
	}
	return wrapError(kind, err)
}

// mayHaveRun reports whether a failed call may have been carried out nevertheless.
func mayHaveRun(err error) bool {
	switch status.Code(err) {
	case codes.InvalidArgument, codes.NotFound, codes.AlreadyExists, codes.FailedPrecondition,
		codes.OutOfRange, codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented:
		return false
	}
	return !errors.Is(err, sqkv.ErrConflict) && !errors.Is(err, sqkv.ErrLeaseEnded) && !errors.Is(err, sqkv.ErrCompacted)
}

// storeError returns the error of a failed call: outcome is one of sqkv's errors.
func storeError(kind CallKind, outcome, err error) error {
	return &sqerror.Error{Step: sqerror.StepPlatform, Err: errors.Wrapf(outcome, "%s: %s", kind, err.Error())}
}

// wrapError returns the error for an answer of the platform, nil if err is nil. NotFound
// means that the call's lease has ended.
func wrapError(kind CallKind, err error) error {
	if err == nil {
		return nil
	}
	if status.Code(err) == codes.NotFound {
		err = errors.Wrap(sqkv.ErrLeaseEnded, status.Convert(err).Message())
	}
	return sqerror.Wrap(sqerror.StepPlatform, "", errors.Wrap(err, string(kind)))
}
