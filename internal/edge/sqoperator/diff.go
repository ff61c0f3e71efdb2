package sqoperator

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

// Action is the effect of a change on one entry of a list.
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

// Diff compares two JSON lists by the names of their entries. It returns the entries of
// the old list that were removed or changed, then those that were added, each group in
// the order of its list.
func Diff(before, after []byte) ([]Difference, error) {
	oldEntries, oldNames, err := entries(before)
	if err != nil {
		return nil, errors.Wrap(err, "list in force")
	}
	newEntries, newNames, err := entries(after)
	if err != nil {
		return nil, err
	}
	differences := []Difference{}
	for _, name := range oldNames {
		entry, kept := newEntries[name]
		switch {
		case !kept:
			differences = append(differences, Difference{Action: Removed, Name: name, Old: oldEntries[name]})
		case !bytes.Equal(oldEntries[name], entry):
			differences = append(differences, Difference{Action: Changed, Name: name, Old: oldEntries[name], New: entry})
		}
	}
	for _, name := range newNames {
		if _, existed := oldEntries[name]; !existed {
			differences = append(differences, Difference{Action: Added, Name: name, New: newEntries[name]})
		}
	}
	return differences, nil
}

// entries returns a list's entries by name, and the names in the order of the list.
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
