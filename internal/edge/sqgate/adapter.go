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

// CallMetadata describes a call to its target, in addition to the caller's headers.
// A TargetAdapter sends the fields for which its protocol has headers.
type CallMetadata struct {
	Call      sqid.CallID
	Workspace sqid.WorkspaceID
	// RequestID is the id that the caller gave the request. No adapter sends it.
	RequestID string
	// Caller is the one service that the daemon that accepted the request has in
	// its settings, that of its host's target; empty if it has none there.
	Caller sqid.ServiceID
	Target sqid.TargetID
	// Nested is set for calls made by targets.
	Nested bool
	// TimeLeft is the time until the deadline, at least 0.
	TimeLeft time.Duration
}

// AnswerClass classifies an answer by its head. The zero value is an answer to be
// forwarded. The adapters set at most one field.
type AnswerClass struct {
	// Refused is set if the target reports that it has not run the call.
	Refused sqreason.Refusal
	// AddressReused is set if another target now answers at the address. The
	// platform's adapter sets it for status 421: its requests name the target
	// that they expect.
	AddressReused bool
	// Unforwardable is set if the answer can't be forwarded, although the call may
	// have run. The platform's adapter sets it for an answer without exactly one
	// request id, with an encoded body, with a status below 300 and no signature, or with a
	// status by which the client would assume that the call has not run.
	Unforwardable bool
}

// TargetAdapter is the protocol adapter between a gate and its targets.
type TargetAdapter interface {
	// SetHeaders sets the headers that describe a call to its target.
	SetHeaders(h http.Header, m CallMetadata)
	// Classify classifies an answer by its head.
	Classify(resp *http.Response) AnswerClass
}

// Conns sends requests to targets; sqconn.Pool implements it.
type Conns interface {
	// Do sends a request and returns the head of its answer.
	Do(ctx context.Context, address string, r *sqconn.Request) (*http.Response, error)
	// Tick closes connections that have been idle for too long.
	Tick(now time.Time)
	// CloseIdle closes the idle connections to an address.
	CloseIdle(address string)
}

// NativeAdapter is the adapter for the product's own protocol. It sends only the
// call's id, workspace and time left, and never sets AddressReused or
// Unforwardable.
type NativeAdapter struct{}

// SetHeaders sets the product's headers.
func (NativeAdapter) SetHeaders(h http.Header, m CallMetadata) {
	h.Set(sqheader.Call, string(m.Call))
	h.Set(sqheader.Workspace, string(m.Workspace))
	h.Set(sqheader.Deadline, m.TimeLeft.Round(time.Millisecond).String())
}

// Classify returns ShedByTarget for a 503 whose Sequoia-Run header says not-run.
func (NativeAdapter) Classify(resp *http.Response) AnswerClass {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(sqheader.Run) == squnit.RunNot.String() {
		return AnswerClass{Refused: sqreason.ShedByTarget}
	}
	return AnswerClass{}
}

// nativeMinConns is the number of connections to a target that are opened
// before any is reused. Answers of the product's own protocol carry no id: with
// that many connections used in turn, a stray answer, which belongs to no request
// under way, has time to arrive while its connection is idle. The pool then
// closes the connection.
const nativeMinConns = 32

// NewConns returns the connection pool for the product's own protocol.
func NewConns() *sqconn.Pool { return &sqconn.Pool{MinConns: nativeMinConns} }
