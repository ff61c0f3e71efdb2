package sqverify

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqsimtarget"
)

// Admission is the interval in which a request must have been admitted, from
// its send to the start of its first run, in Unix nanoseconds.
type Admission struct {
	From int64
	To   int64
}

// Admissions returns an entry for each request of a workspace that was certainly
// admitted, since a target ran it. Of the sends of one operation only those that
// ran count.
func (e *Evidence) Admissions(workspace sqid.WorkspaceID) []Admission {
	firstRuns := make(map[string]int64)
	e.eachRun(func(_ sqid.ServiceID, r *sqsimtarget.CallRecord) {
		if first, ok := firstRuns[r.RequestID]; !ok || r.Started < first {
			firstRuns[r.RequestID] = r.Started
		}
	})
	var out []Admission
	e.eachAttempt(func(s *sqload.Sample, a *sqload.Attempt) {
		if firstRun, ok := firstRuns[a.RequestID]; ok && s.Workspace == workspace {
			out = append(out, Admission{From: a.Sent, To: firstRun})
		}
	})
	return out
}

// inactivePenalty is subtracted from the value of a window's end, to keep it out
// of the maximum until an admission that the window contains ends there.
const inactivePenalty = 1e9

// WorstExcess returns the largest number of requests by which the admissions in
// any time window exceed burst + rate * window. A value of at most 0 means that
// the limit was kept. An admission counts in a window only if it lies entirely
// within it.
//
// It sweeps the start of the window from the latest admission to the earliest.
// For each end, a segment tree holds the admissions in the window less
// rate * end; its maximum gives the worst window for that start.
func WorstExcess(admissions []Admission, rate squnit.Rate, burst squnit.Tokens) float64 {
	if len(admissions) == 0 {
		return 0
	}
	byEnd := slices.Clone(admissions)
	slices.SortFunc(byEnd, func(a, b Admission) int { return cmp.Compare(a.To, b.To) })
	ranks := make(map[Admission][]int)
	origin := byEnd[0].To
	tree := newMaxTree(len(byEnd))
	for i, a := range byEnd {
		ranks[a] = append(ranks[a], i)
		tree.add(i, i, -inactivePenalty-float64(rate)*time.Duration(a.To-origin).Seconds())
	}
	byStart := slices.Clone(admissions)
	slices.SortFunc(byStart, func(a, b Admission) int { return cmp.Compare(b.From, a.From) })
	worst := math.Inf(-1)
	for i, a := range byStart {
		rank := ranks[a][0]
		ranks[a] = ranks[a][1:]
		tree.add(rank, rank, inactivePenalty)
		tree.add(rank, len(byEnd)-1, 1)
		if i+1 < len(byStart) && byStart[i+1].From == a.From {
			continue
		}
		worst = max(worst, tree.max()+float64(rate)*time.Duration(a.From-origin).Seconds()-float64(burst))
	}
	return worst
}

// maxTree is a segment tree over n numbers, all 0 at first, with lazy addition
// to ranges and the maximum of all numbers.
type maxTree struct {
	n     int
	value []float64
	lazy  []float64
}

func newMaxTree(n int) *maxTree {
	const nodesPerLeaf = 4
	return &maxTree{n: n, value: make([]float64, nodesPerLeaf*n), lazy: make([]float64, nodesPerLeaf*n)}
}

// add adds v to the numbers with indexes from to to, inclusive.
func (t *maxTree) add(from, to int, v float64) {
	t.addTo(1, 0, t.n-1, from, to, v)
}

func (t *maxTree) addTo(node, low, high, from, to int, v float64) {
	if to < low || high < from {
		return
	}
	if from <= low && high <= to {
		t.value[node] += v
		t.lazy[node] += v
		return
	}
	middle := (low + high) / 2
	t.addTo(2*node, low, middle, from, to, v)
	t.addTo(2*node+1, middle+1, high, from, to, v)
	t.value[node] = max(t.value[2*node], t.value[2*node+1]) + t.lazy[node]
}

func (t *maxTree) max() float64 {
	return t.value[1]
}
