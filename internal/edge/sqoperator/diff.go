package sqoperator

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

// Action is what a change does to one entry of a list.
type Action string

// The actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Difference is one entry that differs between two lists.
type Difference struct {
	Action Action          `json:"action"`
	Name   string          `json:"name"`
	Old    json.RawMessage `json:"old,omitempty"`
	New    json.RawMessage `json:"new,omitempty"`
}

// Diff returns the entries that differ, those of the old list first, each by
// its name.
func Diff(before, after []byte) ([]Difference, error) {
	was, order, err := entries(before)
	if err != nil {
		return nil, errors.Wrap(err, "list in force")
	}
	will, added, err := entries(after)
	if err != nil {
		return nil, err
	}
	differences := []Difference{}
	for _, name := range order {
		next, kept := will[name]
		switch {
		case !kept:
			differences = append(differences, Difference{Action: Removed, Name: name, Old: was[name]})
		case !bytes.Equal(was[name], next):
			differences = append(differences, Difference{Action: Changed, Name: name, Old: was[name], New: next})
		}
	}
	for _, name := range added {
		if _, had := was[name]; !had {
			differences = append(differences, Difference{Action: Added, Name: name, New: will[name]})
		}
	}
	return differences, nil
}

// entries returns a list's entries by name, and the names in order.
func entries(body []byte) (map[string]json.RawMessage, []string, error) {
	var list []json.RawMessage
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, nil, err
	}
	byName := make(map[string]json.RawMessage, len(list))
	names := make([]string, 0, len(list))
	for _, entry := range list {
		var named struct {
			Name string `json:"name"`
		}
		if err := json.Unmarshal(entry, &named); err != nil {
			return nil, nil, err
		}
		byName[named.Name] = entry
		names = append(names, named.Name)
	}
	return byName, names, nil
}
