package sqgate

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtable"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
)

// RenewWithin is the period within which a target must renew its announcement.
const RenewWithin = 10 * time.Second

const (
	// defaultExpiry is the time after which a target that was not renewed is
	// removed. It tolerates two lost renewals.
	defaultExpiry = 3 * RenewWithin
	// removedRetention is how long a removed target is remembered, so that a
	// delayed announcement does not add it again.
	removedRetention = time.Minute
)

// LocalTarget is one target on the daemon's own host.
type LocalTarget struct {
	ID      sqid.TargetID
	Service sqid.ServiceID
	Address string
	// Slots is the number of calls that the target can run at once.
	Slots squnit.Slots
	// LoadPath is the announced path of the target's load endpoint. Daemons do
	// not use it.
	LoadPath string
	// Draining is set by Targets.Drain; announcements leave it unset.
	Draining bool
	// Incarnation orders the successive processes of targets that have the same
	// ID or the same address, and Sequence the announcements of one process. A
	// platform's protocol adapter sets both, the incarnation from the process's
	// start time; in the product's own protocol both are 0.
	Incarnation sqid.Incarnation
	Sequence    uint64
	// Announced is the time of the last announcement; Targets.Announce sets it.
	Announced time.Time

	admitter *admitter
}

// CallCounts returns the numbers of running and of queued calls.
func (l *LocalTarget) CallCounts() (running, queued int) {
	return l.admitter.callCounts()
}

// precedes reports whether the announcement l was made before o, which has the
// same target or address.
func (l *LocalTarget) precedes(o *LocalTarget) bool {
	if l.Incarnation != o.Incarnation {
		return l.Incarnation < o.Incarnation
	}
	return l.ID == o.ID && l.Sequence < o.Sequence
}

// Listener is notified of changes of the local targets, to publish them to the
// other daemons.
type Listener interface {
	// TargetChanged is called when a target was added, was announced with another
	// service, address, incarnation or number of slots, or was drained.
	TargetChanged(t LocalTarget)
	// TargetRemoved is called when a target was removed or has expired.
	TargetRemoved(id sqid.TargetID)
}

// DepartureRecorder keeps the departures of targets where they outlive the daemon.
type DepartureRecorder interface {
	// RecordDeparture returns once the departure of a target's incarnation is kept, or
	// can't be for now. It reports whether anything but this daemon keeps it.
	RecordDeparture(ctx context.Context, id sqid.TargetID, i sqid.Incarnation) bool
}

// Targets is the table of the local targets. Its Tick removes those that are no
// longer announced. Its methods are safe for concurrent use.
type Targets struct {
	// Listener may be nil.
	Listener Listener
	// NewAdmission returns the admission policy of a new target; nil stands for
	// sqadmit.Gate.
	NewAdmission func() Admission
	// ExpireAfter is the time after which a target that was not renewed is removed,
	// by default 3 times RenewWithin.
	ExpireAfter time.Duration
	// Departures keeps the departures that targets report; nil keeps none.
	Departures DepartureRecorder

	// Prober asks targets how they are; nil asks none. AnnounceEvery is the time between two
	// announcements of a target; if it is 0, announcements verify no target.
	Prober        Prober
	AnnounceEvery time.Duration
	Logger        logr.Logger

	// mu guards what Hold sets: whether Restore is awaited, until when targets are verified,
	// and those that wait.
	mu          sync.Mutex
	holding     bool
	verifyUntil time.Time
	candidates  map[sqid.TargetID]*candidate

	rows sqtable.Table[sqid.TargetID, LocalTarget]
	// removed has the targets that were removed lately, with Announced set to
	// the time of removal.
	removed sqtable.Table[sqid.TargetID, LocalTarget]
}

func (t *Targets) newAdmission() Admission {
	if t.NewAdmission != nil {
		return t.NewAdmission()
	}
	return &sqadmit.Gate{}
}

