package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// newKeyOutput is the JSON output of "key new".
type newKeyOutput struct {
	Key    string         `json:"key"`
	Digest sqid.KeyDigest `json:"digest"`
}

func newKey() *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Make keys for operators and workspaces"}
	cmd.AddCommand(&cobra.Command{
		Use:   "new",
		Short: "Make a random key and print it with its digest",
		Long:  "Make a random key. Put the digest into a list or into the settings; give the key only to its user.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			key := sqid.NewKey()
			output := newKeyOutput{Key: key, Digest: sqid.DigestKey(key)}
			return printOutput(cmd, output, func(w io.Writer) {
				fmt.Fprintf(w, "key     %s\ndigest  %s\n", output.Key, output.Digest)
			})
		},
	})
	addOutputFlag(cmd)
	return cmd
}
