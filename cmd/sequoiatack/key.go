package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// newKeyAnswer is a key with its digest.
type newKeyAnswer struct {
	Key    string         `json:"key"`
	Digest sqid.KeyDigest `json:"digest"`
}

func newKey() *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Make keys"}
	cmd.AddCommand(&cobra.Command{
		Use:   "new",
		Short: "Make a key and its digest",
		Long:  "Make a random key. The digest goes into a list or into settings, the key to its holder alone.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			key := sqid.NewKey()
			made := newKeyAnswer{Key: key, Digest: sqid.DigestKey(key)}
			return printAnswer(cmd, made, func(w io.Writer) {
				fmt.Fprintf(w, "key     %s\ndigest  %s\n", made.Key, made.Digest)
			})
		},
	})
	addOutput(cmd)
	return cmd
}
