package sqchain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	// bucketWidth is the resolution of tallies.
	bucketWidth = 100 * time.Millisecond
	// steadyFrom is when the start-up of a run is over.
	steadyFrom = 2 * time.Second
	// recoveryBuckets is the number of buckets over which recoveryTime takes the
	// success rate, recoveredFraction the fraction of the earlier rate that counts as
	// recovered.
	recoveryBuckets   = 5
	recoveredFraction = 0.95
	runDuration       = 26 * time.Second
	// lastCounted is the end of the span that is evaluated; later requests may not
	// have ended by runDuration.
	lastCounted = 22 * time.Second
)

// tally counts requests, all and succeeded, by the time of their first send.
type tally struct {
	sent, succeeded [int(runDuration/bucketWidth) + 1]int
}

// successRate returns the fraction of the requests sent between from and to that
// succeeded.
func (t *tally) successRate(from, to time.Duration) float64 {
	sent, succeeded := 0, 0
	for i := from / bucketWidth; i < to/bucketWidth; i++ {
		sent += t.sent[i]
		succeeded += t.succeeded[i]
	}
	return float64(succeeded) / float64(max(1, sent))
}

// failed returns the number of requests sent between from and to that did not succeed.
func (t *tally) failed(from, to time.Duration) int {
	failed := 0
	for i := from / bucketWidth; i < to/bucketWidth; i++ {
		failed += t.sent[i] - t.succeeded[i]
	}
	return failed
}

// figures are the measurements of one run. "Cause" is the cause of the overload, such as
// a surge:
//   - goodput: the rate of successful requests while the cause lasts, as a fraction of
//     the capacity;
//   - recovery: seconds from the end of the cause until the success rate is at least
//     0.95 of that before it, and stays so;
//   - worst: the lowest success rate of a workspace while the cause lasts, other than
//     the surging one;
//   - critical, low: the success rate of requests of that importance while the cause
//     lasts;
//   - criticalLost: the number of critical requests that failed meanwhile;
//   - before: the success rate of all requests before the cause;
//   - wasted: the fraction of the targets' work that was for requests that failed;
//   - load: calls offered to the deepest service per request admitted;
//   - extra: the greatest number of retries for one request.
type figures map[string]float64

// formatFigures returns the median and the range of each figure over the runs.
func formatFigures(runs []figures) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(runs[0])) {
		var v []float64
		for i := range runs {
			v = append(v, runs[i][name])
		}
		slices.Sort(v)
		fmt.Fprintf(&b, " %s %.3f [%.3f %.3f]", name, v[len(v)/2], v[0], v[len(v)-1])
	}
	return b.String()
}

// counters are totals since the start of a run.
type counters struct {
	// work is all work of the targets, usefulWork that for requests that succeeded.
	work, usefulWork time.Duration
	offered          [chainDepth]int
	admitted         int
}

// result is what a run has counted.
type result struct {
	counters
	all          tally
	byWorkspace  map[sqid.WorkspaceID]*tally
	byImportance [squnit.ImportanceLevels]tally
	// succeededByEnd counts successful requests by the time of their answer.
	succeededByEnd   tally
	maxExtraAttempts int
	// refused counts refusals by depth, reason, importance and whether the workspace is
	// the surging one.
	refused map[string]int
}

func newResult() *result {
	return &result{refused: make(map[string]int), byWorkspace: make(map[sqid.WorkspaceID]*tally)}
}

// tallies returns the tallies that count a request of a workspace and an importance.
func (r *result) tallies(name sqid.WorkspaceID, i squnit.Importance) []*tally {
	w := r.byWorkspace[name]
	if w == nil {
		w = &tally{}
		r.byWorkspace[name] = w
	}
	return []*tally{&r.all, w, &r.byImportance[i]}
}

func (r *result) countSent(at time.Duration, w sqid.WorkspaceID, i squnit.Importance) {
	for _, t := range r.tallies(w, i) {
		t.sent[min(int(at/bucketWidth), len(t.sent)-1)]++
	}
}

// discountOverPlan removes a request that exceeded the plan from the count of those of
// its importance, since it isn't entitled to be served.
func (r *result) discountOverPlan(first time.Duration, i squnit.Importance) {
	r.byImportance[i].sent[min(int(first/bucketWidth), len(r.all.sent)-1)]--
}

func (r *result) countEnded(at time.Duration, q *request, ok bool) {
	if !ok {
		return
	}
	for _, t := range r.tallies(q.class.Workspace, q.importance) {
		t.succeeded[min(int(q.firstSent/bucketWidth), len(t.succeeded)-1)]++
	}
	r.succeededByEnd.succeeded[min(int(at/bucketWidth), len(r.succeededByEnd.succeeded)-1)]++
}

// recoveryTime returns the time from end, the end of the cause, until the success rate
// is almost as high as before start and stays so. The rate is that of the half second
// from each time on.
func (r *result) recoveryTime(start, end time.Duration) time.Duration {
	before := recoveredFraction * r.all.successRate(steadyFrom, start-clientTimeout)
	at := lastCounted
	for at > end && r.all.successRate(at-bucketWidth, at-bucketWidth+recoveryBuckets*bucketWidth) >= before {
		at -= bucketWidth
	}
	return at - end
}

// worstSuccessRate returns the lowest success rate of a workspace other than the surging
// one.
func (r *result) worstSuccessRate(from, to time.Duration, surging sqid.WorkspaceID) float64 {
	low := 1.0
	for w, t := range r.byWorkspace {
		if w != surging {
			low = min(low, t.successRate(from, to))
		}
	}
	return low
}

// goodput returns the successful requests a second between from and to, by the time of
// their answers.
func (r *result) goodput(from, to time.Duration) float64 {
	succeeded := 0
	for i := from / bucketWidth; i < to/bucketWidth; i++ {
		succeeded += r.succeededByEnd.succeeded[i]
	}
	return float64(succeeded) / (to - from).Seconds()
}
