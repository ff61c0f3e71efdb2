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
	o := new(operator)
	cmd := &cobra.Command{
		Use:   "lists",
		Short: "Read and change the lists of workspaces and plans",
	}
	cmd.AddCommand(newListsGet(o), newListsCheck(o), newListsDiff(o), newListsApply(o))
	o.add(cmd)
	return cmd
}

func kindArg(arg string) (sqlists.Kind, error) {
	switch k := sqlists.Kind(arg); k {
	case sqlists.KindWorkspaces, sqlists.KindPlans:
		return k, nil
	}
	return "", errors.Errorf("%q is neither workspaces nor plans", arg)
}

// listAnswer is a list with its revision.
type listAnswer struct {
	Revision sqid.Revision   `json:"revision"`
	List     json.RawMessage `json:"list"`
}

func newListsGet(o *operator) *cobra.Command {
	return &cobra.Command{
		Use:   "get workspaces|plans",
		Short: "Print a list in force, and its revision on stderr",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			k, err := kindArg(args[0])
			if err != nil {
				return err
			}
			c, err := o.client()
			if err != nil {
				return err
			}
			body, revision, err := c.Get(cmd.Context(), k)
			if err != nil {
				return failure(err)
			}
			return printAnswer(cmd, listAnswer{Revision: revision, List: body}, func(w io.Writer) {
				var pretty bytes.Buffer
				_ = json.Indent(&pretty, body, "", "  ")
				fmt.Fprintln(w, pretty.String())
				fmt.Fprintln(cmd.ErrOrStderr(), "revision", revision)
			})
		},
	}
}

func newListsCheck(o *operator) *cobra.Command {
	var workspaces, plans string
	cmd := &cobra.Command{
		Use:   "check [--workspaces FILE] [--plans FILE]",
		Short: "Report every fault of lists, and change nothing",
		Long: `Report every fault of lists, and change nothing. A list that is left out
is that in force at the daemon; with both, no daemon is asked.`,
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
				return failure(err)
			}
			c, err := o.client()
			if err != nil {
				return err
			}
			return failure(c.Check(cmd.Context(), bodies[0], bodies[1]))
		},
	}
	cmd.Flags().StringVar(&workspaces, "workspaces", "", "file with a list of workspaces")
	cmd.Flags().StringVar(&plans, "plans", "", "file with a list of plans")
	return cmd
}

func newListsDiff(o *operator) *cobra.Command {
	return &cobra.Command{
		Use:   "diff workspaces|plans FILE",
		Short: "Print what a file would change of a list in force",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			k, err := kindArg(args[0])
			if err != nil {
				return err
			}
			text, err := os.ReadFile(args[1])
			if err != nil {
				return err
			}
			after, err := sqlists.Canonical(k, text)
			if err != nil {
				return failure(err)
			}
			c, err := o.client()
			if err != nil {
				return err
			}
			before, _, err := c.Get(cmd.Context(), k)
			if err != nil {
				return failure(err)
			}
			differences, err := sqoperator.Diff(before, after)
			if err != nil {
				return err
			}
			return printAnswer(cmd, differences, func(w io.Writer) { printDiff(w, differences) })
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

func newListsApply(o *operator) *cobra.Command {
	var base string
	cmd := &cobra.Command{
		Use:   "apply workspaces|plans FILE --revision N",
		Short: "Replace a list by a file",
		Long: `Replace a list by a file. N is the revision that the change is based on;
if the lists have changed since, nothing is changed and the program ends 3.`,
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			k, err := kindArg(args[0])
			if err != nil {
				return err
			}
			n, err := strconv.ParseUint(base, 10, 64)
			if err != nil {
				return errors.New("--revision must be the one that \"lists get\" printed")
			}
			text, err := os.ReadFile(args[1])
			if err != nil {
				return err
			}
			c, err := o.client()
			if err != nil {
				return err
			}
			revision, err := c.Put(cmd.Context(), k, sqid.Revision(n), text)
			if err != nil {
				return failure(err)
			}
			return printAnswer(cmd, sqadmin.Accepted{Revision: revision}, func(w io.Writer) {
				fmt.Fprintln(w, "accepted as revision", revision)
			})
		},
	}
	cmd.Flags().StringVar(&base, "revision", "", "the revision that the change is based on")
	_ = cmd.MarkFlagRequired("revision")
	return cmd
}

// failure gives an error the status that the program ends with.
func failure(err error) error {
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
