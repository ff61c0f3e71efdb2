package sqadmin

import (
	"encoding/json"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// Status is the daemon's state as reported to operators.
type Status struct {
	Daemon      sqid.DaemonID     `json:"daemon"`
	DataCentre  sqid.DataCentreID `json:"dataCentre"`
	Region      sqid.RegionID     `json:"region"`
	Incarnation sqid.Incarnation  `json:"incarnation"`
	// Revision is the revision of the lists in force at this daemon.
	Revision sqid.Revision `json:"revision"`
	// ListsAge is the time since the platform last confirmed the lists, absent if it
	// never has.
	ListsAge *sqsettings.Span `json:"listsAge,omitempty"`
	// Watcher is whether this daemon watches the platform's store on behalf of its data
	// centre.
	Watcher bool `json:"watcher"`
	// Stopping is whether the daemon is stopping gracefully.
	Stopping    bool         `json:"stopping"`
	DataCentres []DataCentre `json:"dataCentres"`
	Peers       []Peer       `json:"peers"`
	Shards      []Shard      `json:"shards"`
	Targets     []Target     `json:"targets"`
}

// DataCentre describes the lists in a data centre, as far as the daemon knows.
type DataCentre struct {
	Name   sqid.DataCentreID `json:"name"`
	Region sqid.RegionID     `json:"region,omitempty"`
	// Revision is the lowest known revision that is in force there.
	Revision sqid.Revision `json:"revision"`
	// Age is the age of the evidence for the revision, absent if there is none.
	Age *sqsettings.Span `json:"age,omitempty"`
	// Daemons is the number of daemons there that are known to be alive.
	Daemons int `json:"daemons"`
}

// Peer is another daemon of the fleet.
type Peer struct {
	Daemon      sqid.DaemonID     `json:"daemon"`
	DataCentre  sqid.DataCentreID `json:"dataCentre"`
	Region      sqid.RegionID     `json:"region,omitempty"`
	Address     string            `json:"address"`
	Incarnation sqid.Incarnation  `json:"incarnation"`
	// State is the peer's membership state, such as alive or suspect.
	State string `json:"state"`
}

// Shard is a shard of its data centre's shared state that the daemon owns as keeper.
type Shard struct {
	Shard sqid.ShardID `json:"shard"`
	Epoch sqid.Epoch   `json:"epoch"`
	// State is the shard's state in the ledger, such as keeping or waiting.
	State string `json:"state"`
}

// Target is a target on the daemon's host.
type Target struct {
	Target   sqid.TargetID  `json:"target"`
	Service  sqid.ServiceID `json:"service"`
	Address  string         `json:"address,omitempty"`
	Slots    squnit.Slots   `json:"slots"`
	InFlight int            `json:"inFlight"`
	Queued   int            `json:"queued"`
	Draining bool           `json:"draining"`
}

// Check is the body of a request to validate lists. The list in force stands in for one
// that is left out or null.
type Check struct {
	Workspaces json.RawMessage `json:"workspaces,omitempty"`
	Plans      json.RawMessage `json:"plans,omitempty"`
}

// Accepted is the answer to an accepted change, with its revision, and to a passed
// check, with the revision in force.
type Accepted struct {
	Revision sqid.Revision `json:"revision"`
}

type health struct {
	Healthy bool `json:"healthy"`
}

type readiness struct {
	Ready bool `json:"ready"`
}
