package sqexperiment

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

const (
	tablePadding = 2
	filePerm     = 0o644
	dirPerm      = 0o755
)

// Report holds the results of an experiment, for all variants and seeds.
type Report struct {
	Name  string `json:"name"`
	Title string `json:"title"`
	Runs  []Run  `json:"runs"`
}

// WriteTable writes the median of each figure over the seeds with its range, with a
// row for each figure and a column for each variant.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s: %s\n", r.Name, r.Title)
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	fmt.Fprint(t, "figure")
	for _, v := range r.variants() {
		fmt.Fprintf(t, "\t%s", v)
	}
	fmt.Fprintln(t)
	for _, c := range columns {
		fmt.Fprint(t, c.name)
		for _, v := range r.variants() {
			fmt.Fprintf(t, "\t%s", medianAndRange(r.values(v, c)))
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

// variants returns the names of the variants in order of their first run.
func (r *Report) variants() []string {
	var names []string
	for _, run := range r.Runs {
		if !slices.Contains(names, run.Variant) {
			names = append(names, run.Variant)
		}
	}
	return names
}

// values returns one figure of all runs of a variant.
func (r *Report) values(variant string, c column) []float64 {
	var all []float64
	for i := range r.Runs {
		if r.Runs[i].Variant == variant {
			all = append(all, c.value(&r.Runs[i].Figures))
		}
	}
	return all
}

// medianAndRange returns "median (minimum to maximum)" and sorts all. A recovery of
// -1 means that the fleet did not recover, and sorts as the smallest.
func medianAndRange(all []float64) string {
	if len(all) == 0 {
		return "-"
	}
	slices.Sort(all)
	return fmt.Sprintf("%s (%s to %s)", formatNumber(all[len(all)/2]), formatNumber(all[0]), formatNumber(all[len(all)-1]))
}

func formatNumber(v float64) string {
	switch {
	case math.IsInf(v, 0):
		return "-"
	case math.Abs(v) >= 100:
		return fmt.Sprintf("%.0f", v)
	default:
		return fmt.Sprintf("%.3f", v)
	}
}

// WriteFiles writes NAME.json, NAME.txt and NAME.svg to a directory.
func (r *Report) WriteFiles(dir string, f *File) error {
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return errors.Wrap(err, "create the report directory")
	}
	for suffix, write := range map[string]func(io.Writer) error{
		".json": func(w io.Writer) error { return json.NewEncoder(w).Encode(r) },
		".txt":  r.WriteTable,
		".svg":  func(w io.Writer) error { return r.plot(f).write(w) },
	} {
		if err := writeFile(filepath.Join(dir, r.Name+suffix), write); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(name string, write func(io.Writer) error) (err error) {
	out, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePerm)
	if err != nil {
		return errors.Wrap(err, "report")
	}
	defer func() { err = errors.Join(err, out.Close()) }()
	return write(out)
}
