// Package sqconn manages the connections to targets: HTTP/1.1, with one request at a
// time on each. It never sends a request twice, reports whether any byte of a failed
// request may have been sent, and never returns an answer that belongs to another
// request.
package sqconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// dialTimeout bounds the opening of a connection to a target of the same host,
	// which takes microseconds if the target is up.
	dialTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is the idle timeout assumed for a target that announces none;
	// servers commonly close connections after 5 s.
	defaultIdleTimeout = 4 * time.Second
	// reuseFraction is the fraction of the target's idle timeout during which an idle
	// connection may be reused, so that a request does not cross the target's close.
	reuseFraction = 0.75
	// maxForeignAnswers bounds the answers to other requests that are skipped before
	// the connection is closed.
	maxForeignAnswers = 3
	// bufferBytes is the size of a connection's read and write buffers; most heads of
	// requests and answers are smaller.
	bufferBytes = 4 << 10
	// TCP keepalive with these settings closes a connection 2.5 s after its peer went
	// silent.
	keepaliveIdle     = time.Second
	keepaliveInterval = 500 * time.Millisecond
	keepaliveCount    = 3
)

// Pool holds the connections to the targets of one host. Its methods are safe for
// concurrent use.
type Pool struct {
	// IsOwnAnswer reports whether an answer belongs to the request with the given id. Nil
	// means that answers carry no id and are all taken for the request's own.
	IsOwnAnswer func(answer http.Header, requestID string) bool
	// MinConns is the number of connections to one target that are opened before any is
	// reused. Where answers carry no id, this leaves time for stray bytes to arrive
	// while a connection is idle.
	MinConns int

	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// endpoint holds the connections to one address.
type endpoint struct {
	// idle are the idle connections, in the order in which they became idle.
	idle []*conn
	// open is the number of open connections, idle or in use.
	open int
	// lastStray is the time when the target last sent bytes that answer no request.
	lastStray time.Time
}

// singleUsePeriod is how long, after a target has sent stray bytes, connections to
// it are used for one request only, if answers carry no id.
const singleUsePeriod = 10 * time.Minute

// conn is a connection to a target, used by one request at a time.
type conn struct {
	net.Conn
	pool    *Pool
	address string
	// in limits what br reads.
	in *limitedReader
	br *bufio.Reader
	// out is what bw writes to.
	out *connWriter
	bw  *bufio.Writer
	// idleTimeout is how long the target keeps the connection open while idle. After
	// expires, an idle connection is not reused.
	idleTimeout time.Duration
	expires     time.Time
	// unusable is set once the connection must not be reused.
	unusable bool
	// carried are the requests that it has carried; only used if answers have ids.
	carried carriedIDs
	// resetOnClose is set once nobody waits for the answer any more: what the target
	// has not received by then must not reach it later.
	resetOnClose bool
}

// take returns an idle or new connection to address that has carried no attempt of the
// request with the given id.
func (p *Pool) take(ctx context.Context, address, id string) (*conn, error) {
	for {
		c := p.takeIdle(address, id, time.Now())
		if c == nil {
			return p.dial(ctx, address)
		}
		switch probe(c.Conn) {
		case stateIdle:
			return c, nil
		case stateStrayBytes:
			p.noteStrayBytes(address)
		}
		c.close()
	}
}

func (p *Pool) takeIdle(address, id string, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[address]
	if e == nil || e.open < p.MinConns {
		return nil
	}
	for {
		c := e.takeNext(p.MinConns > 0, id)
		if c == nil || now.Before(c.expires) {
			return c
		}
		e.open--
		_ = c.Conn.Close()
	}
}

// takeNext removes and returns an idle connection that has not carried the request with
// the given id, nil if there is none: the most recently used, whose buffers are warm, or
// the oldest, on which stray bytes have had most time to arrive.
func (e *endpoint) takeNext(oldest bool, id string) *conn {
	for n := range e.idle {
		i := len(e.idle) - 1 - n
		if oldest {
			i = n
		}
		if c := e.idle[i]; !c.carried.has(id) {
			e.idle = slices.Delete(e.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepaliveIdle, Interval: keepaliveInterval, Count: keepaliveCount,
	}}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to target")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endpoints == nil {
		p.endpoints = make(map[string]*endpoint)
	}
	if p.endpoints[address] == nil {
		p.endpoints[address] = &endpoint{}
	}
	p.endpoints[address].open++
	in, out := &limitedReader{Reader: nc, left: unlimited}, &connWriter{Conn: nc}
	return &conn{
		Conn: nc, pool: p, address: address, idleTimeout: defaultIdleTimeout,
		in: in, br: bufio.NewReaderSize(in, bufferBytes), out: out, bw: bufio.NewWriterSize(out, bufferBytes),
	}, nil
}

func (p *Pool) noteStrayBytes(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[address]; e != nil {
		e.lastStray = time.Now()
	}
}

// usesOnce reports whether connections to address are used for one request only.
func (p *Pool) usesOnce(address string) bool {
	if p.IsOwnAnswer != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[address]
	return e != nil && !e.lastStray.IsZero() && time.Since(e.lastStray) < singleUsePeriod
}

// put returns a connection to the pool, or closes it if it must not be reused.
func (p *Pool) put(c *conn) {
	if c.unusable || c.br.Buffered() > 0 || p.usesOnce(c.address) {
		c.close()
		return
	}
	c.expires = time.Now().Add(time.Duration(reuseFraction * float64(c.idleTimeout)))
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[c.address]
	e.idle = append(e.idle, c)
}

func (c *conn) close() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.resetOnClose {
		// Otherwise the kernel goes on sending the bytes that are still queued.
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if e := c.pool.endpoints[c.address]; e != nil {
		e.open--
	}
}

// Tick closes the connections that have been idle for too long. It is to be called
// periodically.
func (p *Pool) Tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, e := range p.endpoints {
		kept := e.idle[:0]
		for _, c := range e.idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			e.open--
			_ = c.Conn.Close()
		}
		clear(e.idle[len(kept):])
		e.idle = kept
		if e.open == 0 && now.Sub(e.lastStray) > singleUsePeriod {
			delete(p.endpoints, address)
		}
	}
}

// CloseIdle closes the idle connections to an address that may have passed to another
// target.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[address]
	if e == nil {
		return
	}
	for _, c := range e.idle {
		e.open--
		_ = c.Conn.Close()
	}
	e.idle = nil
}
