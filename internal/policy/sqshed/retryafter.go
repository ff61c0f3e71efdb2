package sqshed

import (
	"math/rand/v2"
	"time"
)

const (
	// maxWaitFraction is the fraction of the caller's remaining time that it is
	// expected to wait before it retries.
	maxWaitFraction = 1.0 / 3
	// minWaitFraction is the fraction of the longest wait at which retries
	// begin. They are spread from there on, since retries that all arrive at
	// once would be a new surge.
	minWaitFraction = 0.3
)

// RetryAfter returns the retry-after of a refused request, drawn at random so that
// retries are spread. The longest wait still leaves time for an answer within
// latencyGoal, the latency that the service aims at. If that can't be met, only
// the caller's patience limits the wait. remaining is the time for which the
// caller still waits for an answer, typicalLatency the typical latency of the
// service.
func RetryAfter(rng *rand.Rand, remaining, latencyGoal, typicalLatency time.Duration) time.Duration {
	maxWait := time.Duration(maxWaitFraction * float64(remaining))
	if slack := latencyGoal - typicalLatency; slack > 0 {
		maxWait = min(maxWait, slack)
	}
	fraction := minWaitFraction + (1-minWaitFraction)*rng.Float64()
	return time.Duration(fraction * float64(maxWait))
}
