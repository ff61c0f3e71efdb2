// Package sqsettings reads and validates a daemon's settings, a TOML file. The whole
// file is validated before the daemon starts anything, and all faults are reported,
// not just the first.
package sqsettings

import (
	"cmp"
	"encoding"
	"fmt"
	"math"
	"os"
	"reflect"
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

// Settings are the settings of one daemon.
type Settings struct {
	// DaemonName must be unique in the fleet.
	DaemonName sqid.DaemonID     `toml:"daemonName"`
	DataCentre sqid.DataCentreID `toml:"dataCentre"`
	Region     sqid.RegionID     `toml:"region"`
	// The daemon listens on CallerAddress for callers, on LocalAddress for the
	// targets of its host, on PeerAddress for other daemons and on AdminAddress
	// for operators. All are IP:port.
	CallerAddress string `toml:"callerAddress"`
	LocalAddress  string `toml:"localAddress"`
	PeerAddress   string `toml:"peerAddress"`
	AdminAddress  string `toml:"adminAddress"`
	// PlatformAddresses are the addresses of the platform's store.
	PlatformAddresses []string `toml:"platformAddresses"`
	// SeedPeers are peer addresses of daemons through which to join the fleet.
	SeedPeers []string `toml:"seedPeers"`
	// AdminKeyDigests are the digests of the operators' keys.
	AdminKeyDigests []sqid.KeyDigest `toml:"adminKeyDigests"`
	// StopTimeout bounds a graceful stop.
	StopTimeout Span `toml:"stopTimeout"`
	// StaleListsAfter is the age from which the lists of workspaces and plans no
	// longer admit callers; 0 sets no limit.
	StaleListsAfter Span `toml:"staleListsAfter"`
	// LinkBytesPerSecond is the bandwidth that calls may use on the link from
	// this daemon's region to each other region, for all daemons of the region
	// together.
	LinkBytesPerSecond squnit.Bytes `toml:"linkBytesPerSecond"`
	Log                Log          `toml:"log"`
	// Policy decides on calls under load. The naive policies are baselines for
	// comparison.
	Policy Policy `toml:"policy"`
	// Interface is the protocol that callers, targets and operators use.
	Interface Interface `toml:"interface"`
	// Memory configures the garbage collector.
	Memory Memory `toml:"memory"`
	// Platform is used only with the interface "platform".
	Platform Platform `toml:"platform"`
}

// Interface names the protocol that callers, targets and operators use.
type Interface string

// The interfaces.
const (
	// InterfaceNative is this project's own protocol.
	InterfaceNative Interface = "native"
	// InterfacePlatform is the outside protocol that the adapter in platform/
	// implements.
	InterfacePlatform Interface = "platform"
)

// Memory are the settings of the garbage collector.
type Memory struct {
	// Limit is the memory that the process may use. The runtime's soft memory limit is a
	// part of it.
	Limit Size `toml:"limit"`
	// GrowthPercent is by how much the heap may grow between two collections, in
	// percent (GOGC). A higher value takes less processor time.
	GrowthPercent int `toml:"growthPercent"`
}

// Platform are the settings of the interface "platform": the addresses that it
// requires, and the limits that it imposes.
type Platform struct {
	// ReadyAddress is the address at which the daemon answers readiness checks.
	ReadyAddress string `toml:"readyAddress"`
	// Service is the service of the host's target, TargetAddress the target's
	// address.
	Service       sqid.ServiceID `toml:"service"`
	TargetAddress string         `toml:"targetAddress"`
	// AnnounceEvery is the period of the targets' announcements (heartbeats).
	AnnounceEvery Span `toml:"announceEvery"`
	// DataCentres maps every data centre to its region.
	DataCentres map[sqid.DataCentreID]sqid.RegionID `toml:"dataCentres"`
	Retry       Retry                               `toml:"retry"`
	// WatchersPerRegion is the number of daemons of each region that watch the store,
	// spread over its data centres. The others get what they read by gossip.
	WatchersPerRegion int `toml:"watchersPerRegion"`
}

// Retry bounds the retries of calls to each service, over the whole fleet. Within any
// span of Window, at most Ratio times the number of requests, plus Slack, may be retries.
type Retry struct {
	Ratio  float64 `toml:"ratio"`
	Window Span    `toml:"window"`
	Slack  float64 `toml:"slack"`
}

// Policy names an admission and retry policy.
type Policy string

// The policies.
const (
	// PolicyFull is this project's own policy.
	PolicyFull Policy = "full"
	// PolicyFixed limits each target to its announced slots, admits calls in
	// order of arrival, and retries without a budget.
	PolicyFixed Policy = "fixed"
	// PolicyNone sets no limit at targets.
	PolicyNone Policy = "none"
)

// Log are the settings of the log.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string `toml:"level"`
}

