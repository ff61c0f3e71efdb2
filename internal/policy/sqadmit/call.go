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
	// Share is the share of requests like this one that the entry admitted; 0
	// means 1. Nested calls carry the share of their request.
	Share squnit.Share
}

// Verdict is the decision on an offered call.
type Verdict uint8

// The verdicts.
const (
	// Run means that the call holds a slot and may be sent to the target now.
	Run Verdict = iota
	// Queued means that the call waits for a slot. A later Effect lists it,
	// unless it is cancelled before.
	Queued
	// Refused means that the call has not run and will not run.
	Refused
)

// Drop is a queued call that has not run and will not run.
type Drop struct {
	ID     sqid.CallID
	Reason sqreason.Refusal
}

// Effect lists the queued calls whose wait has ended. Each queued call is
// listed once, either in Run or in Dropped, unless it is cancelled.
type Effect struct {
	// Run lists calls that hold a slot from now on.
	Run []sqid.CallID
	// Dropped lists calls that were removed from the queue without a slot.
	Dropped []Drop
}

// Decision is the answer to an offered call.
type Decision struct {
	Verdict Verdict
	// Reason and RetryAfter are set if the verdict is Refused.
	Reason     sqreason.Refusal
	RetryAfter time.Duration
	// Effect lists other calls that left the queue when this one was offered.
	Effect Effect
}

// Outcome classifies the end of a call that was sent to a target.
type Outcome uint8

// The outcomes.
const (
	// OK is an answer of the target, whatever its status.
	OK Outcome = iota
	// Shed is an answer by which the target says that it has not run the call.
	Shed
	// Failed is a broken connection or a truncated answer.
	Failed
	// Cancelled is a call that its caller cancelled.
	Cancelled
	// Unreachable is a call of which no byte has reached the other side.
	Unreachable
)

// Result is what the gate measured of a call that held a slot.
type Result struct {
	Outcome Outcome
	// Latency is the time from the start to the end of the call.
	Latency time.Duration
	// Nested is the part of Latency in which the target waited for at least one
	// nested call. It says nothing about the load of the target itself.
	Nested time.Duration
}

// Load is the load report of a gate for one workspace.
type Load struct {
	// Level is the admission level: the lowest importance of which any calls
	// are admitted. All calls of higher importance are admitted.
	Level squnit.Importance
	// Share is the share of the workspace's calls of importance Level that can
	// be admitted, OverallShare that of the calls of all workspaces together, and
	// MedianShare that of the median workspace.
	Share, OverallShare, MedianShare squnit.Share
	InFlight                         int
	Limit                            int
	Queued                           int
	// AverageLatency is the moving average of the latency of a call, 0 if no call has
	// ended yet.
	AverageLatency time.Duration
}
