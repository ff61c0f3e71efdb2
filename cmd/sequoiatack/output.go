package main

import (
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// Exit statuses other than 0 for success and 1 for any other error.
const (
	// exitFaults means that a file of settings or lists is invalid.
	exitFaults = 2
	// exitConflict means that the lists have changed since the revision on which a
	// change was based.
	exitConflict = 3
	// exitUnknown means that it is unknown whether a change was accepted.
	exitUnknown = 4
)

const outputFlag = "output"

// exitError ends the program with an exit status. If err is nil, no message is
// printed: the command has already printed what is wrong.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the wrapped error, or an empty string without one.
func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// ExitCode returns the exit status.
func (e *exitError) ExitCode() int { return e.code }

// addOutputFlag adds the flag --output to cmd and its subcommands.
func addOutputFlag(cmd *cobra.Command) {
	cmd.PersistentFlags().String(outputFlag, "text", "output format, text or json")
}

// wantsJSON reports whether --output is json.
func wantsJSON(cmd *cobra.Command) (bool, error) {
	switch format, _ := cmd.Flags().GetString(outputFlag); format {
	case "", "text":
		return false, nil
	case "json":
		return true, nil
	default:
		return false, errors.Errorf("--output %q is neither text nor json", format)
	}
}

// printOutput prints v as JSON or calls printText, depending on --output.
func printOutput(cmd *cobra.Command, v any, printText func(w io.Writer)) error {
	asJSON, err := wantsJSON(cmd)
	if err != nil {
		return err
	}
	if !asJSON {
		printText(cmd.OutOrStdout())
		return nil
	}
	e := json.NewEncoder(cmd.OutOrStdout())
	e.SetIndent("", "  ")
	return e.Encode(v)
}
