package main

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqhelp"
)

// newHelp returns the command that prints a topic's page or a command's help.
func newHelp() *cobra.Command {
	return &cobra.Command{
		Use:   "help [TOPIC]",
		Short: "Print help on a topic or a command",
		Long:  "Print help on a topic or a command. Topics: " + strings.Join(sqhelp.Topics(), ", ") + ".",
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				if page, ok := sqhelp.Page(args[0]); ok {
					_, err := fmt.Fprint(cmd.OutOrStdout(), page)
					return err
				}
			}
			found, rest, err := cmd.Root().Find(args)
			if err != nil || len(rest) > 0 {
				return errors.Errorf("no topic or command %q; topics: %s",
					strings.Join(args, " "), strings.Join(sqhelp.Topics(), ", "))
			}
			return found.Help()
		},
	}
}
