package sqadmin

import (
	"encoding/json"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// Status is a daemon's state as it tells operators.
type Status struct {
	Daemon      sqid.DaemonID     `json:"daemon"`
	DataCentre  sqid.DataCentreID `json:"dataCentre"`
	Region      sqid.RegionID     `json:"region"`
	Incarnation sqid.Incarnation  `json:"incarnation"`
	// Revision is that of the lists in force at this daemon.
	Revision sqid.Revision `json:"revision"`
	// ListsAge is how long ago the platform last confirmed the lists, absent
	// if it never did.
	ListsAge *sqsettings.Span `json:"listsAge,omitempty"`
	// Watcher is whether this daemon watches the platform for its data
	// centre.
	Watcher bool `json:"watcher"`
	// Stopping is whether a graceful stop is under way.
	Stopping    bool         `json:"stopping"`
	DataCentres []DataCentre `json:"dataCentres"`
	Peers       []Peer       `json:"peers"`
	Shards      []Shard      `json:"shards"`
	Targets     []Target     `json:"targets"`
}

// DataCentre is what a daemon knows of the lists in a data centre.
type DataCentre struct {
	Name   sqid.DataCentreID `json:"name"`
	Region sqid.RegionID     `json:"region,omitempty"`
	// Revision is the lowest in force that is known there.
	Revision sqid.Revision `json:"revision"`
	// Age is how old the evidence of the revision is, absent if there is
	// none.
	Age *sqsettings.Span `json:"age,omitempty"`
	// Daemons is the number of daemons that are known to be alive there.
	Daemons int `json:"daemons"`
}

// Peer is another daemon.
type Peer struct {
	Daemon      sqid.DaemonID     `json:"daemon"`
	DataCentre  sqid.DataCentreID `json:"dataCentre"`
	Region      sqid.RegionID     `json:"region,omitempty"`
	Address     string            `json:"address"`
	Incarnation sqid.Incarnation  `json:"incarnation"`
	// State is the membership's word for the peer, such as alive or suspect.
	State string `json:"state"`
}

// Shard is a shard of the shared state that the daemon keeps.
type Shard struct {
	Shard sqid.ShardID `json:"shard"`
	Epoch sqid.Epoch   `json:"epoch"`
	// State is the ledger's word for the shard, such as keeping or waiting.
	State string `json:"state"`
}

// Target is a local target.
type Target struct {
	Target   sqid.TargetID  `json:"target"`
	Service  sqid.ServiceID `json:"service"`
	Address  string         `json:"address,omitempty"`
	Slots    squnit.Slots   `json:"slots"`
	InFlight int            `json:"inFlight"`
	Queued   int            `json:"queued"`
	Draining bool           `json:"draining"`
}

// Check is the body of a check of lists; a list that is left out or null is
// that in force.
type Check struct {
	Workspaces json.RawMessage `json:"workspaces,omitempty"`
	Plans      json.RawMessage `json:"plans,omitempty"`
}

// Accepted is the answer to a change, with its revision, and to a check, with
// the revision in force.
type Accepted struct {
	Revision sqid.Revision `json:"revision"`
}

type health struct {
	Healthy bool `json:"healthy"`
}

type readiness struct {
	Ready bool `json:"ready"`
}
