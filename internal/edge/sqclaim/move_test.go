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

// joined returns a data centre with an operation under way for each of some
// keys, and another that has just joined it, with the keys that moved to it.
func joined() (old, young *world, moved []sqoperation.Key) {
	old, young = newWorldOf("a", 1, 2), newWorldOf("b", 2, 2)
	old.far, young.far = young, old
	old.attend()
	both := sqkeeper.SharesSet{Epoch: 2, DataCentres: []sqid.DataCentreID{"a", "b"}}
	for i := range 20 {
		k := sqoperation.Key{Workspace: "grower", Text: fmt.Sprint("fee-", i)}
		old.begin(old.daemons[0], k)
		if home, _ := sqoperation.HomeOf(k, both.DataCentres); home.DataCentre == "b" {
			moved = append(moved, k)
		}
	}
	young.set = both
	return old, young, moved
}

// TestMovedKeysAreKnown has the new home ask the old one before it decides: a
// key that moved is running, not free.
func TestMovedKeysAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, young, moved := joined()
		qt.Assert(t, len(old.granted), qt.Equals, 20)
		qt.Assert(t, len(moved) > 0 && len(moved) < 20, qt.IsTrue)
		young.attend()
		qt.Assert(t, young.begin(young.daemons[0], moved[0]), qt.Equals, sqreason.OperationHomeAway,
			qt.Commentf("the old home does not know the new set yet and may still grant"))
		old.set = young.set
		young.attend()
		for _, k := range moved {
			qt.Assert(t, young.begin(young.daemons[1], k), qt.Equals, sqreason.OperationRunning)
			qt.Assert(t, old.begin(old.daemons[0], k), qt.Equals, sqreason.OperationRunning,
				qt.Commentf("an entry of the old home asks the new one"))
		}
		fresh := sqoperation.Key{Workspace: "grower", Text: "fee-fresh"}
		old.attend()
		qt.Assert(t, young.begin(young.daemons[0], fresh), qt.Equals, sqreason.NoReason)
	})
}

// TestCutOldHomeIsWaitedFor cuts the data centres off from each other as one
// joins: what moved is refused, not run, and what did not move goes on.
func TestCutOldHomeIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, young, moved := joined()
		old.cut, young.cut = true, true
		young.attend()
		qt.Assert(t, young.begin(young.daemons[0], moved[0]), qt.Equals, sqreason.OperationHomeAway)
		old.attend()
		stays := sqoperation.Key{Workspace: "grower", Text: "fee-other"}
		qt.Assert(t, old.begin(old.daemons[0], stays), qt.Equals, sqreason.NoReason)
	})
}
