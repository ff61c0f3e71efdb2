// Command sequoiatack runs the overload control daemon of a host. Its other
// subcommands are for operators: they check settings, read and change the lists of
// workspaces (customers) and of plans (their rates and services), print a daemon's
// status, and make keys.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// subcommands are the constructors of the subcommands; each has its own file.
var subcommands = []func() *cobra.Command{
	newDaemon,
	newSettings,
	newLists,
	newStatus,
	newKey,
}

func main() {
	os.Exit(run())
}

// exitCoder is an error that sets the program's exit status.
type exitCoder interface {
	error
	ExitCode() int
}

// run executes the command line and returns the exit status.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := newRoot().ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	if err.Error() != "" {
		fmt.Fprintln(os.Stderr, "sequoiatack:", err)
	}
	if e, ok := errors.Into[exitCoder](err); ok {
		return e.ExitCode()
	}
	return 1
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "sequoiatack",
		Short:         "Overload control for service call graphs",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	for _, f := range subcommands {
		root.AddCommand(f())
	}
	root.SetHelpCommand(newHelp())
	return root
}
