package sqverify

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqtargetstand"
)

// Admission is the span in which a request must have been admitted: from its
// send to its first run. Times are in Unix nanoseconds.
type Admission struct {
	From int64
	To   int64
}

// Admissions returns the requests of a workspace that certainly were
// admitted. Of the sends of one operation only those that ran count.
func (e *Evidence) Admissions(workspace sqid.WorkspaceID) []Admission {
	started := make(map[string]int64)
	e.eachRun(func(_ sqid.ServiceID, r *sqtargetstand.Run) {
		if first, ok := started[r.RequestID]; !ok || r.Started < first {
			started[r.RequestID] = r.Started
		}
	})
	var out []Admission
	e.eachAttempt(func(s *sqload.Sample, a *sqload.Attempt) {
		if at, ok := started[a.RequestID]; ok && s.Workspace == workspace {
			out = append(out, Admission{From: a.Sent, To: at})
		}
	})
	return out
}

// inactive keeps a window's end out of the maximum until an admission that the
// window contains ends there.
const inactive = 1e9

// WorstExcess returns the largest number of requests by which the admissions
// of any window exceed burst + rate * window; at most 0 holds. An admission
// counts in a window if it lies wholly within.
func WorstExcess(all []Admission, rate squnit.Rate, burst squnit.Tokens) float64 {
	if len(all) == 0 {
		return 0
	}
	byEnd := slices.Clone(all)
	slices.SortFunc(byEnd, func(a, b Admission) int { return cmp.Compare(a.To, b.To) })
	rank := make(map[Admission][]int)
	origin := byEnd[0].To
	tree := newMaxTree(len(byEnd))
	for i, a := range byEnd {
		rank[a] = append(rank[a], i)
		tree.add(i, i, -inactive-float64(rate)*time.Duration(a.To-origin).Seconds())
	}
	byStart := slices.Clone(all)
	slices.SortFunc(byStart, func(a, b Admission) int { return cmp.Compare(b.From, a.From) })
	worst := math.Inf(-1)
	for i, a := range byStart {
		at := rank[a][0]
		rank[a] = rank[a][1:]
		tree.add(at, at, inactive)
		tree.add(at, len(byEnd)-1, 1)
		if i+1 < len(byStart) && byStart[i+1].From == a.From {
			continue
		}
		worst = max(worst, tree.max()+float64(rate)*time.Duration(a.From-origin).Seconds()-float64(burst))
	}
	return worst
}

// maxTree holds numbers, adds to ranges of them and knows the largest.
type maxTree struct {
	n     int
	value []float64
	lazy  []float64
}

func newMaxTree(n int) *maxTree {
	const nodesPerLeaf = 4
	return &maxTree{n: n, value: make([]float64, nodesPerLeaf*n), lazy: make([]float64, nodesPerLeaf*n)}
}

// add adds v to the numbers from index from to index to.
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
