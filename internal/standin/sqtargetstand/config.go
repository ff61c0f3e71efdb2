// Package sqtargetstand is a stand-in for one instance of a service: a server
// with slots, a service time, nested calls and faults that can be switched at
// run time. It records every run, so that checks can compare what callers
// were told with what the target did.
package sqtargetstand

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// Config describes one stand-in target, as in its TOML file.
type Config struct {
	// Name is the target's name within its daemon.
	Name sqid.TargetID `toml:"name"`
	// Service is what the target is an instance of.
	Service sqid.ServiceID `toml:"service"`
	// Address is where calls are served, as IP:port.
	Address string `toml:"address"`
	// ControlAddress is where behaviour is switched and the record is read.
	ControlAddress string `toml:"controlAddress"`
	// LocalAddress is the daemon's; empty announces to none.
	LocalAddress string `toml:"localAddress"`
	// Slots is the number of calls that run at once; the others wait.
	Slots squnit.Slots `toml:"slots"`
	// AnnouncedSlots is what the daemon is told, Slots if it is 0.
	AnnouncedSlots squnit.Slots `toml:"announcedSlots"`
	// ServiceTime is the time of a run without its nested calls.
	ServiceTime ServiceTime `toml:"serviceTime"`
	// Nested are the calls that each run makes through its daemon.
	Nested []NestedCall `toml:"nested"`
	// Parallel makes the nested calls at once rather than in order.
	Parallel bool `toml:"parallel"`
	// AnswerBytes is the size of the filler in each answer.
	AnswerBytes squnit.Bytes `toml:"answerBytes"`
	// Seed seeds the service times.
	Seed uint64 `toml:"seed"`
	// RecordFile gets the record, as JSON, when the target ends; empty for none.
	RecordFile string `toml:"recordFile"`
	// Behaviour holds from the start.
	Behaviour Behaviour `toml:"behaviour"`
}

// The kinds of distribution of service times.
const (
	KindFixed       = "fixed"
	KindExponential = "exponential"
)

// ServiceTime is a distribution of service times.
type ServiceTime struct {
	// Kind is KindFixed or KindExponential; empty is fixed.
	Kind string `toml:"kind"`
	// Mean is the mean time.
	Mean sqsettings.Span `toml:"mean"`
}

// Draw returns one service time.
func (s ServiceTime) Draw(r *rand.Rand) time.Duration {
	if s.Kind == KindExponential {
		return time.Duration(r.ExpFloat64() * float64(s.Mean))
	}
	return time.Duration(s.Mean)
}

// NestedCall is a call that a run makes.
type NestedCall struct {
	Service sqid.ServiceID `toml:"service"`
	Path    string         `toml:"path"`
	// Method is GET if it is empty.
	Method string `toml:"method"`
}

// Load reads a Config from a TOML file.
func Load(file string) (Config, error) {
	var cfg Config
	if err := sqsettings.ReadFile(file, &cfg); err != nil {
		return Config{}, err
	}
	return cfg, cfg.Check()
}

// Check returns an error for the first field that can't be used.
func (c *Config) Check() error {
	switch {
	case c.Name == "":
		return errors.New("name: is required")
	case c.Service == "":
		return errors.New("service: is required")
	case c.Address == "":
		return errors.New("address: is required")
	case c.Slots <= 0:
		return errors.New("slots: must be positive")
	case c.ServiceTime.Kind != "" && c.ServiceTime.Kind != KindFixed && c.ServiceTime.Kind != KindExponential:
		return errors.Errorf("serviceTime.kind: %q is none of fixed, exponential", c.ServiceTime.Kind)
	}
	return nil
}
