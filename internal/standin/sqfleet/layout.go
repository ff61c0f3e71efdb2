// Package sqfleet runs a whole fleet as real processes on loopback: the
// stand-in platform, daemons and stand-in targets. It writes their settings,
// waits until they are ready, sends them signals by name, reads what they
// recorded, and always ends them.
package sqfleet

import (
	"fmt"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqtargetstand"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// Service is one service and its instances in each data centre.
type Service struct {
	Name sqid.ServiceID `toml:"name"`
	// Instances is the number of targets in each data centre, each with a
	// daemon of its own.
	Instances   int                        `toml:"instances"`
	Slots       squnit.Slots               `toml:"slots"`
	ServiceTime sqtargetstand.ServiceTime  `toml:"serviceTime"`
	Nested      []sqtargetstand.NestedCall `toml:"nested"`
	Parallel    bool                       `toml:"parallel"`
	AnswerBytes squnit.Bytes               `toml:"answerBytes"`
	Behaviour   sqtargetstand.Behaviour    `toml:"behaviour"`
}

// Layout is what a fleet consists of.
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

// Seat is where one daemon stands, with its target if it has one.
type Seat struct {
	Daemon     sqid.DaemonID
	DataCentre sqid.DataCentreID
	Region     sqid.RegionID
	// Service is nil for a daemon without a target.
	Service *Service
}

// Seats returns the daemons of a layout, data centre by data centre.
func (l *Layout) Seats() []Seat {
	var seats []Seat
	for r := range l.Regions {
		region := sqid.RegionID(fmt.Sprintf("region%d", r+1))
		for d := range l.DataCentres {
			dc := sqid.DataCentreID(fmt.Sprintf("dc%d%c", r+1, 'a'+rune(d)))
			seats = append(seats, l.seatsOf(region, dc)...)
		}
	}
	return seats
}

func (l *Layout) seatsOf(region sqid.RegionID, dc sqid.DataCentreID) []Seat {
	var seats []Seat
	for i := range l.Services {
		s := &l.Services[i]
		for n := range s.Instances {
			name := sqid.DaemonID(fmt.Sprintf("%s-%s%d", dc, s.Name, n+1))
			seats = append(seats, Seat{Daemon: name, DataCentre: dc, Region: region, Service: s})
		}
	}
	for n := range l.SpareDaemons {
		name := sqid.DaemonID(fmt.Sprintf("%s-spare%d", dc, n+1))
		seats = append(seats, Seat{Daemon: name, DataCentre: dc, Region: region})
	}
	return seats
}

// Tenant is one workspace as the fleet's lists are made from it.
type Tenant struct {
	Name   sqid.WorkspaceID
	Key    string
	Rate   squnit.Rate
	Burst  squnit.Tokens
	Weight squnit.Weight
	Uses   []sqlists.Use
}

// Lists returns the lists for some tenants, each with a plan of its own.
func Lists(tenants []Tenant) sqlists.Lists {
	var lists sqlists.Lists
	for _, t := range tenants {
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