// Announce adds or renews a target. It returns false for an announcement that was
// delayed and is older than what is known of the target or of its address; the target
// is neither added nor renewed then. A draining target goes on draining until its
// incarnation, service or address changes; with such a change its admission policy
// starts anew. Calls that run or wait under the old policy stay there; it is neither
// drained nor ticked any more, and PendingCalls does not count them. For a while after
// Hold, targets are added only once they are verified.
func (t *Targets) Announce(l LocalTarget, now time.Time) bool {
	if c := t.awaitVerification(l, now); c != nil {
		t.promote(c, now)
		return true
	}
	return t.announce(l, now)
}

func (t *Targets) announce(l LocalTarget, now time.Time) bool {
	if t.rejectOrDisplace(&l) {
		return false
	}
	changed, stale := false, false
	t.rows.Update(l.ID, func(row LocalTarget, ok bool) (LocalTarget, bool) {
		if ok && l.precedes(&row) {
			stale = true
			return row, true
		}
		same := ok && row.Service == l.Service && row.Address == l.Address && row.Incarnation == l.Incarnation
		if same {
			l.Draining, l.admitter = row.Draining, row.admitter
		} else {
			l.admitter = newAdmitter(t.newAdmission())
		}
		changed = !same || row.Slots != l.Slots
		// Setting the slots would end a drain in the admission policy. Under the
		// table's lock, Drain can't set Draining between the check and the call.
		if changed && !l.Draining {
			l.admitter.setSlots(now, l.Slots)
		}
		l.Announced = now
		return l, true
	})
	if changed {
		t.notifyChanged(l)
	}
	return !stale
}

// rejectOrDisplace reports whether the announcement must be rejected, because a
// later incarnation has the target's address, or the target was removed in this
// incarnation or a later one. Otherwise it removes all other targets at the address,
// also those of the same incarnation, with which it has no order. An announcement
// without an incarnation is not rejected here and removes no other targets. All
// targets of a daemon have one or none has: a daemon serves either the platform's
// announcements or those of the product's own protocol.
func (t *Targets) rejectOrDisplace(l *LocalTarget) bool {
	if l.Incarnation == 0 {
		return false
	}
	if removed, ok := t.removed.Get(l.ID); ok && l.Incarnation <= removed.Incarnation {
		return true
	}
	for _, row := range t.All() {
		if row.Address != l.Address || row.ID == l.ID {
			continue
		}
		if l.precedes(&row) {
			return true
		}
		t.Remove(row.ID)
	}
	return false
}

// Drain refuses new and waiting calls to a target: after it returns, no call is
// admitted to it. Calls admitted before may still be sent and run to their end. It
// reports whether the target is known.
func (t *Targets) Drain(id sqid.TargetID) bool {
	var drained LocalTarget
	t.rows.Update(id, func(row LocalTarget, ok bool) (LocalTarget, bool) {
		row.Draining = true
		drained = row
		return row, ok
	})
	if drained.admitter == nil {
		return false
	}
	drained.admitter.drain(time.Now())
	t.notifyChanged(drained)
	return true
}

// markDeparted marks an incarnation of a target, and all earlier ones, as departed: their
// announcements are taken for delayed ones for a minute.
func (t *Targets) markDeparted(id sqid.TargetID, i sqid.Incarnation) {
	t.removed.Update(id, func(row LocalTarget, _ bool) (LocalTarget, bool) {
		return LocalTarget{ID: id, Incarnation: max(i, row.Incarnation), Announced: time.Now()}, true
	})
}

// Depart marks an incarnation of a target, and all earlier ones, as departed, and removes
// the target if it is one of them.
func (t *Targets) Depart(id sqid.TargetID, i sqid.Incarnation) {
	t.markDeparted(id, i)
	t.dropCandidate(id, i)
	if row, known := t.rows.Get(id); known && row.Incarnation <= i {
		t.Drain(id)
		t.drop(id)
	}
}

// ErrDepartureNotKept is returned if only this daemon knows that a target leaves.
var ErrDepartureNotKept = errors.New("departure is kept by neither the store nor a peer")

