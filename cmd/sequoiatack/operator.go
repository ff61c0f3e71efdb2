package main

import (
	"cmp"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqoperator"
)

// The environment variables that are used without the flags --keyFile and --address.
const (
	keyEnv     = "SEQUOIATACK_KEY"
	addressEnv = "SEQUOIATACK_ADDRESS"
)

// operatorFlags are the flags of the commands that call a daemon's admin API.
type operatorFlags struct {
	address string
	keyFile string
}

// register adds the flags to cmd and its subcommands.
func (o *operatorFlags) register(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&o.address, "address", "", "adminAddress of any daemon as IP:port; by default from the environment variable "+addressEnv)
	flags.StringVar(&o.keyFile, "keyFile", "", "file with the operator's key; by default the key is read from the environment variable "+keyEnv)
	addOutputFlag(cmd)
}

// client returns a client of the daemon that the flags or the environment name.
func (o *operatorFlags) client() (*sqoperator.Client, error) {
	address := cmp.Or(o.address, os.Getenv(addressEnv))
	if address == "" {
		return nil, errors.New("no daemon's address: set --address or " + addressEnv)
	}
	key := os.Getenv(keyEnv)
	if o.keyFile != "" {
		content, err := os.ReadFile(o.keyFile)
		if err != nil {
			return nil, errors.Wrap(err, "operator's key")
		}
		key = strings.TrimSpace(string(content))
	}
	if key == "" {
		return nil, errors.New("no operator's key: set --keyFile or " + keyEnv)
	}
	return &sqoperator.Client{Address: address, Key: key}, nil
}
