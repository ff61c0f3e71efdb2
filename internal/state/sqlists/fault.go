package sqlists

import (
	"fmt"
	"slices"
	"strings"
)

// Fault is one validation error of a list.
type Fault struct {
	// Path is the path of the faulty value, such as
	// "plans[2].uses[0].timeout".
	Path string
	// What says what is wrong with it.
	What string
}

// String returns the fault as "path: what is wrong".
func (f Fault) String() string {
	return f.Path + ": " + f.What
}

// Faults are the validation errors of lists.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) add(place, format string, args ...any) {
	*f = append(*f, Fault{Path: place, What: fmt.Sprintf(format, args...)})
}

// merge adds the faults of others, except those at or below the path of a fault
// that f has already: they would only follow from it.
func (f *Faults) merge(others Faults) {
	known := slices.Clone(*f)
	for _, o := range others {
		if !slices.ContainsFunc(known, func(k Fault) bool { return k.covers(o.Path) }) {
			*f = append(*f, o)
		}
	}
}

// covers reports whether place is f's path or below it.
func (f Fault) covers(place string) bool {
	rest, ok := strings.CutPrefix(place, f.Path)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

// has reports whether there is a fault at exactly this path.
func (f Faults) has(place string) bool {
	return slices.ContainsFunc(f, func(o Fault) bool { return o.Path == place })
}

// err returns f as an error, nil if there is no fault.
func (f Faults) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
