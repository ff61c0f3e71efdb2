// Package sqverdict holds and prints the table of the properties that were
// checked after a run of a fleet.
package sqverdict

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/sequoiatack/sequoiatack/internal/standin/sqverify"
)

// Verdict is the result of checking one property.
type Verdict string

// The verdicts as the table prints them. NotBuilt is for a property of a part
// that does not exist yet, so that it can't be checked.
const (
	Held     Verdict = "yes"
	NotHeld  Verdict = "NO"
	NotBuilt Verdict = "not built yet"
)

// Row is one checked property.
type Row struct {
	// Property is the property.
	Property string `json:"what"`
	// CheckedBy is how it was checked.
	CheckedBy string `json:"how"`
	// Figure is the measured value as text.
	Figure  string  `json:"figure"`
	Verdict Verdict `json:"verdict"`
	// Reason explains a verdict other than Held; it may be set on rows that held,
	// and is printed only for the others.
	Reason string `json:"reason,omitempty"`
}

// FromBool returns Held if ok, else NotHeld.
func FromBool(ok bool) Verdict {
	if ok {
		return Held
	}
	return NotHeld
}

// ViolationsRow returns a row that holds if found is empty. Its reason is the first
// violation.
func ViolationsRow(what, how string, found []sqverify.Violation) Row {
	row := Row{Property: what, CheckedBy: how, Figure: fmt.Sprintf("%d found", len(found)), Verdict: FromBool(len(found) == 0)}
	if len(found) > 0 {
		row.Reason = found[0].String()
	}
	return row
}

const tablePadding = 2

// WriteTable writes the rows as a text table, and after it the reason of each row
// that did not hold.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(t, "what must hold\tchecked by\tfigure\theld")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", r.Property, r.CheckedBy, r.Figure, r.Verdict)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range rows {
		if r.Verdict != Held {
			fmt.Fprintf(w, "%s: %s: %s\n", r.Verdict, r.Property, r.Reason)
		}
	}
	return nil
}

// NoneFailed reports whether no row has the verdict NotHeld. Rows with the verdict
// NotBuilt are ignored.
func NoneFailed(rows []Row) bool {
	for _, r := range rows {
		if r.Verdict == NotHeld {
			return false
		}
	}
	return true
}
