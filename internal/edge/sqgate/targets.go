package sqgate

import (
	"cmp"
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtable"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
)

// RenewWithin is the time within which a target must announce itself again.
const RenewWithin = 10 * time.Second

const (
	// expireAfter is the time after which a target that was not announced again
	// gets nothing more. It leaves room for two lost renewals.
	expireAfter = 3 * RenewWithin
	// rememberGone is how long a target that has gone is remembered, so that an
	// announcement that was held up does not bring it back.
	rememberGone = time.Minute
)

// Local is one target on the daemon's own host.
type Local struct {
	ID       sqid.TargetID
	Service  sqid.ServiceID
	Address  string
	Slots    squnit.Slots
	LoadPath string
	Draining bool
	// Incarnation orders the lives of targets on the host, and Sequence the
	// announcements within a life; both are 0 where targets tell neither.
	Incarnation sqid.Incarnation
	Sequence    uint64
	// Announced is the time of the last announcement.
	Announced time.Time

	door *door
}

// Load returns how many calls the target runs and how many wait for it.
func (l *Local) Load() (running, queued int) {
	return l.door.load()
}

// older reports whether an announcement was made before another of the same
// target or address.
func (l *Local) older(o *Local) bool {
	if l.Incarnation != o.Incarnation {
		return l.Incarnation < o.Incarnation
	}
	return l.ID == o.ID && l.Sequence < o.Sequence
}

// Listener hears of changes of the local targets, to tell the other daemons.
type Listener interface {
	// TargetChanged is called when a target was announced anew, has other
	// fields or drains.
	TargetChanged(t Local)
	// TargetRemoved is called when a target has gone or was not renewed.
	TargetRemoved(id sqid.TargetID)
}

// Targets is the table of the local targets, and a system that removes those
// that are no longer announced.
type Targets struct {
	// Listener may be nil.
	Listener Listener
	// NewAdmission makes the admission of a target; nil makes sqadmit's.
	NewAdmission func() Admission
	// Expire is the time after which a target that was not announced again is
	// removed, by default 3 times RenewWithin.
	Expire time.Duration

	rows sqtable.Table[sqid.TargetID, Local]
	gone sqtable.Table[sqid.TargetID, Local]
}

func (t *Targets) admission() Admission {
	if t.NewAdmission != nil {
		return t.NewAdmission()
	}
	return &sqadmit.Gate{}
}

// Announce adds or renews a target, and reports whether the announcement
// counts: one that was held up, and is older than what is known of the target
// or of its address, does not. A target that drains stays so for its life; one
// that changes its life, service or address begins cold.
func (t *Targets) Announce(l Local, now time.Time) bool {
	if t.superseded(&l) {
		return false
	}
	changed, stale := false, false
	t.rows.Update(l.ID, func(row Local, ok bool) (Local, bool) {
		if ok && l.older(&row) {
			stale = true
			return row, true
		}
		same := ok && row.Service == l.Service && row.Address == l.Address && row.Incarnation == l.Incarnation
		if same {
			l.Draining, l.door = row.Draining, row.door
		} else {
			l.door = newDoor(t.admission())
		}
		changed = !same || row.Slots != l.Slots
		if changed && !l.Draining {
			l.door.resize(now, l.Slots)
		}
		l.Announced = now
		return l, true
	})
	if changed {
		t.tellChanged(l)
	}
	return !stale
}

// superseded reports whether a later life has the target's address, or the
// target's life is known to have ended. An earlier life at the address ends.
func (t *Targets) superseded(l *Local) bool {
	if l.Incarnation == 0 {
		return false
	}
	if gone, ok := t.gone.Get(l.ID); ok && l.Incarnation <= gone.Incarnation {
		return true
	}
	for _, row := range t.All() {
		if row.Address != l.Address || row.ID == l.ID {
			continue
		}
		if l.older(&row) {
			return true
		}
		t.Remove(row.ID)
	}
	return false
}

// Drain stops new calls to a target from its return on; it reports whether
// the target is known.
func (t *Targets) Drain(id sqid.TargetID) bool {
	var drained Local
	t.rows.Update(id, func(row Local, ok bool) (Local, bool) {
		row.Draining = true
		drained = row
		return row, ok
	})
	if drained.door == nil {
		return false
	}
	drained.door.close(time.Now())
	t.tellChanged(drained)
	return true
}

// Remove forgets a target; it reports whether the target was known.
func (t *Targets) Remove(id sqid.TargetID) bool {
	row, ok := t.rows.Get(id)
	if ok && row.Incarnation > 0 {
		row.Announced = time.Now()
		t.gone.Put(id, row)
	}
	return t.drop(id)
}

// drop removes a target, which may come back with its next announcement.
func (t *Targets) drop(id sqid.TargetID) bool {
	row, ok := t.rows.Delete(id)
	if !ok {
		return false
	}
	row.door.close(time.Now())
	if t.Listener != nil {
		t.Listener.TargetRemoved(id)
	}
	return true
}

// Get returns a local target.
func (t *Targets) Get(id sqid.TargetID) (Local, bool) {
	return t.rows.Get(id)
}

// All returns the local targets in no order.
func (t *Targets) All() []Local {
	var all []Local
	t.rows.Each(func(_ sqid.TargetID, row Local) bool {
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

// Running returns the number of calls that targets run or that wait for one.
func (t *Targets) Running() int {
	n := 0
	for _, row := range t.All() {
		n += row.door.busy()
	}
	return n
}

// Tick removes the targets that were not renewed in time.
func (t *Targets) Tick(now time.Time) {
	for _, row := range t.All() {
		row.door.tick(now)
		if now.Sub(row.Announced) > cmp.Or(t.Expire, expireAfter) {
			t.drop(row.ID)
		}
	}
	t.gone.Retain(func(_ sqid.TargetID, row Local) bool { return now.Sub(row.Announced) < rememberGone })
}

func (t *Targets) tellChanged(l Local) {
	if t.Listener != nil {
		t.Listener.TargetChanged(l)
	}
}

// enter finds the call's target and waits at its door.
func (t *Targets) enter(ctx context.Context, id sqid.TargetID, s sqid.ServiceID, c sqadmit.Call) (*ticket, *sqerror.Error) {
	row, ok := t.rows.Get(id)
	if !ok || row.Service != s {
		return nil, refuse(sqreason.TargetNone, errors.Errorf("no target %q of service %q here", id, s))
	}
	ticket, refusal := row.door.enter(ctx, c)
	ticket.address = row.Address
	return ticket, refusal
}
