// Package sqerror defines the error type for requests and peers. An Error
// records the step and the daemon at which it arose, the reason of the refusal,
// and whether the request has run, which decides if it may be retried.
package sqerror

import (
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// Step names the part of a daemon, or the side of a connection, at which an error
// arose.
type Step string

// The steps. A call passes from the entry, which accepts callers' requests, over
// a peer connection to the gate, which hands it to a target of its host.
// StepLedger is the charging of a workspace's rate, StepOperation the dedup record
// of a non-idempotent request, StepMember the membership of the fleet.
const (
	StepEntry     Step = "entry"
	StepGate      Step = "gate"
	StepPeer      Step = "peer"
	StepTarget    Step = "target"
	StepPlatform  Step = "platform"
	StepLedger    Step = "ledger"
	StepOperation Step = "operation"
	StepLists     Step = "lists"
	StepMember    Step = "member"
	StepSettings  Step = "settings"
	StepAdmin     Step = "admin"
)

// Error is a refusal or a failure, with the place where it arose.
type Error struct {
	// Step is where the error arose.
	Step Step
	// Peer is the daemon at which the error arose, empty if unknown.
	Peer sqid.DaemonID
	// Reason is why the request was refused, NoReason if the error is not about
	// a request.
	Reason sqreason.Refusal
	// Run says whether a target has run the request.
	Run squnit.RunState
	// RetryAfter is how long the caller should wait before it sends a refused
	// request again, 0 if unknown.
	RetryAfter time.Duration
	// Err is the cause; it may be nil.
	Err error
}

// Error returns the step, the peer, the reason and the cause on one line.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(string(e.Step))
	if e.Peer != "" {
		b.WriteString(" at " + string(e.Peer))
	}
	if e.Reason != sqreason.NoReason {
		b.WriteString(": " + string(e.Reason) + " (" + e.Run.String() + ")")
	}
	if e.Err != nil {
		b.WriteString(": " + e.Err.Error())
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Refuse returns a refusal of a request that has not run.
func Refuse(step Step, reason sqreason.Refusal, err error) *Error {
	return &Error{Step: step, Reason: reason, Run: squnit.RunNot, Err: err}
}

// Uncertain returns a failure of a request that may have run.
func Uncertain(step Step, reason sqreason.Refusal, err error) *Error {
	return &Error{Step: step, Reason: reason, Run: squnit.RunUnknown, Err: err}
}

// Wrap wraps err with the step and the peer. It returns nil if err is nil.
func Wrap(step Step, peer sqid.DaemonID, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// From returns the first Error in err's chain if it has a reason. Otherwise it
// wraps err as an Uncertain one, since the request may have run.
func From(step Step, reason sqreason.Refusal, err error) *Error {
	if e, ok := errors.Into[*Error](err); ok && e.Reason != sqreason.NoReason {
		return e
	}
	return Uncertain(step, reason, err)
}
