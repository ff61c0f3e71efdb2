package sqload

import (
	"flag"
	"io"
	"log"
	"math"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"

	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqsimtarget"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// TestScheduleFixed checks that the number of arrivals with equal gaps matches
// the integral of the rate over any phases.
func TestScheduleFixed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := Schedule{Rate: squnit.Rate(rapid.IntRange(1, 1000).Draw(rt, "rate"))}
		from := 0
		for range rapid.IntRange(0, 4).Draw(rt, "phases") {
			from += rapid.IntRange(1, 2000).Draw(rt, "ms")
			s.Phases = append(s.Phases, Phase{
				From:   sqsettings.Span(time.Duration(from) * time.Millisecond),
				Factor: float64(rapid.IntRange(0, 5).Draw(rt, "factor")),
			})
		}
		const end = 10 * time.Second
		n, last := 0, time.Duration(0)
		for {
			at, ok := s.Next()
			if !ok || at > end {
				break
			}
			if at < last {
				rt.Fatalf("arrival %v after %v", at, last)
			}
			n, last = n+1, at
		}
		want := integral(s.Rate, s.Phases, end)
		if math.Abs(float64(n)-want) > 1.001 {
			rt.Fatalf("%d arrivals, want %f", n, want)
		}
	})
}

func integral(rate squnit.Rate, phases []Phase, end time.Duration) float64 {
	total, from, factor := 0.0, time.Duration(0), 1.0
	for _, p := range phases {
		total += float64(rate) * factor * (time.Duration(p.From) - from).Seconds()
		from, factor = time.Duration(p.From), p.Factor
	}
	return total + float64(rate)*factor*(end-from).Seconds()
}

// TestSchedulePoisson checks that a seeded Poisson schedule has about as many
// arrivals as its rate says.
func TestSchedulePoisson(t *testing.T) {
	s := Schedule{Rate: 1000, Poisson: true, Rand: rand.New(rand.NewPCG(1, 1))}
	n := 0
	for at, ok := s.Next(); ok && at < 10*time.Second; at, ok = s.Next() {
		n++
	}
	qt.Assert(t, n > 9_600 && n < 10_400, qt.IsTrue, qt.Commentf("%d arrivals", n))
}

// TestOpenLoop checks that requests that get no answer don't delay the schedule:
// all are sent to a server that refuses connections, each with its retries.
func TestOpenLoop(t *testing.T) {
	server := httptest.NewServer(nil)
	server.Close()
	result, err := Run(t.Context(), Config{
		Seed: 1, Entries: []string{server.URL}, Direct: true, Duration: sqsettings.Span(100 * time.Millisecond),
		Arrivals:   ArrivalsFixed,
		Workspaces: []Workspace{{Name: "a", Rate: 100, Repeats: 2, Routes: []Route{{Path: "/"}}}},
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, result.All.Requests, qt.Equals, 9)
	qt.Assert(t, result.All.Attempts, qt.Equals, 27)
	qt.Assert(t, result.All.Complete, qt.Equals, 0)
}

// TestTargetAndLoad sends load to a target that duplicates and truncates
// answers. It checks that truncated answers are counted, and that goodput and
// statuses add up to the totals.
func TestTargetAndLoad(t *testing.T) {
	log.SetOutput(io.Discard)
	target := &sqsimtarget.Target{Config: sqsimtarget.Config{
		Name: "t", Service: "s", Address: "-", Slots: 8,
		Behaviour: sqsimtarget.Behaviour{DuplicateEvery: 3, TruncateEvery: 10},
	}}
	target.Prepare(time.Now())
	server := httptest.NewServer(target.Handler())
	defer server.Close()
	result, err := Run(t.Context(), Config{
		Seed: 1, Entries: []string{server.URL}, Direct: true, Duration: sqsettings.Span(300 * time.Millisecond),
		Workspaces: []Workspace{{Name: "a", Rate: 1000, Routes: []Route{{Path: "/", Method: "POST", BodyBytes: 10}}}},
	})
	qt.Assert(t, err, qt.IsNil)
	a := result.All
	qt.Assert(t, a.Requests > 200, qt.IsTrue)
	qt.Assert(t, a.Truncated > 0, qt.IsTrue)
	qt.Assert(t, a.Complete > 0, qt.IsTrue)
	sum := 0
	for _, n := range result.Goodput {
		sum += n
	}
	qt.Assert(t, sum, qt.Equals, a.Complete)
	qt.Assert(t, a.Status[0]+a.Status[200], qt.Equals, a.Attempts)
}

// TestClassify checks how answers are classified. Each case in testdata has the
// answer's status, the operation, the body and the expected result.
func TestClassify(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/judge.txtar")
	qt.Assert(t, err, qt.IsNil)
	s := &sender{run: &runner{}, workspace: &Workspace{Name: "w", Key: "k"}}
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			lines := strings.SplitN(strings.TrimSpace(string(f.Data)), "\n", 4)
			status, err := strconv.Atoi(lines[0])
			qt.Assert(t, err, qt.IsNil)
			operation := strings.TrimPrefix(lines[1], "operation ")
			a := Attempt{RequestID: "1-w-7-1", Status: status}
			s.classify(&a, call{id: a.RequestID, operation: operation, route: &Route{}}, []byte(lines[2]))
			qt.Assert(t, flagsOf(a), qt.Equals, lines[3])
		})
	}
}

func flagsOf(a Attempt) string {
	var words []string
	for _, w := range []struct {
		name string
		on   bool
	}{{"whole", a.Complete}, {"crossed", a.Mismatched}, {"replayed", a.Replayed}, {"cut", a.Truncated}} {
		if w.on {
			words = append(words, w.name)
		}
	}
	return strings.Join(append(words, "reason="+a.Reason), " ")
}

// TestBucket checks how many tokens a bucket gives out over 2 s of steady
// requests above its rate: the burst and what the rate adds.
func TestBucket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := bucket{rate: 10, burst: 5}
		taken := 0
		for range 200 {
			if b.take(time.Now()) {
				taken++
			}
			time.Sleep(10 * time.Millisecond)
		}
		qt.Assert(t, taken, qt.Equals, 5+19)
	})
}
