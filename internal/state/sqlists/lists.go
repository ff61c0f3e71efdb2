// Package sqlists holds the operators' two lists: the plans that workspaces
// may hold, and the workspaces with their keys.
package sqlists

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// EveryonePlan is the name of the plan whose uses are open to all.
const EveryonePlan sqid.PlanID = "everyone"

// Workspace is one entry of the list of workspaces.
type Workspace struct {
	Name       sqid.WorkspaceID `json:"name"`
	Plan       sqid.PlanID      `json:"plan"`
	KeyDigests []sqid.KeyDigest `json:"keyDigests"`
}

// Plan is one entry of the list of plans.
type Plan struct {
	Name sqid.PlanID `json:"name"`
	// Rate is in requests a second over the whole fleet.
	Rate squnit.Rate `json:"rate"`
	// Burst is in requests over the whole fleet.
	Burst  squnit.Tokens `json:"burst"`
	Weight squnit.Weight `json:"weight"`
	Uses   []Use         `json:"uses"`
}

// Use allows requests to a service. Empty methods or paths allow all.
type Use struct {
	Service sqid.ServiceID `json:"service"`
	Methods []string       `json:"methods,omitempty"`
	// Paths are prefixes of whole path segments, such as "/orders".
	Paths      []string          `json:"paths,omitempty"`
	Importance squnit.Importance `json:"importance"`
	// NonIdempotent is whether a request may run at most once. Without it,
	// POST and PATCH are non-idempotent and other methods are not.
	NonIdempotent *bool    `json:"nonIdempotent,omitempty"`
	Timeout       Duration `json:"timeout,omitempty"`
	// Retries is the credit of extra attempts for a whole request.
	Retries squnit.Credit `json:"retries,omitempty"`
}

// Lists are both lists at one revision.
type Lists struct {
	Revision   sqid.Revision `json:"revision"`
	Workspaces []Workspace   `json:"workspaces"`
	Plans      []Plan        `json:"plans"`
}

// Duration is a time span written as in "1500ms".
type Duration time.Duration

// MarshalText returns the span in Go's form.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText sets d from Go's form; a negative span is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := parseSpan(string(text))
	*d = Duration(v)
	return err
}
