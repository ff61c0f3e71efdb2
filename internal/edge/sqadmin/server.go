// Package sqadmin is the operators' HTTP API of a daemon: the two lists, the
// daemon's state, health, readiness and metrics.
//
// Lists are read from what is in force, so that any daemon answers, also while
// the platform is out. A change names the revision that it is based on in
// If-Match; of racing changes one is accepted and the others get 412. An
// answer of 503 tells in Sequoia-Run whether the change was accepted: not-run
// says that it certainly was not, unknown that it may have been.
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

// Acceptor accepts a change of a list.
type Acceptor interface {
	// Put replaces the list k by body if ifMatch is the newest revision.
	Put(ctx context.Context, k sqlists.Kind, ifMatch sqid.Revision, body []byte) (sqid.Revision, error)
}

// Server answers operators.
type Server struct {
	Daemon sqid.DaemonID
	// Holder has the lists in force.
	Holder   *sqlists.Holder
	Acceptor Acceptor
	// KeyDigests are those of the operators' keys; without any, nobody may
	// read or change what needs a key.
	KeyDigests []sqid.KeyDigest
	// Status returns the daemon's state.
	Status func() Status
	// Ready returns why the daemon takes no requests, nil if it does.
	Ready   func() error
	Metrics *sqmetric.Set
	Logger  logr.Logger
}

// Handler returns the API. Health, readiness and metrics need no key.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.NotFoundHandler = s.refusal(http.StatusNotFound)
	r.MethodNotAllowedHandler = s.refusal(http.StatusMethodNotAllowed)
	r.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.readiness).Methods(http.MethodGet)
	r.Handle("/metrics", promhttp.HandlerFor(s.Metrics.Registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	r.HandleFunc("/v1/lists/{list:workspaces|plans}", s.keyed(s.getList)).Methods(http.MethodGet)
	r.HandleFunc("/v1/lists/{list:workspaces|plans}", s.keyed(s.putList)).Methods(http.MethodPut)
	r.HandleFunc("/v1/lists/check", s.keyed(s.checkLists)).Methods(http.MethodPost)
	r.HandleFunc("/v1/status", s.keyed(s.status)).Methods(http.MethodGet)
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

// keyed lets a request pass if it has an operator's key.
func (s *Server) keyed(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		reason := s.authenticate(r)
		if reason == sqreason.NoReason {
			next(w, r)
			return
		}
		w.Header().Set("WWW-Authenticate", "Bearer")
		e := sqerror.Refuse(sqerror.StepAdmin, reason, errors.New("an operator's key is needed"))
		e.Peer = s.Daemon
		sqproblem.Write(w, e)
	}
}

// digestOf returns the digest of a request's key, empty if there is none.
func digestOf(r *http.Request) sqid.KeyDigest {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return ""
	}
	return sqid.DigestKey(key)
}

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

// problem returns the problem with a status; nothing has been changed.
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

func (s *Server) refusal(status int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.problem(status, nil).Write(w)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