// Leave handles a target's own report that its incarnation i drains, or has ended if ended
// is set. An incarnation of 0 stands for the one that is known, or for all that began before
// now. When Leave returns, the target gets no new calls, and without an error none after a
// restart of the daemon either. A report of an earlier incarnation than the known one changes
// nothing. It reports whether the target was known.
func (t *Targets) Leave(ctx context.Context, id sqid.TargetID, i sqid.Incarnation, ended bool) (known bool, err error) {
	row, known := t.rows.Get(id)
	switch {
	case i == 0 && known:
		i = row.Incarnation
	case i == 0:
		i = sqid.Incarnation(time.Now().UnixMilli())
	case known && i < row.Incarnation:
		return true, nil
	}
	if waits := t.dropCandidate(id, i); ended || waits {
		t.Depart(id, i)
	} else {
		t.Drain(id)
	}
	if t.Departures != nil && !t.Departures.RecordDeparture(ctx, id, i) {
		return known, ErrDepartureNotKept
	}
	return known, nil
}

// Remove removes a target that has ended, as another target at its address shows. If it
// has an incarnation, only a later one can add it again within removedRetention: other
// announcements of it are taken for delayed ones. It reports whether the target was known.
func (t *Targets) Remove(id sqid.TargetID) bool {
	if row, ok := t.rows.Get(id); ok && row.Incarnation > 0 {
		t.markDeparted(id, row.Incarnation)
	}
	return t.drop(id)
}

// drop removes a target, which its next announcement may add again: one that was
// only not renewed in time may still run.
func (t *Targets) drop(id sqid.TargetID) bool {
	row, ok := t.rows.Delete(id)
	if !ok {
		return false
	}
	row.admitter.drain(time.Now())
	if t.Listener != nil {
		t.Listener.TargetRemoved(id)
	}
	return true
}

// Get returns a local target.
func (t *Targets) Get(id sqid.TargetID) (LocalTarget, bool) {
	return t.rows.Get(id)
}

// All returns the local targets in unspecified order.
func (t *Targets) All() []LocalTarget {
	var all []LocalTarget
	t.rows.Each(func(_ sqid.TargetID, row LocalTarget) bool {
		all = append(all, row)
		return true
	})
	return all
}

// DrainAll drains every target.
func (t *Targets) DrainAll() {
	for _, row := range t.All() {
		t.Drain(row.ID)
	}
}

// PendingCalls returns the number of running and waiting calls of all targets.
func (t *Targets) PendingCalls() int {
	n := 0
	for _, row := range t.All() {
		n += row.admitter.pending()
	}
	return n
}

// Tick advances the admission policies of the targets, and removes the targets that
// were not renewed in time. Daemons call it every 20 ms, as Admission.Tick needs.
func (t *Targets) Tick(now time.Time) {
	expireAfter := cmp.Or(t.ExpireAfter, defaultExpiry)
	for _, row := range t.All() {
		row.admitter.tick(now)
		if now.Sub(row.Announced) > expireAfter {
			t.drop(row.ID)
		}
	}
	t.expireCandidates(now, expireAfter)
	t.removed.Retain(func(_ sqid.TargetID, row LocalTarget) bool { return now.Sub(row.Announced) < removedRetention })
}

func (t *Targets) notifyChanged(l LocalTarget) {
	if t.Listener != nil {
		t.Listener.TargetChanged(l)
	}
}

// admit finds the call's target and waits until its admitter lets the call run.
// The reservation is nil if there is no such target.
func (t *Targets) admit(ctx context.Context, id sqid.TargetID, s sqid.ServiceID, c sqadmit.Call) (*reservation, *sqerror.Error) {
	row, ok := t.rows.Get(id)
	if !ok || row.Service != s {
		// TargetNone, unlike TargetUnknown, counts as unavailable, so the entry
		// tries another target without spending credit.
		return nil, gateRefusal(sqreason.TargetNone, errors.Errorf("no target %q of service %q on this host", id, s))
	}
	reservation, refusal := row.admitter.admit(ctx, c)
	reservation.address = row.Address
	return reservation, refusal
}
