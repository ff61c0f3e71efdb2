// Package sqtarget holds the table of the targets that a daemon knows: those on
// its own host, which announce themselves on the local address, and those of
// other daemons, which arrive by gossip.
package sqtarget

import (
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// ID identifies a target in the fleet.
type ID struct {
	Daemon sqid.DaemonID
	Target sqid.TargetID
}

// Row describes one target, as its own daemon announced it.
type Row struct {
	ID ID
	// Service is the service of which the target is an instance.
	Service sqid.ServiceID
	// Slots is the number of concurrent calls that the target announced.
	Slots squnit.Slots
	// Draining is set if the target must get no new calls.
	Draining bool
	// DataCentre and Region are those of the target's daemon.
	DataCentre sqid.DataCentreID
	Region     sqid.RegionID
	// PeerAddress is the IP:port at which the target's gate listens.
	PeerAddress string
	// Incarnation is the incarnation of the target's daemon.
	Incarnation sqid.Incarnation
}
