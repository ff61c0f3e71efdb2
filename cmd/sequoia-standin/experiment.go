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
	var program, out, output string
	var seeds []uint
	var variants []string
	c := &cobra.Command{
		Use:   "experiment FILE.toml...",
		Short: "Run scripted experiments, or measure latency or fleets",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			for _, name := range files {
				f, err := sqexperiment.Load(name)
				if err != nil {
					return err
				}
				if err := f.Keep(variants); err != nil {
					return err
				}
				r := &sqexperiment.Runner{File: f, Program: program, Progress: c.ErrOrStderr()}
				for _, seed := range seeds {
					r.Seeds = append(r.Seeds, uint64(seed))
				}
				if err := runExperiment(c, r, out, output); err != nil {
					return err
				}
			}
			return nil
		},
	}
	c.PersistentFlags().StringVar(&program, "program", "", "the daemon's program; empty builds it")
	c.PersistentFlags().StringVar(&output, "output", "text", "text or json")
	c.Flags().StringVar(&out, "out", "", "directory for NAME.json, NAME.txt and NAME.svg")
	c.Flags().UintSliceVar(&seeds, "seeds", []uint{1, 2, 3}, "a run of each variant for each seed")
	c.Flags().StringSliceVar(&variants, "variants", nil, "variants to run; empty is all")
	c.AddCommand(newLatency(&program, &output), newSizes(&program, &output))
	return c
}

func runExperiment(c *cobra.Command, r *sqexperiment.Runner, out, output string) error {
	runs, err := r.Run(c.Context())
	if err != nil {
		return err
	}
	report := &sqexperiment.Report{Name: r.File.Name, Title: r.File.Title, Runs: runs}
	if out != "" {
		if err := report.WriteFiles(out, r.File); err != nil {
			return err
		}
	}
	return write(c, output, report, report.WriteTable)
}

// write writes a value as JSON, or by its own text form.
func write(c *cobra.Command, output string, v any, text func(io.Writer) error) error {
	if output == "json" {
		return json.NewEncoder(c.OutOrStdout()).Encode(v)
	}
	return text(c.OutOrStdout())
}

func newLatency(program, output *string) *cobra.Command {
	l := sqexperiment.Latency{}
	c := &cobra.Command{
		Use:   "latency",
		Short: "Measure what entry and gate add to a call, beside direct calls in one run",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			l.Program = *program
			report, err := l.Run(c.Context())
			if err != nil {
				return err
			}
			return write(c, *output, report, report.WriteTable)
		},
	}
	c.Flags().Float64Var((*float64)(&l.Rate), "rate", 2000, "calls a second, each way")
	c.Flags().DurationVar(&l.Duration, "duration", 10*time.Second, "how long is measured")
	c.Flags().Uint64Var(&l.Seed, "seed", 1, "seed of the arrivals")
	c.Flags().StringVar(&l.Extra, "settings", "", "TOML to add to the daemons' settings")
	return c
}

func newSizes(program, output *string) *cobra.Command {
	s := sqexperiment.Sizes{}
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Measure what control costs in fleets of several sizes",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s.Program, s.Progress = *program, c.ErrOrStderr()
			all, err := s.Run(c.Context())
			if len(all) == 0 {
				return err
			}
			return errors.Join(err, write(c, *output, all, func(w io.Writer) error {
				return sqexperiment.WriteSizes(w, all)
			}))
		},
	}
	c.Flags().IntSliceVar(&s.Daemons, "daemons", []int{8, 16, 32, 48}, "sizes to measure")
	c.Flags().DurationVar(&s.Rest, "rest", 10*time.Second, "how long a fleet is measured at rest")
	c.Flags().IntVar(&s.Changes, "changes", 20, "changes of the lists")
	c.Flags().StringVar(&s.Extra, "settings", "", "TOML to add to the daemons' settings")
	return c
}
