package sqfleet

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	dto "github.com/prometheus/client_model/go"
	"google.golang.org/protobuf/proto"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqsimtarget"
)

func testFleet(t *testing.T) *Fleet {
	f := &Fleet{
		Layout: Layout{
			Regions: 2, DataCentres: 2, SpareDaemons: 1,
			Services: []Service{{Name: "calendar", Instances: 2, Slots: 4}},
		},
		ExtraSettings: "stopTimeout = \"5s\"\n",
		dir:           t.TempDir(),
	}
	qt.Assert(t, f.prepare(), qt.IsNil)
	return f
}

// TestSettings checks that the daemon and the stand-in target can load the
// settings files that a fleet writes, and that the daemons' addresses are free
// and distinct.
func TestSettings(t *testing.T) {
	f := testFleet(t)
	qt.Assert(t, f.daemons, qt.HasLen, 12)
	qt.Assert(t, f.targets, qt.HasLen, 8)
	seen := map[string]bool{}
	for _, d := range f.daemons {
		cfg, err := sqsettings.Load(d.args[2])
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, cfg.DaemonName, qt.Equals, d.Placement.Daemon)
		qt.Check(t, cfg.PlatformAddresses, qt.DeepEquals, []string{f.platform.Address})
		for _, a := range []string{d.CallerAddress, d.LocalAddress, d.PeerAddress, d.AdminAddress} {
			qt.Check(t, seen[a], qt.IsFalse)
			seen[a] = true
			l, err := net.Listen("tcp", a)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, l.Close(), qt.IsNil)
		}
	}
	for _, target := range f.targets {
		cfg, err := sqsimtarget.Load(target.args[2])
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, cfg.LocalAddress, qt.Equals, target.Daemon.LocalAddress)
	}
}

func TestPlacements(t *testing.T) {
	centres := map[sqid.DataCentreID]sqid.RegionID{}
	names := map[sqid.DaemonID]bool{}
	for _, s := range testFleet(t).Layout.Placements() {
		centres[s.DataCentre] = s.Region
		names[s.Daemon] = true
	}
	qt.Assert(t, names, qt.HasLen, 12)
	qt.Assert(t, centres, qt.DeepEquals, map[sqid.DataCentreID]sqid.RegionID{
		"dc1a": "region1", "dc1b": "region1", "dc2a": "region2", "dc2b": "region2",
	})
}

func TestTooManyProcesses(t *testing.T) {
	f := &Fleet{Layout: Layout{Regions: 1, DataCentres: 1, SpareDaemons: 1000}}
	qt.Assert(t, f.Start(t.Context()), qt.ErrorMatches, "layout has up to .*")
}

func TestMetricsSum(t *testing.T) {
	metric := func(direction, kind string, v float64) *dto.Metric {
		return &dto.Metric{
			Label: []*dto.LabelPair{
				{Name: proto.String("direction"), Value: proto.String(direction)},
				{Name: proto.String("kind"), Value: proto.String(kind)},
			},
			Counter: &dto.Counter{Value: proto.Float64(v)},
		}
	}
	m := Metrics{"bytes": {Metric: []*dto.Metric{metric("sent", "a", 1), metric("sent", "b", 2), metric("received", "a", 4)}}}
	qt.Check(t, m.Sum("bytes"), qt.Equals, 7.0)
	qt.Check(t, m.Sum("bytes", "direction", "sent"), qt.Equals, 3.0)
	qt.Check(t, m.Sum("bytes", "direction", "sent", "kind", "b"), qt.Equals, 2.0)
	qt.Check(t, m.By("bytes", "kind"), qt.DeepEquals, map[string]float64{"a": 5, "b": 2})
	qt.Check(t, m.By("bytes", "kind", "direction", "sent"), qt.DeepEquals, map[string]float64{"a": 1, "b": 2})
	qt.Check(t, m.Sum("none"), qt.Equals, 0.0)
}
