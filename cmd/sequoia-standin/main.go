// Command sequoia-standin runs the stand-ins that sequoiatack is tested with: the
// platform (the key-value store that holds the lists), targets, and a load generator
// in place of callers. It also runs the demo, the chaos runs and the experiments,
// each of which starts a fleet of daemons and stand-ins on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// subcommands are the constructors of the subcommands; each has its own file.
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
		Short:         "Stand-ins for the platform, targets and callers, and test runs of whole fleets",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	for _, f := range subcommands {
		root.AddCommand(f())
	}
	return root
}
