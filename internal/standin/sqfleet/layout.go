// Package sqfleet runs a fleet as real processes on loopback: the stand-in
// platform (the key-value store that daemons share), daemons and stand-in
// targets. It writes their settings, waits until they respond, pauses, kills
// and restarts them, reads their metrics and records, and ends them all.
package sqfleet

import (
	"fmt"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqsimtarget"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// Service describes a service and its instances in each data centre. The
// fields from Slots on configure its targets.
type Service struct {
	Name sqid.ServiceID `toml:"name"`
	// Instances is the number of targets in each data centre. Each has its own
	// daemon.
	Instances   int                      `toml:"instances"`
	Slots       squnit.Slots             `toml:"slots"`
	ServiceTime sqsimtarget.ServiceTime  `toml:"serviceTime"`
	Nested      []sqsimtarget.NestedCall `toml:"nested"`
	Parallel    bool                     `toml:"parallel"`
	AnswerBytes squnit.Bytes             `toml:"answerBytes"`
	Behaviour   sqsimtarget.Behaviour    `toml:"behaviour"`
}

// Layout describes the regions, data centres, daemons and services of a fleet.
type Layout struct {
	// Regions is the number of regions.
	Regions int `toml:"regions"`
	// DataCentres is the number of data centres in each region.
	DataCentres int `toml:"dataCentres"`
	// SpareDaemons is the number of daemons without a target in each data
	// centre.
	SpareDaemons int       `toml:"spareDaemons"`
	Services     []Service `toml:"services"`
}

// Placement is the placement of one daemon, with the service of its target if it has
// one.
type Placement struct {
	Daemon     sqid.DaemonID
	DataCentre sqid.DataCentreID
	Region     sqid.RegionID
	// Service is nil for a daemon without a target.
	Service *Service
}

// Placements returns the placements of all daemons, grouped by data centre.
func (l *Layout) Placements() []Placement {
	var placements []Placement
	for r := range l.Regions {
		region := sqid.RegionID(fmt.Sprintf("region%d", r+1))
		for d := range l.DataCentres {
			dc := sqid.DataCentreID(fmt.Sprintf("dc%d%c", r+1, 'a'+rune(d)))
			placements = append(placements, l.inDataCentre(region, dc)...)
		}
	}
	return placements
}

// inDataCentre returns the placements in one data centre: the daemons with a
// target, then the spare ones.
func (l *Layout) inDataCentre(region sqid.RegionID, dc sqid.DataCentreID) []Placement {
	var placements []Placement
	for i := range l.Services {
		s := &l.Services[i]
		for n := range s.Instances {
			name := sqid.DaemonID(fmt.Sprintf("%s-%s%d", dc, s.Name, n+1))
			placements = append(placements, Placement{Daemon: name, DataCentre: dc, Region: region, Service: s})
		}
	}
	for n := range l.SpareDaemons {
		name := sqid.DaemonID(fmt.Sprintf("%s-spare%d", dc, n+1))
		placements = append(placements, Placement{Daemon: name, DataCentre: dc, Region: region})
	}
	return placements
}

// WorkspaceSpec describes a workspace, its plan and its key. Lists turns it into list
// rows.
type WorkspaceSpec struct {
	Name sqid.WorkspaceID
	// Key is the key of the workspace's callers; if it is empty, the workspace
	// has no key.
	Key   string
	Rate  squnit.Rate
	Burst squnit.Tokens
	// Weight is raised to 1 if it is lower.
	Weight squnit.Weight
	Uses   []sqlists.Use
}

// Lists returns the lists for the given workspaces. Each gets its own plan,
// named like it.
func Lists(workspaceSpecs []WorkspaceSpec) sqlists.Lists {
	var lists sqlists.Lists
	for _, t := range workspaceSpecs {
		plan := sqid.PlanID(t.Name)
		lists.Plans = append(lists.Plans, sqlists.Plan{
			Name: plan, Rate: t.Rate, Burst: t.Burst, Weight: max(t.Weight, 1), Uses: t.Uses,
		})
		w := sqlists.Workspace{Name: t.Name, Plan: plan, KeyDigests: []sqid.KeyDigest{}}
		if t.Key != "" {
			w.KeyDigests = append(w.KeyDigests, sqid.DigestKey(t.Key))
		}
		lists.Workspaces = append(lists.Workspaces, w)
	}
	return lists
}
