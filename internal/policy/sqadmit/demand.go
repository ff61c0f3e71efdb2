package sqadmit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	// minShare is the least share that a call may carry. A call counts for
	// 1/share calls, so one call counts for at most 100.
	minShare = 0.01
	// minWeight is the least weight of a workspace.
	minWeight = 0.001
	// minDemand is the rate, in calls per second, below which a class is
	// removed.
	minDemand = 0.01
	// minObservedShare is the admitted share below which hardly any call of a
	// class reaches the gate. The time constant of its demand is then
	// unobservedFactor times as long.
	minObservedShare = 0.05
	unobservedFactor = 10
	// roundingTolerance is the fraction of a demand that may be missing because
	// of rounding errors.
	roundingTolerance = 1e-9
)

// classKey identifies the calls of one workspace and one importance.
type classKey struct {
	importance squnit.Importance
	workspace  sqid.WorkspaceID
}

// class holds the demand of one classKey and the share of it that can be
// admitted.
type class struct {
	key    classKey
	weight float64
	// rate is in calls per second at the time updated, before entries shed any
	// of them.
	rate    float64
	updated time.Time
	share   float64
}

// demand estimates, for each importance and workspace, the rate at which
// callers send calls, and divides the target's capacity between these classes:
// by importance first, then max-min fair by weight. A call that was admitted
// with a share counts for 1/share calls, so shedding at the entries does not
// hide demand (core-stateless fair queueing, Stoica 1998, does so with labels
// on packets).
type demand struct {
	classes map[classKey]*class
	// level is the admission level, the lowest importance that gets any
	// capacity. overallShare is the share of all its calls that can be
	// admitted.
	level        squnit.Importance
	overallShare float64
	// medianShare is the median of the workspaces' shares at the level.
	medianShare float64
	sorted      []*class
}

// add counts an offered call in a moving average.
func (d *demand) add(now time.Time, timeConstant time.Duration, c *Call) {
	if d.classes == nil {
		d.classes = make(map[classKey]*class)
	}
	key := classKey{c.Importance, c.Workspace}
	known := d.classes[key]
	if known == nil {
		known = &class{key: key, updated: now, share: 1}
		d.classes[key] = known
	}
	known.weight = weightOf(c)
	known.decay(now, timeConstant)
	known.rate += 1 / shareOf(c) / timeConstant.Seconds()
}

// weightOf returns the weight of a call's workspace, 1 if it has none.
func weightOf(c *Call) float64 {
	if c.Weight <= 0 {
		return 1
	}
	return math.Max(minWeight, float64(c.Weight))
}

func shareOf(c *Call) float64 {
	if c.Share <= 0 || c.Share > 1 {
		return 1
	}
	return math.Max(minShare, float64(c.Share))
}

// decay brings the rate forward to now. Demand that is shed almost completely
// can't be observed at the gate, so it decays more slowly.
func (c *class) decay(now time.Time, timeConstant time.Duration) {
	if c.share < minObservedShare {
		timeConstant *= unobservedFactor
	}
	if dt := now.Sub(c.updated); dt > 0 {
		c.rate *= math.Exp(-float64(dt) / float64(timeConstant))
		c.updated = now
	}
}

// divide sets each class's admitted share for a capacity in calls per second.
//
// Gate.capacity is always positive, so only tests pass 0. Then the level stays at
// ImportanceCritical, even if a class has a higher importance, and overallShare
// and medianShare stay at 1 unless all classes have the same importance.
func (d *demand) divide(now time.Time, timeConstant time.Duration, capacity float64) {
	d.sortClasses(now, timeConstant)
	d.level, d.overallShare, d.medianShare = squnit.ImportanceCritical, 1, 1
	for rest := d.sorted; len(rest) > 0; {
		n := 1
		for n < len(rest) && rest[n].key.importance == rest[0].key.importance {
			n++
		}
		if capacity > 0 {
			d.level = rest[0].key.importance
		}
		remaining, overallShare := maxMinFair(rest[:n], capacity)
		if capacity > 0 || n == len(d.sorted) {
			d.overallShare, d.medianShare = overallShare, median(rest[:n])
		}
		capacity = remaining
		rest = rest[n:]
	}
	if capacity > 0 {
		d.level, d.overallShare, d.medianShare = squnit.ImportanceLow, 1, 1
	}
}

// median returns the median share of classes that maxMinFair has divided: it
// leaves them in order of falling share.
func median(classes []*class) float64 {
	return classes[len(classes)/2].share
}

// sortClasses decays all classes to now and sorts them by importance, the
// highest first, then by rate per weight. It reuses the slice of the last call.
func (d *demand) sortClasses(now time.Time, timeConstant time.Duration) {
	d.sorted = d.sorted[:0]
	for key, c := range d.classes {
		c.decay(now, timeConstant)
		if c.rate < minDemand {
			delete(d.classes, key)
			continue
		}
		d.sorted = append(d.sorted, c)
	}
	slices.SortFunc(d.sorted, func(a, b *class) int {
		return cmp.Or(
			-cmp.Compare(a.key.importance, b.key.importance),
			cmp.Compare(a.rate*b.weight, b.rate*a.weight),
			cmp.Compare(a.key.workspace, b.key.workspace),
		)
	})
}

// maxMinFair divides capacity between the classes of one importance, which are
// sorted by rate per weight. It returns the capacity that remains and the share
// of all their calls that can be admitted.
func maxMinFair(classes []*class, capacity float64) (remaining, overallShare float64) {
	var weightSum, rateSum, allocated float64
	for _, c := range classes {
		weightSum += c.weight
		rateSum += c.rate
	}
	for _, c := range classes {
		fairRate := math.Max(0, capacity) * math.Min(1, c.weight/weightSum)
		granted := math.Min(c.rate, fairRate)
		c.share = granted / c.rate
		allocated += granted
		capacity -= granted
		weightSum -= c.weight
	}
	if allocated < rateSum*(1-roundingTolerance) {
		capacity = math.Min(capacity, 0)
	}
	return capacity, allocated / rateSum
}

// admitAll sets every share to 1.
func (d *demand) admitAll() {
	d.level, d.overallShare, d.medianShare = squnit.ImportanceLow, 1, 1
	for _, c := range d.classes {
		c.share = 1
	}
}

// share returns the share of a workspace's calls of importance level that can
// be admitted. A workspace without known demand there is below its fair share,
// so all its calls are admitted unless none of the level are.
func (d *demand) share(w sqid.WorkspaceID) float64 {
	if c := d.classes[classKey{d.level, w}]; c != nil {
		return c.share
	}
	return math.Min(1, math.Ceil(d.overallShare))
}
