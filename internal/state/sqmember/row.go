package sqmember

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

// State is the state of a daemon as other daemons see it.
type State uint8

// The states. At the same incarnation and version a later state supersedes an
// earlier one; Left supersedes the others at any version.
const (
	// Alive daemons answer probes.
	Alive State = iota
	// Suspect daemons failed a probe and can still refute the suspicion.
	Suspect
	// Dead daemons did not refute a suspicion in time.
	Dead
	// Left daemons announced that they stop.
	Left
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "left"
	}
}

// maxCounter bounds incarnations and versions in received rows. It leaves room
// to count up from them without overflow.
const maxCounter = 1 << 62

// Version counts the changes that a daemon made to its own row within one
// incarnation.
type Version uint64

// Target is a target as its daemon announces it.
type Target struct {
	ID       sqid.TargetID
	Service  sqid.ServiceID
	Slots    squnit.Slots
	Draining bool
}

// Row is the membership record of one daemon. An incarnation is one run of the
// daemon; later runs have higher ones.
type Row struct {
	ID         sqid.DaemonID
	DataCentre sqid.DataCentreID
	Region     sqid.RegionID
	// CallerAddress and PeerAddress are IP:port.
	CallerAddress string
	PeerAddress   string
	Incarnation   sqid.Incarnation
	Version       Version
	State         State
	// Targets is empty for dead and left daemons. The slice is never modified in
	// place.
	Targets []Target
}

// live reports whether the daemon's targets may be used: it is alive or
// suspect.
func (r Row) live() bool {
	return r.State <= Suspect
}

// supersedes reports whether r replaces old, a row of the same daemon. It is a
// strict order, so daemons that received the same rows in any order hold the
// same one.
func (r Row) supersedes(old Row) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if (r.State == Left) != (old.State == Left) {
		return r.State == Left
	}
	if r.Version != old.Version {
		return r.Version > old.Version
	}
	return r.State > old.State
}

// digest hashes the daemon's id, incarnation and version; the digest of a row
// that is not live is 0. The alive and suspect states have the same digest,
// because a suspicion resolves by itself.
func (r Row) digest() uint64 {
	if !r.live() {
		return 0
	}
	b := make([]byte, 0, 64)
	b = append(b, r.ID...)
	b = append(b, 0)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.Incarnation))
	b = binary.LittleEndian.AppendUint64(b, uint64(r.Version))
	return xxhash.Sum64(b)
}

// rank orders the daemons of a data centre by a hash of their ids, so that the
// order does not depend on how they are named.
func rank(id sqid.DaemonID) uint64 {
	return xxhash.Sum64String(string(id))
}

// shortHash identifies the receiver of a ping, which another daemon at the same
// address must not answer.
func shortHash(id sqid.DaemonID) uint32 {
	return uint32(rank(id))
}

func (r Row) wire() *sqmemberwire.Row {
	w := &sqmemberwire.Row{
		Daemon: string(r.ID), Incarnation: uint64(r.Incarnation), Version: uint64(r.Version),
		State:      sqmemberwire.State(r.State),
		DataCentre: string(r.DataCentre), Region: string(r.Region),
		CallerAddress: r.CallerAddress, PeerAddress: r.PeerAddress,
	}
	if !r.live() {
		return w
	}
	for _, t := range r.Targets {
		w.Targets = append(w.Targets, &sqmemberwire.Target{
			Name: string(t.ID), Service: string(t.Service), Slots: uint32(t.Slots), Draining: t.Draining,
		})
	}
	return w
}

func rowFromWire(w *sqmemberwire.Row) Row {
	r := Row{
		ID: sqid.DaemonID(w.GetDaemon()), Incarnation: sqid.Incarnation(w.GetIncarnation()),
		Version: Version(w.GetVersion()), State: State(w.GetState()),
		DataCentre: sqid.DataCentreID(w.GetDataCentre()), Region: sqid.RegionID(w.GetRegion()),
		CallerAddress: w.GetCallerAddress(), PeerAddress: w.GetPeerAddress(),
	}
	if !r.live() {
		return r
	}
	for _, t := range w.GetTargets() {
		r.Targets = append(r.Targets, Target{
			ID: sqid.TargetID(t.GetName()), Service: sqid.ServiceID(t.GetService()),
			Slots: squnit.Slots(t.GetSlots()), Draining: t.GetDraining(),
		})
	}
	return r
}

// validWireRow reports whether a received row may be accepted and passed on.
func validWireRow(w *sqmemberwire.Row) bool {
	return w.GetDaemon() != "" && w.GetDataCentre() != "" && w.GetPeerAddress() != "" &&
		w.GetIncarnation() != 0 && w.GetIncarnation() < maxCounter && w.GetVersion() < maxCounter &&
		w.GetState() >= 0 && w.GetState() <= sqmemberwire.State_STATE_LEFT &&
		proto.Size(w) <= maxRowBytes+maxNameBytes
}

func (r Row) targetRow(t Target) sqtarget.Row {
	return sqtarget.Row{
		ID: sqtarget.ID{Daemon: r.ID, Target: t.ID}, Service: t.Service, Slots: t.Slots, Draining: t.Draining,
		DataCentre: r.DataCentre, Region: r.Region, PeerAddress: r.PeerAddress, Incarnation: r.Incarnation,
	}
}

// syncTargets updates targets from the row old to r.
func (r Row) syncTargets(targets *sqtarget.Directory, old Row) {
	if r.live() {
		for _, t := range r.Targets {
			row := r.targetRow(t)
			targets.Put(row.ID, row)
		}
	}
	for _, t := range old.Targets {
		sameID := func(n Target) bool { return n.ID == t.ID }
		if !r.live() || !slices.ContainsFunc(r.Targets, sameID) {
			targets.Delete(sqtarget.ID{Daemon: r.ID, Target: t.ID})
		}
	}
}
