package main

import (
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/standin/sqexperiment"
)

func newExperiment() *cobra.Command {
	var program, outDir, output string
	var seeds []uint
	var variants []string
	c := &cobra.Command{
		Use:   "experiment FILE.toml...",
		Short: "Run scripted experiments, or measure latency or fleets of several sizes",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			for _, name := range files {
				f, err := sqexperiment.Load(name)
				if err != nil {
					return err
				}
				if err := f.SelectVariants(variants); err != nil {
					return err
				}
				r := &sqexperiment.Runner{File: f, Program: program, Progress: c.ErrOrStderr()}
				for _, seed := range seeds {
					r.Seeds = append(r.Seeds, uint64(seed))
				}
				if err := runExperiment(c, r, outDir, output); err != nil {
					return err
				}
			}
			return nil
		},
	}
	c.PersistentFlags().StringVar(&program, "program", "", "path of the daemon's program; if empty, it is built")
	c.PersistentFlags().StringVar(&output, "output", "text", "output format, text or json")
	c.Flags().StringVar(&outDir, "out", "", "directory for the reports NAME.json, NAME.txt and NAME.svg")
	c.Flags().UintSliceVar(&seeds, "seeds", []uint{1, 2, 3}, "seeds; each variant is run once with each")
	c.Flags().StringSliceVar(&variants, "variants", nil, "variants to run; if empty, all")
	c.AddCommand(newLatency(&program, &output), newFleet(&program, &output))
	return c
}

// runExperiment runs the experiment of one file, and writes its report to files in the
// directory outDir, if that is set, and to stdout.
func runExperiment(c *cobra.Command, r *sqexperiment.Runner, outDir, output string) error {
	runs, err := r.Run(c.Context())
	if err != nil {
		return err
	}
	report := &sqexperiment.Report{Name: r.File.Name, Title: r.File.Title, Runs: runs}
	if outDir != "" {
		if err := report.WriteFiles(outDir, r.File); err != nil {
			return err
		}
	}
	return writeOutput(c, output, report, report.WriteTable)
}

// writeOutput writes v as JSON or calls writeText, depending on output.
func writeOutput(c *cobra.Command, output string, v any, writeText func(io.Writer) error) error {
	if output == "json" {
		return json.NewEncoder(c.OutOrStdout()).Encode(v)
	}
	return writeText(c.OutOrStdout())
}

func newLatency(program, output *string) *cobra.Command {
	l := sqexperiment.Latency{}
	c := &cobra.Command{
		Use:   "latency",
		Short: "Measure the latency that daemons add to a call, next to direct calls in the same run",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			l.Program = *program
			report, err := l.Run(c.Context())
			if err != nil {
				return err
			}
			return writeOutput(c, *output, report, report.WriteTable)
		},
	}
	c.Flags().Float64Var((*float64)(&l.Rate), "rate", 2000, "calls per second on each of the two paths")
	c.Flags().DurationVar(&l.Duration, "duration", 10*time.Second, "length of the measurement")
	c.Flags().Uint64Var(&l.Seed, "seed", 1, "seed of the arrival times")
	c.Flags().StringVar(&l.ExtraSettings, "settings", "", "TOML snippet to add to the daemons' settings")
	return c
}

func newFleet(program, output *string) *cobra.Command {
	s := sqexperiment.Sizes{}
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Measure control traffic and propagation times in fleets of several sizes",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s.Program, s.Progress = *program, c.ErrOrStderr()
			figures, err := s.Run(c.Context())
			if len(figures) == 0 {
				return err
			}
			return errors.Join(err, writeOutput(c, *output, figures, func(w io.Writer) error {
				return sqexperiment.WriteSizes(w, figures)
			}))
		},
	}
	c.Flags().IntSliceVar(&s.Daemons, "daemons", []int{8, 16, 32, 48}, "sizes of the fleets, in daemons")
	c.Flags().DurationVar(&s.RestDuration, "rest", 10*time.Second, "time for which a fleet is measured at rest")
	c.Flags().IntVar(&s.Changes, "changes", 20, "number of changes of the lists")
	c.Flags().StringVar(&s.ExtraSettings, "settings", "", "TOML snippet to add to the daemons' settings")
	return c
}
