package sqexperiment

import (
	"bytes"
	"encoding/xml"
	"io"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqsimtarget"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqverify"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// TestFiles checks every experiment file of the repository: it loads, its load
// passes the load tool's check, all its routes go to the entry service, and each
// event selects at least one daemon or target.
func TestFiles(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/*.toml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			f, err := Load(name)
			qt.Assert(t, err, qt.IsNil)
			cfg := f.loadConfig(1, []string{"http://127.0.0.1:1"}, f.workspaceSpecs())
			qt.Assert(t, cfg.Check(), qt.IsNil)
			for _, spec := range f.workspaceSpecs() {
				for _, use := range spec.Uses {
					qt.Assert(t, use.Service, qt.Equals, f.entryService())
				}
			}
			for _, e := range f.Events {
				hit := false
				for _, placement := range f.Fleet.Placements() {
					hit = hit || (e.Service == "" || placement.Service != nil && placement.Service.Name == e.Service) &&
						(e.DataCentre == "" || e.DataCentre == placement.DataCentre) &&
						(e.Region == "" || e.Region == placement.Region)
				}
				qt.Assert(t, hit, qt.IsTrue)
			}
		})
	}
}

func TestUse(t *testing.T) {
	f := &File{}
	got := f.routeUse(sqload.Route{Method: "POST", Path: "/calendar/bookings/new", Importance: squnit.ImportanceHigh}, 2)
	qt.Assert(t, got, qt.DeepEquals, sqlists.Use{
		Service: "calendar", Methods: []string{"POST"}, Paths: []string{"/bookings/new"},
		Importance: squnit.ImportanceHigh, Retries: 2,
	})
}

func sampleAt(at time.Duration, importance squnit.Importance, whole bool) sqload.Sample {
	return sqload.Sample{Scheduled: int64(at), Ended: int64(at), Importance: importance, Complete: whole}
}

func TestCriticalLost(t *testing.T) {
	e := &sqverify.Evidence{Samples: []sqload.Sample{
		sampleAt(10*time.Millisecond, squnit.ImportanceCritical, false),
		sampleAt(20*time.Millisecond, squnit.ImportanceLow, true),
		sampleAt(110*time.Millisecond, squnit.ImportanceCritical, false),
		sampleAt(120*time.Millisecond, squnit.ImportanceLow, false),
		sampleAt(210*time.Millisecond, squnit.ImportanceCritical, true),
		sampleAt(220*time.Millisecond, squnit.ImportanceLow, true),
	}}
	qt.Assert(t, criticalLost(e, sqverify.Span{From: 0, To: int64(time.Second)}), qt.Equals, 1)
}

// TestCapacity checks the capacity of a service with one slot and two runs of 10 ms:
// 100 requests a second, however long the slot was idle.
func TestCapacity(t *testing.T) {
	f, err := Load("../../../experiments/surge.toml")
	qt.Assert(t, err, qt.IsNil)
	f.Fleet.Services = f.Fleet.Services[:1]
	f.Fleet.Regions, f.Fleet.DataCentres = 1, 1
	f.Fleet.Services[0].Instances, f.Fleet.Services[0].Slots = 1, 1
	e := &sqverify.Evidence{Runs: map[sqid.ServiceID][]sqsimtarget.CallRecord{f.Fleet.Services[0].Name: {
		{RequestID: "a", Started: int64(time.Millisecond), Ended: int64(11 * time.Millisecond)},
		{RequestID: "b", Started: int64(21 * time.Millisecond), Ended: int64(31 * time.Millisecond)},
	}}}
	qt.Assert(t, f.capacity(e, sqverify.Span{From: 0, To: int64(time.Second)}), qt.Equals, 100.0)
}

func sampleReport() *Report {
	run := func(variant string, seed uint64, during float64) Run {
		return Run{Variant: variant, Seed: seed, Figures: Figures{During: during}, Offered: []int{5, 6}, Goodput: []int{1, 2, 3}}
	}
	return &Report{Name: "n", Title: "a <b>", Runs: []Run{
		run("x", 1, 1), run("y", 1, 10), run("x", 2, 3), run("y", 2, 30), run("x", 3, 2), run("y", 3, 20),
	}}
}

// TestReport checks the median and range over the seeds of each variant.
func TestReport(t *testing.T) {
	var b bytes.Buffer
	qt.Assert(t, sampleReport().WriteTable(&b), qt.IsNil)
	qt.Assert(t, b.String(), qt.Contains, "2.000 (1.000 to 3.000)")
	qt.Assert(t, b.String(), qt.Contains, "20.000 (10.000 to 30.000)")
}

// TestPlot checks that the plot is well-formed XML, with a line for each variant and
// one for the offered load.
func TestPlot(t *testing.T) {
	f, err := Load("../../../experiments/surge.toml")
	qt.Assert(t, err, qt.IsNil)
	var b bytes.Buffer
	qt.Assert(t, sampleReport().plot(f).write(&b), qt.IsNil)
	qt.Assert(t, strings.Count(b.String(), "<polyline"), qt.Equals, 3)
	d := xml.NewDecoder(&b)
	for err == nil {
		_, err = d.Token()
	}
	qt.Assert(t, err, qt.Equals, io.EOF)
}

func TestReportsAlive(t *testing.T) {
	status := map[string]any{"peers": []any{
		map[string]any{"name": "a", "state": "alive"},
		map[string]any{"name": "b", "state": "dead"},
		map[string]any{"name": "c"},
	}}
	for name, want := range map[string]bool{"a": true, "b": false, "c": true, "d": false} {
		qt.Check(t, reportsAlive(status, name), qt.Equals, want)
	}
}
