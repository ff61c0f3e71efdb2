package sqlists

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// MaxListBytes is the largest size of one list, as sent and as stored.
const MaxListBytes = 1_000_000

const (
	defaultWeight     = squnit.Weight(1)
	defaultImportance = squnit.ImportanceNormal

	placeWorkspaces = "workspaces"
	placePlans      = "plans"
)

// Parse reads and checks both lists. Its error is Faults and has every fault
// of either list.
func Parse(workspaces, plans []byte) (Lists, error) {
	var l Lists
	var faults Faults
	l.Workspaces = parseWorkspaces(workspaces, &faults)
	l.Plans = parsePlans(plans, &faults)
	faults.merge(check(l, !faults.at(placePlans)))
	return l, faults.err()
}

// Canonical returns one list in the form in which it is held, with its
// defaults filled in. Its error is Faults that concern reading alone; Check
// has the others.
func Canonical(k Kind, body []byte) ([]byte, error) {
	var faults Faults
	var list any
	if k == KindPlans {
		list = parsePlans(body, &faults)
	} else {
		list = parseWorkspaces(body, &faults)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	text, err := json.Marshal(list)
	if err != nil {
		return nil, errors.Wrap(err, "encode list")
	}
	return text, nil
}

// field reads the value of one field, which lies at place.
type field func(place string, raw json.RawMessage)

func parseWorkspaces(body []byte, faults *Faults) []Workspace {
	workspaces := []Workspace{}
	document(placeWorkspaces, body, faults, func(place string, raw json.RawMessage) {
		w := Workspace{KeyDigests: []sqid.KeyDigest{}}
		object(place, raw, faults, map[string]field{
			"name":       into(&w.Name, faults),
			"plan":       into(&w.Plan, faults),
			"keyDigests": into(&w.KeyDigests, faults),
		})
		workspaces = append(workspaces, w)
	})
	return workspaces
}

func parsePlans(body []byte, faults *Faults) []Plan {
	plans := []Plan{}
	document(placePlans, body, faults, func(place string, raw json.RawMessage) {
		p := Plan{Weight: defaultWeight, Uses: []Use{}}
		object(place, raw, faults, map[string]field{
			"name":   into(&p.Name, faults),
			"rate":   into(&p.Rate, faults),
			"burst":  into(&p.Burst, faults),
			"weight": into(&p.Weight, faults),
			"uses": func(place string, raw json.RawMessage) {
				array(place, raw, faults, func(place string, raw json.RawMessage) {
					p.Uses = append(p.Uses, parseUse(place, raw, faults))
				})
			},
		})
		plans = append(plans, p)
	})
	return plans
}

func parseUse(place string, raw json.RawMessage, faults *Faults) Use {
	u := Use{Importance: defaultImportance}
	object(place, raw, faults, map[string]field{
		"service":       into(&u.Service, faults),
		"methods":       into(&u.Methods, faults),
		"paths":         into(&u.Paths, faults),
		"importance":    into(&u.Importance, faults),
		"nonIdempotent": into(&u.NonIdempotent, faults),
		"retries":       into(&u.Retries, faults),
		"timeout": func(place string, raw json.RawMessage) {
			before := len(*faults)
			into(&u.Timeout, faults)(place, raw)
			if u.Timeout == 0 && len(*faults) == before {
				faults.add(place, "must be at least %v", minTimeout)
			}
		},
	})
	return u
}

// document reads a body that is one array.
func document(place string, body []byte, faults *Faults, f field) {
	if len(body) > MaxListBytes {
		faults.add(place, "has %d bytes, more than %d", len(body), MaxListBytes)
		return
	}
	var raw json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		faults.add(place, "%s", syntax(body, err))
		return
	}
	array(place, raw, faults, f)
}

func syntax(body []byte, err error) string {
	bad, ok := errors.Into[*json.SyntaxError](err)
	if !ok {
		return err.Error()
	}
	before := body[:min(int(bad.Offset), len(body))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return fmt.Sprintf("line %d, column %d: %s", line, column, bad.Error())
}

func array(place string, raw json.RawMessage, faults *Faults, f field) {
	var items []json.RawMessage
	if !isKind(raw, '[') || json.Unmarshal(raw, &items) != nil {
		faults.add(place, "must be an array")
		return
	}
	for i, item := range items {
		f(fmt.Sprintf("%s[%d]", place, i), item)
	}
}

// object reads an object's fields; one that is unknown or comes twice is a
// fault, one that is null counts as left out.
func object(place string, raw json.RawMessage, faults *Faults, fields map[string]field) {
	if !isKind(raw, '{') {
		faults.add(place, "must be an object")
		return
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	_, _ = d.Token()
	seen := make(map[string]bool)
	for d.More() {
		// The document's syntax is good, so that no token can fail.
		token, _ := d.Token()
		name, _ := token.(string)
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			faults.add(place, "%v", err)
			return
		}
		at := place + "." + name
		read, ok := fields[name]
		switch {
		case !ok:
			faults.add(at, "unknown field")
		case seen[name]:
			faults.add(at, "comes twice")
		case !isKind(value, 'n'):
			read(at, value)
		}
		seen[name] = true
	}
}

func isKind(raw json.RawMessage, first byte) bool {
	return len(raw) > 0 && raw[0] == first
}

// into returns a field that is stored in v.
func into[T any](v *T, faults *Faults) field {
	return func(place string, raw json.RawMessage) {
		err := json.Unmarshal(raw, v)
		if err == nil {
			return
		}
		if bad, ok := errors.Into[*json.UnmarshalTypeError](err); ok {
			faults.add(place, "%s does not fit, needs %s", bad.Value, jsonKind(bad.Type.Kind()))
			return
		}
		faults.add(place, "%s", err.Error())
	}
}

// jsonKind returns JSON's name of a kind of value.
func jsonKind(k reflect.Kind) string {
	switch k {
	case reflect.Slice:
		return "array"
	case reflect.Float64:
		return "number"
	case reflect.Int:
		return "whole number"
	case reflect.Bool:
		return "true or false"
	}
	return k.String()
}
