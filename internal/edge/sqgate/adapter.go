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

// Told describes a call to its target, in addition to the caller's headers.
type Told struct {
	Call      sqid.CallID
	Workspace sqid.WorkspaceID
	// RequestID is the id that the caller gave the request.
	RequestID string
	// Caller is the service of the host whose daemon accepted the request.
	Caller sqid.ServiceID
	Target sqid.TargetID
	// Nested is set for calls made by targets.
	Nested bool
	// Left is the time until the deadline.
	Left time.Duration
}

// Verdict classifies an answer by its head. The zero value is an answer to be
// forwarded.
type Verdict struct {
	// Refused is set if the target reports that it has not run the call.
	Refused sqreason.Refusal
	// Moved is set if another target now answers at the address.
	Moved bool
	// Broken is set if the answer can't be forwarded, although the call may
	// have run.
	Broken bool
}

// Speech is the protocol adapter between a gate and its targets.
type Speech interface {
	// Tell sets the headers that describe a call to its target.
	Tell(h http.Header, t Told)
	// Judge classifies an answer by its head.
	Judge(resp *http.Response) Verdict
}

// Conns sends requests to targets; sqconn.Pool implements it.
type Conns interface {
	// Do sends a request and returns the head of its answer.
	Do(ctx context.Context, address string, r *sqconn.Request) (*http.Response, error)
	// Tick closes connections that have been idle for too long.
	Tick(now time.Time)
	// Forget closes the idle connections to an address.
	Forget(address string)
}

// Native is the adapter for the product's own protocol.
type Native struct{}

// Tell sets the product's headers.
func (Native) Tell(h http.Header, t Told) {
	h.Set(sqheader.Call, string(t.Call))
	h.Set(sqheader.Workspace, string(t.Workspace))
	h.Set(sqheader.Deadline, t.Left.Round(time.Millisecond).String())
}

// Judge returns ShedByTarget for a 503 whose Sequoia-Run header says not-run.
func (Native) Judge(resp *http.Response) Verdict {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(sqheader.Run) == squnit.RunNot.String() {
		return Verdict{Refused: sqreason.ShedByTarget}
	}
	return Verdict{}
}

// nativeMinConns is the number of connections to a target that are opened
// before any is reused. Answers of the product's own protocol carry no id: with
// that many connections used in turn, a stray answer has time to arrive while
// its connection is idle.
const nativeMinConns = 32

// NewConns returns the connection pool for the product's own protocol.
func NewConns() *sqconn.Pool { return &sqconn.Pool{Least: nativeMinConns} }
