package sqdemo

import (
	"net/http"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqfleet"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqsimtarget"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// The services of the demo. calendar calls directory, which calls payments.
const (
	calendar  sqid.ServiceID = "calendar"
	directory sqid.ServiceID = "directory"
	payments  sqid.ServiceID = "payments"
)

// The workspaces of the demo.
const (
	// steadyWorkspace stays within its rate all the time.
	steadyWorkspace sqid.WorkspaceID = "grower"
	// surgingWorkspace sends several times its rate for a time.
	surgingWorkspace sqid.WorkspaceID = "large"
	// leavingWorkspace loses its key while its connections are open.
	leavingWorkspace sqid.WorkspaceID = "leaver"
	// probeWorkspace sends the requests of single events: the repeated operations,
	// the large body and the load of the stopped daemon.
	probeWorkspace sqid.WorkspaceID = "visitor"
)

// Rates are in requests per second and bursts in requests. surgingPlanRate and
// surgingPlanBurst are the limits of a plan, the other rates are offered.
const (
	steadyRate  = 100
	surgingRate = 20
	surgeFactor = 8
	leavingRate = 50
	probeRate   = 100

	surgingPlanRate  = 40
	surgingPlanBurst = 20

	writeShare = 0.3
	retries    = 2

	photoBytes squnit.Bytes = 64 << 20
)

var (
	readRoute = sqload.Route{Path: "/calendar/slots", Weight: 1 - writeShare, Importance: squnit.ImportanceNormal}
	bookRoute = sqload.Route{
		Method: http.MethodPost, Path: "/calendar/bookings", Weight: writeShare,
		Importance: squnit.ImportanceCritical, Operations: true, BodyBytes: 200,
	}
	photoRoute = sqload.Route{
		Method: http.MethodPost, Path: "/calendar/photos", Importance: squnit.ImportanceCritical, BodyBytes: photoBytes,
	}
)

// layout returns a fleet of two regions with two data centres each, in which every
// data centre has one target of each service.
func layout() sqfleet.Layout {
	exponential := func(mean time.Duration) sqsimtarget.ServiceTime {
		return sqsimtarget.ServiceTime{Kind: sqsimtarget.KindExponential, Mean: sqsettings.Span(mean)}
	}
	return sqfleet.Layout{
		Regions: 2, DataCentres: 2,
		Services: []sqfleet.Service{
			{
				Name: calendar, Instances: 1, Slots: 60, ServiceTime: exponential(3 * time.Millisecond),
				Nested: []sqsimtarget.NestedCall{
					{Service: directory, Path: "/members"},
				},
			},
			{
				Name: directory, Instances: 1, Slots: 17, ServiceTime: exponential(2 * time.Millisecond),
				Nested: []sqsimtarget.NestedCall{
					{Service: payments, Path: "/fees"},
				},
			},
			{Name: payments, Instances: 1, Slots: 75, ServiceTime: exponential(2 * time.Millisecond)},
		},
	}
}

// workspaceSpecs returns the workspaces with new keys and their plans.
func workspaceSpecs() map[sqid.WorkspaceID]*sqfleet.WorkspaceSpec {
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
	all := make(map[sqid.WorkspaceID]*sqfleet.WorkspaceSpec)
	add := func(name sqid.WorkspaceID, rate squnit.Rate, burst squnit.Tokens) {
		all[name] = &sqfleet.WorkspaceSpec{Name: name, Key: sqid.NewKey(), Rate: rate, Burst: burst, Weight: 1, Uses: uses}
	}
	add(steadyWorkspace, 400, 200)
	add(surgingWorkspace, surgingPlanRate, surgingPlanBurst)
	add(leavingWorkspace, 200, 100)
	add(probeWorkspace, 400, 200)
	return all
}

// workspaceLoad returns the load of a workspace: reads and bookings.
func workspaceLoad(t *sqfleet.WorkspaceSpec, rate float64) sqload.Workspace {
	return sqload.Workspace{
		Name: t.Name, Key: t.Key, Rate: squnit.Rate(rate), PlanRate: t.Rate, PlanBurst: t.Burst,
		Routes: []sqload.Route{readRoute, bookRoute},
	}
}

// The daemons that the events act on. Callers send through the entries of all
// daemons but the stopped and the killed one.
const (
	drainedDaemon sqid.DaemonID = "dc1a-calendar1"
	stoppedDaemon sqid.DaemonID = "dc1b-directory1"
	killedDaemon  sqid.DaemonID = "dc2a-payments1"
)

// daemon returns the daemon of a name, or nil.
func (d *Demo) daemon(name sqid.DaemonID) *sqfleet.Daemon {
	for _, daemon := range d.fleet.Daemons() {
		if daemon.Placement.Daemon == name {
			return daemon
		}
	}
	return nil
}

// target returns the target of a daemon, or nil.
func (d *Demo) target(name sqid.DaemonID) *sqfleet.Target {
	for _, t := range d.fleet.Targets() {
		if t.Daemon.Placement.Daemon == name {
			return t
		}
	}
	return nil
}

// entries returns the URLs of the daemons that no event stops or kills.
func (d *Demo) entries() []string {
	var urls []string
	for _, daemon := range d.fleet.Daemons() {
		if name := daemon.Placement.Daemon; name != stoppedDaemon && name != killedDaemon {
			urls = append(urls, daemon.EntryURL())
		}
	}
	return urls
}
