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

// Lists provides the lists in force.
type Lists interface {
	// Index returns the index of the lists, nil before any are known.
	Index() *sqlists.Index
	// Stale reports whether the lists are too old to decide by.
	Stale(now time.Time) bool
}

// nativeAdapter is the common part of the adapters for the product's own protocol.
type nativeAdapter struct{ e *Entry }

// nativeCallerAdapter adapts the product's own protocol for callers, and
// nativeNestedAdapter for the nested calls of targets.
type (
	nativeCallerAdapter struct{ nativeAdapter }
	nativeNestedAdapter struct{ nativeAdapter }
)

// Callers returns the handler of the callers' address.
func (e *Entry) Callers() http.Handler {
	serve := e.Handler(nativeCallerAdapter{nativeAdapter{e}}).ServeHTTP
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	m.HandleFunc("/sequoiatack/operations", e.serveMintKey).Methods(http.MethodPost)
	m.HandleFunc("/{service}", serve)
	m.HandleFunc("/{service}/{path:.*}", serve)
	m.NotFoundHandler = http.HandlerFunc(e.notFound)
	return e.closeWhenStopping(m)
}

// Nested returns the handler of nested calls on the local address.
func (e *Entry) Nested() http.Handler {
	serve := e.Handler(nativeNestedAdapter{nativeAdapter{e}}).ServeHTTP
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	m.HandleFunc("/call/{service}", serve)
	m.HandleFunc("/call/{service}/{path:.*}", serve)
	m.NotFoundHandler = http.HandlerFunc(e.notFound)
	return m
}

// closeWhenStopping closes callers' connections after their answers once a planned
// stop has begun.
func (e *Entry) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.Stop.Begun() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Entry) notFound(w http.ResponseWriter, _ *http.Request) {
	e.refuse(nativeAdapter{e}, w, &RequestInfo{}, entryRefusal(sqreason.ServiceUnknown, nil))
}

// serveMintKey answers with a fresh idempotency key.
func (e *Entry) serveMintKey(w http.ResponseWriter, r *http.Request) {
	index := e.Lists.Index()
	key, err := sqheader.BearerKey(r.Header)
	if index == nil || err != nil || key == "" {
		e.refuse(nativeAdapter{e}, w, &RequestInfo{}, entryRefusal(sqreason.KeyMissing, err))
		return
	}
	if _, ok := index.Workspace(sqid.DigestKey(key)); !ok {
		e.refuse(nativeAdapter{e}, w, &RequestInfo{}, entryRefusal(sqreason.KeyUnknown, nil))
		return
	}
	minted := e.Operations.Mint(time.Now())
	if minted == "" {
		e.refuse(nativeAdapter{e}, w, &RequestInfo{}, entryRefusal(sqreason.OperationHomeAway, nil))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(MintedKey{IdempotencyKey: minted})
}

// MintedKey is the answer to a request for a fresh idempotency key.
type MintedKey struct {
	IdempotencyKey string `json:"idempotencyKey"`
}

// ParseRequest refuses: the common part parses no requests.
func (nativeAdapter) ParseRequest(*http.Request, time.Time) (RequestInfo, *sqerror.Error) {
	return RequestInfo{}, entryRefusal(sqreason.ServiceUnknown, nil)
}

// SetAnswerHeaders sets the run state, and gives callers a fresh idempotency key after a
// non-idempotent request.
func (n nativeAdapter) SetAnswerHeaders(h http.Header, info *RequestInfo, run squnit.RunState) {
	h.Set(sqheader.Run, run.String())
	if info.Parent == nil && info.NonIdempotent && info.Workspace != "" {
		if key := n.e.Operations.Mint(time.Now()); key != "" {
			h.Set(sqheader.NextKey, key)
		}
	}
}

// WriteRefusal writes the refusal as a problem document.
func (nativeAdapter) WriteRefusal(w http.ResponseWriter, _ *RequestInfo, e *sqerror.Error) {
	p := sqproblem.FromError(e)
	if e.Run != squnit.RunNot {
		// The cause may quote the target's answer. It is in the log.
		p.Detail = ""
	}
	p.Write(w)
}

// ParseRequest parses a caller's request and decides by the lists whether it may run.
func (n nativeCallerAdapter) ParseRequest(r *http.Request, now time.Time) (RequestInfo, *sqerror.Error) {
	e := n.e
	index := e.Lists.Index()
	if index == nil || e.Lists.Stale(now) {
		return RequestInfo{}, entryRefusal(sqreason.ListsStale, nil)
	}
	key, err := sqheader.BearerKey(r.Header)
	if err != nil {
		return RequestInfo{}, entryRefusal(sqreason.KeyMissing, err)
	}
	timeout, err := sqheader.RequestedTimeout(r.Header)
	if err != nil {
		return RequestInfo{}, entryRefusal(sqreason.BadRequest, err)
	}
	service, path := splitPath(r, "/")
	route, reason := index.Route(key, service, r.Method, path)
	if reason != sqreason.NoReason {
		return RequestInfo{}, entryRefusal(reason, nil)
	}
	if timeout == 0 || timeout > route.Timeout {
		timeout = route.Timeout
	}
	return RequestInfo{
		Service: service, Path: path, Workspace: route.Workspace, Route: route.Kind,
		Importance: route.Importance, Weight: route.Plan.Weight, NonIdempotent: route.NonIdempotent,
		Deadline: now.Add(timeout), Credit: route.Retries, OperationKey: r.Header.Get(sqheader.IdempotencyKey),
	}, nil
}

// ParseRequest parses a nested call, which inherits workspace, importance, weight, deadline
// and credit from its parent.
func (n nativeNestedAdapter) ParseRequest(r *http.Request, now time.Time) (RequestInfo, *sqerror.Error) {
	e := n.e
	parent, ok := e.Calls.Get(sqid.CallID(r.Header.Get(sqheader.Call)))
	if !ok {
		return RequestInfo{}, entryRefusal(sqreason.CallUnknown, nil)
	}
	if parent.Depth >= MaxDepth {
		return RequestInfo{}, entryRefusal(sqreason.DepthExceeded, nil)
	}
	index := e.Lists.Index()
	if index == nil {
		return RequestInfo{}, entryRefusal(sqreason.ListsStale, nil)
	}
	timeout, err := sqheader.RequestedTimeout(r.Header)
	if err != nil {
		return RequestInfo{}, entryRefusal(sqreason.BadRequest, err)
	}
	service, path := splitPath(r, "/call/")
	deadline := parent.Deadline
	if timeout > 0 && now.Add(timeout).Before(deadline) {
		deadline = now.Add(timeout)
	}
	return RequestInfo{
		Service: service, Path: path, Workspace: parent.Workspace, Importance: parent.Importance,
		Weight: parent.Weight, Deadline: deadline, Credit: parent.Credit(), Parent: parent,
		NonIdempotent: index.NestedRoute(parent.Workspace, service, r.Method, path).NonIdempotent,
		OperationKey:  r.Header.Get(sqheader.IdempotencyKey),
	}, nil
}

// splitPath returns the service and the path below it; prefix precedes the service.
func splitPath(r *http.Request, prefix string) (sqid.ServiceID, string) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), prefix)
	service, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return sqid.ServiceID(service), path
}
