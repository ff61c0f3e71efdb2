package sqverdict

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/standin/sqverify"
)

// TestNotBuilt checks that a NotBuilt row does not fail NoneFailed, that the table
// prints it with its reason, and that a row with violations does fail.
func TestNotBuilt(t *testing.T) {
	rows := []Row{
		ViolationsRow("a", "b", nil),
		{Property: "c", CheckedBy: "d", Verdict: NotBuilt, Reason: "no such route"},
	}
	qt.Assert(t, rows[0].Verdict, qt.Equals, Held)
	qt.Assert(t, NoneFailed(rows), qt.IsTrue)
	var b bytes.Buffer
	qt.Assert(t, WriteTable(&b, rows), qt.IsNil)
	qt.Assert(t, b.String(), qt.Contains, "not built yet: c: no such route")
	rows = append(rows, ViolationsRow("e", "f", []sqverify.Violation{{RequestID: "1", Description: "w"}}))
	qt.Assert(t, NoneFailed(rows), qt.IsFalse)
	qt.Assert(t, rows[2].Reason, qt.Equals, "1: w")
}
