package sqchain

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	capacity   = 2000.0
	normalLoad = 0.8
	causeFrom  = 5 * time.Second
	causeTo    = 15 * time.Second
	surging    = sqid.WorkspaceID("w1")
)

// experiment is a cause of overload between two times.
type experiment struct {
	title  string
	start  time.Duration
	end    time.Duration
	factor func(w sqid.WorkspaceID, at time.Duration) float64
	// alike has all requests of one importance.
	alike   bool
	resends int
	pause   time.Duration
	prepare func(s *sim, depth, i int, d *daemon)
	// capacity is the mean calls a second that could be served meanwhile.
	capacity float64
}

var weights = []squnit.Weight{4, 3, 1, 1, 1, 1, 0.5, 0.5}

func (e *experiment) clients() []*client {
	var sum squnit.Weight
	for _, w := range weights {
		sum += w
	}
	var all []*client
	for i, w := range weights {
		name := sqid.WorkspaceID(fmt.Sprint("w", i))
		rate := capacity * normalLoad * float64(w/sum)
		all = append(all, &client{name: name, weight: w, rate: func(at time.Duration) float64 {
			if e.factor != nil && at >= e.start && at < e.end {
				return rate * e.factor(name, at)
			}
			return rate
		}})
	}
	return all
}

func during(start, end time.Duration, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= start && at < end {
			return factor
		}
		return 1
	}
}

// deepest is the index of the service that is the bottleneck.
const deepest = chainDepth - 1

var experiments = []experiment{
	{
		title: "one tenant at 5 times its rate", alike: true, start: causeFrom, end: causeTo, capacity: capacity,
		factor: func(w sqid.WorkspaceID, _ time.Duration) float64 {
			if w == surging {
				return 5
			}
			return 1
		},
	},
	{
		title: "demand at 3 times capacity, hard retries", start: causeFrom, end: causeTo, capacity: capacity,
		resends: 4, pause: 50 * time.Millisecond,
		factor: func(sqid.WorkspaceID, time.Duration) float64 { return 3 / normalLoad },
	},
	{
		title: "deepest service 5 times slower", start: causeFrom, end: causeTo, capacity: capacity / 5,
		prepare: func(_ *sim, depth, _ int, d *daemon) {
			if depth == deepest {
				d.slow = during(causeFrom, causeTo, 5)
			}
		},
	},
	{
		title: "cold restart of half of the deepest service", start: causeFrom, end: causeFrom + downFor + coldFor,
		capacity: capacity / 2, prepare: restartHalf,
	},
	{
		title: "lying load endpoint and slots", start: causeFrom, end: causeTo,
		capacity: capacity * normalLoad, prepare: lie,
	},
}

const (
	downFor = 5 * time.Second
	coldFor = time.Second
	// coldFactor is how much slower a cold target is at first.
	coldFactor = 3
	spreadTime = 200 * time.Millisecond
)

// restartHalf stops half of the deepest service; it is back after downFor and
// warm after coldFor more.
func restartHalf(s *sim, depth, i int, d *daemon) {
	if depth != deepest || i%2 == 1 {
		return
	}
	back := causeFrom + downFor
	d.slow = func(at time.Duration) float64 {
		if at < back || at > back+coldFor {
			return 1
		}
		return coldFactor - (coldFactor-1)*float64(at-back)/float64(coldFor)
	}
	s.after(causeFrom, func() { s.stop(d) })
	s.after(causeFrom+spreadTime, func() { d.listed = false; s.list(depth) })
	s.after(back, func() { s.start(d) })
	s.after(back+spreadTime/4, func() { d.listed = true; s.list(depth) })
}

// lie has one target of the deepest service announce four times its slots, one
// half of them, and one whose load endpoint says idle lose most of its slots.
func lie(s *sim, depth, i int, d *daemon) {
	if depth != deepest {
		return
	}
	switch i {
	case 0:
		d.row.Slots *= 4
	case 1:
		d.row.Slots /= 2
	case 2:
		d.idle = true
		s.after(causeFrom, func() { d.real = 5 })
		s.after(causeTo, func() { d.real = slots[depth] })
	}
}

// figures are what one run has measured.
type figures struct {
	goodput, recovery, worst, critical, low, wasted, load, extra, before float64
}

func measure(p policy, e experiment, seed uint64) figures {
	s := newSim(config{p, e}, seed)
	var from, to counters
	s.after(e.start, func() { from = s.out.counters })
	s.after(e.end+time.Second, func() { to = s.out.counters })
	r := s.runUntil(runFor)
	return figures{
		goodput:  r.goodput(e.start, e.end) / e.capacity,
		recovery: r.recovery(e.start, e.end).Seconds(),
		worst:    r.worst(e.start, e.end, surging),
		critical: r.byImportance[squnit.ImportanceCritical].part(e.start, e.end),
		low:      r.byImportance[squnit.ImportanceLow].part(e.start, e.end),
		wasted:   1 - (to.useful-from.useful).Seconds()/(to.work-from.work).Seconds(),
		load:     float64(to.offered[deepest]-from.offered[deepest]) / float64(max(1, to.admitted-from.admitted)),
		extra:    float64(r.extra),
		before:   r.all.part(steadyFrom, e.start-patience),
	}
}

var seeds = []uint64{1, 2, 3}

// middle is the median of one figure over the seeds, with its range.
func middle(runs []figures, get func(*figures) float64) string {
	var v []float64
	for i := range runs {
		v = append(v, get(&runs[i]))
	}
	slices.Sort(v)
	return fmt.Sprintf("%.3f [%.3f %.3f]", v[len(v)/2], v[0], v[len(v)-1])
}

func TestExperiments(t *testing.T) {
	for _, e := range experiments {
		t.Run(e.title, func(t *testing.T) {
			t.Parallel()
			for _, p := range policies {
				if only := os.Getenv("POLICY"); only != "" && only != p.name {
					continue
				}
				runs := make([]figures, len(seeds))
				var wg sync.WaitGroup
				for i, seed := range seeds {
					wg.Go(func() { runs[i] = measure(p, e, seed) })
				}
				wg.Wait()
				t.Logf("%-12s goodput %s recovery %s worst %s critical %s low %s wasted %s load %s extra %s before %s", p.name,
					middle(runs, func(f *figures) float64 { return f.goodput }),
					middle(runs, func(f *figures) float64 { return f.recovery }),
					middle(runs, func(f *figures) float64 { return f.worst }),
					middle(runs, func(f *figures) float64 { return f.critical }),
					middle(runs, func(f *figures) float64 { return f.low }),
					middle(runs, func(f *figures) float64 { return f.wasted }),
					middle(runs, func(f *figures) float64 { return f.load }),
					middle(runs, func(f *figures) float64 { return f.extra }),
					middle(runs, func(f *figures) float64 { return f.before }))
			}
		})
	}
}
