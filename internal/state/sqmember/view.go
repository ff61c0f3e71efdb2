package sqmember

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// buckets is the number of parts in which the rows of a data centre are
// compared.
const buckets = 16

// view has what is computed from the rows: who lives in each data centre, in
// order of rank, and the digests.
type view struct {
	centres map[sqid.DataCentreID]*centre
	order   []sqid.DataCentreID
	digest  uint64
	changed time.Time
	// gone has when each row that is not live became so.
	gone map[sqid.DaemonID]time.Time
}

// centre is one data centre.
type centre struct {
	// byRank has the live daemons. It is replaced, never modified.
	byRank  []sqid.DaemonID
	digests [buckets]uint64
}

func compareRank(a, b sqid.DaemonID) int {
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
}

// set adds a daemon to the live ones, or removes it.
func (c *centre) set(id sqid.DaemonID, live bool) {
	i, found := slices.BinarySearchFunc(c.byRank, id, compareRank)
	switch {
	case live && !found:
		c.byRank = slices.Insert(slices.Clone(c.byRank), i, id)
	case !live && found:
		c.byRank = slices.Delete(slices.Clone(c.byRank), i, i+1)
	}
}

func bucketOf(id sqid.DaemonID) int {
	return int(rank(id) % buckets)
}

func (v *view) centre(dc sqid.DataCentreID) *centre {
	c := v.centres[dc]
	if c != nil {
		return c
	}
	if v.centres == nil {
		v.centres = make(map[sqid.DataCentreID]*centre)
		v.gone = make(map[sqid.DaemonID]time.Time)
	}
	c = new(centre)
	v.centres[dc] = c
	v.order = append(v.order, dc)
	slices.Sort(v.order)
	return c
}

// replace changes the view from one row of a daemon to its next; had is false
// if there was none.
func (v *view) replace(old Row, had bool, r Row, now time.Time) {
	before := v.digest
	if had {
		v.fold(old)
	}
	if had && old.DataCentre != r.DataCentre {
		v.centre(old.DataCentre).set(r.ID, false)
	}
	v.fold(r)
	v.centre(r.DataCentre).set(r.ID, r.live())
	if r.live() {
		delete(v.gone, r.ID)
	} else {
		v.gone[r.ID] = now
	}
	if v.digest != before {
		v.changed = now
	}
}

func (v *view) fold(r Row) {
	d := r.digest()
	v.digest ^= d
	v.centre(r.DataCentre).digests[bucketOf(r.ID)] ^= d
}

// ranked returns the live daemons of a data centre, lowest rank first.
func (v *view) ranked(dc sqid.DataCentreID) []sqid.DaemonID {
	if c := v.centres[dc]; c != nil {
		return c.byRank
	}
	return nil
}

// sample returns up to n ids at random, without those that skip refuses.
func sample(r *rand.Rand, ids []sqid.DaemonID, n int, skip func(sqid.DaemonID) bool) []sqid.DaemonID {
	var picked []sqid.DaemonID
	if len(ids) == 0 {
		return nil
	}
	for range 3 * n {
		id := ids[r.IntN(len(ids))]
		if len(picked) < n && !skip(id) && !slices.Contains(picked, id) {
			picked = append(picked, id)
		}
	}
	return picked
}
