package sqadmin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqheader"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqproblem"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// retryAfter is when a change may be tried again that the platform's outage
// prevented.
const retryAfter = time.Second

var (
	errNoMatch  = errors.New("If-Match is needed: the ETag of the list that the change is based on")
	errBadMatch = errors.New("If-Match must be one ETag as in an answer to GET")
)

// getList answers with the list in force and its revision.
func (s *Server) getList(w http.ResponseWriter, r *http.Request) {
	a := s.Holder.Accepted()
	w.Header().Set("ETag", etag(a.Head.Revision))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(a.Body(kindOf(r)))
}

func (s *Server) putList(w http.ResponseWriter, r *http.Request) {
	match, status, err := ifMatch(r)
	if err != nil {
		s.problem(status, err).Write(w)
		return
	}
	body, ok := s.body(w, r, sqlists.MaxListBytes)
	if !ok {
		return
	}
	revision, err := s.Acceptor.Put(r.Context(), kindOf(r), match, body)
	if err != nil {
		s.putProblem(w, r, err)
		return
	}
	s.Logger.Info("change accepted", "list", kindOf(r), "revision", revision, "operator", digestOf(r))
	w.Header().Set("ETag", etag(revision))
	w.Header().Set(sqheader.Run, squnit.RunDone.String())
	writeJSON(w, Accepted{Revision: revision})
}

// putProblem answers with what became of a change.
func (s *Server) putProblem(w http.ResponseWriter, r *http.Request, err error) {
	p := s.problem(http.StatusInternalServerError, err)
	var conflict *sqlists.ConflictError
	var faults sqlists.Faults
	switch {
	case errors.As(err, &faults):
		p = s.faultProblem(faults)
	case errors.As(err, &conflict):
		p.Status = http.StatusPreconditionFailed
		w.Header().Set("ETag", etag(conflict.Current))
	case errors.Is(err, sqlists.ErrNotAccepted):
		p.Status, p.RetryAfter = http.StatusServiceUnavailable, retryAfter
	case errors.Is(err, sqlists.ErrOutcomeUnknown):
		p.Status, p.Run = http.StatusServiceUnavailable, squnit.RunUnknown.String()
	default:
		p.Run = squnit.RunUnknown.String()
	}
	if p.Status >= http.StatusInternalServerError {
		s.Logger.Error(err, "change failed", "list", kindOf(r), "run", p.Run, "operator", digestOf(r))
	}
	p.Write(w)
}

func (s *Server) faultProblem(faults sqlists.Faults) sqproblem.Problem {
	p := s.problem(http.StatusUnprocessableEntity, nil)
	for _, f := range faults {
		p.Faults = append(p.Faults, sqproblem.Fault{Field: f.Path, What: f.What})
	}
	p.Detail = strconv.Itoa(len(faults)) + " faults; nothing was changed"
	return p
}

// checkLists checks both lists together; one that is left out is that in
// force.
func (s *Server) checkLists(w http.ResponseWriter, r *http.Request) {
	body, ok := s.body(w, r, 2*sqlists.MaxListBytes)
	if !ok {
		return
	}
	var sent Check
	if err := decodeStrict(body, &sent); err != nil {
		s.problem(http.StatusBadRequest, err).Write(w)
		return
	}
	a := s.Holder.Accepted()
	_, err := sqlists.Parse(orInForce(sent.Workspaces, a.Workspaces), orInForce(sent.Plans, a.Plans))
	if faults, bad := errors.Into[sqlists.Faults](err); bad {
		s.faultProblem(faults).Write(w)
		return
	}
	writeJSON(w, Accepted{Revision: a.Head.Revision})
}

func orInForce(sent json.RawMessage, inForce []byte) []byte {
	if sent == nil || string(sent) == "null" {
		return inForce
	}
	return sent
}

func decodeStrict(body []byte, v any) error {
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.Wrap(err, "body")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("body has more than one value")
	}
	return nil
}

// body reads the request's body; if it is larger than limit bytes or cut, the
// request is answered and ok is false.
func (s *Server) body(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return body, true
	}
	status := http.StatusBadRequest
	if _, large := errors.Into[*http.MaxBytesError](err); large {
		status, err = http.StatusRequestEntityTooLarge, errors.Errorf("body is larger than %d bytes", limit)
	}
	s.problem(status, err).Write(w)
	return nil, false
}

func kindOf(r *http.Request) sqlists.Kind {
	return sqlists.Kind(mux.Vars(r)["list"])
}

func etag(r sqid.Revision) string {
	return strconv.Quote(strconv.FormatUint(uint64(r), 10))
}

// ifMatch returns the revision that a change is based on, or the status that
// its lack is answered with.
func ifMatch(r *http.Request) (sqid.Revision, int, error) {
	tag := r.Header.Get("If-Match")
	if tag == "" {
		return 0, http.StatusPreconditionRequired, errNoMatch
	}
	n, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, http.StatusBadRequest, errBadMatch
	}
	return sqid.Revision(n), 0, nil
}
