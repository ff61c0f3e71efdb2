package main

import (
	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqtargetstand"
)

func newTarget() *cobra.Command {
	var file string
	var flags sqtargetstand.Config
	c := &cobra.Command{
		Use:   "target",
		Short: "Serve one instance of a service, with faults that can be switched",
		Long: `Serve one instance of a service. It announces itself to the daemon at
--localAddress, renews, and at SIGTERM drains and withdraws itself.

On --controlAddress:
  GET, PUT /v1/behaviour   what it does wrong, such as {"slow":5,"shedAbove":20}:
                           slow, coldFor, coldFactor, shedAbove, shedAll, failEvery,
                           truncateEvery, hangEvery, crossEvery, loadLie, loadLies
  GET /v1/runs             every call that reached it, and what became of it`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg := flags
			if file != "" {
				var err error
				if cfg, err = sqtargetstand.Load(file); err != nil {
					return err
				}
			}
			t := sqtargetstand.Target{Config: cfg}
			return t.Run(c.Context())
		},
	}
	f := c.Flags()
	f.StringVar(&file, "settings", "", "TOML file with all settings, instead of the other flags")
	f.StringVar((*string)(&flags.Name), "name", "", "name of the target")
	f.StringVar((*string)(&flags.Service), "service", "", "service that it is an instance of")
	f.StringVar(&flags.Address, "address", "", "IP:port to serve calls on")
	f.StringVar(&flags.ControlAddress, "controlAddress", "", "IP:port to switch behaviour and read the record on")
	f.StringVar(&flags.LocalAddress, "localAddress", "", "the daemon's local address, empty for none")
	f.IntVar((*int)(&flags.Slots), "slots", 1, "calls that run at once")
	f.StringVar(&flags.ServiceTime.Kind, "serviceTimeKind", sqtargetstand.KindFixed, "fixed or exponential")
	f.TextVar(&flags.ServiceTime.Mean, "serviceTime", sqsettings.Span(0), "mean service time, such as 5ms")
	f.Int64Var((*int64)(&flags.AnswerBytes), "answerBytes", 0, "size of the filler in each answer")
	f.Uint64Var(&flags.Seed, "seed", 1, "seed of the service times")
	f.Var((*nestedFlag)(&flags.Nested), "call", "nested call as \"service /path\"; may be repeated")
	f.BoolVar(&flags.Parallel, "parallel", false, "make the nested calls at once")
	return c
}

// nestedFlag collects nested calls.
type nestedFlag []sqtargetstand.NestedCall

// String returns nothing: there is no default.
func (n *nestedFlag) String() string { return "" }

// Type names the flag's form in the help text.
func (n *nestedFlag) Type() string { return "call" }

// Set adds a call written as "service /path".
func (n *nestedFlag) Set(text string) error {
	service, path, err := splitCall(text)
	if err != nil {
		return err
	}
	*n = append(*n, sqtargetstand.NestedCall{Service: sqid.ServiceID(service), Path: path})
	return nil
}