// Span is a duration that is written in a file as Go writes it, such as "1500ms".
type Span time.Duration

// UnmarshalText sets s from a duration in Go's notation.
func (s *Span) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is no duration such as \"1500ms\"", text)
	}
	*s = Span(v)
	return nil
}

// MarshalText returns s in Go's notation.
func (s Span) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
}

// Size is a number of bytes, written in a file as a whole number, or as text with the unit
// MB (1,000,000 bytes), such as "284.5MB".
type Size squnit.Bytes

// bytesPerMB is the number of bytes in the unit MB.
const bytesPerMB = 1_000_000

// maxSize bounds a size, so that arithmetic with it can't overflow.
const maxSize = 1 << 50

// UnmarshalText sets s from a number of bytes or of MB.
func (s *Size) UnmarshalText(text []byte) error {
	number, inMB := strings.CutSuffix(string(text), "MB")
	v, err := strconv.ParseFloat(strings.ReplaceAll(number, "_", ""), 64)
	if inMB {
		v = math.Round(v * bytesPerMB)
	}
	if err != nil || math.Abs(v) > maxSize || v != math.Trunc(v) {
		return errors.Errorf("%q is no whole number of bytes, and no number of MB such as \"284.5MB\"", text)
	}
	*s = Size(v)
	return nil
}

// MarshalText returns s in bytes.
func (s Size) MarshalText() ([]byte, error) {
	return strconv.AppendInt(nil, int64(s), 10), nil
}

const (
	defaultStopTimeout        = 30 * time.Second
	defaultLogLevel           = "info"
	defaultLinkBytesPerSecond = squnit.Bytes(3_000_000)
	// defaultMemoryLimit is the memory limit of a daemon in a fleet of the size that
	// the project is designed for.
	defaultMemoryLimit   = Size(256 << 20)
	defaultGrowthPercent = 400
	// defaultAnnounceEvery is a common heartbeat period.
	defaultAnnounceEvery = 1500 * time.Millisecond
	// defaultWatchersPerRegion lets a change reach a region directly while the store
	// refuses, or a network partition cuts off, several of its watchers.
	defaultWatchersPerRegion = 8
)

// defaultRetry is a common retry budget: a tenth of the requests of the last 10 s.
var defaultRetry = Retry{Ratio: 0.1, Window: Span(10 * time.Second)}

// Defaults returns the settings that apply where a file does not set a field.
func Defaults() Settings {
	return Settings{
		StopTimeout: Span(defaultStopTimeout), Log: Log{Level: defaultLogLevel}, Policy: PolicyFull,
		LinkBytesPerSecond: defaultLinkBytesPerSecond, Interface: InterfaceNative,
		Memory: Memory{Limit: defaultMemoryLimit, GrowthPercent: defaultGrowthPercent},
		Platform: Platform{
			AnnounceEvery: Span(defaultAnnounceEvery), WatchersPerRegion: defaultWatchersPerRegion, Retry: defaultRetry,
		},
	}
}

// Fault is one error in a settings file.
type Fault struct {
	File string
	// Field is the path of the field in the file, or a word in parentheses for
	// an error of more than one field: "(syntax)", "(addresses)".
	Field string
	// Message says what is wrong with the field.
	Message string
}

// String returns the fault as "file: field: what is wrong".
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: %s", f.File, f.Field, f.Message)
}

// Faults are all errors in a settings file, sorted by field.
type Faults []Fault

// Error returns the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a settings file. If the file could be read, the error is
// of type Faults.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, text)
}

// Parse validates the settings in text. The name file is used in faults only. The
// error is of type Faults. A field whose value can't be decoded gets no second fault for
// that value.
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

