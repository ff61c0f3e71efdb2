// Package squnit holds the units that decisions are made in.
package squnit

import "github.com/go-faster/errors"

// Rate is in requests a second.
type Rate float64

// Tokens is an amount of requests that may be admitted.
type Tokens float64

// Bytes is a size in bytes.
type Bytes int64

// Slots is a number of calls that a target can run at once.
type Slots int

// Weight is a workspace's claim on a contended target, relative to others'.
type Weight float64

// Share is a part of the calls of one kind, 0 to 1.
type Share float64

// Depth is the number of calls above a call; the caller's own has depth 0.
type Depth int

// Credit is a number of extra attempts.
type Credit int

// Importance orders calls when load must be shed: the lowest goes first. The
// named levels are ImportanceSteps apart, so that requests of one level can be
// put in order among themselves.
type Importance uint8

// The named levels of importance, lowest first.
const (
	ImportanceLow      Importance = 0
	ImportanceNormal   Importance = 4
	ImportanceHigh     Importance = 8
	ImportanceCritical Importance = 12

	// ImportanceSteps is the number of steps from one named level to the next.
	ImportanceSteps = 4
	// ImportanceLevels is the number of all levels.
	ImportanceLevels = 16
)

var importanceNames = [ImportanceLevels / ImportanceSteps]string{"low", "normal", "high", "critical"}

// Named returns the place of the named level at or below i, 0 for the lowest.
func (i Importance) Named() int {
	return min(int(i), ImportanceLevels-1) / ImportanceSteps
}

// String returns the name of the named level at or below i.
func (i Importance) String() string {
	if int(i) >= ImportanceLevels {
		return "invalid"
	}
	return importanceNames[i.Named()]
}

// MarshalText returns the level's name in the lists.
func (i Importance) MarshalText() ([]byte, error) {
	if int(i) >= ImportanceLevels {
		return nil, errors.Errorf("importance %d is out of range", i)
	}
	return []byte(i.String()), nil
}

// UnmarshalText sets i from the level's name in the lists.
func (i *Importance) UnmarshalText(text []byte) error {
	for level, name := range importanceNames {
		if name == string(text) {
			*i = Importance(level * ImportanceSteps)
			return nil
		}
	}
	return errors.Errorf("importance %q is none of critical, high, normal, low", text)
}

// RunState says whether a target has run a request. The zero value is
// RunUnknown, the only one that is always true.
type RunState uint8

const (
	// RunUnknown says that the target may or may not have run the request.
	RunUnknown RunState = iota
	// RunNot says that no byte of the request reached a target.
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
