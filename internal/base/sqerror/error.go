// Package sqerror has the error that every part of a daemon returns once a
// request or a peer is concerned: it carries the step and the peer at which
// it arose, the reason of the refusal, and whether the request has run.
package sqerror

import (
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// Step names the part of the path at which an error arose.
type Step string

// The steps of the path.
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

// Error is a refusal or a failure with its place.
type Error struct {
	// Step is the part of the path at which the error arose.
	Step Step
	// Peer is the daemon at which the error arose, empty if it is unknown.
	Peer sqid.DaemonID
	// Reason is the word of the vocabulary, empty if no request is concerned.
	Reason sqreason.Refusal
	// Run says whether the request has run.
	Run squnit.RunState
	// RetryAfter is when a refused request may be sent again, 0 if unknown.
	RetryAfter time.Duration
	// Err is the cause; it may be nil.
	Err error
}

// Error returns the step, the peer, the reason and the cause.
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

// At wraps err with the step and the peer; it returns nil for a nil err.
func At(step Step, peer sqid.DaemonID, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// From returns the Error in err's chain, or wraps err as one whose outcome
// is unknown.
func From(step Step, reason sqreason.Refusal, err error) *Error {
	if e, ok := errors.Into[*Error](err); ok && e.Reason != sqreason.NoReason {
		return e
	}
	return Uncertain(step, reason, err)
}
