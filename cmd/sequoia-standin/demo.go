package main

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/standin/sqdemo"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqverdict"
)

// demoTimeout limits the whole demo, so that one that hangs fails.
const demoTimeout = 2 * time.Minute

func newDemo() *cobra.Command {
	d := sqdemo.Demo{}
	output := ""
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a fleet on loopback, inject faults, and print which properties held",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), demoTimeout)
			defer cancel()
			d.Progress = c.ErrOrStderr()
			rows, err := d.Run(ctx)
			if err != nil {
				return err
			}
			if output == "json" {
				err = json.NewEncoder(c.OutOrStdout()).Encode(rows)
			} else {
				err = sqverdict.WriteTable(c.OutOrStdout(), rows)
			}
			if err == nil && !sqverdict.NoneFailed(rows) {
				err = errors.New("some properties did not hold")
			}
			return err
		},
	}
	c.Flags().StringVar(&d.Program, "program", "", "path of the daemon's program; if empty, it is built")
	c.Flags().BoolVar(&d.Keep, "keep", false, "keep the directory with settings and logs")
	c.Flags().Uint64Var(&d.Seed, "seed", 1, "seed of the load and the targets")
	c.Flags().StringVar(&output, "output", "text", "output format, text or json")
	return c
}
