package sqadmit

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// Call is one call that asks for a slot of the target.
type Call struct {
	ID         sqid.CallID
	Workspace  sqid.WorkspaceID
	Weight     squnit.Weight
	Importance squnit.Importance
	Depth      squnit.Depth
	Deadline   time.Time
	// Share is the part of requests like this one that the entry admitted;
	// 0 stands for 1. Nested calls carry the share of their request.
	Share squnit.Share
}

// Verdict is what becomes of an offered call.
type Verdict uint8

// The verdicts.
const (
	// Run says that the call holds a slot and may go to the target now.
	Run Verdict = iota
	// Queued says that a later Effect will name the call.
	Queued
	// Refused says that the call has not run and will not.
	Refused
)

// Drop is a queued call that has not run and will not.
type Drop struct {
	ID     sqid.CallID
	Reason sqreason.Refusal
}

// Effect is what becomes of queued calls: each is named once, in Run or in
// Dropped, unless it is cancelled.
type Effect struct {
	// Run lists calls that hold a slot from now on.
	Run []sqid.CallID
	// Dropped lists calls that left the queue without a slot.
	Dropped []Drop
}

// Decision is the answer to an offered call.
type Decision struct {
	Verdict Verdict
	// Reason and RetryAfter are set if the verdict is Refused.
	Reason     sqreason.Refusal
	RetryAfter time.Duration
	// Effect holds queued calls that gave way.
	Effect Effect
}

// Outcome is how a target answered a call.
type Outcome uint8

// The outcomes.
const (
	// OK is an answer of the target, whatever its status.
	OK Outcome = iota
	// Shed is a target's answer that it has not run the call.
	Shed
	// Failed is a broken connection, or a cut answer.
	Failed
	// Cancelled is a call that its caller gave up.
	Cancelled
	// Unreachable is a call of which no byte has reached the other side.
	Unreachable
)

// Result is what the gate measured of a call that held a slot.
type Result struct {
	Outcome Outcome
	// Latency is the time from the start to the end of the call.
	Latency time.Duration
	// Nested is the part of Latency in which the target waited for at least
	// one nested call; it is no sign of load on the target itself.
	Nested time.Duration
}

// Load is the state of a gate as seen by one workspace.
type Load struct {
	// Level is the lowest importance of which any call is admitted. All of
	// those above it are.
	Level squnit.Importance
	// Share is the part of the workspace's calls of importance Level that
	// there is room for, All that of all workspaces' together, and Typical
	// that of the median workspace.
	Share, All, Typical squnit.Share
	InFlight            int
	Limit               int
	Queued              int
	// Usual is the usual time of a call, 0 if none has ended.
	Usual time.Duration
}
