// Package sqentry is where callers, and targets with nested calls, come in: it
// authenticates, limits, routes, retries, and passes the answer back.
package sqentry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqlog"
	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
	"github.com/sequoiatack/sequoiatack/internal/state/sqcall"
)

const (
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes squnit.Bytes = 256 << 20
	// MaxDepth bounds the depth of nested calls.
	MaxDepth squnit.Depth = 32
	// MaxKeyBytes bounds a caller's idempotency key.
	MaxKeyBytes = 256
)

// Ask is what a front has read of one request, before anything of it has run.
type Ask struct {
	// ID is the id that the caller gave the request, empty if none.
	ID      string
	Service sqid.ServiceID
	// Named is set if the operators name the service, whether it has targets now
	// or not.
	Named bool
	// Path is the request target as the service is to see it.
	Path string
	// Host is the host that the caller named, empty if targets aren't told.
	Host      string
	Workspace sqid.WorkspaceID
	// Route tells the requests of a service apart that share a fate.
	Route         string
	Importance    squnit.Importance
	Weight        squnit.Weight
	NonIdempotent bool
	Deadline      time.Time
	// Latency is the time within which an answer is worth most, 0 if unknown.
	Latency time.Duration
	// Patience is how long the caller goes on waiting, 0 if unknown; the deadline
	// may be sooner.
	Patience time.Duration
	// Returning is set for a request that seems to come back after a refusal.
	Returning bool
	// Credit is the number of attempts beyond the first, of the request and of all
	// calls below it.
	Credit squnit.Credit
	// Attempts bounds the targets that the request itself is sent to; 0 leaves
	// that to the credit.
	Attempts int
	// Operation is the caller's idempotency key, empty if none.
	Operation string
	// Parent is the call that a nested call is made for, nil for callers'.
	Parent *sqcall.Call
	// BodyMost bounds the body; 0 stands for MaxBodyBytes.
	BodyMost squnit.Bytes
}

// Front is how the callers of one address speak with the entry.
type Front interface {
	// Ask reads a request and decides whether it is allowed.
	Ask(r *http.Request, now time.Time) (Ask, *sqerror.Error)
	// Answer adds the front's own headers to a target's answer.
	Answer(h http.Header, a *Ask, run squnit.RunState)
	// Refuse answers a request that no target has answered.
	Refuse(w http.ResponseWriter, a *Ask, e *sqerror.Error)
}

// Conns gives the connections to peers.
type Conns interface {
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Entry serves callers and nested calls.
type Entry struct {
	Daemon sqid.DaemonID
	// Service is that of the host's target, told to the targets of others.
	Service sqid.ServiceID
	Lists   Lists
	Router  *Router
	Gate    *sqgate.Gate
	Conns   Conns
	Calls   *sqcall.Table
	// Charger spends the workspaces' rates.
	Charger Charger
	// Operations decides on requests with idempotency keys.
	Operations Operations
	Metrics    *sqmetric.Set
	// Decisions has a line for each refusal and each further attempt.
	Decisions *sqlog.DecisionLog
	// Suspect is told of a daemon that could not be reached.
	Suspect func(id sqid.DaemonID)
	active  atomic.Int64
	// Stopping reports whether a planned stop has begun; connections are
	// closed after their answers then.
	Stopping func() bool
}

// Handler returns the handler of an address whose callers speak as f.
func (e *Entry) Handler(f Front) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(f, w, r) })
}

// Active returns the number of requests that the entry serves now.
func (e *Entry) Active() int { return int(e.active.Load()) }

func (e *Entry) serve(f Front, w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	e.active.Add(1)
	defer e.active.Add(-1)
	defer func() { e.Metrics.CallSeconds.Observe(time.Since(start).Seconds()) }()
	a, refusal := f.Ask(r, start)
	if refusal != nil {
		e.refuse(f, w, &a, refusal)
		return
	}
	q := e.newRequest(f, &a, r, start)
	defer func() { q.cancel() }()
	if q.Parent != nil {
		q.grant = q.Parent.NestedStarted(start)
		q.credit = min(q.credit, q.grant)
		defer q.end()
		stop := context.AfterFunc(q.Parent.Context, func() {
			// A planned stop breaks off no call that a target works at while whoever
			// made it still waits.
			if !e.Stopping() {
				q.cancel()
			}
		})
		defer stop()
	}
	q.serve(w, r)
}

// refuse answers a request that the system does not serve.
func (e *Entry) refuse(f Front, w http.ResponseWriter, a *Ask, refusal *sqerror.Error) {
	if refusal.Peer == "" {
		refusal.Peer = e.Daemon
	}
	e.Metrics.Refusals.WithLabelValues(string(refusal.Reason)).Inc()
	e.Metrics.Calls.WithLabelValues(refusal.Run.String()).Inc()
	e.Decisions.Info("request refused", append(a.fields(),
		"reason", refusal.Reason, "run", refusal.Run.String(), "step", refusal.Step, "peer", refusal.Peer,
		"retryAfterMs", refusal.RetryAfter.Milliseconds(), "cause", causeOf(refusal))...)
	f.Refuse(w, a, refusal)
}

// fields are a request's fields in lines of the log.
func (a *Ask) fields() []any {
	left := int64(0)
	if !a.Deadline.IsZero() {
		left = time.Until(a.Deadline).Milliseconds()
	}
	return []any{
		"request", a.ID, "service", a.Service, "route", a.Route, "workspace", a.Workspace,
		"importance", int(a.Importance), "nested", a.Parent != nil, "leftMs", left, "returning", a.Returning,
	}
}

func causeOf(e *sqerror.Error) string {
	if e.Err == nil {
		return ""
	}
	return e.Err.Error()
}

func refuse(reason sqreason.Refusal, err error) *sqerror.Error {
	return sqerror.Refuse(sqerror.StepEntry, reason, err)
}
