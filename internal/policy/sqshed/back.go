package sqshed

import (
	"math/rand/v2"
	"time"
)

const (
	// patiencePart is the part of the time left that callers are ready to wait
	// before they come back.
	patiencePart = 1.0 / 3
	// soonestPart is the part of the longest wait from which returns begin: all
	// at once would be a new surge.
	soonestPart = 0.3
)

// Back returns when a refused caller should come back. The waits are spread up
// to the last moment at which an answer could still come within the latency that
// is aimed at, or, failing that, before the caller's patience ends. left is the
// time for which the caller goes on waiting, usual the service's usual time.
func Back(rng *rand.Rand, left, latency, usual time.Duration) time.Duration {
	longest := time.Duration(patiencePart * float64(left))
	if good := latency - usual; good > 0 {
		longest = min(longest, good)
	}
	part := soonestPart + (1-soonestPart)*rng.Float64()
	return time.Duration(part * float64(longest))
}
