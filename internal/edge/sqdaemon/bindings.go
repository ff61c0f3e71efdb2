package sqdaemon

import (
	"context"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqclaim"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqledger"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqoperation"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
	"github.com/sequoiatack/sequoiatack/internal/state/sqmember"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
)

// members gives the ledger the daemons that may keep shards.
type members struct{ m *sqmember.Member }

// Alive returns the live daemons of a data centre.
func (a members) Alive(dc sqid.DataCentreID) []sqkeeper.Member {
	var alive []sqkeeper.Member
	for _, r := range a.m.Alive(dc) {
		alive = append(alive, sqkeeper.Member{Daemon: r.ID, Incarnation: r.Incarnation, PeerAddress: r.PeerAddress})
	}
	return alive
}

// facts shares the ledger's values as facts of the membership.
type facts struct{ d *Daemon }

// Publish publishes a version of a fact.
func (f facts) Publish(name string, version uint64, body []byte) {
	f.d.publish(name, version, body)
}

// OnFact subscribes to a fact.
func (f facts) OnFact(name string, fn func(version uint64, body []byte)) {
	f.d.member.OnFact(name, fn)
}

func (d *Daemon) publish(name string, version uint64, body []byte) {
	if _, err := d.member.Publish(name, version, body); err != nil {
		d.Logger.Error(err, "publishing fact failed", "name", name, "version", version)
	}
}

// targetAnnouncer announces the local targets to the fleet through the membership.
type targetAnnouncer struct{ d *Daemon }

// TargetChanged announces a target's new state.
func (s targetAnnouncer) TargetChanged(t sqgate.LocalTarget) {
	set := &s.d.Settings
	err := s.d.member.SetTarget(sqtarget.Row{
		ID: sqtarget.ID{Daemon: set.DaemonName, Target: t.ID}, Service: t.Service, Slots: t.Slots, Draining: t.Draining,
		DataCentre: set.DataCentre, Region: set.Region, PeerAddress: set.PeerAddress, Incarnation: s.d.incarnation,
	})
	if err != nil {
		s.d.Logger.Error(err, "announcing target to the fleet failed", "target", t.ID)
	}
}

// TargetRemoved announces that a target is gone.
func (s targetAnnouncer) TargetRemoved(id sqid.TargetID) {
	s.d.member.RemoveTarget(id)
}

// lists gives the entry the lists in force.
type lists struct{ d *Daemon }

// Index returns the index of the lists, nil before any are known.
func (l lists) Index() *sqlists.Index {
	if !l.d.listsKnown() {
		return nil
	}
	return l.d.listsHolder.Index()
}

// Stale reports whether the lists were last confirmed too long ago to be used.
func (l lists) Stale(now time.Time) bool {
	limit := time.Duration(l.d.Settings.StaleListsAfter)
	return sqlists.Stale(l.d.listsHolder.Confirmed(), now, limit)
}

// The latencies assumed between data centres, by which the ledger orders them.
const (
	sameRegionDistance  = time.Millisecond
	otherRegionDistance = 20 * time.Millisecond
)

// distance returns the assumed latency to a data centre, which depends on whether it is
// in this daemon's region.
func (d *Daemon) distance(dc sqid.DataCentreID) time.Duration {
	dist := otherRegionDistance
	d.member.Each(func(r sqmember.Row) bool {
		if r.DataCentre == dc && r.Region == d.Settings.Region {
			dist = sameRegionDistance
		}
		return dist == otherRegionDistance
	})
	return dist
}

// ledgerCharger charges requests to the ledger.
type ledgerCharger struct{ l *sqledger.Ledger }

// Charge spends one token of a workspace's rate. It returns whether the request is
// admitted and, if not, the retry-after.
func (c ledgerCharger) Charge(ctx context.Context, w sqid.WorkspaceID) (bool, time.Duration, error) {
	d, err := c.l.Charge(ctx, w)
	return d.Admitted, d.RetryAfter, err
}

// Return does nothing, since a keeper takes no tokens back: a request that is refused
// after it was charged still costs a token.
func (ledgerCharger) Return(sqid.WorkspaceID) {}

// keepers gives sqclaim the ledger's view of the keepers records.
type keepers struct{ l *sqledger.Ledger }

// ActiveAssignment returns this daemon's assignment of a shard, and false if it may not
// act as keeper at now.
func (k keepers) ActiveAssignment(s sqid.ShardID, now time.Time) (sqclaim.Assignment, bool) {
	t, ok := k.l.Tenure(s, now)
	return assignmentOf(t), ok
}

// Assignment returns this daemon's assignment of a shard, even if it may not act as
// keeper now.
func (k keepers) Assignment(s sqid.ShardID) (sqclaim.Assignment, bool) {
	t, ok := k.l.AssignedTenure(s)
	return assignmentOf(t), ok
}

func assignmentOf(t sqledger.Tenure) sqclaim.Assignment {
	return sqclaim.Assignment{RecordEpoch: t.RecordEpoch, Tenure: t.Since, PreviousTenure: t.PreviousSince, First: t.Since == 1, Backup: t.Backup}
}

// Home returns the keeper of a data centre's shard.
func (k keepers) Home(dc sqid.DataCentreID, s sqid.ShardID) (sqkeeper.Member, sqid.Epoch, bool) {
	h, ok := k.l.ShardKeeper(dc, s)
	return h.Keeper, h.Epoch, ok
}

// Candidates returns the daemons that may be backups.
func (k keepers) Candidates() []sqkeeper.Member { return k.l.LiveRosterPeers() }

// SetBackups writes backups into the keepers record.
func (k keepers) SetBackups(ctx context.Context, backups map[sqid.ShardID]sqkeeper.Member) error {
	return k.l.SetBackups(ctx, backups)
}

// DataCentres returns the agreed set of data centres.
func (k keepers) DataCentres() ([]sqid.DataCentreID, uint64) {
	s := k.l.NewestShares()
	return s.DataCentres, uint64(s.Epoch)
}

// operations lets the entry claim operations.
type operations struct{ service *sqclaim.Service }

// Begin claims an operation. If it is granted, Begin returns the function that reports
// its outcome.
func (o operations) Begin(ctx context.Context, k sqoperation.Key, f sqoperation.Fingerprint, deadline time.Time) (func(sqoperation.Outcome), *sqoperation.Answer, *sqerror.Error) {
	op, replay, refusal := o.service.Begin(ctx, k, f, deadline)
	if op == nil {
		return nil, replay, refusal
	}
	return op.Finish, nil, nil
}

// Mint returns a new idempotency key.
func (o operations) Mint(now time.Time) string { return o.service.Mint(now) }
