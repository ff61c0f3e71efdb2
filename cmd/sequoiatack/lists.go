package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqadmin"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqoperator"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

func newLists() *cobra.Command {
	o := new(operatorFlags)
	cmd := &cobra.Command{
		Use:   "lists",
		Short: "Read and change the lists of workspaces and plans",
	}
	cmd.AddCommand(newListsGet(o), newListsCheck(o), newListsDiff(o), newListsApply(o))
	o.register(cmd)
	return cmd
}

func parseKind(arg string) (sqlists.Kind, error) {
	switch k := sqlists.Kind(arg); k {
	case sqlists.KindWorkspaces, sqlists.KindPlans:
		return k, nil
	}
	return "", errors.Errorf("%q is neither workspaces nor plans", arg)
}

// listOutput is the JSON output of "lists get".
type listOutput struct {
	Revision sqid.Revision   `json:"revision"`
	List     json.RawMessage `json:"list"`
}

func newListsGet(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "get workspaces|plans",
		Short: "Print the list in force, and its revision to stderr",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			k, err := parseKind(args[0])
			if err != nil {
				return err
			}
			c, err := o.client()
			if err != nil {
				return err
			}
			body, revision, err := c.Get(cmd.Context(), k)
			if err != nil {
				return withExitCode(err)
			}
			return printOutput(cmd, listOutput{Revision: revision, List: body}, func(w io.Writer) {
				var pretty bytes.Buffer
				_ = json.Indent(&pretty, body, "", "  ")
				fmt.Fprintln(w, pretty.String())
				fmt.Fprintln(cmd.ErrOrStderr(), "revision", revision)
			})
		},
	}
}

func newListsCheck(o *operatorFlags) *cobra.Command {
	var workspaces, plans string
	cmd := &cobra.Command{
		Use:   "check [--workspaces FILE] [--plans FILE]",
		Short: "Report every error in lists, without changing them",
		Long: `Report every error in lists, without changing them. A list without a file
is taken from those in force at the daemon; with both files, no daemon is contacted.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			files := [2]string{workspaces, plans}
			var bodies [2][]byte
			for i, file := range files {
				if file == "" {
					continue
				}
				var err error
				if bodies[i], err = os.ReadFile(file); err != nil {
					return err
				}
			}
			if workspaces != "" && plans != "" {
				_, err := sqlists.Parse(bodies[0], bodies[1])
				return withExitCode(err)
			}
			c, err := o.client()
			if err != nil {
				return err
			}
			return withExitCode(c.Check(cmd.Context(), bodies[0], bodies[1]))
		},
	}
	cmd.Flags().StringVar(&workspaces, "workspaces", "", "file with the list of workspaces")
	cmd.Flags().StringVar(&plans, "plans", "", "file with the list of plans")
	return cmd
}

func newListsDiff(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "diff workspaces|plans FILE",
		Short: "Print how a file differs from the list in force",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			k, err := parseKind(args[0])
			if err != nil {
				return err
			}
			content, err := os.ReadFile(args[1])
			if err != nil {
				return err
			}
			proposed, err := sqlists.Canonical(k, content)
			if err != nil {
				return withExitCode(err)
			}
			c, err := o.client()
			if err != nil {
				return err
			}
			inForce, _, err := c.Get(cmd.Context(), k)
			if err != nil {
				return withExitCode(err)
			}
			differences, err := sqoperator.Diff(inForce, proposed)
			if err != nil {
				return err
			}
			return printOutput(cmd, differences, func(w io.Writer) { printDiff(w, differences) })
		},
	}
}

func printDiff(w io.Writer, differences []sqoperator.Difference) {
	for _, d := range differences {
		fmt.Fprintf(w, "%s %s\n", d.Action, d.Name)
		if d.Old != nil {
			fmt.Fprintf(w, "  - %s\n", d.Old)
		}
		if d.New != nil {
			fmt.Fprintf(w, "  + %s\n", d.New)
		}
	}
}

func newListsApply(o *operatorFlags) *cobra.Command {
	var baseRevision string
	cmd := &cobra.Command{
		Use:   "apply workspaces|plans FILE --revision N",
		Short: "Replace a list with the contents of a file",
		Long: `Replace a list with the contents of a file. N is the revision that the change
is based on, as printed by "lists get"; if either list has changed since, the
change is refused and the exit status is 3.`,
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			k, err := parseKind(args[0])
			if err != nil {
				return err
			}
			n, err := strconv.ParseUint(baseRevision, 10, 64)
			if err != nil {
				return errors.New("--revision must be a number, as printed by \"lists get\"")
			}
			content, err := os.ReadFile(args[1])
			if err != nil {
				return err
			}
			c, err := o.client()
			if err != nil {
				return err
			}
			revision, err := c.Put(cmd.Context(), k, sqid.Revision(n), content)
			if err != nil {
				return withExitCode(err)
			}
			return printOutput(cmd, sqadmin.Accepted{Revision: revision}, func(w io.Writer) {
				fmt.Fprintln(w, "accepted as revision", revision)
			})
		},
	}
	cmd.Flags().StringVar(&baseRevision, "revision", "", "the revision that the change is based on")
	_ = cmd.MarkFlagRequired("revision")
	return cmd
}

// withExitCode wraps err in an exitError if the exit status depends on its kind.
func withExitCode(err error) error {
	if _, ok := errors.Into[sqlists.Faults](err); ok {
		return &exitError{code: exitFaults, err: err}
	}
	p, ok := errors.Into[*sqoperator.ProblemError](err)
	switch {
	case !ok:
		return err
	case p.Status == http.StatusUnprocessableEntity:
		return &exitError{code: exitFaults, err: err}
	case p.Status == http.StatusPreconditionFailed:
		return &exitError{code: exitConflict, err: err}
	case p.Run == "unknown":
		return &exitError{code: exitUnknown, err: err}
	}
	return err
}
