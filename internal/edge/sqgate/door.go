package sqgate

import (
	"context"
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

type outcome uint8

const (
	outcomeDone outcome = iota
	outcomeShed
	outcomeFailed
)

func outcomeOf(e *sqerror.Error) outcome {
	if e.Reason == sqreason.ShedByTarget {
		return outcomeShed
	}
	return outcomeFailed
}

// door admits calls to one target.
type door struct {
	mu     sync.Mutex
	slots  squnit.Slots
	inside int
	closed sqreason.Refusal
}

func newDoor(l Local, _ time.Time) *door {
	return &door{slots: l.Slots}
}

func (d *door) resize(_ time.Time, slots squnit.Slots) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slots = slots
}

func (d *door) close(reason sqreason.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = reason
}

func (d *door) busy() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inside
}

func (d *door) tick(time.Time) {}

func (d *door) enter(_ context.Context, l Local, _ *sqcallwire.CallHead, _ time.Time) (*ticket, *sqerror.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed != sqreason.NoReason {
		return nil, refuse(d.closed, nil)
	}
	if d.inside >= int(d.slots) {
		return nil, refuse(sqreason.ShedQueueFull, nil)
	}
	d.inside++
	return &ticket{door: d, target: l.ID, address: l.Address}, nil
}

// ticket is a call's place inside a door.
type ticket struct {
	door    *door
	target  sqid.TargetID
	address string
	waited  time.Duration
}

func (t *ticket) leave(time.Duration, outcome) {
	t.door.mu.Lock()
	defer t.door.mu.Unlock()
	t.door.inside--
}

// load returns what the answer says of the target's state, nil without one.
func (t *ticket) load() *sqcallwire.Load {
	return nil
}
