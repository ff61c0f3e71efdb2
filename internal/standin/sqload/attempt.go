package sqload

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqsimtarget"
)

// graceAfterTimeout is how long a client waits beyond the timeout that it
// requested, so that it receives the answer with which the system reports the
// timeout.
const graceAfterTimeout = 500 * time.Millisecond

// retryableStatuses lists the statuses after which a client may retry; 0 is an
// attempt without an answer.
var retryableStatuses = []int{
	0, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusBadGateway,
	http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusConflict,
}

// Attempt is one attempt of a request and its answer.
type Attempt struct {
	RequestID string `json:"requestId"`
	Operation string `json:"operation,omitempty"`
	Entry     string `json:"entry"`
	// Sent and Ended are in Unix nanoseconds.
	Sent  int64 `json:"sent"`
	Ended int64 `json:"ended"`
	// Status is the HTTP status, or 0 if there was no answer.
	Status int `json:"status"`
	// Reason is the reason in a refusal's body, Run the value of Sequoia-Run.
	Reason string `json:"reason,omitempty"`
	Run    string `json:"run,omitempty"`
	// Complete is whether the answer was complete, successful and matched the
	// request and its workspace.
	Complete bool `json:"whole"`
	// Truncated is whether the answer was truncated.
	Truncated bool `json:"cut,omitempty"`
	// Mismatched is whether an answer was passed on as complete but does not match
	// the request: another request's or workspace's, or with a damaged body.
	Mismatched bool `json:"crossed,omitempty"`
	// Replayed is whether the answer was that of an earlier attempt of the same
	// operation.
	Replayed bool `json:"replayed,omitempty"`
	// WithinRate is whether the attempt was within the rate and burst of the
	// workspace's plan.
	WithinRate bool `json:"inRate,omitempty"`
	// ConnRefused is whether the connection was refused.
	ConnRefused bool `json:"unsent,omitempty"`
	// Err is the error of the HTTP client.
	Err string `json:"err,omitempty"`
}

// mayRetry reports whether a client may retry the request after a: the status
// allows it, and a second run does no harm or Sequoia-Run says that the request
// has not run.
func (a *Attempt) mayRetry(route *Route) bool {
	if !slices.Contains(retryableStatuses, a.Status) {
		return false
	}
	return route.method() == http.MethodGet || route.Operations || a.Run == squnit.RunNot.String()
}

func (s *sender) attempt(ctx context.Context, c call) Attempt {
	ctx, cancel := context.WithTimeout(ctx, s.run.timeout+graceAfterTimeout)
	defer cancel()
	a := Attempt{RequestID: c.id, Operation: c.operation, Entry: c.entry}
	req, err := s.newRequest(ctx, c)
	if err != nil {
		a.Err = err.Error()
		return a
	}
	sent := time.Now()
	a.Sent = sent.UnixNano()
	a.WithinRate = s.takePlanToken(sent)
	resp, err := s.client.Do(req)
	if err != nil {
		a.Err, a.Ended = err.Error(), time.Now().UnixNano()
		a.ConnRefused = errors.Is(err, syscall.ECONNREFUSED)
		return a
	}
	defer resp.Body.Close()
	a.Status, a.Run = resp.StatusCode, resp.Header.Get("Sequoia-Run")
	body, err := io.ReadAll(resp.Body)
	a.Ended = time.Now().UnixNano()
	if err != nil {
		a.Truncated, a.Err = true, err.Error()
		return a
	}
	s.classify(&a, c, body)
	return a
}

func (s *sender) newRequest(ctx context.Context, c call) (*http.Request, error) {
	var body io.Reader
	if c.route.BodyBytes > 0 {
		body = bytes.NewReader(make([]byte, c.route.BodyBytes))
	}
	req, err := http.NewRequestWithContext(ctx, c.route.method(), c.entry+c.route.Path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(sqsimtarget.RequestIDHeader, c.id)
	req.Header.Set("Sequoia-Timeout", s.run.timeout.String())
	if s.workspace.Key != "" && !s.run.cfg.Direct {
		req.Header.Set("Authorization", "Bearer "+s.workspace.Key)
	}
	if c.operation != "" {
		req.Header.Set(sqsimtarget.OperationHeader, c.operation)
	}
	return req, nil
}

// problem is the part of a refusal's body that the summaries use.
type problem struct {
	Reason string `json:"reason"`
}

// classify sets the result fields of a from its status and the body of the
// answer. An answer with status 200 must be complete and carry the id of this
// attempt, or of another attempt of the same operation, the workspace and the
// size of the body sent.
func (s *sender) classify(a *Attempt, c call, body []byte) {
	if a.Status != http.StatusOK {
		var p problem
		if json.Unmarshal(body, &p) == nil {
			a.Reason = p.Reason
		}
		return
	}
	var answer sqsimtarget.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		a.Truncated, a.Err = true, "truncated or malformed answer passed on as complete: "+err.Error()
		a.Mismatched = true
		return
	}
	matches := answer.RequestID == a.RequestID
	if !matches && c.operation != "" {
		matches = sameOperation(answer.RequestID, a.RequestID)
		a.Replayed = matches
	}
	a.Complete = matches && answer.Workspace == s.expectedWorkspace() && answer.BodyBytes == c.route.BodyBytes
	a.Mismatched = !a.Complete
}

// sameOperation reports whether two request ids belong to attempts of one
// request. They differ only in the number after the last hyphen.
func sameOperation(a, b string) bool {
	return trimAttempt(a) == trimAttempt(b)
}

func trimAttempt(id string) string {
	for i := len(id) - 1; i >= 0; i-- {
		if id[i] == '-' {
			return id[:i]
		}
	}
	return id
}
