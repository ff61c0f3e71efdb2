// Package sqreason is the fixed vocabulary of refusals and retries. The same
// words stand in answers to callers, in logs and in the labels of counters.
package sqreason

import "net/http"

// Refusal is the reason why the system refused a request.
type Refusal string

// The reasons of refusals.
const (
	KeyMissing         Refusal = "key-missing"
	KeyUnknown         Refusal = "key-unknown"
	CallUnknown        Refusal = "call-unknown"
	ListsStale         Refusal = "lists-stale"
	RouteNotAllowed    Refusal = "route-not-allowed"
	ServiceUnknown     Refusal = "service-unknown"
	BadRequest         Refusal = "bad-request"
	OverRate           Refusal = "over-rate"
	LedgerUnavailable  Refusal = "ledger-unavailable"
	ShedQueueFull      Refusal = "shed-queue-full"
	ShedImportance     Refusal = "shed-importance"
	ShedFairness       Refusal = "shed-fairness"
	ShedDeadline       Refusal = "shed-deadline"
	ShedDeeper         Refusal = "shed-deeper"
	ShedByTarget       Refusal = "shed-by-target"
	TargetUnknown      Refusal = "target-unknown"
	TargetNone         Refusal = "target-none"
	TargetDraining     Refusal = "target-draining"
	TargetUnreachable  Refusal = "target-unreachable"
	TargetBroken       Refusal = "target-broken"
	TargetFailed       Refusal = "target-failed"
	TargetRefused      Refusal = "target-refused"
	TargetSilent       Refusal = "target-silent"
	PeerUnreachable    Refusal = "peer-unreachable"
	PeerBroken         Refusal = "peer-broken"
	LinkBudget         Refusal = "link-budget"
	DeadlineExceeded   Refusal = "deadline-exceeded"
	CallerGone         Refusal = "caller-gone"
	BodyTooLarge       Refusal = "body-too-large"
	HeaderTooLarge     Refusal = "header-too-large"
	OperationRunning   Refusal = "operation-running"
	OperationUnknown   Refusal = "operation-unknown"
	OperationExpired   Refusal = "operation-expired"
	OperationMismatch  Refusal = "operation-mismatch"
	OperationBookFull  Refusal = "operation-book-full"
	OperationHomeAway  Refusal = "operation-home-away"
	Stopping           Refusal = "stopping"
	DepthExceeded      Refusal = "depth-exceeded"
	NoReason           Refusal = ""
	statusClientClosed         = 499
)

// refusals maps each reason to the HTTP status that a caller sees.
var refusals = map[Refusal]int{
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
	Stopping:          http.StatusServiceUnavailable,
	DepthExceeded:     http.StatusLoopDetected,
}

// Status returns the HTTP status of a refusal, 500 for one that is not of
// the vocabulary.
func (r Refusal) Status() int {
	if status, ok := refusals[r]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Overload reports whether the reason says that a target is full.
func (r Refusal) Overload() bool {
	switch r {
	case ShedQueueFull, ShedImportance, ShedFairness, ShedDeadline, ShedByTarget:
		return true
	}
	return false
}

// Passing reports whether the reason may be over in a moment, so that the
// caller can be told to come back.
func (r Refusal) Passing() bool {
	return r.Overload() || r.Gone() || r == ShedDeeper || r == TargetRefused || r == DeadlineExceeded || r == LinkBudget
}

// Gone reports whether the reason says that a target is leaving, or can't be
// reached; it tells nothing of its load.
func (r Refusal) Gone() bool {
	switch r {
	case TargetDraining, TargetNone, TargetUnreachable, PeerUnreachable, Stopping:
		return true
	}
	return false
}

// Refusals returns every reason of the vocabulary, in no order.
func Refusals() []Refusal {
	all := make([]Refusal, 0, len(refusals))
	for r := range refusals {
		all = append(all, r)
	}
	return all
}

// Retry is the reason why an attempt was repeated, or was not.
type Retry string

// The reasons of retries and of retries not made.
const (
	RetryNotRun         Retry = "not-run"
	RetryIdempotent     Retry = "idempotent"
	RetryPeerDown       Retry = "peer-down"
	RetryShedOnce       Retry = "shed-once"
	NoRetryCredit       Retry = "no-credit"
	NoRetryBudget       Retry = "no-budget"
	NoRetryDeadline     Retry = "no-time"
	NoRetryUncertain    Retry = "uncertain"
	NoRetryServiceShed  Retry = "service-shed"
	NoRetryNoOtherPlace Retry = "no-other-target"
	NoRetryBodySpent    Retry = "body-spent"
	NoRetryFinal        Retry = "final"
)

// Retries returns every reason of the vocabulary.
func Retries() []Retry {
	return []Retry{
		RetryNotRun, RetryIdempotent, RetryPeerDown, RetryShedOnce,
		NoRetryCredit, NoRetryBudget, NoRetryDeadline, NoRetryUncertain,
		NoRetryServiceShed, NoRetryNoOtherPlace, NoRetryBodySpent, NoRetryFinal,
	}
}
