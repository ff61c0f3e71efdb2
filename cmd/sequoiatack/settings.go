package main

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
)

func newSettings() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "Check settings files"}
	cmd.AddCommand(newSettingsCheck())
	addOutputFlag(cmd)
	return cmd
}

// settingsFault is the JSON form of sqsettings.Fault, which converts to it.
type settingsFault struct {
	File    string `json:"file"`
	Field   string `json:"field"`
	Message string `json:"what"`
}

func newSettingsCheck() *cobra.Command {
	var show bool
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Report every error in a settings file",
		Long:  "Report every error in a settings file as \"file: field: what is wrong\". The exit status is 2 if there are any.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := sqsettings.Load(args[0])
			if err != nil {
				return printFaults(cmd, args[0], err)
			}
			if !show {
				return nil
			}
			text, err := toml.Marshal(cfg)
			if err != nil {
				return errors.Wrap(err, "encode settings")
			}
			_, err = cmd.OutOrStdout().Write(text)
			return err
		},
	}
	cmd.Flags().BoolVar(&show, "show", false, "if the file is valid, print the settings with their defaults")
	return cmd
}

// printFaults prints the errors in a settings file, and returns an exitError with the
// status exitFaults.
func printFaults(cmd *cobra.Command, file string, err error) error {
	faults, ok := errors.Into[sqsettings.Faults](err)
	if !ok {
		faults = sqsettings.Faults{{File: file, Field: "(file)", Message: err.Error()}}
	}
	list := make([]settingsFault, len(faults))
	for i, f := range faults {
		list[i] = settingsFault(f)
	}
	if err := printOutput(cmd, list, func(w io.Writer) { fmt.Fprintln(w, faults) }); err != nil {
		return err
	}
	return &exitError{code: exitFaults}
}
