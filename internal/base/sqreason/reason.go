// Package sqreason defines the reasons of refusals and of retries. The same strings
// appear in answers to callers, in logs and as labels of counters.
package sqreason

import "net/http"

// Refusal is the reason why a request was refused or failed.
type Refusal string

// The reasons of refusals.
const (
	// KeyMissing says that the request carries no well-formed key.
	KeyMissing Refusal = "key-missing"
	// KeyUnknown says that no workspace or operator has the key.
	KeyUnknown Refusal = "key-unknown"
	// CallUnknown says that a nested call names no call under way as its parent.
	CallUnknown Refusal = "call-unknown"
	// ListsStale says that the daemon has no lists of workspaces and plans, or
	// none recent enough to admit callers by.
	ListsStale Refusal = "lists-stale"
	// RouteNotAllowed says that the workspace's plan doesn't allow the request,
	// or that a request to the local address came from another host.
	RouteNotAllowed Refusal = "route-not-allowed"
	ServiceUnknown  Refusal = "service-unknown"
	BadRequest      Refusal = "bad-request"
	// OverRate says that the workspace's rate is used up.
	OverRate Refusal = "over-rate"
	// LedgerUnavailable says that the workspace's rate couldn't be charged.
	LedgerUnavailable Refusal = "ledger-unavailable"

	// ShedQueueFull says that the gate's queue is full.
	ShedQueueFull Refusal = "shed-queue-full"
	// ShedImportance says that calls of higher importance go first.
	ShedImportance Refusal = "shed-importance"
	// ShedFairness says that other workspaces go first, by fair sharing.
	ShedFairness Refusal = "shed-fairness"
	// ShedDeadline says that the call can't end before its deadline.
	ShedDeadline Refusal = "shed-deadline"
	// ShedDeeper says that a service deeper in the call graph sheds load.
	ShedDeeper Refusal = "shed-deeper"
	// ShedByTarget says that the target itself answered that it is overloaded.
	ShedByTarget Refusal = "shed-by-target"

	// TargetUnknown says that no target of the name is announced at this daemon.
	TargetUnknown Refusal = "target-unknown"
	// TargetNone says that the service has no target that could take the call.
	TargetNone        Refusal = "target-none"
	TargetDraining    Refusal = "target-draining"
	TargetUnreachable Refusal = "target-unreachable"
	// TargetBroken says that the connection to the target broke, or that its
	// answer can't be passed on.
	TargetBroken Refusal = "target-broken"
	// TargetFailed says that the target answered with a failure.
	TargetFailed Refusal = "target-failed"
	// TargetRefused says that the target refused the call although the gate knew
	// it to have a free slot.
	TargetRefused Refusal = "target-refused"
	// TargetSilent says that the entry gave up waiting for an answer before the
	// deadline, to try another target.
	TargetSilent Refusal = "target-silent"

	// PeerUnreachable says that nothing could be sent to the target's daemon.
	PeerUnreachable Refusal = "peer-unreachable"
	// PeerBroken says that the connection to the target's daemon broke after the
	// call may have been sent.
	PeerBroken Refusal = "peer-broken"
	// LinkBudget says that the byte budget of the link to the target's region is
	// used up for calls of this importance.
	LinkBudget       Refusal = "link-budget"
	DeadlineExceeded Refusal = "deadline-exceeded"
	// CallerGone says that the caller closed the connection.
	CallerGone     Refusal = "caller-gone"
	BodyTooLarge   Refusal = "body-too-large"
	HeaderTooLarge Refusal = "header-too-large"

	// OperationRunning says that a request with the same idempotency key is
	// still running.
	OperationRunning Refusal = "operation-running"
	// OperationUnknown says that an earlier request with the same idempotency
	// key may have run, and its answer is lost.
	OperationUnknown Refusal = "operation-unknown"
	// OperationExpired says that the idempotency key is too old: its dedup
	// record may be gone.
	OperationExpired Refusal = "operation-expired"
	// OperationMismatch says that the idempotency key was used for another
	// request.
	OperationMismatch Refusal = "operation-mismatch"
	// OperationBookFull says that the shard has no room for another dedup record.
	OperationBookFull Refusal = "operation-book-full"
	// OperationHomeAway says that no keeper of the key's dedup record could be
	// asked.
	OperationHomeAway Refusal = "operation-home-away"

	// MemoryFull says that the call gave way to others, since the daemon's calls held too
	// much memory.
	MemoryFull Refusal = "memory-full"

	Stopping Refusal = "stopping"
	// DepthExceeded says that the chain of nested calls is too deep.
	DepthExceeded Refusal = "depth-exceeded"
	// NoReason is the zero value: no refusal.
	NoReason Refusal = ""

	// statusClientClosed is the status that nginx logs for a request whose client
	// closed the connection; net/http has no name for it.
	statusClientClosed = 499
)

