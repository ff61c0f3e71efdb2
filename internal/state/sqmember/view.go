package sqmember

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// bucketCount is the number of buckets into which anti-entropy divides the rows
// of a data centre.
const bucketCount = 16

// view holds what is derived from the rows: the live daemons of each data
// centre in order of rank, and the digests.
type view struct {
	byDataCentre map[sqid.DataCentreID]*dataCentreView
	// dataCentres are the known data centres in order of id.
	dataCentres []sqid.DataCentreID
	// digest is the XOR of the digests of all rows.
	digest uint64
	// digestChanged is when digest last changed.
	digestChanged time.Time
	// tombstones holds when each dead or left daemon became so.
	tombstones map[sqid.DaemonID]time.Time
}

// dataCentreView is the part of the view that concerns one data centre.
type dataCentreView struct {
	// byRank holds the live daemons. The slice is replaced, never modified in
	// place.
	byRank []sqid.DaemonID
	// digests are the XORs of the row digests in each bucket.
	digests [bucketCount]uint64
}

func compareRank(a, b sqid.DaemonID) int {
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
}

// setLive adds a daemon to the live ones or removes it.
func (c *dataCentreView) setLive(id sqid.DaemonID, live bool) {
	i, found := slices.BinarySearchFunc(c.byRank, id, compareRank)
	switch {
	case live && !found:
		c.byRank = slices.Insert(slices.Clone(c.byRank), i, id)
	case !live && found:
		c.byRank = slices.Delete(slices.Clone(c.byRank), i, i+1)
	}
}

func bucketOf(id sqid.DaemonID) int {
	return int(rank(id) % bucketCount)
}

func (v *view) dataCentre(dc sqid.DataCentreID) *dataCentreView {
	c := v.byDataCentre[dc]
	if c != nil {
		return c
	}
	if v.byDataCentre == nil {
		v.byDataCentre = make(map[sqid.DataCentreID]*dataCentreView)
		v.tombstones = make(map[sqid.DaemonID]time.Time)
	}
	c = new(dataCentreView)
	v.byDataCentre[dc] = c
	v.dataCentres = append(v.dataCentres, dc)
	slices.Sort(v.dataCentres)
	return c
}

// replaceRow updates the view from a daemon's row old to r; existed is false if
// there was no old row.
func (v *view) replaceRow(old Row, existed bool, r Row, now time.Time) {
	oldDigest := v.digest
	if existed {
		v.xorDigest(old)
	}
	if existed && old.DataCentre != r.DataCentre {
		v.dataCentre(old.DataCentre).setLive(r.ID, false)
	}
	v.xorDigest(r)
	v.dataCentre(r.DataCentre).setLive(r.ID, r.live())
	if r.live() {
		delete(v.tombstones, r.ID)
	} else {
		v.tombstones[r.ID] = now
	}
	if v.digest != oldDigest {
		v.digestChanged = now
	}
}

// xorDigest adds a row to the digests, or removes one that was added before.
func (v *view) xorDigest(r Row) {
	d := r.digest()
	v.digest ^= d
	v.dataCentre(r.DataCentre).digests[bucketOf(r.ID)] ^= d
}

// ranked returns the live daemons of a data centre, lowest rank first.
func (v *view) ranked(dc sqid.DataCentreID) []sqid.DaemonID {
	if c := v.byDataCentre[dc]; c != nil {
		return c.byRank
	}
	return nil
}

// sample returns up to n distinct random ids for which skip is false. It gives
// up after 3n draws, so it may return fewer than there are.
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
