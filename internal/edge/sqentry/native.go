package sqentry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqheader"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqproblem"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// Lists gives the lists in force.
type Lists interface {
	// Index returns the index of the lists, nil before any are known.
	Index() *sqlists.Index
	// Stale reports whether the lists are too old to serve by.
	Stale(now time.Time) bool
}

// native is the part that the product's own fronts have in common.
type native struct{ e *Entry }

// callerFront is the product's own front for callers, nestedFront that for the
// calls that targets make.
type (
	callerFront struct{ native }
	nestedFront struct{ native }
)

// Callers returns the handler of the callers' address.
func (e *Entry) Callers() http.Handler {
	serve := e.Handler(callerFront{native{e}}).ServeHTTP
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	m.HandleFunc("/sequoiatack/operations", e.serveMint).Methods(http.MethodPost)
	m.HandleFunc("/{service}", serve)
	m.HandleFunc("/{service}/{path:.*}", serve)
	m.NotFoundHandler = http.HandlerFunc(e.notFound)
	return e.untilStop(m)
}

// Nested returns the handler of nested calls on the local address.
func (e *Entry) Nested() http.Handler {
	serve := e.Handler(nestedFront{native{e}}).ServeHTTP
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	m.HandleFunc("/call/{service}", serve)
	m.HandleFunc("/call/{service}/{path:.*}", serve)
	m.NotFoundHandler = http.HandlerFunc(e.notFound)
	return m
}

// untilStop has callers open new connections once a planned stop has begun.
func (e *Entry) untilStop(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.Stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Entry) notFound(w http.ResponseWriter, _ *http.Request) {
	e.refuse(native{e}, w, &Ask{}, refuse(sqreason.ServiceUnknown, nil))
}

// serveMint gives a caller a fresh idempotency key.
func (e *Entry) serveMint(w http.ResponseWriter, r *http.Request) {
	index := e.Lists.Index()
	key, err := sqheader.Key(r.Header)
	if index == nil || err != nil || key == "" {
		e.refuse(native{e}, w, &Ask{}, refuse(sqreason.KeyMissing, err))
		return
	}
	if _, ok := index.Workspace(sqid.DigestKey(key)); !ok {
		e.refuse(native{e}, w, &Ask{}, refuse(sqreason.KeyUnknown, nil))
		return
	}
	minted := e.Operations.Mint(time.Now())
	if minted == "" {
		e.refuse(native{e}, w, &Ask{}, refuse(sqreason.OperationHomeAway, nil))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Minted{IdempotencyKey: minted})
}

// Minted is the answer to a request for a fresh key.
type Minted struct {
	IdempotencyKey string `json:"idempotencyKey"`
}

// Ask of the part in common knows no request.
func (native) Ask(*http.Request, time.Time) (Ask, *sqerror.Error) {
	return Ask{}, refuse(sqreason.ServiceUnknown, nil)
}

// Answer says that the request has run, and gives callers a fresh key.
func (n native) Answer(h http.Header, a *Ask, run squnit.RunState) {
	h.Set(sqheader.Run, run.String())
	if a.Parent == nil && a.NonIdempotent && a.Workspace != "" {
		if key := n.e.Operations.Mint(time.Now()); key != "" {
			h.Set(sqheader.NextKey, key)
		}
	}
}

// Refuse writes a problem.
func (native) Refuse(w http.ResponseWriter, _ *Ask, e *sqerror.Error) { sqproblem.Write(w, e) }

// Ask decides by the lists whether a caller's request may run.
func (f callerFront) Ask(r *http.Request, now time.Time) (Ask, *sqerror.Error) {
	e := f.e
	index := e.Lists.Index()
	if index == nil || e.Lists.Stale(now) {
		return Ask{}, refuse(sqreason.ListsStale, nil)
	}
	key, err := sqheader.Key(r.Header)
	if err != nil {
		return Ask{}, refuse(sqreason.KeyMissing, err)
	}
	timeout, err := sqheader.TimeoutOf(r.Header)
	if err != nil {
		return Ask{}, refuse(sqreason.BadRequest, err)
	}
	service, path := split(r, "/")
	route, reason := index.Route(key, service, r.Method, path)
	if reason != sqreason.NoReason {
		return Ask{}, refuse(reason, nil)
	}
	if timeout == 0 || timeout > route.Timeout {
		timeout = route.Timeout
	}
	return Ask{
		Service: service, Path: path, Workspace: route.Workspace, Route: route.Kind,
		Importance: route.Importance, Weight: route.Plan.Weight, NonIdempotent: route.NonIdempotent,
		Deadline: now.Add(timeout), Credit: route.Retries, Operation: r.Header.Get(sqheader.IdempotencyKey),
	}, nil
}

// Ask takes what a nested call may do from its parent's row.
func (f nestedFront) Ask(r *http.Request, now time.Time) (Ask, *sqerror.Error) {
	e := f.e
	parent, ok := e.Calls.Get(sqid.CallID(r.Header.Get(sqheader.Call)))
	if !ok {
		return Ask{}, refuse(sqreason.CallUnknown, nil)
	}
	if parent.Depth >= MaxDepth {
		return Ask{}, refuse(sqreason.DepthExceeded, nil)
	}
	index := e.Lists.Index()
	if index == nil {
		return Ask{}, refuse(sqreason.ListsStale, nil)
	}
	timeout, err := sqheader.TimeoutOf(r.Header)
	if err != nil {
		return Ask{}, refuse(sqreason.BadRequest, err)
	}
	service, path := split(r, "/call/")
	deadline := parent.Deadline
	if timeout > 0 && now.Add(timeout).Before(deadline) {
		deadline = now.Add(timeout)
	}
	return Ask{
		Service: service, Path: path, Workspace: parent.Workspace, Importance: parent.Importance,
		Weight: parent.Weight, Deadline: deadline, Credit: parent.Credit(), Parent: parent,
		NonIdempotent: index.Nested(parent.Workspace, service, r.Method, path).NonIdempotent,
		Operation:     r.Header.Get(sqheader.IdempotencyKey),
	}, nil
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
