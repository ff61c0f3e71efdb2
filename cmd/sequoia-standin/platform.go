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
		Short: "Serve a stand-in of the platform: a key-value store in memory, with faults to inject",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) (err error) {
			if server.Logger, err = sqlog.New(os.Stderr, level); err != nil {
				return err
			}
			return server.Run(cmd.Context())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&server.Address, "address", "127.0.0.1:7000", "address of the platform, as IP:port")
	flags.StringVar(&server.FaultAddress, "faultAddress", "", "address of the fault API, as IP:port; if empty, it is not served")
	flags.StringVar(&level, "logLevel", level, "lowest level to log: debug, info, warn or error")
	return cmd
}
