// Package sqentry is where callers, and targets with nested calls, come in: it
// authenticates, limits, routes, retries, and passes the answer back.
package sqentry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqheader"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqproblem"
	"github.com/sequoiatack/sequoiatack/internal/state/sqcall"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

const (
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes squnit.Bytes = 256 << 20
	// MaxDepth bounds the depth of nested calls.
	MaxDepth squnit.Depth = 32
	// MaxKeyBytes bounds a caller's idempotency key.
	MaxKeyBytes = 256
)

// Lists gives the lists in force.
type Lists interface {
	// Index returns the index of the lists, nil before any are known.
	Index() *sqlists.Index
	// Stale reports whether the lists are too old to serve by.
	Stale(now time.Time) bool
}

// Conns gives the connections to peers.
type Conns interface {
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Entry serves callers and nested calls.
type Entry struct {
	Daemon sqid.DaemonID
	Lists  Lists
	Router *Router
	Gate   *sqgate.Gate
	Conns  Conns
	Calls  *sqcall.Table
	// Charger spends the workspaces' rates.
	Charger Charger
	// Operations decides on requests with idempotency keys.
	Operations Operations
	Metrics    *sqmetric.Set
	Logger     logr.Logger
	// Suspect is told of a daemon that could not be reached.
	Suspect func(id sqid.DaemonID)
	// Stopping reports whether a planned stop has begun; connections are
	// closed after their answers then.
	Stopping func() bool
}

// Callers returns the handler of the callers' address.
func (e *Entry) Callers() http.Handler {
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	m.HandleFunc("/sequoiatack/operations", e.serveMint).Methods(http.MethodPost)
	m.HandleFunc("/{service}", e.serveCaller)
	m.HandleFunc("/{service}/{path:.*}", e.serveCaller)
	m.NotFoundHandler = http.HandlerFunc(e.notFound)
	return m
}

// Nested returns the handler of nested calls on the local address.
func (e *Entry) Nested() http.Handler {
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	m.HandleFunc("/call/{service}", e.serveNested)
	m.HandleFunc("/call/{service}/{path:.*}", e.serveNested)
	m.NotFoundHandler = http.HandlerFunc(e.notFound)
	return m
}

func (e *Entry) notFound(w http.ResponseWriter, _ *http.Request) {
	e.refuse(w, refuse(sqreason.ServiceUnknown, nil))
}

func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	defer func() { e.Metrics.CallSeconds.Observe(time.Since(start).Seconds()) }()
	if e.Stopping() {
		w.Header().Set("Connection", "close")
	}
	q, refusal := e.callerRequest(r, start)
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	q.serve(w, r)
}

// serveMint gives a caller a fresh idempotency key.
func (e *Entry) serveMint(w http.ResponseWriter, r *http.Request) {
	index := e.Lists.Index()
	key, err := sqheader.Key(r.Header)
	if index == nil || err != nil || key == "" {
		e.refuse(w, refuse(sqreason.KeyMissing, err))
		return
	}
	if _, ok := index.Workspace(sqid.DigestKey(key)); !ok {
		e.refuse(w, refuse(sqreason.KeyUnknown, nil))
		return
	}
	minted := e.Operations.Mint(time.Now())
	if minted == "" {
		e.refuse(w, refuse(sqreason.OperationHomeAway, nil))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Minted{IdempotencyKey: minted})
}

// Minted is the answer to a request for a fresh key.
type Minted struct {
	IdempotencyKey string `json:"idempotencyKey"`
}

func (e *Entry) serveNested(w http.ResponseWriter, r *http.Request) {
	q, refusal := e.nestedRequest(r, time.Now())
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	defer q.end()
	stop := context.AfterFunc(q.parent.Context, q.cancel)
	defer stop()
	q.serve(w, r)
}

// callerRequest decides whether a caller's request may run.
func (e *Entry) callerRequest(r *http.Request, now time.Time) (*request, *sqerror.Error) {
	index := e.Lists.Index()
	if index == nil || e.Lists.Stale(now) {
		return nil, refuse(sqreason.ListsStale, nil)
	}
	key, err := sqheader.Key(r.Header)
	if err != nil {
		return nil, refuse(sqreason.KeyMissing, err)
	}
	timeout, err := sqheader.TimeoutOf(r.Header)
	if err != nil {
		return nil, refuse(sqreason.BadRequest, err)
	}
	service, path := split(r, "/")
	route, reason := index.Route(key, service, r.Method, path)
	if reason != sqreason.NoReason {
		return nil, refuse(reason, nil)
	}
	if timeout == 0 || timeout > route.Timeout {
		timeout = route.Timeout
	}
	q := e.newRequest(r, service, path, now.Add(timeout))
	q.workspace, q.importance, q.kind = route.Workspace, route.Importance, route.Kind
	q.nonIdempotent = route.NonIdempotent
	q.credit, q.weight = route.Retries, route.Plan.Weight
	q.root = string(sqid.NewCallID())
	return q, nil
}

// nestedRequest takes what a nested call may do from its parent's row.
func (e *Entry) nestedRequest(r *http.Request, now time.Time) (*request, *sqerror.Error) {
	parent, ok := e.Calls.Get(sqid.CallID(r.Header.Get(sqheader.Call)))
	if !ok {
		return nil, refuse(sqreason.CallUnknown, nil)
	}
	if parent.Depth >= MaxDepth {
		return nil, refuse(sqreason.DepthExceeded, nil)
	}
	index := e.Lists.Index()
	if index == nil {
		return nil, refuse(sqreason.ListsStale, nil)
	}
	timeout, err := sqheader.TimeoutOf(r.Header)
	if err != nil {
		return nil, refuse(sqreason.BadRequest, err)
	}
	service, path := split(r, "/call/")
	deadline := parent.Deadline
	if timeout > 0 && now.Add(timeout).Before(deadline) {
		deadline = now.Add(timeout)
	}
	q := e.newRequest(r, service, path, deadline)
	q.workspace, q.importance, q.weight = parent.Workspace, parent.Importance, parent.Weight
	q.nonIdempotent = index.Nested(parent.Workspace, service, r.Method, path).NonIdempotent
	q.depth, q.root, q.share = parent.Depth+1, parent.Root, parent.Share
	q.parent, q.grant = parent, parent.Began(now)
	q.credit = q.grant
	return q, nil
}

// split returns the service and the path below it; prefix stands before them.
func split(r *http.Request, prefix string) (sqid.ServiceID, string) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), prefix)
	service, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return sqid.ServiceID(service), path
}

// refuse answers a request that the system does not serve.
func (e *Entry) refuse(w http.ResponseWriter, refusal *sqerror.Error) {
	if refusal.Peer == "" {
		refusal.Peer = e.Daemon
	}
	e.Metrics.Refusals.WithLabelValues(string(refusal.Reason)).Inc()
	e.Metrics.Calls.WithLabelValues(refusal.Run.String()).Inc()
	sqproblem.Write(w, refusal)
}

func refuse(reason sqreason.Refusal, err error) *sqerror.Error {
	return sqerror.Refuse(sqerror.StepEntry, reason, err)
}
