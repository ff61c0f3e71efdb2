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
// panic. If a part of the answer has been written, or on http.ErrAbortHandler, it ends the
// connection instead.
func recoverPanics(next http.Handler, log logr.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := &answerWatch{ResponseWriter: w}
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if p != http.ErrAbortHandler {
				log.Error(errors.Errorf("panic: %v", p), "handler panicked", "path", r.URL.Path)
				if !a.begun {
					// The handler may have set the fields of another answer.
					clear(w.Header())
					if r.ProtoMajor == 1 {
						// A part of the request's body may be left on the connection.
						w.Header().Set("Connection", "close")
					}
					sqproblem.Problem{Status: http.StatusInternalServerError, Run: "unknown"}.Write(w)
					return
				}
			}
			abortAnswer(w, r)
		}()
		next.ServeHTTP(a, r)
	})
}

// answerWatch notes whether an answer has begun.
type answerWatch struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader begins the answer, unless the status is informational.
func (a *answerWatch) WriteHeader(status int) {
	a.begun = a.begun || status >= http.StatusOK
	a.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer's body.
func (a *answerWatch) Write(b []byte) (int, error) {
	a.begun = true
	return a.ResponseWriter.Write(b)
}

// Unwrap returns the server's own writer, for http.ResponseController.
func (a *answerWatch) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// abortAnswer ends the connection of an answer that is not complete, or in HTTP/2 its
// stream. It panics with http.ErrAbortHandler.
func abortAnswer(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// In HTTP/1.0 a close is the proper end of an answer, a reset isn't.
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
	panic(http.ErrAbortHandler)
}
