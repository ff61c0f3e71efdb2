package sqdaemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqentry"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqidle"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqproblem"
)

// The default limits of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	maxStreams        = 1024
)

// newServer returns an HTTP server for HTTP/1.1 and unencrypted HTTP/2.
func newServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       sqentry.ConnContext,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}
}

// endpoint is one of the daemon's HTTP addresses.
type endpoint struct {
	name     string
	listener net.Listener
	server   *http.Server
}

// listen binds an address; name is its setting, for error messages.
func listen(name, address string, h http.Handler) (*endpoint, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", name)
	}
	return &endpoint{name: name, listener: l, server: newServer(h)}, nil
}

// watchIdle makes a watch close the endpoint's idle connections, instead of the server's
// own fixed timeouts.
func (e *endpoint) watchIdle(w *sqidle.Watch) {
	e.server.ConnState = w.Note
	e.server.ReadHeaderTimeout, e.server.IdleTimeout = 0, 0
}

func (e *endpoint) serve() error {
	err := e.server.Serve(e.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", e.name)
}

// shutdown waits for the requests in progress, and aborts them when ctx ends.
func (e *endpoint) shutdown(ctx context.Context, log logr.Logger) {
	if err := e.server.Shutdown(ctx); err != nil {
		log.Error(err, "requests were aborted", "address", e.name)
		_ = e.server.Close()
	}
}

// recoverPanics answers a request whose handler panics with status 500, and logs the
// panic. It doesn't recover http.ErrAbortHandler, which closes the connection on purpose.
func recoverPanics(next http.Handler, log logr.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if p == http.ErrAbortHandler {
				panic(p)
			}
			log.Error(errors.Errorf("panic: %v", p), "handler panicked", "path", r.URL.Path)
			sqproblem.Problem{Status: http.StatusInternalServerError, Run: "unknown"}.Write(w)
		}()
		next.ServeHTTP(w, r)
	})
}
