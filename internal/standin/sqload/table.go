package sqload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

const tablePadding = 2

// WriteTable writes the totals and the summaries by workspace and importance as
// a text table.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintf(t, "seed %d, not sent %d\n", r.Seed, r.NotSent)
	fmt.Fprintln(t, "who\trequests\twhole\tattempts\tcut\tcrossed\twrongly refused\tp50 µs\tp99 µs\tmax µs\tstatus\trun\treason")
	writeAccount(t, "all", r.All)
	for _, name := range slices.Sorted(maps.Keys(r.ByWorkspace)) {
		writeAccount(t, "workspace "+string(name), r.ByWorkspace[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.ByImportance)) {
		writeAccount(t, "importance "+name, r.ByImportance[name])
	}
	return t.Flush()
}

func writeAccount(w io.Writer, name string, a *Summary) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n",
		name, a.Requests, a.Complete, a.Attempts, a.Truncated, a.Mismatched, a.RefusedWithinRate,
		a.Latency.P50, a.Latency.P99, a.Latency.Max,
		formatCounts(a.Status), formatCounts(a.Run), formatCounts(a.Reason))
}

func formatCounts[K int | string](m map[K]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%v:%d", k, m[k]))
	}
	return strings.Join(parts, " ")
}
