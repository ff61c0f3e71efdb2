package sqtargetstand

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// RequestIDHeader carries the id that the load tool gives to each send; runs
// pass it on to nested calls, and answers repeat it in header and body.
const RequestIDHeader = "X-Request-Id"

// CallIDHeader carries an id that a run gives to each of its nested calls, so
// that a nested call that ran twice is told from two calls of two runs.
const CallIDHeader = "X-Call-Id"

// OperationHeader carries the idempotency key of a caller's operation.
const OperationHeader = "Idempotency-Key"

// Outcome is how a target dealt with a call.
type Outcome string

// The outcomes of a call.
const (
	// OutcomeWaiting calls wait for a slot.
	OutcomeWaiting Outcome = "waiting"
	// OutcomeLeft calls were given up by their caller before they ran.
	OutcomeLeft Outcome = "left"
	// OutcomeShed calls were answered "not-run".
	OutcomeShed Outcome = "shed"
	// OutcomeRunning calls have begun to run.
	OutcomeRunning Outcome = "running"
	// OutcomeDone runs were answered.
	OutcomeDone Outcome = "done"
	// OutcomeFailed runs were answered with an error, or cut.
	OutcomeFailed Outcome = "failed"
	// OutcomeCancelled runs lost their caller.
	OutcomeCancelled Outcome = "cancelled"
)

// Ran reports whether a call with outcome o has begun to run.
func (o Outcome) Ran() bool {
	return o != OutcomeWaiting && o != OutcomeLeft && o != OutcomeShed
}

// Run is the record of one call that reached the target.
type Run struct {
	RequestID string `json:"requestId"`
	// CallID is empty for a caller's own request.
	CallID    string           `json:"callId,omitempty"`
	Operation string           `json:"operation,omitempty"`
	Workspace sqid.WorkspaceID `json:"workspace,omitempty"`
	Method    string           `json:"method"`
	Path      string           `json:"path"`
	// Received, Started and Ended are in Unix nanoseconds, 0 for never.
	Received int64   `json:"received"`
	Started  int64   `json:"started,omitempty"`
	Ended    int64   `json:"ended,omitempty"`
	Outcome  Outcome `json:"outcome"`
	// KeySeen is whether a caller's key reached the target.
	KeySeen bool `json:"keySeen,omitempty"`
}

// Record holds the runs of a target. Its zero value is empty.
type Record struct {
	mu   sync.Mutex
	runs []Run
}

// Begin adds a call that has just been received and returns its index.
func (r *Record) Begin(req *http.Request, now time.Time) int {
	run := Run{
		RequestID: req.Header.Get(RequestIDHeader),
		CallID:    req.Header.Get(CallIDHeader),
		Operation: req.Header.Get(OperationHeader),
		Workspace: sqid.WorkspaceID(req.Header.Get("Sequoia-Workspace")),
		Method:    req.Method,
		Path:      req.URL.Path,
		Received:  now.UnixNano(),
		Outcome:   OutcomeWaiting,
		KeySeen:   keySeen(req),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	return len(r.runs) - 1
}

// Start marks the call at index i as running.
func (r *Record) Start(i int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[i].Started = now.UnixNano()
	r.runs[i].Outcome = OutcomeRunning
}

// End marks the call at index i as ended with an outcome.
func (r *Record) End(i int, outcome Outcome, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[i].Ended = now.UnixNano()
	r.runs[i].Outcome = outcome
}

// Runs returns a copy of the record.
func (r *Record) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs)
}

// keySeen reports whether a request carries what could be a caller's key.
func keySeen(req *http.Request) bool {
	for name, values := range req.Header {
		if name == "Authorization" {
			return true
		}
		for _, v := range values {
			if strings.HasPrefix(v, "sq_") || strings.Contains(v, "Bearer ") {
				return true
			}
		}
	}
	return strings.Contains(req.URL.RawQuery, "sq_")
}
