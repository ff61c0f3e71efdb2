// Package sqlimit enforces the rate and burst of a workspace's plan across data
// centres. Each data centre holds a share of the plan as a token bucket. A loan moves
// part of a share to another data centre for a limited term: its rate, its burst and
// the tokens in it.
//
// Invariant: in every time window, admitted <= burst + rate * window, summed over all
// data centres. At any instant each piece of rate and burst is in use at one ledger
// at most, no ledger holds more tokens than its burst, and tokens are moved or lost
// but never created. So at the start of a window all ledgers together hold at most
// the burst, and within it they gain at most rate * window.
package sqlimit

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// Capacity is the refill rate and the size of a token bucket.
type Capacity struct {
	// Rate is in requests per second.
	Rate squnit.Rate
	// Burst is in requests.
	Burst squnit.Tokens
}

// Plus returns the sum of c and d.
func (c Capacity) Plus(d Capacity) Capacity {
	return Capacity{Rate: c.Rate + d.Rate, Burst: c.Burst + d.Burst}
}

// Minus returns c reduced by d, with neither value below zero.
func (c Capacity) Minus(d Capacity) Capacity {
	return Capacity{Rate: max(0, c.Rate-d.Rate), Burst: max(0, c.Burst-d.Burst)}
}

// Times returns c scaled by f.
func (c Capacity) Times(f float64) Capacity {
	return Capacity{Rate: c.Rate * squnit.Rate(f), Burst: c.Burst * squnit.Tokens(f)}
}

// Min returns the smaller rate and the smaller burst of c and d.
func (c Capacity) Min(d Capacity) Capacity {
	return Capacity{Rate: min(c.Rate, d.Rate), Burst: min(c.Burst, d.Burst)}
}

// epsilon, in tokens, absorbs the rounding errors of adding fractions.
const epsilon = 1e-9

// Bucket is a token bucket whose capacity may change over time.
type Bucket struct {
	Capacity Capacity
	Tokens   squnit.Tokens
	// RefilledAt is the time up to which the bucket has been refilled.
	RefilledAt time.Time
}

// Advance refills the bucket up to now. A now before RefilledAt adds nothing.
func (b *Bucket) Advance(now time.Time) {
	if elapsed := now.Sub(b.RefilledAt); elapsed > 0 {
		b.Tokens += squnit.Tokens(float64(b.Capacity.Rate) * elapsed.Seconds())
		b.RefilledAt = now
	}
	b.Tokens = min(b.Tokens, b.Capacity.Burst)
}

// Resize changes the capacity as of RefilledAt. Tokens that no longer fit are lost.
func (b *Bucket) Resize(c Capacity) {
	b.Capacity = c
	b.Tokens = min(b.Tokens, c.Burst)
}

// Take spends n tokens if the bucket holds them.
func (b *Bucket) Take(n squnit.Tokens) bool {
	if b.Tokens+epsilon < n {
		return false
	}
	b.Tokens = max(0, b.Tokens-n)
	return true
}

// TimeUntil returns the time, counted from RefilledAt, until the bucket holds n tokens,
// and false if it never will.
func (b *Bucket) TimeUntil(n squnit.Tokens) (time.Duration, bool) {
	if b.Tokens+epsilon >= n {
		return 0, true
	}
	if b.Capacity.Rate <= 0 || b.Capacity.Burst+epsilon < n {
		return 0, false
	}
	return time.Duration(float64(n-b.Tokens) / float64(b.Capacity.Rate) * float64(time.Second)), true
}
