package sqdaemon

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqadmin"
	"github.com/sequoiatack/sequoiatack/internal/state/sqmember"
)

func (d *Daemon) adminHandler() http.Handler {
	s := &sqadmin.Server{
		Daemon: d.Settings.DaemonName, Holder: d.listsHolder, Acceptor: d.listsAcceptor,
		KeyDigests: d.Settings.AdminKeyDigests, Status: d.status, Ready: d.ready,
		Metrics: d.metrics, Logger: d.Logger,
	}
	return s.Handler()
}

// status collects the daemon's state for operators.
func (d *Daemon) status() sqadmin.Status {
	now := time.Now()
	s := sqadmin.Status{
		Daemon: d.Settings.DaemonName, DataCentre: d.Settings.DataCentre, Region: d.Settings.Region,
		Incarnation: d.incarnation, Revision: d.listsHolder.Revision(), Watcher: d.member.IsWatcher(),
		Stopping: d.stopState.Begun(), Shards: d.shardStatus(now), Targets: d.targetStatus(),
	}
	if confirmed := d.listsHolder.Confirmed(); !confirmed.IsZero() {
		age := sqsettings.Span(now.Sub(confirmed).Round(time.Millisecond))
		s.ListsAge = &age
	}
	s.Peers, s.DataCentres = d.peerStatus()
	return s
}

// peerStatus returns the other daemons, and the data centres with the revision of the
// lists known to be in force in each.
func (d *Daemon) peerStatus() ([]sqadmin.Peer, []sqadmin.DataCentre) {
	var peers []sqadmin.Peer
	centres := make(map[sqid.DataCentreID]*sqadmin.DataCentre)
	d.member.Each(func(r sqmember.Row) bool {
		if r.State == sqmember.Alive {
			c, ok := centres[r.DataCentre]
			if !ok {
				c = &sqadmin.DataCentre{Name: r.DataCentre, Region: r.Region}
				centres[r.DataCentre] = c
			}
			c.Daemons++
		}
		if r.ID != d.Settings.DaemonName {
			peers = append(peers, sqadmin.Peer{
				Daemon: r.ID, DataCentre: r.DataCentre, Region: r.Region, Address: r.PeerAddress,
				Incarnation: r.Incarnation, State: r.State.String(),
			})
		}
		return true
	})
	slices.SortFunc(peers, func(a, b sqadmin.Peer) int { return cmp.Compare(a.Daemon, b.Daemon) })
	return peers, d.centreStatus(centres)
}

func (d *Daemon) centreStatus(centres map[sqid.DataCentreID]*sqadmin.DataCentre) []sqadmin.DataCentre {
	list := make([]sqadmin.DataCentre, 0, len(centres))
	for _, c := range centres {
		if e, ok := d.revisions.latest(c.Name); ok {
			age := sqsettings.Span(time.Since(e.receivedAt).Round(time.Millisecond))
			c.Revision, c.Age = e.revision, &age
		}
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b sqadmin.DataCentre) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (d *Daemon) shardStatus(now time.Time) []sqadmin.Shard {
	var shards []sqadmin.Shard
	for _, id := range d.ledger.KeptShards(now) {
		if t, ok := d.ledger.Tenure(id, now); ok {
			shards = append(shards, sqadmin.Shard{Shard: id, Epoch: t.Since, State: "keeping"})
		}
	}
	return shards
}

func (d *Daemon) targetStatus() []sqadmin.Target {
	var targets []sqadmin.Target
	for _, t := range d.targets.All() {
		running, queued := t.CallCounts()
		targets = append(targets, sqadmin.Target{
			Target: t.ID, Service: t.Service, Address: t.Address, Slots: t.Slots,
			InFlight: running, Queued: queued, Draining: t.Draining,
		})
	}
	slices.SortFunc(targets, func(a, b sqadmin.Target) int { return cmp.Compare(a.Target, b.Target) })
	return targets
}
