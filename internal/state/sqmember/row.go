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

// State is what the fleet holds of a daemon.
type State uint8

// The states, in the order in which they supersede each other.
const (
	// Alive daemons answer probes.
	Alive State = iota
	// Suspect daemons missed a probe and may still refute that.
	Suspect
	// Dead daemons did not refute in time.
	Dead
	// Left daemons announced their stop.
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

// countMost bounds incarnations and versions from outside, which are counted
// up from there.
const countMost = 1 << 62

// Version counts the rows that a daemon gave out about itself within one
// incarnation.
type Version uint64

// Target is what a daemon announces of one of its targets.
type Target struct {
	ID       sqid.TargetID
	Service  sqid.ServiceID
	Slots    squnit.Slots
	Draining bool
}

// Row is one daemon.
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
	// Targets is empty for dead and left daemons. It is not modified.
	Targets []Target
}

// live says whether the daemon's targets may be used.
func (r Row) live() bool {
	return r.State <= Suspect
}

// supersedes says whether r replaces the row old of the same daemon. It is a
// strict order, so daemons that have heard the same rows hold the same one.
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

// digest covers what a live row stands for. Suspicion passes on its own and
// is left out; a row that is not live has the digest 0.
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

// rank orders the daemons of a data centre independently of their names.
func rank(id sqid.DaemonID) uint64 {
	return xxhash.Sum64String(string(id))
}

// shortHash tells the daemons of one address apart.
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

func rowOf(w *sqmemberwire.Row) Row {
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

// validRow says whether a row from outside can be taken in and passed on.
func validRow(w *sqmemberwire.Row) bool {
	return w.GetDaemon() != "" && w.GetDataCentre() != "" && w.GetPeerAddress() != "" &&
		w.GetIncarnation() != 0 && w.GetIncarnation() < countMost && w.GetVersion() < countMost &&
		w.GetState() >= 0 && w.GetState() <= sqmemberwire.State_STATE_LEFT &&
		proto.Size(w) <= rowBytes+nameBytes
}

func (r Row) target(t Target) sqtarget.Row {
	return sqtarget.Row{
		ID: sqtarget.ID{Daemon: r.ID, Target: t.ID}, Service: t.Service, Slots: t.Slots, Draining: t.Draining,
		DataCentre: r.DataCentre, Region: r.Region, PeerAddress: r.PeerAddress, Incarnation: r.Incarnation,
	}
}

// mirror changes targets from those of old to those of r.
func (r Row) mirror(targets *sqtarget.Directory, old Row) {
	if r.live() {
		for _, t := range r.Targets {
			row := r.target(t)
			targets.Put(row.ID, row)
		}
	}
	for _, t := range old.Targets {
		kept := func(n Target) bool { return n.ID == t.ID }
		if !r.live() || !slices.ContainsFunc(r.Targets, kept) {
			targets.Delete(sqtarget.ID{Daemon: r.ID, Target: t.ID})
		}
	}
}
