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

// MaxListBytes is the largest size of one list in bytes, as sent and as stored.
const MaxListBytes = 1_000_000

const (
	defaultWeight     = squnit.Weight(1)
	defaultImportance = squnit.ImportanceNormal

	// The places of faults begin with the name of the list.
	placeWorkspaces = "workspaces"
	placePlans      = "plans"
)

// Parse parses and checks both lists. Its error is Faults with all faults of
// both lists.
func Parse(workspaces, plans []byte) (Lists, error) {
	var l Lists
	var faults Faults
	l.Workspaces = parseWorkspaces(workspaces, &faults)
	l.Plans = parsePlans(plans, &faults)
	faults.merge(check(l, !faults.has(placePlans)))
	return l, faults.err()
}

// Canonical returns one list in its stored form, with defaults filled in. Its
// error is Faults with the parsing faults alone; Check returns the others.
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

// fieldDecoder decodes the value of one field or array item, whose path is place.
type fieldDecoder func(place string, raw json.RawMessage)

func parseWorkspaces(body []byte, faults *Faults) []Workspace {
	workspaces := []Workspace{}
	parseDocument(placeWorkspaces, body, faults, func(place string, raw json.RawMessage) {
		w := Workspace{KeyDigests: []sqid.KeyDigest{}}
		parseObject(place, raw, faults, map[string]fieldDecoder{
			"name":       decodeInto(&w.Name, faults),
			"plan":       decodeInto(&w.Plan, faults),
			"keyDigests": decodeInto(&w.KeyDigests, faults),
		})
		workspaces = append(workspaces, w)
	})
	return workspaces
}

func parsePlans(body []byte, faults *Faults) []Plan {
	plans := []Plan{}
	parseDocument(placePlans, body, faults, func(place string, raw json.RawMessage) {
		p := Plan{Weight: defaultWeight, Uses: []Use{}}
		parseObject(place, raw, faults, map[string]fieldDecoder{
			"name":   decodeInto(&p.Name, faults),
			"rate":   decodeInto(&p.Rate, faults),
			"burst":  decodeInto(&p.Burst, faults),
			"weight": decodeInto(&p.Weight, faults),
			"uses": func(place string, raw json.RawMessage) {
				parseArray(place, raw, faults, func(place string, raw json.RawMessage) {
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
	parseObject(place, raw, faults, map[string]fieldDecoder{
		"service":       decodeInto(&u.Service, faults),
		"methods":       decodeInto(&u.Methods, faults),
		"paths":         decodeInto(&u.Paths, faults),
		"importance":    decodeInto(&u.Importance, faults),
		"nonIdempotent": decodeInto(&u.NonIdempotent, faults),
		"retries":       decodeInto(&u.Retries, faults),
		"timeout": func(place string, raw json.RawMessage) {
			before := len(*faults)
			decodeInto(&u.Timeout, faults)(place, raw)
			if u.Timeout == 0 && len(*faults) == before {
				faults.add(place, "must be at least %v", minTimeout)
			}
		},
	})
	return u
}

// parseDocument parses a body that is one array and calls f with each item.
func parseDocument(place string, body []byte, faults *Faults, f fieldDecoder) {
	if len(body) > MaxListBytes {
		faults.add(place, "has %d bytes, more than %d", len(body), MaxListBytes)
		return
	}
	var raw json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		faults.add(place, "%s", syntaxError(body, err))
		return
	}
	parseArray(place, raw, faults, f)
}

// syntaxError returns the message of a JSON error, with line and column if it is
// a syntax error.
func syntaxError(body []byte, err error) string {
	bad, ok := errors.Into[*json.SyntaxError](err)
	if !ok {
		return err.Error()
	}
	before := body[:min(int(bad.Offset), len(body))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return fmt.Sprintf("line %d, column %d: %s", line, column, bad.Error())
}

// parseArray parses an array and calls f with each item.
func parseArray(place string, raw json.RawMessage, faults *Faults, f fieldDecoder) {
	var items []json.RawMessage
	if !startsWith(raw, '[') || json.Unmarshal(raw, &items) != nil {
		faults.add(place, "must be an array")
		return
	}
	for i, item := range items {
		f(fmt.Sprintf("%s[%d]", place, i), item)
	}
}

// parseObject parses an object and decodes its fields. An unknown or repeated
// field is a fault; a field that is null counts as missing.
func parseObject(place string, raw json.RawMessage, faults *Faults, fields map[string]fieldDecoder) {
	if !startsWith(raw, '{') {
		faults.add(place, "must be an object")
		return
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	_, _ = d.Token()
	seen := make(map[string]bool)
	for d.More() {
		// The syntax of the document was checked, so reading a token can't fail.
		token, _ := d.Token()
		name, _ := token.(string)
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			faults.add(place, "%v", err)
			return
		}
		fieldPlace := place + "." + name
		read, ok := fields[name]
		switch {
		case !ok:
			faults.add(fieldPlace, "unknown field")
		case seen[name]:
			faults.add(fieldPlace, "comes twice")
		case !startsWith(value, 'n'):
			read(fieldPlace, value)
		}
		seen[name] = true
	}
}

func startsWith(raw json.RawMessage, first byte) bool {
	return len(raw) > 0 && raw[0] == first
}

// decodeInto returns a decoder that stores the field's value in v.
func decodeInto[T any](v *T, faults *Faults) fieldDecoder {
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

// jsonKind returns the name, in messages to operators, of the JSON type for a
// Go kind.
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
