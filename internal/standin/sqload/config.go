// Package sqload is an open-loop load tool: requests are sent at scheduled
// times whatever became of the earlier ones, and latency is counted from the
// scheduled time.
package sqload

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// The kinds of arrivals.
const (
	ArrivalsPoisson = "poisson"
	ArrivalsFixed   = "fixed"
)

// Config describes one run of the load tool, as in its TOML file.
type Config struct {
	// Seed seeds arrivals, routes and entries.
	Seed uint64 `toml:"seed"`
	// Entries are where requests are sent, such as http://127.0.0.1:8080.
	Entries []string `toml:"entries"`
	// Direct sends to targets themselves: no key, and no Sequoia-Run expected.
	Direct bool `toml:"direct"`
	// H2C speaks HTTP/2 without TLS.
	H2C bool `toml:"h2c"`
	// Duration is how long requests are scheduled.
	Duration sqsettings.Span `toml:"duration"`
	// Arrivals is ArrivalsPoisson, the default, or ArrivalsFixed.
	Arrivals string `toml:"arrivals"`
	// Timeout is what each request asks for, 2s if it is 0.
	Timeout sqsettings.Span `toml:"timeout"`
	// MaxInFlight bounds the requests under way; what is beyond is counted as
	// not sent. It is 20,000 if it is 0.
	MaxInFlight int `toml:"maxInFlight"`
	// Workspaces send side by side.
	Workspaces []Workspace `toml:"workspaces"`
}

// Workspace is one workspace's load.
type Workspace struct {
	Name sqid.WorkspaceID `toml:"name"`
	// Key is the caller's key; empty sends none.
	Key string `toml:"key"`
	// Rate is offered in requests a second, without repeats.
	Rate squnit.Rate `toml:"rate"`
	// Phases change the rate over time.
	Phases []Phase `toml:"phases"`
	// PlanRate and PlanBurst are those of the plan. If PlanRate is positive,
	// attempts inside it that are refused for rate are counted.
	PlanRate  squnit.Rate   `toml:"planRate"`
	PlanBurst squnit.Tokens `toml:"planBurst"`
	// Repeats is how often a failed request is sent again.
	Repeats int `toml:"repeats"`
	// Backoff is the wait before a repeat; hard clients have next to none.
	Backoff sqsettings.Span `toml:"backoff"`
	Routes  []Route         `toml:"routes"`
}

// Phase multiplies a rate from a time on.
type Phase struct {
	From   sqsettings.Span `toml:"from"`
	Factor float64         `toml:"factor"`
}

// Route is one kind of request.
type Route struct {
	// Method is GET if it is empty.
	Method string `toml:"method"`
	Path   string `toml:"path"`
	// Share is the route's part of the requests, relative to the others'; 0 is 1.
	Share float64 `toml:"share"`
	// Importance is what the plan gives to the route, for the accounts alone.
	Importance squnit.Importance `toml:"importance"`
	// Operations sends an Idempotency-Key with each request.
	Operations bool `toml:"operations"`
	// BodyBytes is the size of the body.
	BodyBytes squnit.Bytes `toml:"bodyBytes"`
}

func (r Route) method() string {
	if r.Method == "" {
		return http.MethodGet
	}
	return r.Method
}

const (
	defaultTimeout     = 2 * time.Second
	defaultMaxInFlight = 20_000
)

func (c *Config) timeout() time.Duration {
	if c.Timeout == 0 {
		return defaultTimeout
	}
	return time.Duration(c.Timeout)
}

func (c *Config) maxInFlight() int {
	if c.MaxInFlight == 0 {
		return defaultMaxInFlight
	}
	return c.MaxInFlight
}

// LoadConfig reads a Config from a TOML file.
func LoadConfig(file string) (Config, error) {
	var cfg Config
	if err := sqsettings.ReadFile(file, &cfg); err != nil {
		return Config{}, err
	}
	return cfg, cfg.Check()
}

// Check returns an error for the first field that can't be used.
func (c *Config) Check() error {
	switch {
	case len(c.Entries) == 0:
		return errors.New("entries: is required")
	case c.Duration <= 0:
		return errors.New("duration: must be positive")
	case len(c.Workspaces) == 0:
		return errors.New("workspaces: is required")
	case c.Arrivals != "" && c.Arrivals != ArrivalsFixed && c.Arrivals != ArrivalsPoisson:
		return errors.Errorf("arrivals: %q is none of poisson, fixed", c.Arrivals)
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		if w.Rate <= 0 || len(w.Routes) == 0 {
			return errors.Errorf("workspaces[%d]: needs a positive rate and routes", i)
		}
	}
	return nil
}
