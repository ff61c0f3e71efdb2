// Package sqlists holds the two lists that operators maintain: the plans, and
// the workspaces (customers) with their keys and plans.
//
// Accepted lists are stored in the platform's key-value service: a body for each
// list, whose key has the body's digest, and one head record, which references
// the bodies of the newest revision. The daemons that are watchers follow the
// head and gossip the lists to the others. While the platform is unavailable,
// daemons keep the lists that they have; Stale decides when the last evidence
// that these are the newest is too old.
package sqlists

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// EveryonePlan is the name of the plan whose uses are open to all callers, also
// without a key.
const EveryonePlan sqid.PlanID = "everyone"

// Workspace is an entry of the list of workspaces.
type Workspace struct {
	Name       sqid.WorkspaceID `json:"name"`
	Plan       sqid.PlanID      `json:"plan"`
	KeyDigests []sqid.KeyDigest `json:"keyDigests"`
}

// Plan is an entry of the list of plans. It sets the rate of each workspace that
// has the plan and the requests that the workspace may send.
type Plan struct {
	Name sqid.PlanID `json:"name"`
	// Rate is in requests per second over the whole fleet.
	Rate squnit.Rate `json:"rate"`
	// Burst is in requests over the whole fleet.
	Burst  squnit.Tokens `json:"burst"`
	Weight squnit.Weight `json:"weight"`
	Uses   []Use         `json:"uses"`
}

// Use allows requests to a service. Without methods or paths it allows all
// methods or paths.
type Use struct {
	Service sqid.ServiceID `json:"service"`
	Methods []string       `json:"methods,omitempty"`
	// Paths are prefixes of whole path segments, such as "/orders".
	Paths      []string          `json:"paths,omitempty"`
	Importance squnit.Importance `json:"importance"`
	// NonIdempotent is whether a request may run at most once. If it is not
	// set, POST and PATCH are non-idempotent and other methods are not.
	NonIdempotent *bool    `json:"nonIdempotent,omitempty"`
	Timeout       Duration `json:"timeout,omitempty"`
	// Retries is the credit: the number of further attempts allowed to a
	// request and its nested calls together.
	Retries squnit.Credit `json:"retries,omitempty"`
}

// Lists are both lists at the same revision.
type Lists struct {
	Revision   sqid.Revision `json:"revision"`
	Workspaces []Workspace   `json:"workspaces"`
	Plans      []Plan        `json:"plans"`
}

// Duration is a duration that is written as a string such as "1500ms".
type Duration time.Duration

// MarshalText returns the duration in the format of time.Duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses the format of time.ParseDuration; a negative duration is
// an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := parseDuration(string(text))
	*d = Duration(v)
	return err
}
