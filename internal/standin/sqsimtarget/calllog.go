package sqsimtarget

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// RequestIDHeader carries the id that the load generator gives to each attempt.
// Targets copy it to nested calls and to the header and body of their answers.
const RequestIDHeader = "X-Request-Id"

// CallIDHeader carries the id that a run gives to each of its nested calls. It
// distinguishes a nested call that ran twice from nested calls of two runs.
const CallIDHeader = "X-Call-Id"

// OperationHeader carries the idempotency key of a caller's operation.
const OperationHeader = "Idempotency-Key"

// Outcome is the state or result of a call at a target.
type Outcome string

// The outcomes of a call.
const (
	// OutcomeWaiting means that the call waits for a slot.
	OutcomeWaiting Outcome = "waiting"
	// OutcomeAbandoned means that the caller cancelled the call before it ran.
	OutcomeAbandoned Outcome = "left"
	// OutcomeShed means that the call was refused with Sequoia-Run: not-run.
	OutcomeShed Outcome = "shed"
	// OutcomeRunning means that the call is running.
	OutcomeRunning Outcome = "running"
	// OutcomeDone means that the run was answered successfully.
	OutcomeDone Outcome = "done"
	// OutcomeFailed means that the run was answered with an error, or that its
	// answer was truncated.
	OutcomeFailed Outcome = "failed"
	// OutcomeCancelled means that the caller went away during the run.
	OutcomeCancelled Outcome = "cancelled"
)

// Ran reports whether a call with outcome o has started to run.
func (o Outcome) Ran() bool {
	return o != OutcomeWaiting && o != OutcomeAbandoned && o != OutcomeShed
}

// CallRecord is the record of a call that the target received, whether it ran or not.
type CallRecord struct {
	RequestID string `json:"requestId"`
	// CallID is the id of a nested call, empty for a request from a caller.
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
	// KeySeen is whether the call seems to contain a caller's key, which must
	// never reach a target.
	KeySeen bool `json:"keySeen,omitempty"`
}

// CallLog holds the calls that a target received. The zero value is empty. Its
// methods may be called concurrently.
type CallLog struct {
	mu    sync.Mutex
	calls []CallRecord
}

// Begin adds a call that was received at now and returns its index.
func (l *CallLog) Begin(req *http.Request, now time.Time) int {
	call := CallRecord{
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
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, call)
	return len(l.calls) - 1
}

// Start marks the call with index i as running.
func (l *CallLog) Start(i int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[i].Started = now.UnixNano()
	l.calls[i].Outcome = OutcomeRunning
}

// End marks the call with index i as ended with an outcome.
func (l *CallLog) End(i int, outcome Outcome, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[i].Ended = now.UnixNano()
	l.calls[i].Outcome = outcome
}

// Calls returns a copy of the recorded calls.
func (l *CallLog) Calls() []CallRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.calls)
}

// keySeen reports whether a header or the query of a request contains what could
// be a caller's key.
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
