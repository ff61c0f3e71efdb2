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
	// minShare bounds what one call may stand for.
	minShare = 0.01
	// minWeight bounds what a workspace can be short of beside others.
	minWeight = 0.001
	// idleDemand is the rate, in calls a second, below which a class is
	// forgotten.
	idleDemand = 0.01
	// seenShare is the share below which a class is hardly seen, unseenFactor
	// that by which its demand is then remembered for longer.
	seenShare    = 0.05
	unseenFactor = 10
	// roundOff is the part of a demand that is taken for an error of rounding.
	roundOff = 1e-9
)

type classKey struct {
	importance squnit.Importance
	workspace  sqid.WorkspaceID
}

type class struct {
	key    classKey
	weight float64
	// rate is in calls a second at the time at, before any thinning.
	rate  float64
	at    time.Time
	share float64
}

// demand estimates, for each importance and workspace, the calls a second
// that callers want, and divides a capacity between them: importance first,
// then max-min fair by weight. A call that was admitted as one of a share
// counts for all of them, so thinning at the entries does not hide demand
// (core-stateless fair queueing, Stoica 1998, does so with labels on packets).
type demand struct {
	classes map[classKey]*class
	// level is the lowest importance with room, all the part of its calls
	// that there is room for.
	level squnit.Importance
	all   float64
	// typical is the median of the workspaces' shares at the level.
	typical float64
	scratch []*class
}

// add counts an offered call; span is the time constant of the average.
func (d *demand) add(now time.Time, span time.Duration, c *Call) {
	if d.classes == nil {
		d.classes = make(map[classKey]*class)
	}
	key := classKey{c.Importance, c.Workspace}
	row := d.classes[key]
	if row == nil {
		row = &class{key: key, at: now, share: 1}
		d.classes[key] = row
	}
	row.weight = weightOf(c)
	row.decay(now, span)
	row.rate += 1 / shareOf(c) / span.Seconds()
}

// weightOf is the weight that a call's workspace counts for, 1 if it has none.
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

// decay brings the rate to now. What is shed altogether can't be seen, and is
// remembered for longer.
func (c *class) decay(now time.Time, span time.Duration) {
	if c.share < seenShare {
		span *= unseenFactor
	}
	if dt := now.Sub(c.at); dt > 0 {
		c.rate *= math.Exp(-float64(dt) / float64(span))
		c.at = now
	}
}

// divide sets each class's share of a capacity in calls a second.
func (d *demand) divide(now time.Time, span time.Duration, capacity float64) {
	d.collect(now, span)
	d.level, d.all, d.typical = squnit.ImportanceCritical, 1, 1
	for rest := d.scratch; len(rest) > 0; {
		n := 1
		for n < len(rest) && rest[n].key.importance == rest[0].key.importance {
			n++
		}
		if capacity > 0 {
			d.level = rest[0].key.importance
		}
		left, all := fill(rest[:n], capacity)
		if capacity > 0 || n == len(d.scratch) {
			d.all, d.typical = all, median(rest[:n])
		}
		capacity = left
		rest = rest[n:]
	}
	if capacity > 0 {
		d.level, d.all, d.typical = squnit.ImportanceLow, 1, 1
	}
}

// median is the median share of classes that fill has divided: it gives less
// of their demand to later ones.
func median(classes []*class) float64 {
	return classes[len(classes)/2].share
}

// collect brings all classes to now and orders them by importance, then by
// rate for weight.
func (d *demand) collect(now time.Time, span time.Duration) {
	d.scratch = d.scratch[:0]
	for key, c := range d.classes {
		c.decay(now, span)
		if c.rate < idleDemand {
			delete(d.classes, key)
			continue
		}
		d.scratch = append(d.scratch, c)
	}
	slices.SortFunc(d.scratch, func(a, b *class) int {
		return cmp.Or(
			-cmp.Compare(a.key.importance, b.key.importance),
			cmp.Compare(a.rate*b.weight, b.rate*a.weight),
			cmp.Compare(a.key.workspace, b.key.workspace),
		)
	})
}

// fill divides capacity between the classes of one importance, which are in
// order of rate for weight. It returns what is left and the part of all their
// calls that there is room for.
func fill(classes []*class, capacity float64) (left, all float64) {
	var weights, wanted, given float64
	for _, c := range classes {
		weights += c.weight
		wanted += c.rate
	}
	for _, c := range classes {
		fair := math.Max(0, capacity) * math.Min(1, c.weight/weights)
		got := math.Min(c.rate, fair)
		c.share = got / c.rate
		given += got
		capacity -= got
		weights -= c.weight
	}
	if given < wanted*(1-roundOff) {
		capacity = math.Min(capacity, 0)
	}
	return capacity, given / wanted
}

// admitAll sets every share to 1.
func (d *demand) admitAll() {
	d.level, d.all, d.typical = squnit.ImportanceLow, 1, 1
	for _, c := range d.classes {
		c.share = 1
	}
}

// share returns the part of a workspace's calls of importance level that there
// is room for. One that is not known to want any is within its fair part.
func (d *demand) share(w sqid.WorkspaceID) float64 {
	if c := d.classes[classKey{d.level, w}]; c != nil {
		return c.share
	}
	return math.Min(1, math.Ceil(d.all))
}
