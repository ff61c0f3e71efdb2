package sqlists

import (
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing that is wrong with a list, with its place, such as
// "plans[2].uses[0].timeout".
type Fault struct {
	Place string
	What  string
}

// String returns the fault as "place: what is wrong".
func (f Fault) String() string {
	return f.Place + ": " + f.What
}

// Faults are all that is wrong with lists.
type Faults []Fault

// Error returns the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) add(place, format string, args ...any) {
	*f = append(*f, Fault{Place: place, What: fmt.Sprintf(format, args...)})
}

// merge adds those of others that no fault of f at or above their place
// explains.
func (f *Faults) merge(others Faults) {
	known := slices.Clone(*f)
	for _, o := range others {
		if !slices.ContainsFunc(known, func(k Fault) bool { return k.covers(o.Place) }) {
			*f = append(*f, o)
		}
	}
}

// covers reports whether place is that of f or lies below it.
func (f Fault) covers(place string) bool {
	rest, ok := strings.CutPrefix(place, f.Place)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

// at reports whether there is a fault at place itself.
func (f Faults) at(place string) bool {
	return slices.ContainsFunc(f, func(o Fault) bool { return o.Place == place })
}

// err returns f as an error, nil if there is no fault.
func (f Faults) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
