// Package sqsimtarget is the stand-in for a target, one instance of a service:
// a server with a limited number of slots, a configurable service time, nested
// calls through its daemon, and simulated faults that can be changed at run
// time. It records every call that it receives, so that checks can compare the
// answers to callers with what the target did.
package sqsimtarget

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// Config describes a stand-in target. It is read from a TOML file.
type Config struct {
	// Name is the target's name within its daemon.
	Name sqid.TargetID `toml:"name"`
	// Service is the service of which the target is an instance.
	Service sqid.ServiceID `toml:"service"`
	// Address is the address on which calls are served, as IP:port.
	Address string `toml:"address"`
	// ControlAddress is the address of the control API, which changes the
	// behaviour and returns the record. If it is empty, the API is not served.
	ControlAddress string `toml:"controlAddress"`
	// LocalAddress is the daemon's address for local targets. If it is empty, the
	// target is not announced and makes no nested calls.
	LocalAddress string `toml:"localAddress"`
	// Slots is the number of calls that run concurrently; further calls wait.
	Slots squnit.Slots `toml:"slots"`
	// AnnouncedSlots is the number of slots announced to the daemon; 0 means
	// Slots.
	AnnouncedSlots squnit.Slots `toml:"announcedSlots"`
	// ServiceTime is the duration of a run without its nested calls.
	ServiceTime ServiceTime `toml:"serviceTime"`
	// Nested are the calls that each run makes through the daemon.
	Nested []NestedCall `toml:"nested"`
	// Parallel makes the nested calls concurrently instead of in order.
	Parallel bool `toml:"parallel"`
	// AnswerBytes is the size of the filler in each successful answer.
	AnswerBytes squnit.Bytes `toml:"answerBytes"`
	// Seed is the seed of the service times.
	Seed uint64 `toml:"seed"`
	// RecordFile is the file to which the record is appended as JSON when the
	// target shuts down; if it is empty, none is written.
	RecordFile string `toml:"recordFile"`
	// Behaviour is the initial behaviour.
	Behaviour Behaviour `toml:"behaviour"`
}

// The distributions of service times.
const (
	KindFixed       = "fixed"
	KindExponential = "exponential"
)

// ServiceTime is a distribution of service times.
type ServiceTime struct {
	// Kind is KindFixed or KindExponential; empty means KindFixed.
	Kind string `toml:"kind"`
	// Mean is the mean time.
	Mean sqsettings.Span `toml:"mean"`
}

// Draw returns a service time drawn from the distribution.
func (s ServiceTime) Draw(r *rand.Rand) time.Duration {
	if s.Kind == KindExponential {
		return time.Duration(r.ExpFloat64() * float64(s.Mean))
	}
	return time.Duration(s.Mean)
}

// NestedCall describes a call that each run makes to another service.
type NestedCall struct {
	Service sqid.ServiceID `toml:"service"`
	Path    string         `toml:"path"`
	// Method is GET if it is empty.
	Method string `toml:"method"`
}

// Load reads and checks a Config from a TOML file.
func Load(file string) (Config, error) {
	var cfg Config
	if err := sqsettings.ReadFile(file, &cfg); err != nil {
		return Config{}, err
	}
	return cfg, cfg.Check()
}

// Check returns an error for the first invalid field.
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
