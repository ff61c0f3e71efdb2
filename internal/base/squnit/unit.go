// Package squnit defines the quantities that decisions on load are made in, each as a
// type of its own, so that one can't be passed as another.
package squnit

import "github.com/go-faster/errors"

// Rate is a number of requests per second.
type Rate float64

// Tokens is a number of requests that a token bucket admits.
type Tokens float64

// Bytes is a size in bytes, or a bandwidth in bytes per second.
type Bytes int64

// Slots is the number of calls that a target can run concurrently.
type Slots int

// Weight is a workspace's weight in the fair sharing of a contended target, relative
// to those of other workspaces.
type Weight float64

// Share is a fraction of the calls of one kind, from 0 to 1.
type Share float64

// Depth is the depth of a call in its request's tree of calls: 0 for the caller's own,
// 1 for those that its target makes, and so on.
type Depth int

// Credit is the number of further attempts allowed to a request and its nested calls.
type Credit int

// Importance is the priority of a call when load must be shed: the lowest is shed
// first. The named levels are ImportanceSteps apart; the values between them order
// requests of the same named level.
type Importance uint8

// The named levels of importance, lowest first.
const (
	ImportanceLow      Importance = 0
	ImportanceNormal   Importance = 4
	ImportanceHigh     Importance = 8
	ImportanceCritical Importance = 12

	// ImportanceSteps is the distance from one named level to the next.
	ImportanceSteps = 4
	// ImportanceLevels is the number of valid values, named levels and those
	// between.
	ImportanceLevels = 16
)

var importanceNames = [ImportanceLevels / ImportanceSteps]string{"low", "normal", "high", "critical"}

// NamedIndex returns the index of the named level at or below i: 0 for low, 3 for
// critical.
func (i Importance) NamedIndex() int {
	return min(int(i), ImportanceLevels-1) / ImportanceSteps
}

// String returns the name of the named level at or below i, "invalid" if i is out of
// range.
func (i Importance) String() string {
	if int(i) >= ImportanceLevels {
		return "invalid"
	}
	return importanceNames[i.NamedIndex()]
}

// MarshalText returns the level's name as written in the lists. A value between two
// named levels becomes the lower one.
func (i Importance) MarshalText() ([]byte, error) {
	if int(i) >= ImportanceLevels {
		return nil, errors.Errorf("importance %d is out of range", i)
	}
	return []byte(i.String()), nil
}

// UnmarshalText sets i from a level's name as written in the lists.
func (i *Importance) UnmarshalText(text []byte) error {
	for level, name := range importanceNames {
		if name == string(text) {
			*i = Importance(level * ImportanceSteps)
			return nil
		}
	}
	return errors.Errorf("importance %q is none of critical, high, normal, low", text)
}

// RunState says whether a target has run a request. The zero value is RunUnknown, the
// only state that is safe to assume.
type RunState uint8

// The states.
const (
	// RunUnknown says that the target may or may not have run the request.
	RunUnknown RunState = iota
	// RunNot says that no target has run the request: it reached none, or the
	// target refused it.
	RunNot
	// RunDone says that the target ran the request and answered.
	RunDone
)

// String returns the state in the form of the Sequoia-Run header.
func (r RunState) String() string {
	switch r {
	case RunNot:
		return "not-run"
	case RunDone:
		return "run"
	default:
		return "unknown"
	}
}
