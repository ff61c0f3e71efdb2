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
	var settingsFile, samplesFile, output string
	c := &cobra.Command{
		Use:   "load",
		Short: "Send open-loop load and check every answer",
		Long: `Send open-loop load: requests are sent at scheduled times without waiting for
earlier answers, and latency is measured from the scheduled time.
An example of the settings:

  seed = 1
  entries = ["http://127.0.0.1:8080"]
  duration = "10s"
  timeout = "1s"

  [[workspaces]]
  name = "grower"
  key = "sq_..."
  rate = 100
  phases = [{ from = "3s", factor = 5.0 }, { from = "6s", factor = 1.0 }]
  planRate = 120         # the plan's rate, to count refusals of requests within it
  planBurst = 60
  repeats = 2            # maximum number of retries of a failed request
  backoff = "20ms"
  routes = [
    { path = "/calendar/slots", share = 0.7, importance = "normal" },
    { method = "POST", path = "/calendar/bookings", share = 0.3, operations = true, bodyBytes = 200 },
  ]`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := sqload.LoadConfig(settingsFile)
			if err != nil {
				return err
			}
			result, err := sqload.Run(c.Context(), cfg)
			if err != nil {
				return err
			}
			if err := writeSamples(samplesFile, result); err != nil {
				return err
			}
			return writeResult(c, output, result)
		},
	}
	c.Flags().StringVar(&settingsFile, "settings", "", "TOML file with entries, workspaces and phases")
	c.Flags().StringVar(&samplesFile, "samples", "", "file to which each request is written as a line of JSON")
	c.Flags().StringVar(&output, "output", "text", "output format, text or json")
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

// splitCall splits a nested call that is written as "service /path".
func splitCall(text string) (service, path string, err error) {
	service, path, ok := strings.Cut(text, " ")
	if !ok || !strings.HasPrefix(path, "/") {
		return "", "", errors.Errorf("%q is not \"service /path\"", text)
	}
	return service, path, nil
}
