package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/base/sqlog"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqstore"
)

func newPlatform() *cobra.Command {
	server := &sqstore.Server{Store: &sqstore.Store{}}
	level := "info"
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "A key-value service in memory, with fault switches",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) (err error) {
			if server.Logger, err = sqlog.New(os.Stderr, level); err != nil {
				return err
			}
			return server.Run(cmd.Context())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&server.Address, "address", "127.0.0.1:7000", "where the platform listens, IP:port")
	flags.StringVar(&server.FaultAddress, "faultAddress", "", "where the fault API listens, IP:port; empty for none")
	flags.StringVar(&level, "logLevel", level, "debug, info, warn or error")
	return cmd
}
