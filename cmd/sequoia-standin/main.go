// Command sequoia-standin has the stand-ins that sequoiatack is tested with:
// the platform, targets, a load tool and a demo.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// subcommands lists what the program can do, each from a file of its own.
var subcommands = []func() *cobra.Command{
	newPlatform,
	newTarget,
	newLoad,
	newDemo,
	newExperiment,
	newChaos,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := newRoot().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "sequoia-standin:", err)
		os.Exit(1)
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "sequoia-standin",
		Short:         "Stand-ins for the platform, for targets and for callers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	for _, f := range subcommands {
		root.AddCommand(f())
	}
	return root
}
