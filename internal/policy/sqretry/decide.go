package sqretry

import (
	"math/rand/v2"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	// firstBackoff is the mean pause before the first retry after a failure. The mean
	// doubles with each further retry, up to maxBackoff.
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 250 * time.Millisecond
	// latencyMargin is how many times the service's usual latency must be left until
	// the deadline for a retry.
	latencyMargin = 1.0
)

// Attempt describes an attempt that did not succeed, and what is left for a retry.
type Attempt struct {
	NonIdempotent bool
	// Run says whether the target has run the attempt.
	Run squnit.RunState
	// Reason is the reason of the refusal, NoReason if the target itself failed.
	Reason sqreason.Refusal
	// AttemptsMade is the number of attempts made so far, at least 1. ShedAttempts is
	// how many of them were refused for overload.
	AttemptsMade, ShedAttempts int
	// MaxAttempts is the maximum number of attempts; with 0 only the credit limits
	// them.
	MaxAttempts int
	// TimeLeft is the time until the deadline, MeanLatency the usual latency of the
	// service.
	TimeLeft, MeanLatency time.Duration
	// Credit is the remaining credit of the request; BudgetAllows is set if the
	// retry budget allows a retry. A retry takes one of each, but after an attempt
	// that put no load on the service the budget is not checked.
	Credit       squnit.Credit
	BudgetAllows bool
	// ServiceShedding is set if the service as a whole sheds calls like this.
	ServiceShedding bool
	// OtherTarget is set if there is a target that was not tried yet.
	OtherTarget bool
	// NestedCallFailed is set if the target's answer is a failure and one of its own
	// nested calls had failed for good. That call was already retried where it made
	// sense; retrying all the calls above it would only multiply the load.
	NestedCallFailed bool
	// BodySpent is set if the request body can't be sent again.
	BodySpent bool
}

// Verdict says whether to retry, and how.
type Verdict struct {
	Retry  bool
	Reason sqreason.Retry
	// OtherTargetOnly excludes the targets that were already tried.
	OtherTargetOnly bool
	Backoff         time.Duration
	// CostsNoCredit says that the retry costs no credit.
	CostsNoCredit bool
}

// Decide decides whether to retry an attempt. A non-idempotent attempt is retried
// only if it is known not to have run. The caller takes credit and budget if the
// verdict is to retry.
func Decide(rng *rand.Rand, a Attempt) Verdict {
	if isFinal(a.Reason) || a.NestedCallFailed {
		return noRetry(sqreason.NoRetryFinal)
	}
	shed := a.Reason.Overload()
	switch {
	case a.MaxAttempts > 0 && a.AttemptsMade >= a.MaxAttempts:
		return noRetry(sqreason.NoRetryCredit)
	case a.NonIdempotent && a.Run != squnit.RunNot:
		return noRetry(sqreason.NoRetryUncertain)
	case a.BodySpent:
		return noRetry(sqreason.NoRetryBodySpent)
	case shed && (a.ServiceShedding || a.ShedAttempts > 1):
		return noRetry(sqreason.NoRetryServiceShed)
	case !a.OtherTarget && a.Run == squnit.RunNot && a.Reason != sqreason.TargetRefused:
		return noRetry(sqreason.NoRetryNoOtherTarget)
	}
	wait := backoff(rng, a)
	if a.Reason == sqreason.TargetRefused {
		return decideRefused(a, wait)
	}
	switch {
	case a.TimeLeft <= wait+time.Duration(latencyMargin*float64(a.MeanLatency)):
		return noRetry(sqreason.NoRetryDeadline)
	case a.Credit <= 0:
		return noRetry(sqreason.NoRetryCredit)
	case !a.BudgetAllows && !addsNoLoad(a):
		return noRetry(sqreason.NoRetryBudget)
	}
	return Verdict{Retry: true, Reason: retryReason(a), OtherTargetOnly: a.OtherTarget, Backoff: wait}
}

// MinTimeForRetry returns the time that must be left until the deadline after a first
// attempt that may have run, for Decide to allow a second.
func MinTimeForRetry(usual time.Duration) time.Duration {
	const longestBackoff = firstBackoff * 3 / 2
	return longestBackoff + time.Duration(latencyMargin*float64(usual))
}

// decideRefused decides after a target refused a call although it had a free slot for
// it. The call has not run, so a retry costs no credit and only the budget limits it.
// Targets not tried yet are preferred, but the same target may accept the call the
// next time.
func decideRefused(a Attempt, wait time.Duration) Verdict {
	switch {
	case a.TimeLeft <= wait+time.Duration(latencyMargin*float64(a.MeanLatency)):
		return noRetry(sqreason.NoRetryDeadline)
	case !a.BudgetAllows:
		return noRetry(sqreason.NoRetryBudget)
	}
	return Verdict{Retry: true, Reason: sqreason.RetryNotRun, OtherTargetOnly: a.OtherTarget, CostsNoCredit: true}
}

// isFinal reports whether any other target would refuse the request for the same
// reason.
func isFinal(r sqreason.Refusal) bool {
	switch r {
	case sqreason.CallerGone, sqreason.DeadlineExceeded, sqreason.CallUnknown, sqreason.RouteNotAllowed,
		sqreason.BodyTooLarge, sqreason.HeaderTooLarge, sqreason.DepthExceeded, sqreason.BadRequest,
		sqreason.OperationRunning, sqreason.OperationUnknown, sqreason.OperationExpired,
		sqreason.OperationMismatch, sqreason.ShedDeeper, sqreason.KeyUnknown, sqreason.KeyMissing,
		sqreason.OverRate, sqreason.LinkBudget, sqreason.ServiceUnknown, sqreason.ListsStale:
		return true
	}
	return false
}

// addsNoLoad reports whether the attempt put no load on the service, so that a retry
// does not add to it.
func addsNoLoad(a Attempt) bool {
	return a.Run == squnit.RunNot && a.Reason.Unavailable()
}

// retryReason returns the reason to report for a retry.
func retryReason(a Attempt) sqreason.Retry {
	switch {
	case a.Reason.Overload():
		return sqreason.RetryShedOnce
	case a.Reason == sqreason.PeerUnreachable || a.Reason == sqreason.TargetUnreachable:
		return sqreason.RetryPeerDown
	case a.Run == squnit.RunNot:
		return sqreason.RetryNotRun
	default:
		return sqreason.RetryIdempotent
	}
}

// backoff returns no pause after a first attempt that has not run, and otherwise a
// random one whose mean doubles with each attempt.
func backoff(rng *rand.Rand, a Attempt) time.Duration {
	if a.Run == squnit.RunNot && a.AttemptsMade <= 1 {
		return 0
	}
	mean := min(maxBackoff, firstBackoff<<min(max(a.AttemptsMade-1, 0), 10))
	return time.Duration((0.5 + rng.Float64()) * float64(mean))
}

func noRetry(r sqreason.Retry) Verdict { return Verdict{Reason: r} }
