package sqchain

import (
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
