// Package sqadmin is a daemon's HTTP API for operators: the lists of workspaces and
// plans, the daemon's state, health, readiness and metrics.
//
// A list is read from the copy in force at the daemon, so any daemon can answer, even
// while the platform is unavailable. A change names the revision that it is based on in
// If-Match. If several changes are based on the same revision, one is accepted and the
// others get 412. An answer of 503 says in Sequoia-Run whether the change was accepted:
// not-run means that it certainly was not, unknown that it may have been.
package sqadmin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqproblem"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// Acceptor validates a change of a list and writes it to the platform.
type Acceptor interface {
	// Put replaces the list k by body if ifMatch is the newest revision, and returns
	// the revision of the change.
	Put(ctx context.Context, k sqlists.Kind, ifMatch sqid.Revision, body []byte) (sqid.Revision, error)
}

// Server serves the operators' API.
type Server struct {
	Daemon sqid.DaemonID
	// Holder has the lists in force.
	Holder   *sqlists.Holder
	Acceptor Acceptor
	// KeyDigests are the digests of the operators' keys. If there are none, every
	// request that needs a key is refused.
	KeyDigests []sqid.KeyDigest
	// Status returns the daemon's state.
	Status func() Status
	// Ready returns the reason why the daemon does not accept requests, nil if it
	// accepts them.
	Ready   func() error
	Metrics *sqmetric.Set
	Logger  logr.Logger
}

// Handler returns the API's HTTP handler. Health, readiness and metrics need no key.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.NotFoundHandler = s.problemHandler(http.StatusNotFound)
	r.MethodNotAllowedHandler = s.problemHandler(http.StatusMethodNotAllowed)
	r.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.readiness).Methods(http.MethodGet)
	r.Handle("/metrics", promhttp.HandlerFor(s.Metrics.Registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	r.HandleFunc("/v1/lists/{list:workspaces|plans}", s.requireKey(s.getList)).Methods(http.MethodGet)
	r.HandleFunc("/v1/lists/{list:workspaces|plans}", s.requireKey(s.putList)).Methods(http.MethodPut)
	r.HandleFunc("/v1/lists/check", s.requireKey(s.checkLists)).Methods(http.MethodPost)
	r.HandleFunc("/v1/status", s.requireKey(s.status)).Methods(http.MethodGet)
	return r
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, health{Healthy: true})
}

func (s *Server) readiness(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		s.problem(http.StatusServiceUnavailable, err).Write(w)
		return
	}
	writeJSON(w, readiness{Ready: true})
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Status())
}

// requireKey calls next if the request has an operator's key, and refuses it otherwise.
func (s *Server) requireKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		reason := s.authenticate(r)
		if reason == sqreason.NoReason {
			next(w, r)
			return
		}
		w.Header().Set("WWW-Authenticate", "Bearer")
		e := sqerror.Refuse(sqerror.StepAdmin, reason, errors.New("an operator's key is required"))
		e.Peer = s.Daemon
		sqproblem.Write(w, e)
	}
}

// digestOf returns the digest of the request's bearer key, empty if it has none.
func digestOf(r *http.Request) sqid.KeyDigest {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return ""
	}
	return sqid.DigestKey(key)
}

// authenticate returns the reason to refuse the request, or NoReason. It compares the
// key's digest with all known ones in constant time.
func (s *Server) authenticate(r *http.Request) sqreason.Refusal {
	digest := digestOf(r)
	if digest == "" {
		return sqreason.KeyMissing
	}
	known := 0
	for _, d := range s.KeyDigests {
		known |= subtle.ConstantTimeCompare([]byte(digest), []byte(d))
	}
	if known == 0 {
		return sqreason.KeyUnknown
	}
	return sqreason.NoReason
}

// problem returns a problem with the given status that reports that nothing was changed.
func (s *Server) problem(status int, err error) sqproblem.Problem {
	p := sqproblem.Problem{
		Status: status, Run: squnit.RunNot.String(),
		Step: sqerror.StepAdmin, Peer: s.Daemon,
	}
	if err != nil {
		p.Detail = err.Error()
	}
	return p
}

// problemHandler returns a handler that answers every request with status.
func (s *Server) problemHandler(status int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.problem(status, nil).Write(w)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
