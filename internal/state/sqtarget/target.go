// Package sqtarget holds the table of the targets that a daemon knows: its own,
// announced on the local address, and those of other daemons, spread by the
// membership.
package sqtarget

import (
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// ID names a target in the fleet.
type ID struct {
	Daemon sqid.DaemonID
	Target sqid.TargetID
}

// Row is one target as the daemon of the row knows it.
type Row struct {
	ID ID
	// Service is what the target is an instance of.
	Service sqid.ServiceID
	// Slots is the number of calls that the target announced it can run.
	Slots squnit.Slots
	// Draining targets get no new call.
	Draining bool
	// DataCentre and Region are those of the target's daemon.
	DataCentre sqid.DataCentreID
	Region     sqid.RegionID
	// PeerAddress is where the target's gate listens, as IP:port.
	PeerAddress string
	// Incarnation is that of the target's daemon.
	Incarnation sqid.Incarnation
}
