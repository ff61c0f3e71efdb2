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

// retryAfter is the Retry-After of a change that failed because the platform was
// unavailable.
const retryAfter = time.Second

var (
	errMatchMissing = errors.New("If-Match is required: the ETag of the list that the change is based on")
	errMatchInvalid = errors.New("If-Match must be a single ETag from an answer to GET")
)

// getList answers with the list in force and its revision.
func (s *Server) getList(w http.ResponseWriter, r *http.Request) {
	a := s.Holder.Accepted()
	w.Header().Set("ETag", etag(a.Head.Revision))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(a.Body(kindOf(r)))
}

// putList replaces a list if If-Match names the newest revision.
func (s *Server) putList(w http.ResponseWriter, r *http.Request) {
	match, status, err := ifMatch(r)
	if err != nil {
		s.problem(status, err).Write(w)
		return
	}
	body, ok := s.readBody(w, r, sqlists.MaxListBytes)
	if !ok {
		return
	}
	revision, err := s.Acceptor.Put(r.Context(), kindOf(r), match, body)
	if err != nil {
		s.writePutError(w, r, err)
		return
	}
	s.Logger.Info("change accepted", "list", kindOf(r), "revision", revision, "operator", digestOf(r))
	w.Header().Set("ETag", etag(revision))
	w.Header().Set(sqheader.Run, squnit.RunDone.String())
	writeJSON(w, Accepted{Revision: revision})
}

// writePutError answers a failed change. Its Sequoia-Run header says whether the change
// may have been accepted nevertheless.
func (s *Server) writePutError(w http.ResponseWriter, r *http.Request, err error) {
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

// faultProblem returns the problem that reports the faults of a list.
func (s *Server) faultProblem(faults sqlists.Faults) sqproblem.Problem {
	p := s.problem(http.StatusUnprocessableEntity, nil)
	for _, f := range faults {
		p.Faults = append(p.Faults, sqproblem.Fault{Field: f.Path, Message: f.What})
	}
	p.Detail = strconv.Itoa(len(faults)) + " faults; nothing was changed"
	return p
}

// checkLists validates both lists together, without a change. The list in force stands
// in for one that is left out.
func (s *Server) checkLists(w http.ResponseWriter, r *http.Request) {
	body, ok := s.readBody(w, r, 2*sqlists.MaxListBytes)
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

// orInForce returns the sent list, or the one in force if it was left out or is null.
func orInForce(sent json.RawMessage, inForce []byte) []byte {
	if sent == nil || string(sent) == "null" {
		return inForce
	}
	return sent
}

// decodeStrict decodes a body that must be a single JSON value without unknown fields.
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

// readBody reads the request's body. If the body is larger than limit bytes or can't be
// read to its end, readBody answers the request and returns false.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, ok bool) {
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

// ifMatch returns the revision that a change is based on. If If-Match is missing or
// malformed, it returns an error and the status of the answer.
func ifMatch(r *http.Request) (sqid.Revision, int, error) {
	tag := r.Header.Get("If-Match")
	if tag == "" {
		return 0, http.StatusPreconditionRequired, errMatchMissing
	}
	n, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, http.StatusBadRequest, errMatchInvalid
	}
	return sqid.Revision(n), 0, nil
}
