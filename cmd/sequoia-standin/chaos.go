package main

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/standin/sqchaos"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqverdict"
)

// chaosGrace is what a run may take beyond its load.
const chaosGrace = time.Minute

func newChaos() *cobra.Command {
	c := sqchaos.Chaos{}
	seconds := 0
	cmd := &cobra.Command{
		Use:   "chaos",
		Short: "Run a fleet under faults that follow from a seed, and check what must always hold",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c.Length, c.Progress = time.Duration(seconds)*time.Second, cmd.ErrOrStderr()
			ctx, cancel := context.WithTimeout(cmd.Context(), c.Length+chaosGrace)
			defer cancel()
			rows, err := c.Run(ctx)
			if err != nil {
				return errors.Wrapf(err, "seed %d", c.Seed)
			}
			if err := sqverdict.WriteTable(cmd.OutOrStdout(), rows); err != nil {
				return err
			}
			if !sqverdict.AllHeld(rows) {
				return errors.Errorf("not everything held with seed %d", c.Seed)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&c.Program, "program", "", "the daemon's program; empty builds it")
	cmd.Flags().Uint64Var(&c.Seed, "seed", 1, "seed of faults, load and targets")
	cmd.Flags().IntVar(&seconds, "seconds", 30, "how long load is sent")
	cmd.Flags().StringVar(&c.Extra, "settings", "", "TOML to add to the daemons' settings")
	return cmd
}