// refusalStatus maps each reason to the HTTP status that a caller sees.
var refusalStatus = map[Refusal]int{
	KeyMissing:        http.StatusUnauthorized,
	KeyUnknown:        http.StatusUnauthorized,
	CallUnknown:       http.StatusUnauthorized,
	ListsStale:        http.StatusServiceUnavailable,
	RouteNotAllowed:   http.StatusForbidden,
	ServiceUnknown:    http.StatusNotFound,
	BadRequest:        http.StatusBadRequest,
	OverRate:          http.StatusTooManyRequests,
	LedgerUnavailable: http.StatusServiceUnavailable,
	ShedQueueFull:     http.StatusServiceUnavailable,
	ShedImportance:    http.StatusServiceUnavailable,
	ShedFairness:      http.StatusServiceUnavailable,
	ShedDeadline:      http.StatusServiceUnavailable,
	ShedDeeper:        http.StatusServiceUnavailable,
	ShedByTarget:      http.StatusServiceUnavailable,
	TargetUnknown:     http.StatusNotFound,
	TargetNone:        http.StatusServiceUnavailable,
	TargetDraining:    http.StatusServiceUnavailable,
	TargetUnreachable: http.StatusServiceUnavailable,
	TargetBroken:      http.StatusBadGateway,
	TargetFailed:      http.StatusBadGateway,
	TargetRefused:     http.StatusServiceUnavailable,
	TargetSilent:      http.StatusGatewayTimeout,
	PeerUnreachable:   http.StatusServiceUnavailable,
	PeerBroken:        http.StatusBadGateway,
	LinkBudget:        http.StatusServiceUnavailable,
	DeadlineExceeded:  http.StatusGatewayTimeout,
	CallerGone:        statusClientClosed,
	BodyTooLarge:      http.StatusRequestEntityTooLarge,
	HeaderTooLarge:    http.StatusRequestHeaderFieldsTooLarge,
	OperationRunning:  http.StatusConflict,
	OperationUnknown:  http.StatusBadGateway,
	OperationExpired:  http.StatusConflict,
	OperationMismatch: http.StatusUnprocessableEntity,
	OperationBookFull: http.StatusServiceUnavailable,
	OperationHomeAway: http.StatusServiceUnavailable,
	MemoryFull:        http.StatusServiceUnavailable,
	Stopping:          http.StatusServiceUnavailable,
	DepthExceeded:     http.StatusLoopDetected,
}

// Status returns the HTTP status for callers, 500 if r is none of the reasons above.
func (r Refusal) Status() int {
	if status, ok := refusalStatus[r]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Overload reports whether r says that a target is overloaded.
func (r Refusal) Overload() bool {
	switch r {
	case ShedQueueFull, ShedImportance, ShedFairness, ShedDeadline, ShedByTarget:
		return true
	}
	return false
}

// Transient reports whether the condition may clear shortly, so that the caller can be
// given a time to retry after.
func (r Refusal) Transient() bool {
	return r.Overload() || r.Unavailable() || r == ShedDeeper || r == TargetRefused || r == DeadlineExceeded || r == LinkBudget
}

// Unavailable reports whether r says that no target is available, since it is leaving
// or can't be reached. Such a refusal is no sign of load.
func (r Refusal) Unavailable() bool {
	switch r {
	case TargetDraining, TargetNone, TargetUnreachable, PeerUnreachable, Stopping:
		return true
	}
	return false
}

// Refusals returns all reasons of refusals except NoReason, in no particular order.
func Refusals() []Refusal {
	all := make([]Refusal, 0, len(refusalStatus))
	for r := range refusalStatus {
		all = append(all, r)
	}
	return all
}

// Retry is the reason why a failed attempt was or wasn't retried.
type Retry string

// The reasons of retries and of retries not made.
const (
	// RetryNotRun says that the attempt is known not to have run.
	RetryNotRun Retry = "not-run"
	// RetryIdempotent says that the attempt may have run, but the request is
	// idempotent.
	RetryIdempotent Retry = "idempotent"
	// RetryPeerDown says that the target or its daemon is leaving or can't be
	// reached.
	RetryPeerDown Retry = "peer-down"
	// RetryShedOnce says that one target shed the call and another may take it.
	RetryShedOnce Retry = "shed-once"

	// NoRetryCredit says that the request has no further attempts left.
	NoRetryCredit Retry = "no-credit"
	// NoRetryBudget says that the retry budget of the daemon for the service is
	// used up.
	NoRetryBudget Retry = "no-budget"
	// NoRetryDeadline says that too little time is left before the deadline.
	NoRetryDeadline Retry = "no-time"
	// NoRetryUncertain says that a non-idempotent attempt may have run.
	NoRetryUncertain Retry = "uncertain"
	// NoRetryServiceShed says that the service as a whole sheds load.
	NoRetryServiceShed Retry = "service-shed"
	// NoRetryNoOtherTarget says that every target has been tried.
	NoRetryNoOtherTarget Retry = "no-other-target"
	// NoRetryBodySpent says that the body can't be sent again.
	NoRetryBodySpent Retry = "body-spent"
	// NoRetryFinal says that another attempt would fail in the same way.
	NoRetryFinal Retry = "final"
)

// Retries returns all reasons of retries made and not made.
func Retries() []Retry {
	return []Retry{
		RetryNotRun, RetryIdempotent, RetryPeerDown, RetryShedOnce,
		NoRetryCredit, NoRetryBudget, NoRetryDeadline, NoRetryUncertain,
		NoRetryServiceShed, NoRetryNoOtherTarget, NoRetryBodySpent, NoRetryFinal,
	}
}
