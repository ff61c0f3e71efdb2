package sqgate

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqtable"
)

const (
	targetConnectTimeout = 500 * time.Millisecond
	targetIdleTimeout    = 60 * time.Second
	targetIdleConns      = 8
	targetHeaderBytes    = 256 << 10
	// turns is the number of pools of connections to targets.
	turns = 32
	// distrustFor is how long a target that sent an answer nobody asked for
	// gets one request for each connection.
	distrustFor = 10 * time.Minute
)

// Transport sends requests to local targets. A target that answers late or
// twice leaves bytes on its connection, which the next request on it would
// take for its own answer. So the connections are used in turns, which leaves
// time for such bytes to arrive while a connection is idle; it is closed then,
// and each request to that target has a connection of its own from then on.
type Transport struct {
	pools [turns]*http.Transport
	turn  atomic.Uint32
	// distrusted has when a target last sent what nobody asked for.
	distrusted sqtable.Table[string, time.Time]
}

// NewTransport returns a transport. It follows no redirect, uses no proxy of
// the environment and changes no body.
func NewTransport() *Transport {
	t := new(Transport)
	for i := range t.pools {
		t.pools[i] = &http.Transport{
			DialContext:            t.dial,
			MaxIdleConnsPerHost:    targetIdleConns,
			IdleConnTimeout:        targetIdleTimeout,
			MaxResponseHeaderBytes: targetHeaderBytes,
			DisableCompression:     true,
			TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
		}
	}
	return t
}

// RoundTrip sends r and returns the head of its answer.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used *watchedConn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if w, ok := info.Conn.(*watchedConn); ok {
				used = w
				w.idle.Store(false)
			}
		},
		PutIdleConn: func(err error) {
			if err == nil && used != nil {
				used.idle.Store(true)
			}
		},
	}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	r.Close = t.distrusts(r.URL.Host)
	return t.pools[t.turn.Add(1)%turns].RoundTrip(r)
}

func (t *Transport) distrusts(address string) bool {
	at, ok := t.distrusted.Get(address)
	return ok && time.Since(at) < distrustFor
}

func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: targetConnectTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: c, unasked: func() { t.distrusted.Put(address, time.Now()) }}, nil
}

// watchedConn notices what a target sends while no request is under way.
type watchedConn struct {
	net.Conn
	idle    atomic.Bool
	unasked func()
}

// Read reads, and tells of bytes that nobody asked for.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.idle.Load() {
		c.unasked()
	}
	return n, err
}
