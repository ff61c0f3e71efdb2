package main

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqhelp"
)

// newHelp prints a topic's page, or the help of a command.
func newHelp() *cobra.Command {
	return &cobra.Command{
		Use:   "help [TOPIC]",
		Short: "Print a page of help",
		Long:  "Print a page of help. Topics: " + strings.Join(sqhelp.Topics(), ", ") + ".",
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				if page, ok := sqhelp.Page(args[0]); ok {
					_, err := fmt.Fprint(cmd.OutOrStdout(), page)
					return err
				}
			}
			about, rest, err := cmd.Root().Find(args)
			if err != nil || len(rest) > 0 {
				return errors.Errorf("there is no help on %q; topics: %s",
					strings.Join(args, " "), strings.Join(sqhelp.Topics(), ", "))
			}
			return about.Help()
		},
	}
}