// decode decodes text into cfg. It decodes into a map first, so that unknown fields
// are reported even if the value of another field can't be decoded.
func decode(file string, text []byte, cfg *Settings) Faults {
	var raw map[string]any
	faults := Faults{}
	if err := toml.Unmarshal(text, &raw); err == nil {
		for _, field := range unknownFields(raw, reflect.TypeFor[Settings](), nil) {
			faults = append(faults, Fault{File: file, Field: field, Message: "unknown field"})
		}
	}
	err := toml.Unmarshal(text, cfg)
	if err == nil {
		return faults
	}
	if decodeErr, ok := errors.Into[*toml.DecodeError](err); ok {
		row, column := decodeErr.Position()
		field := cmp.Or(fieldName(decodeErr.Key()), "(syntax)")
		what := fmt.Sprintf("line %d, column %d: %s", row, column, decodeErr.Error())
		if value, ok := lookup(raw, decodeErr.Key()); ok {
			if allowed := allowedFor(reflect.TypeFor[Settings](), decodeErr.Key()); allowed != "" {
				what = fmt.Sprintf("line %d, column %d: is %#v, must be %s", row, column, value, allowed)
			}
		}
		return append(faults, Fault{File: file, Field: field, Message: what})
	}
	if unreadable := unreadableTexts(raw, reflect.TypeFor[Settings](), nil); len(unreadable) > 0 {
		for _, f := range unreadable {
			f.File = file
			faults = append(faults, f)
		}
		return faults
	}
	return append(faults, Fault{File: file, Field: "(syntax)", Message: err.Error()})
}

// unreadableTexts returns the faults of the values of a table that their fields in the
// struct type t, which parse text, reject. The decoder's own errors of values that are not
// strings name no field.
func unreadableTexts(table map[string]any, t reflect.Type, path toml.Key) Faults {
	var faults Faults
	for name, value := range table {
		field, ok := fieldByTag(t, name)
		if !ok {
			continue
		}
		key := append(slices.Clone(path), name)
		if inner, ok := value.(map[string]any); ok && field.Type.Kind() == reflect.Struct {
			faults = append(faults, unreadableTexts(inner, field.Type, key)...)
		}
		if u, ok := reflect.New(field.Type).Interface().(encoding.TextUnmarshaler); ok {
			if err := u.UnmarshalText(fmt.Append(nil, value)); err != nil {
				faults = append(faults, Fault{Field: fieldName(key), Message: err.Error()})
			}
		}
	}
	slices.SortFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Field, b.Field) })
	return faults
}

// lookup returns the value of a key in a table.
func lookup(table map[string]any, key toml.Key) (any, bool) {
	var value any = table
	for _, name := range key {
		t, ok := value.(map[string]any)
		if !ok {
			return nil, false
		}
		if value, ok = t[name]; !ok {
			return nil, false
		}
	}
	return value, true
}

// allowedFor returns what the field of the struct type t at a key may be, empty if its type
// says that itself.
func allowedFor(t reflect.Type, key toml.Key) string {
	for _, name := range key {
		if t.Kind() != reflect.Struct {
			return ""
		}
		field, ok := fieldByTag(t, name)
		if !ok {
			return ""
		}
		t = field.Type
	}
	if reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return ""
	}
	switch t.Kind() {
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.String:
		return "text in quotes"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "a table"
	}
	return ""
}

// fieldByTag returns the field of a struct type with a name in files.
func fieldByTag(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); f.Tag.Get("toml") == name {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

// unknownFields returns the fields of a table, and of the tables in it, that the struct
// type t does not have, each with its full path.
func unknownFields(table map[string]any, t reflect.Type, path toml.Key) []string {
	known := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		known[t.Field(i).Tag.Get("toml")] = t.Field(i).Type
	}
	var fields []string
	for name, value := range table {
		key := append(slices.Clone(path), name)
		field, ok := known[name]
		if !ok {
			fields = append(fields, fieldName(key))
			continue
		}
		if inner, ok := value.(map[string]any); ok && field.Kind() == reflect.Struct {
			fields = append(fields, unknownFields(inner, field, key)...)
		}
	}
	slices.Sort(fields)
	return fields
}

// bareKey matches a TOML key that needs no quotes.
var bareKey = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// fieldName returns a dotted TOML key, quoted where necessary and free of line breaks.
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

// Differences returns the names of the top-level fields in which a and b differ. A
// table is one field.
func Differences(a, b Settings) []string {
	var fields []string
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			fields = append(fields, x.Type().Field(i).Tag.Get("toml"))
		}
	}
	return fields
}
