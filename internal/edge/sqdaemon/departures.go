package sqdaemon

import (
	"context"
	"slices"
	"strings"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqdeparture"
)

// nearHolders is the number of peers of the own data centre that come first among those
// that hold this daemon's departures; the next one is of another data centre, which may
// outlive this one.
const nearHolders = 2

// departureRecorder records the departures of the local targets.
type departureRecorder struct{ k *sqdeparture.Keeper }

// RecordDeparture keeps a departure where it outlives this daemon, and reports whether it
// does.
func (r departureRecorder) RecordDeparture(ctx context.Context, id sqid.TargetID, i sqid.Incarnation) bool {
	return r.k.Record(ctx, sqdeparture.Departure{Target: id, Incarnation: i})
}

func (d *Daemon) buildDepartures() {
	d.departures = &sqdeparture.Keeper{
		Self: d.Settings.DaemonName, Store: d.platform, Conns: d.pool, Peers: d.departureHolders, Logger: d.Logger,
		// Without a catalog, this daemon refuses all requests.
		Serving: func() bool { return d.catalogHolder.Catalog() != nil },
		Restore: func(list []sqdeparture.Departure) {
			d.departBeforeStart(list)
			d.targets.Restore()
		},
		Departed: d.departBeforeStart,
	}
	d.targets.Departures = departureRecorder{d.departures}
	d.targets.Hold()
	d.timer.Subscribe(sqdeparture.TickPeriod, d.departures)
}

func (d *Daemon) departBeforeStart(list []sqdeparture.Departure) {
	for _, o := range list {
		d.Logger.Info("target has left before the start", "target", o.Target, "incarnation", o.Incarnation)
		d.targets.Depart(o.Target, o.Incarnation)
	}
}

// departureHolders returns the peer addresses of the daemons that hold this daemon's
// departures, in order: those of the own data centre by rank, with the first of each other
// data centre after the first nearHolders.
func (d *Daemon) departureHolders() []string {
	var near, far []string
	for _, r := range d.member.Alive(d.Settings.DataCentre) {
		if r.ID != d.Settings.DaemonName {
			near = append(near, r.PeerAddress)
		}
	}
	var others []sqid.DataCentreID
	for dc := range d.Settings.Platform.DataCentres {
		if dc != d.Settings.DataCentre {
			others = append(others, dc)
		}
	}
	slices.SortFunc(others, func(a, b sqid.DataCentreID) int { return strings.Compare(string(a), string(b)) })
	for _, dc := range others {
		if alive := d.member.Alive(dc); len(alive) > 0 {
			far = append(far, alive[0].PeerAddress)
		}
	}
	first := min(len(near), nearHolders)
	return slices.Concat(near[:first], far[:min(len(far), 2)], near[first:], far[min(len(far), 2):])
}
