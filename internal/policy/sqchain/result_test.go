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
	bucket       = 100 * time.Millisecond
	steadyFrom   = 2 * time.Second
	recoverySpan = 5
	recoveryPart = 0.95
	runFor       = 26 * time.Second
	// lastCounted leaves the last requests the time to end.
	lastCounted = 22 * time.Second
)

// tally counts requests by the time of their first send.
type tally struct{ sent, good [int(runFor/bucket) + 1]int }

func (t *tally) part(from, to time.Duration) float64 {
	sent, good := 0, 0
	for i := from / bucket; i < to/bucket; i++ {
		sent += t.sent[i]
		good += t.good[i]
	}
	return float64(good) / float64(max(1, sent))
}

// lost is the number of requests that did not succeed.
func (t *tally) lost(from, to time.Duration) int {
	lost := 0
	for i := from / bucket; i < to/bucket; i++ {
		lost += t.sent[i] - t.good[i]
	}
	return lost
}

// figures are what one run has measured:
//   - goodput: whole requests while the cause lasts, as part of the capacity;
//   - recovery: seconds from the end of the cause until the part served is
//     0.95 of that before, and stays so;
//   - worst: the part served of the worst workspace but the surging one;
//   - critical, low, before: the part served of those requests, and of all
//     before the cause; criticalLost: the number of critical ones that failed;
//   - wasted: the part of the targets' work for requests that failed;
//   - load: calls offered to the deepest service for each request admitted;
//   - extra: the greatest number of extra attempts for one request.
type figures map[string]float64

// table is the median and the range of each figure.
func table(runs []figures) string {
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

// counters are totals up to a time.
type counters struct {
	work, useful time.Duration
	offered      [chainDepth]int
	admitted     int
}

type result struct {
	counters
	all          tally
	byWorkspace  map[sqid.WorkspaceID]*tally
	byImportance [squnit.ImportanceLevels]tally
	// done counts good requests by the time of their answer.
	done    tally
	extra   int
	refused map[string]int
}

func newResult() *result {
	return &result{refused: make(map[string]int), byWorkspace: make(map[sqid.WorkspaceID]*tally)}
}

func (r *result) tallies(name sqid.WorkspaceID, i squnit.Importance) []*tally {
	w := r.byWorkspace[name]
	if w == nil {
		w = &tally{}
		r.byWorkspace[name] = w
	}
	return []*tally{&r.all, w, &r.byImportance[i]}
}

func (r *result) sent(at time.Duration, w sqid.WorkspaceID, i squnit.Importance) {
	for _, t := range r.tallies(w, i) {
		t.sent[min(int(at/bucket), len(t.sent)-1)]++
	}
}

// overPlan takes back a request that was over its plan from those of its
// importance: it has no claim to be served.
func (r *result) overPlan(first time.Duration, i squnit.Importance) {
	r.byImportance[i].sent[min(int(first/bucket), len(r.all.sent)-1)]--
}

func (r *result) count(at time.Duration, q *request, ok bool) {
	if !ok {
		return
	}
	for _, t := range r.tallies(q.class.Workspace, q.level) {
		t.good[min(int(q.first/bucket), len(t.good)-1)]++
	}
	r.done.good[min(int(at/bucket), len(r.done.good)-1)]++
}

// recovery is the time from end until the part served is as before again, and
// stays so. The part served is taken over the next half second.
func (r *result) recovery(start, end time.Duration) time.Duration {
	before := recoveryPart * r.all.part(steadyFrom, start-patience)
	at := lastCounted
	for at > end && r.all.part(at-bucket, at-bucket+recoverySpan*bucket) >= before {
		at -= bucket
	}
	return at - end
}

// worst is the smallest part served of a workspace other than the surging one.
func (r *result) worst(from, to time.Duration, surging sqid.WorkspaceID) float64 {
	low := 1.0
	for w, t := range r.byWorkspace {
		if w != surging {
			low = min(low, t.part(from, to))
		}
	}
	return low
}

// goodput is the good requests a second in a span.
func (r *result) goodput(from, to time.Duration) float64 {
	good := 0
	for i := from / bucket; i < to/bucket; i++ {
		good += r.done.good[i]
	}
	return float64(good) / (to - from).Seconds()
}
