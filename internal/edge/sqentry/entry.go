// Package sqentry is the entry of a daemon: the side that accepts the requests of
// callers and the nested calls of targets. It authenticates requests, applies rate
// limits, sheds load, routes and retries requests, and passes the answers back.
package sqentry

import (
	"context"
	"net/http"
	"sync"
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
	"github.com/sequoiatack/sequoiatack/internal/policy/sqhold"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqstop"
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

// RequestInfo is what a protocol adapter has read and decided of one request before it is
// sent to any target.
type RequestInfo struct {
	// ID is the id that the caller gave the request, empty if none.
	ID      string
	Service sqid.ServiceID
	// Configured is set if the operators have configured the service, whether or not it
	// has targets now.
	Configured bool
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
	// CallerTimeout is how long the caller waits for an answer, 0 if unknown; the deadline
	// may be sooner.
	CallerTimeout time.Duration
	// LikelyRetry is set for a request that is likely a caller's retry after a refusal.
	LikelyRetry bool
	// Credit is the number of attempts beyond the first that the request and all
	// calls below it may make.
	Credit squnit.Credit
	// Attempts bounds the attempts of the request itself; 0 leaves that to the credit.
	Attempts int
	// OperationKey is the caller's idempotency key, empty if none.
	OperationKey string
	// Parent is the call that a nested call is made for, nil for callers' requests.
	Parent *sqcall.Call
	// MaxBody bounds the body; 0 stands for MaxBodyBytes.
	MaxBody squnit.Bytes
}

// CallerAdapter is the protocol adapter of the callers at one address.
type CallerAdapter interface {
	// ParseRequest parses a request and decides whether it is allowed.
	ParseRequest(r *http.Request, now time.Time) (RequestInfo, *sqerror.Error)
	// SetAnswerHeaders adds the adapter's own headers to a target's answer.
	SetAnswerHeaders(h http.Header, info *RequestInfo, run squnit.RunState)
	// WriteRefusal writes the answer to a request that no target has answered.
	WriteRefusal(w http.ResponseWriter, info *RequestInfo, e *sqerror.Error)
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
	// ReportUnreachable is called for a daemon that could not be reached.
	ReportUnreachable func(id sqid.DaemonID)
	// active is the number of requests that are being served.
	active atomic.Int64
	// Stop is the state of a planned stop.
	Stop *sqstop.Stop
	// Budget bounds the memory that requests with long bodies hold; nil sets no limit.
	Budget *sqhold.Budget
	// durations are those of the requests and nested calls that targets have answered.
	durations sqstop.Durations[workClass]
}

// Handler returns the handler of an address with the given protocol adapter.
func (e *Entry) Handler(adapter CallerAdapter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(adapter, w, r) })
}

// Active returns the number of requests that are being served.
func (e *Entry) Active() int { return int(e.active.Load()) }

func (e *Entry) serve(adapter CallerAdapter, w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	e.active.Add(1)
	defer e.active.Add(-1)
	observe := sync.OnceFunc(func() { e.Metrics.CallSeconds.Observe(time.Since(start).Seconds()) })
	defer observe()
	info, refusal := adapter.ParseRequest(r, start)
	if refusal != nil {
		boundDiscard(w, r.ContentLength)
		e.refuse(adapter, w, &info, refusal)
		return
	}
	q := e.newRequest(adapter, &info, r, start)
	defer func() { q.cancel() }()
	if q.Parent != nil {
		q.grantedCredit = q.Parent.NestedStarted(start)
		q.credit = min(q.credit, q.grantedCredit)
		defer q.endNestedCall()
		stop := context.AfterFunc(q.Parent.Context, func() {
			// A planned stop must not cancel a nested call while the target that made it
			// still waits for the answer.
			if !e.Stop.Begun() {
				q.cancel()
			}
		})
		defer stop()
	}
	q.serve(w, r)
	observe()
	q.linger(w)
}

// refuse logs and counts a refusal, and answers the request with it.
func (e *Entry) refuse(adapter CallerAdapter, w http.ResponseWriter, info *RequestInfo, refusal *sqerror.Error) {
	if refusal.Peer == "" {
		refusal.Peer = e.Daemon
	}
	e.Metrics.Refusals.WithLabelValues(string(refusal.Reason)).Inc()
	e.Metrics.Calls.WithLabelValues(refusal.Run.String()).Inc()
	e.Decisions.Info("request refused", append(info.logFields(),
		"reason", refusal.Reason, "run", refusal.Run.String(), "step", refusal.Step, "peer", refusal.Peer,
		"retryAfterMs", refusal.RetryAfter.Milliseconds(), "cause", causeText(refusal))...)
	adapter.WriteRefusal(w, info, refusal)
}

// logFields returns the fields of a request for log lines.
func (info *RequestInfo) logFields() []any {
	left := int64(0)
	if !info.Deadline.IsZero() {
		left = time.Until(info.Deadline).Milliseconds()
	}
	return []any{
		"request", info.ID, "service", info.Service, "route", info.Route, "workspace", info.Workspace,
		"importance", int(info.Importance), "nested", info.Parent != nil, "leftMs", left, "returning", info.LikelyRetry,
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
