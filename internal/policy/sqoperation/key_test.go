package sqoperation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// FuzzHomeOf checks that a key of any form either has one home, the same each time
// and in a known data centre unless minted, or gives an error.
func FuzzHomeOf(f *testing.F) {
	f.Add("grower", Mint(Home{DataCentre: "jabar-1", Shard: 63, Epoch: 9}, time.Unix(1_000_000, 0)))
	f.Add("grower", "sqop.jabar-1.64.9.1.x")
	f.Add("", "fee-1")
	f.Add("grower", "sqop.....")
	dataCentres := []sqid.DataCentreID{"jabar-1", "jabar-2", "jatim-1"}
	f.Fuzz(func(t *testing.T, workspace, text string) {
		k := Key{Workspace: sqid.WorkspaceID(workspace), Text: text}
		home, err := HomeOf(k, dataCentres)
		if err != nil {
			return
		}
		qt.Assert(t, int(home.Shard) < sqid.ShardCount, qt.IsTrue)
		if home.Epoch == 0 {
			qt.Assert(t, dataCentres, qt.Contains, home.DataCentre)
		}
		again, err := HomeOf(k, dataCentres)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.Equals, home)
	})
}
