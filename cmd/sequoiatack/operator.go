package main

import (
	"cmp"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqoperator"
)

const (
	keyVariable     = "SEQUOIATACK_KEY"
	addressVariable = "SEQUOIATACK_ADDRESS"
)

// operator has the flags by which an operator reaches a daemon.
type operator struct {
	address string
	keyFile string
}

// add gives cmd and its subcommands the flags.
func (o *operator) add(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&o.address, "address", "", "adminAddress of any daemon, IP:port; or "+addressVariable)
	flags.StringVar(&o.keyFile, "keyFile", "", "file with the operator's key; or "+keyVariable)
	addOutput(cmd)
}

func (o *operator) client() (*sqoperator.Client, error) {
	address := cmp.Or(o.address, os.Getenv(addressVariable))
	if address == "" {
		return nil, errors.New("no daemon's address: set --address or " + addressVariable)
	}
	key := os.Getenv(keyVariable)
	if o.keyFile != "" {
		text, err := os.ReadFile(o.keyFile)
		if err != nil {
			return nil, errors.Wrap(err, "operator's key")
		}
		key = strings.TrimSpace(string(text))
	}
	if key == "" {
		return nil, errors.New("no operator's key: set --keyFile or " + keyVariable)
	}
	return &sqoperator.Client{Address: address, Key: key}, nil
}
