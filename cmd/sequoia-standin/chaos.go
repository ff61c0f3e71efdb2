package main

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/standin/sqchaos"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqverdict"
)

// chaosGrace limits the time that a run takes beyond the time for which load is sent.
const chaosGrace = time.Minute

func newChaos() *cobra.Command {
	c := sqchaos.Chaos{}
	seconds := 0
	cmd := &cobra.Command{
		Use:   "chaos",
		Short: "Run a fleet under random faults drawn from a seed, and check its invariants",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c.Duration, c.Progress = time.Duration(seconds)*time.Second, cmd.ErrOrStderr()
			ctx, cancel := context.WithTimeout(cmd.Context(), c.Duration+chaosGrace)
			defer cancel()
			rows, err := c.Run(ctx)
			if err != nil {
				return errors.Wrapf(err, "seed %d", c.Seed)
			}
			if err := sqverdict.WriteTable(cmd.OutOrStdout(), rows); err != nil {
				return err
			}
			if !sqverdict.NoneFailed(rows) {
				return errors.Errorf("some invariants did not hold with seed %d", c.Seed)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&c.Program, "program", "", "path of the daemon's program; if empty, it is built")
	cmd.Flags().Uint64Var(&c.Seed, "seed", 1, "seed of the faults, the load and the targets")
	cmd.Flags().IntVar(&seconds, "seconds", 30, "time for which load is sent, in seconds")
	cmd.Flags().StringVar(&c.ExtraSettings, "settings", "", "TOML snippet to add to the daemons' settings")
	return cmd
}
