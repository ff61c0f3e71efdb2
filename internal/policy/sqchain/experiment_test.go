package sqchain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	// capacity is in requests a second, that of the deepest service.
	capacity = 2000.0
	// normalLoad is the offered load outside surges, as a fraction of capacity.
	normalLoad = 0.8
	// planFactor is the ratio of the rate of a workspace's plan to the rate that it
	// sends outside surges. planBurst is the plan's burst, in seconds of its rate.
	planFactor       = 1.25
	planBurst        = 0.5
	overloadStart    = 5 * time.Second
	overloadEnd      = 15 * time.Second
	surgingWorkspace = sqid.WorkspaceID("w1")
)

// experiment is a cause of overload that lasts from start to end.
type experiment struct {
	title string
	start time.Duration
	end   time.Duration
	// factor multiplies the request rate of a workspace from start to end.
	factor func(w sqid.WorkspaceID, at time.Duration) float64
	// enforcePlans makes the entries refuse what exceeds a workspace's plan, under the
	// full policy.
	enforcePlans bool
	// sameImportance gives all requests the same importance.
	sameImportance bool
	// Clients send a failed request again up to maxResends times, after resendPause.
	maxResends  int
	resendPause time.Duration
	// setUp changes a daemon and schedules what happens to it, if not nil.
	setUp func(s *sim, depth, i int, d *daemon)
	// capacity is the mean of the requests a second that could be served from start
	// to end.
	capacity float64
}

// workspaceWeights are the weights of the workspaces w0, w1 and so on.
var workspaceWeights = []squnit.Weight{4, 3, 1, 1, 1, 1, 0.5, 0.5}

// clients returns a client for each workspace, at rates proportional to their weights.
func (e *experiment) clients() []*client {
	var sum squnit.Weight
	for _, w := range workspaceWeights {
		sum += w
	}
	var all []*client
	for i, w := range workspaceWeights {
		name := sqid.WorkspaceID(fmt.Sprint("w", i))
		rate := capacity * normalLoad * float64(w/sum)
		all = append(all, &client{name: name, weight: w, planRate: rate * planFactor, rate: func(at time.Duration) float64 {
			if e.factor != nil && at >= e.start && at < e.end {
				return rate * e.factor(name, at)
			}
			return rate
		}})
	}
	return all
}

// factorBetween returns a function of time that is factor from start to end, otherwise 1.
func factorBetween(start, end time.Duration, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= start && at < end {
			return factor
		}
		return 1
	}
}

// deepest is the depth of the service that is the bottleneck.
const deepest = chainDepth - 1

var experiments = []experiment{
	{
		title: "surge-of-one", sameImportance: true, start: overloadStart, end: overloadEnd, capacity: capacity,
		factor: func(w sqid.WorkspaceID, _ time.Duration) float64 {
			if w == surgingWorkspace {
				return 5
			}
			return 1
		},
	},
	{
		title: "surge-over-plan", start: overloadStart, end: overloadEnd, capacity: capacity, enforcePlans: true,
		factor: func(w sqid.WorkspaceID, _ time.Duration) float64 {
			if w == surgingWorkspace {
				return 5 * planFactor
			}
			return 1
		},
	},
	{
		title: "triple-demand", start: overloadStart, end: overloadEnd, capacity: capacity,
		maxResends: 4, resendPause: 50 * time.Millisecond,
		factor: func(sqid.WorkspaceID, time.Duration) float64 { return 3 / normalLoad },
	},
	{
		title: "slow-deepest", start: overloadStart, end: overloadEnd, capacity: capacity / 5,
		setUp: func(_ *sim, depth, _ int, d *daemon) {
			if depth == deepest {
				d.slowdown = factorBetween(overloadStart, overloadEnd, 5)
			}
		},
	},
	{
		title: "cold-restart", start: overloadStart, end: overloadStart + downFor + coldFor,
		capacity: capacity / 2, setUp: restartHalf,
	},
	{
		title: "lying-targets", start: overloadStart, end: overloadEnd,
		capacity: capacity * normalLoad, setUp: misreportSlots,
	},
}

const (
	downFor = 5 * time.Second
	coldFor = time.Second
	// coldFactor is the initial slowdown of a cold target.
	coldFactor = 3
	// propagationTime is the time until entries have removed a stopped target from
	// their tables. A restarted one is back in them after a quarter of it.
	propagationTime = 200 * time.Millisecond
)

// restartHalf stops every other target of the deepest service. They restart cold after
// downFor, and are warm coldFor later.
func restartHalf(s *sim, depth, i int, d *daemon) {
	if depth != deepest || i%2 == 1 {
		return
	}
	back := overloadStart + downFor
	d.slowdown = func(at time.Duration) float64 {
		if at < back || at > back+coldFor {
			return 1
		}
		return coldFactor - (coldFactor-1)*float64(at-back)/float64(coldFor)
	}
	s.after(overloadStart, func() { s.stopDaemon(d) })
	s.after(overloadStart+propagationTime, func() { d.listed = false; s.updateRows(depth) })
	s.after(back, func() { s.restartDaemon(d) })
	s.after(back+propagationTime/4, func() { d.listed = true; s.updateRows(depth) })
}

