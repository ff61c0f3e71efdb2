package sqhelp_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqhelp"
)

// TestPages checks that each topic has a page, and that the page on refusals lists
// exactly the known reasons with their statuses.
func TestPages(t *testing.T) {
	topics := sqhelp.Topics()
	qt.Assert(t, topics, qt.DeepEquals, []string{"keys", "limits", "lists", "operations", "overload", "refusals", "settings", "targets"})
	for _, topic := range topics {
		page, ok := sqhelp.Page(topic)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, strings.HasPrefix(page, "# "), qt.IsTrue)
	}
	page, _ := sqhelp.Page("refusals")
	for _, r := range sqreason.Refusals() {
		qt.Check(t, page, qt.Contains, fmt.Sprintf("\n| `%s` | %d | ", r, r.Status()))
	}
	qt.Assert(t, strings.Count(page, "\n| `"), qt.Equals, len(sqreason.Refusals()))
	_, ok := sqhelp.Page("../sqhelp/keys")
	qt.Assert(t, ok, qt.IsFalse)
}
