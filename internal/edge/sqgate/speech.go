package sqgate

import (
	"context"
	"net/http"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqconn"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqheader"
)

// Told is what a target is told of a call beside the caller's own headers.
type Told struct {
	Call      sqid.CallID
	Workspace sqid.WorkspaceID
	// RequestID is the id that the caller gave the request.
	RequestID string
	// Caller is the service of the host at which the request came in.
	Caller sqid.ServiceID
	Target sqid.TargetID
	// Nested is set for the calls that targets make.
	Nested bool
	// Left is the time until the deadline.
	Left time.Duration
}

// Verdict is what the head of an answer means.
type Verdict struct {
	// Refused is set if the target says that it has not run the call.
	Refused sqreason.Refusal
	// Moved is set if another target has the address now.
	Moved bool
	// Broken is set if the answer can't be passed on, although the call may
	// have run.
	Broken bool
}

// Speech is how a gate speaks with its targets.
type Speech interface {
	// Tell sets the headers for what a target is told.
	Tell(h http.Header, t Told)
	// Judge says what the head of an answer means.
	Judge(resp *http.Response) Verdict
}

// Conns sends requests to targets; sqconn.Pool does.
type Conns interface {
	Do(ctx context.Context, address string, r *sqconn.Request) (*http.Response, error)
	Tick(now time.Time)
	Forget(address string)
}

// Native is the product's own speech with targets.
type Native struct{}

// Tell sets the product's headers.
func (Native) Tell(h http.Header, t Told) {
	h.Set(sqheader.Call, string(t.Call))
	h.Set(sqheader.Workspace, string(t.Workspace))
	h.Set(sqheader.Deadline, t.Left.Round(time.Millisecond).String())
}

// Judge takes a 503 that says so for one of a call that has not run.
func (Native) Judge(resp *http.Response) Verdict {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(sqheader.Run) == squnit.RunNot.String() {
		return Verdict{Refused: sqreason.ShedByTarget}
	}
	return Verdict{}
}

// nativeConnsLeast is the least number of connections to a target of the
// product's own speech, in which answers carry no id: used in turns, they leave
// time for a stray answer to arrive while its connection is idle.
const nativeConnsLeast = 32

// NewConns returns the connections for the product's own speech.
func NewConns() *sqconn.Pool { return &sqconn.Pool{Least: nativeConnsLeast} }
