// Package sqentry is the entry of a daemon: the side that accepts the requests of
// callers and the nested calls of targets. It authenticates requests, applies rate
// limits, sheds load, routes and retries requests, and passes the answers back.
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

// Ask is what a protocol adapter has read and decided of one request before it is
// sent to any target.
type Ask struct {
	// ID is the id that the caller gave the request, empty if none.
	ID      string
	Service sqid.ServiceID
	// Named is set if the operators have configured the service, whether or not it
	// has targets now.
	Named bool
	// Path is the request target as the service sees it.
	Path string
	// Host is the host that the caller named, empty if targets don't receive it.
	Host      string
	Workspace sqid.WorkspaceID
	// Route names the class of the service's requests that are shed alike.
	Route         string
	Importance    squnit.Importance
	Weight        squnit.Weight
	NonIdempotent bool
	Deadline      time.Time
	// Latency is the time within which an answer is worth most to the caller, 0 if
	// unknown.
	Latency time.Duration
	// Patience is how long the caller waits for an answer, 0 if unknown; the deadline
	// may be sooner.
	Patience time.Duration
	// Returning is set for a request that is likely a caller's retry after a refusal.
	Returning bool
	// Credit is the number of attempts beyond the first that the request and all
	// calls below it may make.
	Credit squnit.Credit
	// Attempts bounds the attempts of the request itself; 0 leaves that to the credit.
	Attempts int
	// Operation is the caller's idempotency key, empty if none.
	Operation string
	// Parent is the call that a nested call is made for, nil for callers' requests.
	Parent *sqcall.Call
	// BodyMost bounds the body; 0 stands for MaxBodyBytes.
	BodyMost squnit.Bytes
}

// Front is the protocol adapter of the callers at one address.
type Front interface {
	// Ask parses a request and decides whether it is allowed.
	Ask(r *http.Request, now time.Time) (Ask, *sqerror.Error)
	// Answer adds the adapter's own headers to a target's answer.
	Answer(h http.Header, a *Ask, run squnit.RunState)
	// Refuse writes the answer to a request that no target has answered.
	Refuse(w http.ResponseWriter, a *Ask, e *sqerror.Error)
}

// Conns provides the connections to peers.
type Conns interface {
	// Conn returns the connection to a peer's address.
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Entry serves callers and nested calls.
type Entry struct {
	Daemon sqid.DaemonID
	// Service is the service of the local targets; other targets receive it as the
	// caller.
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
	// Decisions logs each refusal and each failed attempt.
	Decisions *sqlog.DecisionLog
	// Suspect is called for a daemon that could not be reached.
	Suspect func(id sqid.DaemonID)
	// active is the number of requests that are being served.
	active atomic.Int64
	// Stopping reports whether a planned stop has begun; connections are closed after
	// their answers then.
	Stopping func() bool
}

// Handler returns the handler of an address with the protocol adapter f.
func (e *Entry) Handler(f Front) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(f, w, r) })
}

// Active returns the number of requests that are being served.
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
		q.grantedCredit = q.Parent.NestedStarted(start)
		q.credit = min(q.credit, q.grantedCredit)
		defer q.endNestedCall()
		stop := context.AfterFunc(q.Parent.Context, func() {
			// A planned stop must not cancel a nested call while the target that made it
			// still waits for the answer.
			if !e.Stopping() {
				q.cancel()
			}
		})
		defer stop()
	}
	q.serve(w, r)
}

// refuse logs and counts a refusal, and answers the request with it.
func (e *Entry) refuse(f Front, w http.ResponseWriter, a *Ask, refusal *sqerror.Error) {
	if refusal.Peer == "" {
		refusal.Peer = e.Daemon
	}
	e.Metrics.Refusals.WithLabelValues(string(refusal.Reason)).Inc()
	e.Metrics.Calls.WithLabelValues(refusal.Run.String()).Inc()
	e.Decisions.Info("request refused", append(a.logFields(),
		"reason", refusal.Reason, "run", refusal.Run.String(), "step", refusal.Step, "peer", refusal.Peer,
		"retryAfterMs", refusal.RetryAfter.Milliseconds(), "cause", causeText(refusal))...)
	f.Refuse(w, a, refusal)
}

// logFields returns the fields of a request for log lines.
func (a *Ask) logFields() []any {
	left := int64(0)
	if !a.Deadline.IsZero() {
		left = time.Until(a.Deadline).Milliseconds()
	}
	return []any{
		"request", a.ID, "service", a.Service, "route", a.Route, "workspace", a.Workspace,
		"importance", int(a.Importance), "nested", a.Parent != nil, "leftMs", left, "returning", a.Returning,
	}
}

func causeText(e *sqerror.Error) string {
	if e.Err == nil {
		return ""
	}
	return e.Err.Error()
}

func entryRefusal(reason sqreason.Refusal, err error) *sqerror.Error {
	return sqerror.Refuse(sqerror.StepEntry, reason, err)
}
