package main

import (
	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqsimtarget"
)

func newTarget() *cobra.Command {
	var file string
	var fromFlags sqsimtarget.Config
	c := &cobra.Command{
		Use:   "target",
		Short: "Serve one instance of a service, with faults to inject",
		Long: `Serve one instance of a service. It announces itself to the daemon at
--localAddress, renews the announcement, and on SIGTERM drains and withdraws it.

On --controlAddress:
  GET, PUT /v1/behaviour   its simulated faults, such as {"slow":5,"shedAbove":20}:
                           slow, coldFor, coldFactor, shedAbove, shedAll, failEvery,
                           truncateEvery, hangEvery, crossEvery, loadLie, loadLies
  GET /v1/runs             every call that it received, and its outcome`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg := fromFlags
			if file != "" {
				var err error
				if cfg, err = sqsimtarget.Load(file); err != nil {
					return err
				}
			}
			t := sqsimtarget.Target{Config: cfg}
			return t.Run(c.Context())
		},
	}
	f := c.Flags()
	f.StringVar(&file, "settings", "", "TOML file with all settings; the other flags are then ignored")
	f.StringVar((*string)(&fromFlags.Name), "name", "", "name of the target")
	f.StringVar((*string)(&fromFlags.Service), "service", "", "service of which it is an instance")
	f.StringVar(&fromFlags.Address, "address", "", "address on which calls are served, as IP:port")
	f.StringVar(&fromFlags.ControlAddress, "controlAddress", "", "address of the control API, as IP:port; if empty, it is not served")
	f.StringVar(&fromFlags.LocalAddress, "localAddress", "", "the daemon's localAddress; if empty, the target is not announced and makes no nested calls")
	f.IntVar((*int)(&fromFlags.Slots), "slots", 1, "number of calls that run concurrently")
	f.StringVar(&fromFlags.ServiceTime.Kind, "serviceTimeKind", sqsimtarget.KindFixed, "distribution of service times, fixed or exponential")
	f.TextVar(&fromFlags.ServiceTime.Mean, "serviceTime", sqsettings.Span(0), "mean service time, such as 5ms")
	f.Int64Var((*int64)(&fromFlags.AnswerBytes), "answerBytes", 0, "size of the filler in each successful answer, in bytes")
	f.Uint64Var(&fromFlags.Seed, "seed", 1, "seed of the service times")
	f.Var((*nestedFlag)(&fromFlags.Nested), "call", "nested call that each run makes, as \"service /path\"; may be repeated")
	f.BoolVar(&fromFlags.Parallel, "parallel", false, "make the nested calls concurrently")
	return c
}

// nestedFlag is a repeatable flag that collects nested calls.
type nestedFlag []sqsimtarget.NestedCall

// String returns an empty string because the flag has no default.
func (n *nestedFlag) String() string { return "" }

// Type returns the name that the help text shows for the flag's value.
func (n *nestedFlag) Type() string { return "call" }

// Set adds a call written as "service /path".
func (n *nestedFlag) Set(text string) error {
	service, path, err := splitCall(text)
	if err != nil {
		return err
	}
	*n = append(*n, sqsimtarget.NestedCall{Service: sqid.ServiceID(service), Path: path})
	return nil
}
