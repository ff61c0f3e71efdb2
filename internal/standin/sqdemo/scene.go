package sqdemo

import (
	"net/http"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqfleet"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqtargetstand"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// The services of the demo's chain.
const (
	calendar  sqid.ServiceID = "calendar"
	directory sqid.ServiceID = "directory"
	payments  sqid.ServiceID = "payments"
)

// The workspaces of the demo.
const (
	// grower stays inside its rate all the time.
	grower sqid.WorkspaceID = "grower"
	// large sends several times its rate for a while.
	large sqid.WorkspaceID = "large"
	// leaver's key is withdrawn while its connections are open.
	leaver sqid.WorkspaceID = "leaver"
	// visitor sends through the daemon that is stopped, and repeats operations.
	visitor sqid.WorkspaceID = "visitor"
)

const (
	growerRate  = 100
	largeRate   = 20
	surgeFactor = 8
	leaverRate  = 50
	visitorRate = 100

	largePlanRate  = 40
	largePlanBurst = 20

	writeShare = 0.3
	retries    = 2

	photoBytes squnit.Bytes = 64 << 20
)

var (
	readRoute = sqload.Route{Path: "/calendar/slots", Share: 1 - writeShare, Importance: squnit.ImportanceNormal}
	bookRoute = sqload.Route{
		Method: http.MethodPost, Path: "/calendar/bookings", Share: writeShare,
		Importance: squnit.ImportanceCritical, Operations: true, BodyBytes: 200,
	}
	photoRoute = sqload.Route{
		Method: http.MethodPost, Path: "/calendar/photos", Importance: squnit.ImportanceCritical, BodyBytes: photoBytes,
	}
)

func layout() sqfleet.Layout {
	times := func(mean time.Duration) sqtargetstand.ServiceTime {
		return sqtargetstand.ServiceTime{Kind: sqtargetstand.KindExponential, Mean: sqsettings.Span(mean)}
	}
	return sqfleet.Layout{
		Regions: 2, DataCentres: 2,
		Services: []sqfleet.Service{
			{
				Name: calendar, Instances: 1, Slots: 60, ServiceTime: times(3 * time.Millisecond),
				Nested: []sqtargetstand.NestedCall{
					{Service: directory, Path: "/members"},
				},
			},
			{
				Name: directory, Instances: 1, Slots: 17, ServiceTime: times(2 * time.Millisecond),
				Nested: []sqtargetstand.NestedCall{
					{Service: payments, Path: "/fees"},
				},
			},
			{Name: payments, Instances: 1, Slots: 75, ServiceTime: times(2 * time.Millisecond)},
		},
	}
}

func tenants() map[sqid.WorkspaceID]*sqfleet.Tenant {
	uses := []sqlists.Use{
		{
			Service: calendar, Methods: []string{http.MethodPost}, Importance: squnit.ImportanceCritical,
			Timeout: sqlists.Duration(2 * time.Second), Retries: retries,
		},
		{
			Service: calendar, Methods: []string{http.MethodGet}, Importance: squnit.ImportanceNormal,
			Timeout: sqlists.Duration(2 * time.Second), Retries: retries,
		},
		{Service: directory, Importance: squnit.ImportanceNormal, Timeout: sqlists.Duration(2 * time.Second), Retries: retries},
		{Service: payments, Importance: squnit.ImportanceNormal, Timeout: sqlists.Duration(2 * time.Second), Retries: retries},
	}
	all := make(map[sqid.WorkspaceID]*sqfleet.Tenant)
	add := func(name sqid.WorkspaceID, rate squnit.Rate, burst squnit.Tokens) {
		all[name] = &sqfleet.Tenant{Name: name, Key: sqid.NewKey(), Rate: rate, Burst: burst, Weight: 1, Uses: uses}
	}
	add(grower, 400, 200)
	add(large, largePlanRate, largePlanBurst)
	add(leaver, 200, 100)
	add(visitor, 400, 200)
	return all
}

func workspace(t *sqfleet.Tenant, rate float64) sqload.Workspace {
	return sqload.Workspace{
		Name: t.Name, Key: t.Key, Rate: squnit.Rate(rate), PlanRate: t.Rate, PlanBurst: t.Burst,
		Routes: []sqload.Route{readRoute, bookRoute},
	}
}

// The seats that the demo's events use; all other daemons are entries.
const (
	drainedSeat sqid.DaemonID = "dc1a-calendar1"
	stoppedSeat sqid.DaemonID = "dc1b-directory1"
	killedSeat  sqid.DaemonID = "dc2a-payments1"
)

func (d *Demo) daemon(name sqid.DaemonID) *sqfleet.Daemon {
	for _, daemon := range d.fleet.Daemons() {
		if daemon.Seat.Daemon == name {
			return daemon
		}
	}
	return nil
}

func (d *Demo) target(name sqid.DaemonID) *sqfleet.Target {
	for _, t := range d.fleet.Targets() {
		if t.Daemon.Seat.Daemon == name {
			return t
		}
	}
	return nil
}

// entries returns the URLs of the daemons that stay.
func (d *Demo) entries() []string {
	var urls []string
	for _, daemon := range d.fleet.Daemons() {
		if name := daemon.Seat.Daemon; name != stoppedSeat && name != killedSeat {
			urls = append(urls, daemon.Entry())
		}
	}
	return urls
}
