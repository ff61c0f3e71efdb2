// Package sqverdict is the table of what held in a run of a fleet.
package sqverdict

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/sequoiatack/sequoiatack/internal/standin/sqverify"
)

// Verdict says whether a row held.
type Verdict string

// The verdicts.
const (
	Held     Verdict = "yes"
	NotHeld  Verdict = "NO"
	NotBuilt Verdict = "not built yet"
)

// Row is one property that was checked.
type Row struct {
	What    string  `json:"what"`
	How     string  `json:"how"`
	Figure  string  `json:"figure"`
	Verdict Verdict `json:"verdict"`
	// Reason says why a row did not hold.
	Reason string `json:"reason,omitempty"`
}

// Of returns Held or NotHeld.
func Of(ok bool) Verdict {
	if ok {
		return Held
	}
	return NotHeld
}

// Violations makes a row of violations, none of which may be.
func Violations(what, how string, found []sqverify.Violation) Row {
	row := Row{What: what, How: how, Figure: fmt.Sprintf("%d found", len(found)), Verdict: Of(len(found) == 0)}
	if len(found) > 0 {
		row.Reason = found[0].String()
	}
	return row
}

const tablePadding = 2

// WriteTable writes the rows as a text table.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(t, "what must hold\tchecked by\tfigure\theld")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", r.What, r.How, r.Figure, r.Verdict)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range rows {
		if r.Verdict != Held {
			fmt.Fprintf(w, "%s: %s: %s\n", r.Verdict, r.What, r.Reason)
		}
	}
	return nil
}

// AllHeld reports whether no row failed. Rows of what is not built yet are
// not counted as held, and fail nothing.
func AllHeld(rows []Row) bool {
	for _, r := range rows {
		if r.Verdict == NotHeld {
			return false
		}
	}
	return true
}
