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

// demoTimeout ends a demo that hangs.
const demoTimeout = 2 * time.Minute

func newDemo() *cobra.Command {
	d := sqdemo.Demo{}
	output := ""
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a fleet on loopback, break things, and say what held",
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
			if err == nil && !sqverdict.AllHeld(rows) {
				err = errors.New("not everything held")
			}
			return err
		},
	}
	c.Flags().StringVar(&d.Program, "program", "", "the daemon's program; empty builds it")
	c.Flags().BoolVar(&d.Keep, "keep", false, "leave settings and logs behind")
	c.Flags().Uint64Var(&d.Seed, "seed", 1, "seed of load and targets")
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}
