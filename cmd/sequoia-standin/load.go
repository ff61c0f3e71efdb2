package main

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
)

func newLoad() *cobra.Command {
	var settings, samples, output string
	c := &cobra.Command{
		Use:   "load",
		Short: "Send open-loop load and account for every answer",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := sqload.LoadConfig(settings)
			if err != nil {
				return err
			}
			result, err := sqload.Run(c.Context(), cfg)
			if err != nil {
				return err
			}
			if err := writeSamples(samples, result); err != nil {
				return err
			}
			return writeResult(c, output, result)
		},
	}
	c.Flags().StringVar(&settings, "settings", "", "TOML file with entries, workspaces and phases")
	c.Flags().StringVar(&samples, "samples", "", "file to write every request to, as JSON lines")
	c.Flags().StringVar(&output, "output", "text", "text or json")
	_ = c.MarkFlagRequired("settings")
	return c
}

func writeResult(c *cobra.Command, output string, result *sqload.Result) error {
	if output == "json" {
		return json.NewEncoder(c.OutOrStdout()).Encode(result)
	}
	return result.WriteTable(c.OutOrStdout())
}

func writeSamples(file string, result *sqload.Result) (err error) {
	if file == "" {
		return nil
	}
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "samples")
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return result.WriteSamples(f)
}

// splitCall splits "service /path".
func splitCall(text string) (service, path string, err error) {
	service, path, ok := strings.Cut(text, " ")
	if !ok || !strings.HasPrefix(path, "/") {
		return "", "", errors.Errorf("%q is not \"service /path\"", text)
	}
	return service, path, nil
}
