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
	"github.com/sequoiatack/sequoiatack/internal/standin/sqtargetstand"
)

// graceAfterTimeout is how long a client waits beyond the timeout it asked
// for, so that it sees the system's own answer.
const graceAfterTimeout = 500 * time.Millisecond

// repeatable are the statuses upon which a client sends again.
var repeatable = []int{
	0, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusBadGateway,
	http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusConflict,
}

// Attempt is one send and its answer.
type Attempt struct {
	RequestID string `json:"requestId"`
	Operation string `json:"operation,omitempty"`
	Entry     string `json:"entry"`
	// Sent and Ended are in Unix nanoseconds.
	Sent  int64 `json:"sent"`
	Ended int64 `json:"ended"`
	// Status is 0 if no answer came.
	Status int `json:"status"`
	// Reason and Run are what a refusal and Sequoia-Run said.
	Reason string `json:"reason,omitempty"`
	Run    string `json:"run,omitempty"`
	// Whole is a complete answer to this very request.
	Whole bool `json:"whole"`
	// Cut answers ended before their end.
	Cut bool `json:"cut,omitempty"`
	// Crossed answers were whole and belonged to another request or workspace.
	Crossed bool `json:"crossed,omitempty"`
	// Replayed answers were of an earlier send of the same operation.
	Replayed bool `json:"replayed,omitempty"`
	// InRate is whether the workspace was inside its plan's rate at the send.
	InRate bool `json:"inRate,omitempty"`
	// Unsent attempts found nobody listening.
	Unsent bool `json:"unsent,omitempty"`
	// Err is the client's error.
	Err string `json:"err,omitempty"`
}

// mayRepeat reports whether a client sends the request again after a.
func (a *Attempt) mayRepeat(route *Route) bool {
	if !slices.Contains(repeatable, a.Status) {
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
	a.InRate = s.takeInRate(sent)
	resp, err := s.client.Do(req)
	if err != nil {
		a.Err, a.Ended = err.Error(), time.Now().UnixNano()
		a.Unsent = errors.Is(err, syscall.ECONNREFUSED)
		return a
	}
	defer resp.Body.Close()
	a.Status, a.Run = resp.StatusCode, resp.Header.Get("Sequoia-Run")
	body, err := io.ReadAll(resp.Body)
	a.Ended = time.Now().UnixNano()
	if err != nil {
		a.Cut, a.Err = true, err.Error()
		return a
	}
	s.judge(&a, c, body)
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
	req.Header.Set(sqtargetstand.RequestIDHeader, c.id)
	req.Header.Set("Sequoia-Timeout", s.run.timeout.String())
	if s.space.Key != "" && !s.run.cfg.Direct {
		req.Header.Set("Authorization", "Bearer "+s.space.Key)
	}
	if c.operation != "" {
		req.Header.Set(sqtargetstand.OperationHeader, c.operation)
	}
	return req, nil
}

// problem is the part of a refusal's body that the accounts need.
type problem struct {
	Reason string `json:"reason"`
}

// judge decides whether an answer is whole and its request's own.
func (s *sender) judge(a *Attempt, c call, body []byte) {
	if a.Status != http.StatusOK {
		var p problem
		if json.Unmarshal(body, &p) == nil {
			a.Reason = p.Reason
		}
		return
	}
	var answer sqtargetstand.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		a.Cut, a.Err = true, "answer passed on as whole: "+err.Error()
		a.Crossed = true
		return
	}
	own := answer.RequestID == a.RequestID
	if !own && c.operation != "" {
		own = sameOperation(answer.RequestID, a.RequestID)
		a.Replayed = own
	}
	a.Whole = own && answer.Workspace == s.expectedWorkspace() && answer.BodyBytes == c.route.BodyBytes
	a.Crossed = !a.Whole
}

// sameOperation reports whether two request ids are sends of one request.
func sameOperation(a, b string) bool {
	return trimSend(a) == trimSend(b)
}

func trimSend(id string) string {
	for i := len(id) - 1; i >= 0; i-- {
		if id[i] == '-' {
			return id[:i]
		}
	}
	return id
}
