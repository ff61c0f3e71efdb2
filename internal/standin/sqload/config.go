// Package sqload is an open-loop load generator: it sends requests at scheduled
// times without waiting for earlier answers, and measures latency from the
// scheduled time. It also checks that each answer is complete and belongs to
// its request.
package sqload

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// The arrival processes: exponential gaps with the mean of the rate, or equal
// gaps.
const (
	ArrivalsPoisson = "poisson"
	ArrivalsFixed   = "fixed"
)

// Config describes one run of the load generator. It is read from a TOML file.
type Config struct {
	// Seed is the seed of arrival times and of the choice of routes and entries.
	Seed uint64 `toml:"seed"`
	// Entries are the base URLs to which requests are sent, such as
	// http://127.0.0.1:8080.
	Entries []string `toml:"entries"`
	// Direct is set if the entries are targets rather than daemons. Requests
	// then carry no key, and answers name no workspace.
	Direct bool `toml:"direct"`
	// H2C selects HTTP/2 without TLS instead of HTTP/1.1.
	H2C bool `toml:"h2c"`
	// Duration is the time during which requests are scheduled.
	Duration sqsettings.Span `toml:"duration"`
	// Arrivals is ArrivalsPoisson, the default, or ArrivalsFixed.
	Arrivals string `toml:"arrivals"`
	// Timeout is the Sequoia-Timeout of each attempt; 0 means 2s.
	Timeout sqsettings.Span `toml:"timeout"`
	// MaxInFlight limits the requests in flight; requests beyond it are counted
	// as not sent. 0 means 20,000.
	MaxInFlight int `toml:"maxInFlight"`
	// Workspaces send concurrently, each on its own schedule.
	Workspaces []Workspace `toml:"workspaces"`
}

// Workspace describes the load of one workspace.
type Workspace struct {
	Name sqid.WorkspaceID `toml:"name"`
	// Key is the caller's key; if it is empty, none is sent.
	Key string `toml:"key"`
	// Rate is the offered load in requests per second, not counting retries.
	Rate squnit.Rate `toml:"rate"`
	// Phases change the rate over time.
	Phases []Phase `toml:"phases"`
	// PlanRate and PlanBurst are the rate and burst of the workspace's plan. If
	// PlanRate is positive, attempts within it that are refused for exceeding
	// the rate are counted.
	PlanRate  squnit.Rate   `toml:"planRate"`
	PlanBurst squnit.Tokens `toml:"planBurst"`
	// Repeats is the maximum number of retries of a failed request.
	Repeats int `toml:"repeats"`
	// Backoff is the wait before a retry; aggressive clients have almost none.
	Backoff sqsettings.Span `toml:"backoff"`
	Routes  []Route         `toml:"routes"`
}

// Phase multiplies the rate by Factor from the time From, counted from the start
// of the run, until the next phase.
type Phase struct {
	From   sqsettings.Span `toml:"from"`
	Factor float64         `toml:"factor"`
}

// Route describes one kind of request.
type Route struct {
	// Method is GET if it is empty.
	Method string `toml:"method"`
	Path   string `toml:"path"`
	// Weight is the relative weight with which the route is chosen; 0 means 1.
	Weight float64 `toml:"share"`
	// Importance is the importance that the plan gives to the route. It only
	// groups results.
	Importance squnit.Importance `toml:"importance"`
	// Operations makes each request an operation: its attempts carry the same
	// Idempotency-Key.
	Operations bool `toml:"operations"`
	// BodyBytes is the size of the request body.
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

// LoadConfig reads and checks a Config from a TOML file.
func LoadConfig(file string) (Config, error) {
	var cfg Config
	if err := sqsettings.ReadFile(file, &cfg); err != nil {
		return Config{}, err
	}
	return cfg, cfg.Check()
}

// Check returns an error for the first invalid field.
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
