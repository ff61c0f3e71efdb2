package sqentry

import (
	"net/http"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// workClass is a class of requests that take similarly long.
type workClass struct {
	service sqid.ServiceID
	route   string
}

// Tick removes the durations of classes without requests.
func (e *Entry) Tick(now time.Time) { e.durations.Tick(now) }

func (q *request) workClass() workClass { return workClass{q.Service, q.Route} }

// noteDuration adds what the request took up to the end of an attempt.
func (q *request) noteDuration(now time.Time) {
	q.entry.durations.Add(now, q.workClass(), now.Sub(q.startedAt))
}

// canEnd reports whether a request that is passed on at now will have ended before the
// process does. A nested call ends with its parent, which the gate has accepted: to refuse
// it would throw away the parent's work.
func (q *request) canEnd(now time.Time) bool {
	s := q.entry.Stop
	if !s.Begun() || q.Parent != nil {
		return true
	}
	return s.Accepts(now, q.Deadline, q.entry.durations.Estimate(now, q.workClass()))
}

// closeIfNextIsLate has the caller's connection closed after the answer if a request like
// this one would no longer be accepted on it.
func (q *request) closeIfNextIsLate(h http.Header) {
	s, now := q.entry.Stop, time.Now()
	if !s.Begun() || q.Parent != nil {
		return
	}
	deadline := now.Add(q.Deadline.Sub(q.startedAt))
	if !s.Accepts(now, deadline, q.entry.durations.Estimate(now, q.workClass())) {
		h.Set("Connection", "close")
	}
}
