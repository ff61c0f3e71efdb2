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

// members gives the ledger the members that may keep shards.
type members struct{ m *sqmember.Member }

// Alive returns the daemons of a data centre that are alive.
func (a members) Alive(dc sqid.DataCentreID) []sqkeeper.Member {
	var alive []sqkeeper.Member
	for _, r := range a.m.Alive(dc) {
		alive = append(alive, sqkeeper.Member{Daemon: r.ID, Incarnation: r.Incarnation, PeerAddress: r.PeerAddress})
	}
	return alive
}

// facts spreads values by the membership.
type facts struct{ d *Daemon }

// Publish spreads a value.
func (f facts) Publish(name string, version uint64, body []byte) {
	f.d.publish(name, version, body)
}

// OnFact subscribes to a value.
func (f facts) OnFact(name string, fn func(version uint64, body []byte)) {
	f.d.member.OnFact(name, fn)
}

func (d *Daemon) publish(name string, version uint64, body []byte) {
	if _, err := d.member.Publish(name, version, body); err != nil {
		d.Logger.Error(err, "value was not spread", "name", name, "version", version)
	}
}

// spread tells the fleet of the local targets.
type spread struct{ d *Daemon }

// TargetChanged spreads a target's row.
func (s spread) TargetChanged(t sqgate.Local) {
	set := &s.d.Settings
	err := s.d.member.SetTarget(sqtarget.Row{
		ID: sqtarget.ID{Daemon: set.DaemonName, Target: t.ID}, Service: t.Service, Slots: t.Slots, Draining: t.Draining,
		DataCentre: set.DataCentre, Region: set.Region, PeerAddress: set.PeerAddress, Incarnation: s.d.incarnation,
	})
	if err != nil {
		s.d.Logger.Error(err, "target was not spread", "target", t.ID)
	}
}

// TargetRemoved spreads that a target has gone.
func (s spread) TargetRemoved(id sqid.TargetID) {
	s.d.member.RemoveTarget(id)
}

// lists gives the entry the lists in force.
type lists struct{ d *Daemon }

// Index returns the index of the lists, nil before any are known.
func (l lists) Index() *sqlists.Index {
	if !l.d.listsKnown() {
		return nil
	}
	return l.d.holder.Index()
}

// Stale reports whether the lists are too old to serve by.
func (l lists) Stale(now time.Time) bool {
	limit := time.Duration(l.d.Settings.StaleListsAfter)
	return sqlists.Stale(l.d.holder.Confirmed(), now, limit)
}

// The usual times between data centres, by which they are ordered.
const (
	nearDistance = time.Millisecond
	farDistance  = 20 * time.Millisecond
)

// distance tells data centres of the own region from others.
func (d *Daemon) distance(dc sqid.DataCentreID) time.Duration {
	away := farDistance
	d.member.Each(func(r sqmember.Row) bool {
		if r.DataCentre == dc && r.Region == d.Settings.Region {
			away = nearDistance
		}
		return away == farDistance
	})
	return away
}

// charger spends by the ledger.
type charger struct{ l *sqledger.Ledger }

// Charge spends one request.
func (c charger) Charge(ctx context.Context, w sqid.WorkspaceID) (bool, time.Duration, error) {
	d, err := c.l.Charge(ctx, w)
	return d.Admitted, d.RetryAfter, err
}

// Return does nothing: a keeper takes no token back, so a request that is
// refused after its charge has spent one.
func (charger) Return(sqid.WorkspaceID) {}

// keepers gives the books what the keepers record says.
type keepers struct{ l *sqledger.Ledger }

// Keeping returns what this daemon keeps of a shard.
func (k keepers) Keeping(s sqid.ShardID, now time.Time) (sqclaim.Keeping, bool) {
	t, ok := k.l.Tenure(s, now)
	return keepingOf(t), ok
}

// Assigned returns what the record assigns this daemon of a shard.
func (k keepers) Assigned(s sqid.ShardID) (sqclaim.Keeping, bool) {
	t, ok := k.l.Assigned(s)
	return keepingOf(t), ok
}

func keepingOf(t sqledger.Tenure) sqclaim.Keeping {
	return sqclaim.Keeping{Record: t.Record, Since: t.Since, From: t.From, First: t.Since == 1, Backup: t.Backup}
}

// Home returns the keeper of a shard.
func (k keepers) Home(dc sqid.DataCentreID, s sqid.ShardID) (sqkeeper.Member, sqid.Epoch, bool) {
	h, ok := k.l.Home(dc, s)
	return h.Keeper, h.Epoch, ok
}

// Candidates returns the daemons that may be backups.
func (k keepers) Candidates() []sqkeeper.Member { return k.l.Roster() }

// SetBackups writes backups into the record.
func (k keepers) SetBackups(ctx context.Context, backups map[sqid.ShardID]sqkeeper.Member) error {
	return k.l.SetBackups(ctx, backups)
}

// Centres returns the agreed set of data centres.
func (k keepers) Centres() ([]sqid.DataCentreID, uint64) {
	s := k.l.Shares()
	return s.DataCentres, uint64(s.Epoch)
}

// operations gives the entry the books.
type operations struct{ b *sqclaim.Books }

// Begin claims an operation.
func (o operations) Begin(ctx context.Context, k sqoperation.Key, f sqoperation.Fingerprint, deadline time.Time) (func(sqoperation.Outcome), *sqoperation.Answer, *sqerror.Error) {
	op, replay, refusal := o.b.Begin(ctx, k, f, deadline)
	if op == nil {
		return nil, replay, refusal
	}
	return op.Finish, nil, nil
}

// Mint returns a fresh key.
func (o operations) Mint(now time.Time) string { return o.b.Mint(now) }
