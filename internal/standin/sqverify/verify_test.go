package sqverify

import (
	"flag"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pelletier/go-toml/v2"
	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqsimtarget"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// naiveExcess is a reference for WorstExcess: it tries every window that begins
// and ends with an admission.
func naiveExcess(admissions []Admission, rate squnit.Rate, burst squnit.Tokens) float64 {
	worst := math.Inf(-1)
	for _, first := range admissions {
		for _, last := range admissions {
			n := 0
			for _, a := range admissions {
				if a.From >= first.From && a.To <= last.To {
					n++
				}
			}
			if n > 0 {
				length := time.Duration(last.To - first.From).Seconds()
				worst = max(worst, float64(n)-float64(burst)-float64(rate)*length)
			}
		}
	}
	return worst
}

// TestWorstExcess compares WorstExcess with naiveExcess on random admissions.
func TestWorstExcess(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := squnit.Rate(rapid.IntRange(1, 50).Draw(rt, "rate"))
		burst := squnit.Tokens(rapid.IntRange(1, 10).Draw(rt, "burst"))
		var admissions []Admission
		for range rapid.IntRange(1, 30).Draw(rt, "n") {
			from := int64(rapid.IntRange(0, 1000).Draw(rt, "from")) * int64(time.Millisecond)
			took := int64(rapid.IntRange(0, 100).Draw(rt, "took")) * int64(time.Millisecond)
			admissions = append(admissions, Admission{From: from, To: from + took})
		}
		got, want := WorstExcess(admissions, rate, burst), naiveExcess(admissions, rate, burst)
		if math.Abs(got-want) > 1e-6 {
			rt.Fatalf("got %f, want %f for %v", got, want, admissions)
		}
	})
}

// checkCase is one case of the testdata: samples and runs in short form, and the
// names of the checks that must report a violation.
type checkCase struct {
	Attempts []struct {
		ID, Workspace, Operation, Run string
		Status                        int
		Crossed                       bool
	}
	Runs []struct {
		ID, Call, Service, Workspace, Operation, Method, Outcome string
		KeySeen                                                  bool
	}
	Want []string
}

func (s *checkCase) evidence() *Evidence {
	e := &Evidence{Runs: make(map[sqid.ServiceID][]sqsimtarget.CallRecord)}
	for _, a := range s.Attempts {
		e.Samples = append(e.Samples, sqload.Sample{
			Workspace: sqid.WorkspaceID(a.Workspace),
			Attempts: []sqload.Attempt{{
				RequestID: a.ID, Operation: a.Operation, Run: a.Run, Status: a.Status, Mismatched: a.Crossed,
			}},
		})
	}
	for _, r := range s.Runs {
		service := sqid.ServiceID(r.Service)
		e.Runs[service] = append(e.Runs[service], sqsimtarget.CallRecord{
			RequestID: r.ID, CallID: r.Call, Workspace: sqid.WorkspaceID(r.Workspace), Operation: r.Operation,
			Method: r.Method, Path: "/p", Outcome: sqsimtarget.Outcome(r.Outcome), KeySeen: r.KeySeen,
		})
	}
	return e
}

// TestScenes runs every check on each case of the testdata and compares the
// checks that report a violation with those that the case expects.
func TestScenes(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/scenes.txtar")
	qt.Assert(t, err, qt.IsNil)
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			var s checkCase
			qt.Assert(t, toml.Unmarshal(f.Data, &s), qt.IsNil)
			e := s.evidence()
			var found []string
			for _, c := range []struct {
				name  string
				check func() []Violation
			}{
				{"falseNotRun", e.FalseNotRun},
				{"falseRun", e.FalseRun},
				{"noOutcome", e.MissingRunHeader},
				{"runTwice", e.DuplicateRuns},
				{"keySeen", e.LeakedKeys},
				{"crossed", e.Crossed},
			} {
				if len(c.check()) > 0 {
					found = append(found, c.name)
				}
			}
			qt.Assert(t, strings.Join(found, " "), qt.Equals, strings.Join(s.Want, " "))
		})
	}
}

// TestRecovery checks the recovery time of a run that fails from 2 s to 5 s, with
// the cause ending at 4 s, and that a run that ends too early has none.
func TestRecovery(t *testing.T) {
	e := &Evidence{}
	const second = int64(time.Second)
	for at := int64(0); at < 10*second; at += second / 100 {
		whole := at < 2*second || at >= 5*second
		e.Samples = append(e.Samples, sqload.Sample{Scheduled: at, Ended: at, Complete: whole})
	}
	before := Span{0, 2 * second}
	after, ok := e.Recovery(before, 4*second, 10*second, nil)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, after > 900*time.Millisecond && after <= time.Second, qt.IsTrue, qt.Commentf("%v", after))
	_, ok = e.Recovery(before, 2*second, 4*second, nil)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, e.Goodput(before), qt.Equals, 100.0)
}

// TestWasted checks that only work for failed requests counts as wasted, with
// the weights of the services, and that CallsPerAdmitted counts shed calls too.
func TestWasted(t *testing.T) {
	e := &Evidence{
		Samples: []sqload.Sample{
			{Complete: true, Attempts: []sqload.Attempt{{RequestID: "a"}}},
			{Complete: false, Attempts: []sqload.Attempt{{RequestID: "b"}}},
		},
		Runs: map[sqid.ServiceID][]sqsimtarget.CallRecord{
			"x": {{RequestID: "a", Outcome: "done"}, {RequestID: "b", Outcome: "done"}, {RequestID: "b", Outcome: "shed"}},
			"y": {{RequestID: "a", Outcome: "done"}},
		},
	}
	qt.Assert(t, e.WastedShare(map[sqid.ServiceID]float64{"y": 2}), qt.Equals, 0.25)
	qt.Assert(t, e.CallsPerAdmitted("x", "x"), qt.Equals, 1.5)
}
