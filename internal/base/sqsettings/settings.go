// Package sqsettings reads and checks a daemon's settings. They are checked
// whole before anything starts: every fault is reported, not just the first.
package sqsettings

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// Settings are one daemon's settings, as in its TOML file.
type Settings struct {
	DaemonName        sqid.DaemonID     `toml:"daemonName"`
	DataCentre        sqid.DataCentreID `toml:"dataCentre"`
	Region            sqid.RegionID     `toml:"region"`
	CallerAddress     string            `toml:"callerAddress"`
	LocalAddress      string            `toml:"localAddress"`
	PeerAddress       string            `toml:"peerAddress"`
	AdminAddress      string            `toml:"adminAddress"`
	PlatformAddresses []string          `toml:"platformAddresses"`
	SeedPeers         []string          `toml:"seedPeers"`
	AdminKeyDigests   []sqid.KeyDigest  `toml:"adminKeyDigests"`
	StopTimeout       Span              `toml:"stopTimeout"`
	StaleListsAfter   Span              `toml:"staleListsAfter"`
	// LinkBytesPerSecond is what calls may use of the link from this daemon's
	// region to each other one, over all daemons of the region.
	LinkBytesPerSecond squnit.Bytes `toml:"linkBytesPerSecond"`
	Log                Log          `toml:"log"`
	// Policy is what decides under load; the naive ones are for comparison.
	Policy Policy `toml:"policy"`
}

// Policy names what decides under load.
type Policy string

// The policies.
const (
	// PolicyFull is the product's own.
	PolicyFull Policy = "full"
	// PolicyFixed limits each target to its announced slots, in order of
	// arrival, and retries without a budget.
	PolicyFixed Policy = "fixed"
	// PolicyNone has no limits at targets.
	PolicyNone Policy = "none"
)

// Log are the settings of the log.
type Log struct {
	Level string `toml:"level"`
}

// Span is a time span written as in "1500ms".
type Span time.Duration

// UnmarshalText sets s from Go's form of a duration.
func (s *Span) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is no duration such as \"1500ms\"", text)
	}
	*s = Span(v)
	return nil
}

// MarshalText returns the span in Go's form.
func (s Span) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
}

const (
	defaultStopTimeout = 30 * time.Second
	defaultLogLevel    = "info"
	defaultLinkBytes   = squnit.Bytes(3_000_000)
)

// Defaults returns the settings that hold where a file says nothing.
func Defaults() Settings {
	return Settings{StopTimeout: Span(defaultStopTimeout), Log: Log{Level: defaultLogLevel}, Policy: PolicyFull, LinkBytesPerSecond: defaultLinkBytes}
}

// Fault is one thing that is wrong with a file.
type Fault struct {
	File  string
	Field string
	What  string
}

// String returns the fault as "file: field: what is wrong".
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: %s", f.File, f.Field, f.What)
}

// Faults are all that is wrong with a file, in order of field.
type Faults []Fault

// Error returns the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks the settings in a file. Its error is Faults if the
// file could be read.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, text)
}

// Parse checks the settings in text; file is for the faults alone. Its error
// is Faults.
func Parse(file string, text []byte) (Settings, error) {
	cfg := Defaults()
	faults := decode(file, text, &cfg)
	for _, f := range cfg.check() {
		f.File = file
		if !slices.ContainsFunc(faults, func(g Fault) bool { return g.Field == f.Field }) {
			faults = append(faults, f)
		}
	}
	if len(faults) == 0 {
		return cfg, nil
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Field, b.Field) })
	return Settings{}, faults
}

func decode(file string, text []byte, cfg *Settings) Faults {
	// The strict pass finds every unknown field; a wrong type ends it early.
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(cfg)
	if err == nil {
		return nil
	}
	if missing, ok := errors.Into[*toml.StrictMissingError](err); ok {
		var faults Faults
		for i := range missing.Errors {
			field := fieldName(missing.Errors[i].Key())
			faults = append(faults, Fault{File: file, Field: field, What: "unknown field"})
		}
		return faults
	}
	if bad, ok := errors.Into[*toml.DecodeError](err); ok {
		row, column := bad.Position()
		field := cmp.Or(fieldName(bad.Key()), "(syntax)")
		return Faults{{File: file, Field: field, What: fmt.Sprintf("line %d, column %d: %s", row, column, bad.Error())}}
	}
	return Faults{{File: file, Field: "(syntax)", What: err.Error()}}
}

// bareKey is a key that needs no quotes.
var bareKey = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// fieldName returns a key as it may stand in a file, on one line.
func fieldName(key toml.Key) string {
	parts := make([]string, len(key))
	for i, part := range key {
		parts[i] = part
		if !bareKey.MatchString(part) {
			parts[i] = strconv.Quote(part)
		}
	}
	return strings.Join(parts, ".")
}
