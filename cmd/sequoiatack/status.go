package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqadmin"
)

func newStatus() *cobra.Command {
	o := new(operatorFlags)
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Print a daemon's state and its view of the fleet",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			s, err := c.Status(cmd.Context())
			if err != nil {
				return withExitCode(err)
			}
			return printOutput(cmd, s, func(w io.Writer) { printStatus(w, &s) })
		},
	}
	o.register(cmd)
	return cmd
}

func printStatus(w io.Writer, s *sqadmin.Status) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintf(t, "daemon\t%s\tin %s, %s, incarnation %d\n", s.Daemon, s.DataCentre, s.Region, s.Incarnation)
	fmt.Fprintf(t, "lists\trevision %d\tconfirmed %s\n", s.Revision, formatAge(s.ListsAge))
	for _, d := range s.DataCentres {
		fmt.Fprintf(t, "data centre\t%s\trevision %d, seen %s, %d daemons\n", d.Name, d.Revision, formatAge(d.Age), d.Daemons)
	}
	for _, p := range s.Peers {
		fmt.Fprintf(t, "peer\t%s\t%s in %s at %s\n", p.Daemon, p.State, p.DataCentre, p.Address)
	}
	printShards(t, s.Shards)
	for _, target := range s.Targets {
		state := fmt.Sprintf("%d of %d slots, %d queued", target.InFlight, target.Slots, target.Queued)
		if target.Draining {
			state += ", draining"
		}
		fmt.Fprintf(t, "target\t%s\tof %s, %s\n", target.Target, target.Service, state)
	}
}

// printShards prints a line for each range of consecutive shards with the same epoch
// and state.
func printShards(w io.Writer, shards []sqadmin.Shard) {
	for len(shards) > 0 {
		first, n := shards[0], 1
		for n < len(shards) && shards[n] == (sqadmin.Shard{Shard: first.Shard + sqid.ShardID(n), Epoch: first.Epoch, State: first.State}) {
			n++
		}
		name := fmt.Sprint(first.Shard)
		if n > 1 {
			name += fmt.Sprintf("-%d", shards[n-1].Shard)
		}
		fmt.Fprintf(w, "shards\t%s\t%s, epoch %d\n", name, first.State, first.Epoch)
		shards = shards[n:]
	}
}

// formatAge returns the age rounded to milliseconds, or "never" if it is nil.
func formatAge(age *sqsettings.Span) string {
	if age == nil {
		return "never"
	}
	return time.Duration(*age).Round(time.Millisecond).String() + " ago"
}
