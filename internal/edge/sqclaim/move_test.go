package sqclaim

import (
	"fmt"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqoperation"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
)

// addDataCentre returns a data centre with 20 running operations, a second one that has
// just been added to the set, and the keys whose home moved there.
func addDataCentre() (old, added *cluster, moved []sqoperation.Key) {
	old, added = newClusterOf("a", 1, 2), newClusterOf("b", 2, 2)
	old.remote, added.remote = added, old
	old.maintain()
	both := sqkeeper.SharesSet{Epoch: 2, DataCentres: []sqid.DataCentreID{"a", "b"}}
	for i := range 20 {
		k := sqoperation.Key{Workspace: "grower", Text: fmt.Sprint("fee-", i)}
		old.begin(old.daemons[0], k)
		if home, _ := sqoperation.HomeOf(k, both.DataCentres); home.DataCentre == "b" {
			moved = append(moved, k)
		}
	}
	added.agreedSet = both
	return old, added, moved
}

// TestMovedKeysAreKnown checks that a key's new home asks the old one before it
// decides: the operation of a moved key is running, so its key is not free.
func TestMovedKeysAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, added, moved := addDataCentre()
		qt.Assert(t, len(old.granted), qt.Equals, 20)
		qt.Assert(t, len(moved) > 0 && len(moved) < 20, qt.IsTrue)
		added.maintain()
		qt.Assert(t, added.begin(added.daemons[0], moved[0]), qt.Equals, sqreason.OperationHomeAway,
			qt.Commentf("the old home does not know the new set of data centres yet and may still grant"))
		old.agreedSet = added.agreedSet
		added.maintain()
		for _, k := range moved {
			qt.Assert(t, added.begin(added.daemons[1], k), qt.Equals, sqreason.OperationRunning)
			qt.Assert(t, old.begin(old.daemons[0], k), qt.Equals, sqreason.OperationRunning,
				qt.Commentf("an entry of the old home asks the new one"))
		}
		fresh := sqoperation.Key{Workspace: "grower", Text: "fee-fresh"}
		old.maintain()
		qt.Assert(t, added.begin(added.daemons[0], fresh), qt.Equals, sqreason.NoReason)
	})
}

// TestMovedKeysWaitForUnreachableHome partitions the two data centres when the second
// is added. Moved keys are refused, not run, and other keys are still granted.
func TestMovedKeysWaitForUnreachableHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, added, moved := addDataCentre()
		old.partitioned, added.partitioned = true, true
		added.maintain()
		qt.Assert(t, added.begin(added.daemons[0], moved[0]), qt.Equals, sqreason.OperationHomeAway)
		old.maintain()
		stays := sqoperation.Key{Workspace: "grower", Text: "fee-other"}
		qt.Assert(t, old.begin(old.daemons[0], stays), qt.Equals, sqreason.NoReason)
	})
}
