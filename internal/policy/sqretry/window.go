package sqretry

import (
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	// numBuckets is the number of buckets that make up a sliding window.
	numBuckets = 20
	// minElapsedBuckets is the shortest time, in buckets, from which demand is
	// extrapolated to a whole window: over less than that the extrapolation would be
	// far too high.
	minElapsedBuckets = 1
)

// Bound limits the extra attempts, those beyond the first, at one service. It applies
// to the whole fleet and to every time span of length Window.
type Bound struct {
	// Within a window, extra attempts may be at most Ratio times the requests for the
	// service, plus Slack.
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// Window enforces one daemon's share of a Bound over a sliding window. Extra attempts
// that more important requests wanted in the last window are reserved for them: first
// come, first served would give most attempts to the many requests of low importance.
// The zero Window is ready to use. A zero Bound allows nothing; the Bound may change
// from call to call. Its methods are safe for concurrent use and do not block.
type Window struct {
	mu            sync.Mutex
	requests      [2 * numBuckets]int
	extraAttempts [numBuckets]countsByImportance
	// denied are the extra attempts that were wanted but not allowed.
	denied [numBuckets]countsByImportance
	// newest is the number of the newest bucket since origin. Both use the monotonic
	// clock, since a jump of the wall clock must not empty the window.
	newest int64
	origin time.Time
	// newestElapsed is the fraction of the newest bucket that has passed.
	newestElapsed float64
}

// countsByImportance counts attempts by the importance of their requests.
type countsByImportance [squnit.ImportanceLevels]int

func (l *countsByImportance) add(i squnit.Importance) { l[min(int(i), len(l)-1)]++ }

// AddRequest counts a request for the service, whatever its outcome.
func (w *Window) AddRequest(now time.Time, b Bound) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now, b)
	w.requests[w.newest%(2*numBuckets)]++
}

// Allows reports whether one more extra attempt of a request of importance i is within
// the daemon's share of the bound. Each of the daemons has an equal share of the
// slack.
func (w *Window) Allows(now time.Time, b Bound, daemons int, i squnit.Importance) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.withinBound(now, b, daemons, i)
}

func (w *Window) withinBound(now time.Time, b Bound, daemons int, i squnit.Importance) bool {
	w.slide(now, b)
	committed := 0
	for level := range squnit.ImportanceLevels {
		made, wanted := w.madeAndWanted(level)
		if level > int(i) {
			made = max(made, wanted)
		}
		committed += made
	}
	return float64(committed)+1 <= b.Ratio*float64(w.baseRequests())+b.Slack/float64(max(1, daemons))
}

// madeAndWanted returns the number of extra attempts made in the window at an
// importance level, and the number that the level would want in a whole window,
// extrapolated from the rate since its first attempt in the window. Without
// extrapolation, half of a window would pass after calls begin to fail before enough
// demand was counted to reserve for it.
func (w *Window) madeAndWanted(level int) (made, wanted int) {
	oldest := -1
	for n := range int64(numBuckets) {
		index := (w.newest + numBuckets - n) % numBuckets
		extraAttempts, denied := w.extraAttempts[index][level], w.denied[index][level]
		made += extraAttempts
		wanted += extraAttempts + denied
		if extraAttempts+denied > 0 {
			oldest = int(n)
		}
	}
	if oldest < 0 {
		return 0, 0
	}
	return made, int(float64(wanted) * numBuckets / max(float64(oldest)+w.newestElapsed, minElapsedBuckets))
}

// Take counts one more extra attempt if it is within the daemon's share, and reports
// whether it is.
func (w *Window) Take(now time.Time, b Bound, daemons int, i squnit.Importance) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.withinBound(now, b, daemons, i) {
		return false
	}
	w.extraAttempts[w.slide(now, b)].add(i)
	return true
}

// AddDenied counts an extra attempt that was wanted but that the bound did not allow.
func (w *Window) AddDenied(now time.Time, b Bound, i squnit.Importance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.denied[w.slide(now, b)].add(i)
}

// AddExtraAttempt counts an extra attempt that Take did not decide on: a nested call
// made by a retried run of its caller.
func (w *Window) AddExtraAttempt(now time.Time, b Bound, i squnit.Importance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.extraAttempts[w.slide(now, b)].add(i)
}

// slide clears the buckets that have left the window and returns the index of the
// newest bucket.
func (w *Window) slide(now time.Time, b Bound) int {
	width := max(int64(b.Window)/numBuckets, 1)
	if w.origin.IsZero() {
		w.origin = now
	}
	newest := max(0, int64(now.Sub(w.origin))) / width
	for n := min(newest-w.newest, 2*numBuckets); n > 0; n-- {
		i := newest - n + 1
		w.requests[i%(2*numBuckets)] = 0
		w.extraAttempts[i%numBuckets], w.denied[i%numBuckets] = countsByImportance{}, countsByImportance{}
	}
	w.newest = max(w.newest, newest)
	w.newestElapsed = float64(int64(now.Sub(w.origin))%width) / float64(width)
	return int(w.newest % numBuckets)
}

// baseRequests returns the number of requests to which the ratio applies: those of
// the current window or of the previous one, whichever are fewer. If callers move to
// another daemon, the daemon that they left has already made extra attempts for their
// requests when the new one begins to count them.
func (w *Window) baseRequests() int {
	current, previous := 0, 0
	for n := range int64(2 * numBuckets) {
		i := w.requests[(w.newest+2*numBuckets-n)%(2*numBuckets)]
		if n < numBuckets {
			current += i
		} else {
			previous += i
		}
	}
	knownBuckets := w.newest + 1 - numBuckets
	switch {
	case knownBuckets <= 0:
		return current
	case knownBuckets < numBuckets:
		previous = previous * numBuckets / int(knownBuckets)
	}
	return min(current, previous)
}