// misreportSlots makes three targets of the deepest service report wrongly: the first
// announces four times its slots, the second half of them, and the third loses half of
// its slots for a while although its load endpoint always reports no load.
func misreportSlots(s *sim, depth, i int, d *daemon) {
	if depth != deepest {
		return
	}
	switch i {
	case 0:
		d.row.Slots *= 4
	case 1:
		d.row.Slots /= 2
	case 2:
		d.reportsIdle = true
		s.after(overloadStart, func() { d.targetSlots = 5 })
		s.after(overloadEnd, func() { d.targetSlots = instanceSlots[depth] })
	}
}

// measure runs an experiment under a policy and returns its figures.
func measure(p policy, e experiment, seed uint64) figures {
	s := newSim(config{p, e}, seed)
	var from, to counters
	s.after(e.start, func() { from = s.result.counters })
	s.after(e.end+time.Second, func() { to = s.result.counters })
	s.runUntil(runDuration)
	r := s.result
	critical := &r.byImportance[squnit.ImportanceCritical]
	return figures{
		"goodput":      r.goodput(e.start, e.end) / e.capacity,
		"recovery":     r.recoveryTime(e.start, e.end).Seconds(),
		"worst":        r.worstSuccessRate(e.start, e.end, surgingWorkspace),
		"critical":     critical.successRate(e.start, e.end),
		"criticalLost": float64(critical.failed(e.start, e.end)),
		"low":          r.byImportance[squnit.ImportanceLow].successRate(e.start, e.end),
		"wasted":       1 - (to.usefulWork-from.usefulWork).Seconds()/(to.work-from.work).Seconds(),
		"load":         float64(to.offered[deepest]-from.offered[deepest]) / float64(max(1, to.admitted-from.admitted)),
		"extra":        float64(r.maxExtraAttempts),
		"before":       r.all.successRate(steadyFrom, e.start-clientTimeout),
	}
}

// seeds are the seeds of the random generators, one run each.
var seeds = []uint64{1, 2, 3}

// bound is one line of testdata/bounds.txtar.
type bound struct {
	policy, figure, compare string
	value                   float64
}

func readBounds(c *qt.C) map[string][]bound {
	archive, err := txtar.ParseFile("testdata/bounds.txtar")
	c.Assert(err, qt.IsNil)
	all := make(map[string][]bound)
	for _, f := range archive.Files {
		for line := range strings.Lines(string(f.Data)) {
			var b bound
			_, err := fmt.Sscan(line, &b.policy, &b.figure, &b.compare, &b.value)
			c.Assert(err, qt.IsNil, qt.Commentf("%s: %s", f.Name, line))
			all[f.Name] = append(all[f.Name], b)
		}
	}
	return all
}

func (b *bound) holds(v float64) bool {
	switch b.compare {
	case ">=":
		return v >= b.value
	case "<=":
		return v <= b.value
	case "<":
		return v < b.value
	default:
		return v > b.value
	}
}

// TestExperiments runs each experiment under every policy and checks the bounds in
// testdata/bounds.txtar: the full policy must hold them, and the baselines must break
// them, which shows that the experiment is hard enough.
func TestExperiments(t *testing.T) {
	bounds := readBounds(qt.New(t))
	for _, e := range experiments {
		t.Run(e.title, func(t *testing.T) {
			t.Parallel()
			qt.Assert(t, bounds[e.title], qt.Not(qt.HasLen), 0)
			for _, p := range policies {
				t.Run(p.name, func(t *testing.T) { runAndCheck(t, p, e, bounds[e.title]) })
			}
		})
	}
}

// runAndCheck runs an experiment under a policy with every seed, logs the figures and
// checks the bounds for that policy.
func runAndCheck(t *testing.T, p policy, e experiment, bounds []bound) {
	runs := make([]figures, len(seeds))
	for i, seed := range seeds {
		runs[i] = measure(p, e, seed)
	}
	t.Logf("%-6s%s", p.name, formatFigures(runs))
	for _, b := range bounds {
		if b.policy == p.name {
			t.Run(b.figure, func(t *testing.T) { checkBound(t, b, runs) })
		}
	}
}

// checkBound checks that a bound holds with every seed.
func checkBound(t *testing.T, b bound, runs []figures) {
	for i, r := range runs {
		qt.Check(t, b.holds(r[b.figure]), qt.IsTrue,
			qt.Commentf("seed %d: %s is %.4f, must be %s %v", seeds[i], b.figure, r[b.figure], b.compare, b.value))
	}
}
