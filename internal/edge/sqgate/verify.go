package sqgate

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

const (
	// VerifyPeriod is how long after a daemon's start it verifies the targets that are
	// announced: longer than announcements are late.
	VerifyPeriod = 2 * time.Minute
	// maxCandidates bounds the targets that wait for verification.
	maxCandidates = 16
)

// Liveness is what a target says of itself.
type Liveness uint8

const (
	// LivenessUnknown is no answer, or one that doesn't tell.
	LivenessUnknown Liveness = iota
	// LivenessRunning targets run and are not leaving.
	LivenessRunning
	// LivenessLeaving targets are leaving, or don't consider themselves healthy.
	LivenessLeaving
)

// Prober asks targets how they are.
type Prober interface {
	// Probe waits until it can ask the target at its address, and asks it. It returns
	// LivenessUnknown if ctx ends, the target doesn't answer in time, or another one answers.
	Probe(ctx context.Context, t LocalTarget) Liveness
}

// candidate is a target whose announcements wait for Restore and for its verification.
//
// A daemon that has just started doesn't know for sure which of its targets have left, nor
// whether an announcement was sent before its start: those that keep the departures may have
// been restarted as well. So for VerifyPeriod it uses a target only once that has answered a
// probe, or, if it has not answered one, has sent a later announcement some time after the
// first.
type candidate struct {
	latest LocalTarget
	// since is when its first announcement arrived.
	since time.Time
	// verified is set once the target is known to have run after the daemon's start.
	verified bool
	// probing is set during a probe, which stop ends; leaving is set if the last one said so.
	probing, leaving bool
	stop             context.CancelFunc
	// departed is set if it departs before it is announced.
	departed bool
}

// Hold begins the start of the daemon: announcements wait until Restore, and after that
// until the target is verified.
func (t *Targets) Hold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holding, t.verifyUntil = true, time.Now().Add(VerifyPeriod)
	t.candidates = make(map[sqid.TargetID]*candidate)
}

// Restore ends the wait that Hold began. Targets that have departed must be marked before.
func (t *Targets) Restore() {
	t.mu.Lock()
	t.holding = false
	waiting := slices.Collect(maps.Values(t.candidates))
	t.mu.Unlock()
	for _, c := range waiting {
		t.promote(c, time.Now())
	}
}

// awaitVerification returns the candidate that an announcement belongs to, nil if it need
// not wait. It looks for what verifies the candidate.
func (t *Targets) awaitVerification(l LocalTarget, now time.Time) *candidate {
	row, used := t.rows.Get(l.ID)
	removed, left := t.removed.Get(l.ID)
	settled := used && l.Incarnation <= row.Incarnation || left && l.Incarnation <= removed.Incarnation
	t.mu.Lock()
	defer t.mu.Unlock()
	if settled || !t.holding && !now.Before(t.verifyUntil) {
		return nil
	}
	l.Announced = now
	c := t.candidates[l.ID]
	switch {
	case c == nil || c.latest.Incarnation < l.Incarnation:
		c = t.addCandidate(l, now)
	case c.latest.precedes(&l):
		c.latest = l
		if t.AnnounceEvery > 0 && now.Sub(c.since) >= t.AnnounceEvery/2 && !c.probing && !c.leaving {
			t.verify(c, "announcement", now)
		}
	}
	if t.Prober != nil && !c.verified && !c.probing {
		c.probing = true
		var ctx context.Context
		ctx, c.stop = context.WithDeadline(context.Background(), t.verifyUntil)
		go t.probe(ctx, c)
	}
	return c
}

// addCandidate adds a candidate, in place of the one that was announced longest ago if
// there are too many. t.mu must be held.
func (t *Targets) addCandidate(l LocalTarget, now time.Time) *candidate {
	t.forget(l.ID)
	c := &candidate{latest: l, since: now, stop: func() {}}
	t.candidates[l.ID] = c
	if len(t.candidates) > maxCandidates {
		oldest := l.ID
		for id, o := range t.candidates {
			if o.latest.Announced.Before(t.candidates[oldest].latest.Announced) {
				oldest = id
			}
		}
		t.forget(oldest)
	}
	return c
}

// forget removes a candidate, if there is one of that id, and ends its probe. t.mu must be
// held.
func (t *Targets) forget(id sqid.TargetID) {
	if c := t.candidates[id]; c != nil {
		c.stop()
		delete(t.candidates, id)
	}
}

// verify marks a candidate as verified. t.mu must be held.
func (t *Targets) verify(c *candidate, by string, now time.Time) {
	if !c.verified {
		t.Logger.Info("target verified", "target", c.latest.ID, "incarnation", c.latest.Incarnation, "by", by,
			"waitedMs", now.Sub(c.since).Milliseconds())
	}
	c.verified = true
}

// probe asks a candidate how it is, and promotes it if it runs.
func (t *Targets) probe(ctx context.Context, c *candidate) {
	t.mu.Lock()
	l := c.latest
	t.mu.Unlock()
	liveness := t.Prober.Probe(ctx, l)
	now := time.Now()
	t.mu.Lock()
	c.stop()
	c.probing, c.leaving = false, liveness == LivenessLeaving
	if liveness == LivenessRunning {
		t.verify(c, "probe", now)
	}
	t.mu.Unlock()
	t.promote(c, now)
}

// promote announces a candidate if it is verified and Restore is not awaited.
func (t *Targets) promote(c *candidate, now time.Time) {
	t.mu.Lock()
	latest := c.latest
	ready := c.verified && !t.holding && t.candidates[latest.ID] == c
	t.mu.Unlock()
	if !ready {
		return
	}
	t.announce(latest, now)
	t.mu.Lock()
	if t.candidates[latest.ID] == c {
		t.forget(latest.ID)
	}
	departed := c.departed
	t.mu.Unlock()
	if departed {
		// It departed after announce had looked.
		t.Depart(latest.ID, latest.Incarnation)
	}
}

// dropCandidate forgets a candidate that has departed in incarnation i or a later one. It
// reports whether the target's announcements wait.
func (t *Targets) dropCandidate(id sqid.TargetID, i sqid.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.candidates[id]
	if c != nil && c.latest.Incarnation <= i {
		c.departed = true
		t.forget(id)
	}
	return t.holding || c != nil
}

// expireCandidates forgets the candidates that were not renewed in time.
func (t *Targets) expireCandidates(now time.Time, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, c := range t.candidates {
		if now.Sub(c.latest.Announced) > after {
			t.forget(id)
		}
	}
}
