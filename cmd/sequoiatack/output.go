package main

import (
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// Exit statuses beside 0 and 1.
const (
	exitFaults   = 2
	exitConflict = 3
	exitUnknown  = 4
)

const outputFlag = "output"

// exitError ends the program with a status. Without an error nothing more is
// printed.
type exitError struct {
	code int
	err  error
}

// Error returns the cause's text.
func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// ExitCode returns the status.
func (e *exitError) ExitCode() int { return e.code }

// addOutput gives a command the flag --output.
func addOutput(cmd *cobra.Command) {
	cmd.PersistentFlags().String(outputFlag, "text", "text or json")
}

// wantsJSON reports whether --output is json.
func wantsJSON(cmd *cobra.Command) (bool, error) {
	switch form, _ := cmd.Flags().GetString(outputFlag); form {
	case "", "text":
		return false, nil
	case "json":
		return true, nil
	default:
		return false, errors.Errorf("--output %q is neither text nor json", form)
	}
}

// printAnswer writes v as JSON, or calls text, as --output says.
func printAnswer(cmd *cobra.Command, v any, text func(w io.Writer)) error {
	asJSON, err := wantsJSON(cmd)
	if err != nil {
		return err
	}
	if !asJSON {
		text(cmd.OutOrStdout())
		return nil
	}
	e := json.NewEncoder(cmd.OutOrStdout())
	e.SetIndent("", "  ")
	return e.Encode(v)
}
