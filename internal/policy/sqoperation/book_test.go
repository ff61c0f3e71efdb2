package sqoperation

import (
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// dedupTable is what entries use to run operations at most once.
type dedupTable interface {
	Claim(now time.Time, c Claim) Decision
	Finish(now time.Time, k Key, t Token, o Outcome) bool
	Tick(now time.Time)
}

// naiveTable records only running operations and known answers: a key is free again
// as soon as its run has ended, whatever the outcome.
type naiveTable struct {
	running map[Key]time.Time
	answers map[Key]*Answer
}

func (n *naiveTable) Claim(now time.Time, c Claim) Decision {
	if a, ok := n.answers[c.Key]; ok {
		return Decision{Verdict: Replay, Answer: a}
	}
	if until, ok := n.running[c.Key]; ok && now.Before(until) {
		return Decision{Verdict: Running}
	}
	n.running[c.Key] = c.Deadline
	return Decision{Verdict: Granted}
}

func (n *naiveTable) Finish(_ time.Time, k Key, _ Token, o Outcome) bool {
	delete(n.running, k)
	if o.Answer != nil {
		n.answers[k] = o.Answer
	}
	return true
}

func (n *naiveTable) Tick(time.Time) {}

const (
	testHorizon = time.Minute
	testTimeout = 5 * time.Second
)

// grant is a permission to run an operation, and what became of it.
type grant struct {
	key   Key
	token Token
	until time.Time
	ran   bool
	ended bool
}

// simulation drives a dedupTable like entries that are slow and lose answers and
// outcomes, and counts the runs at targets.
type simulation struct {
	dedupTable dedupTable
	now        time.Time
	tokens     Token
	grants     []*grant
	runs       map[Key][]time.Time
	ranTwice   bool
}

func newSimulation(g dedupTable) *simulation {
	return &simulation{dedupTable: g, now: time.Unix(1_000_000, 0), runs: map[Key][]time.Time{}}
}

func (w *simulation) claim(k Key) Decision {
	w.tokens++
	d := w.dedupTable.Claim(w.now, Claim{Key: k, Fingerprint: 1, Token: w.tokens, Deadline: w.now.Add(testTimeout)})
	if d.Verdict == Granted {
		w.grants = append(w.grants, &grant{key: k, token: w.tokens, until: w.now.Add(testTimeout)})
	}
	return d
}

// run has the target run a granted operation if the deadline allows it.
func (w *simulation) run(g *grant) {
	if g.ran || g.ended || !w.now.Before(g.until) {
		return
	}
	g.ran = true
	for _, at := range w.runs[g.key] {
		if w.now.Sub(at) < testHorizon {
			w.ranTwice = true
		}
	}
	w.runs[g.key] = append(w.runs[g.key], w.now)
}

// finish reports the true outcome of a grant, or that it is unknown.
func (w *simulation) finish(g *grant, known bool) {
	if g.ended {
		return
	}
	g.ended = true
	o := Outcome{Run: squnit.RunUnknown}
	switch {
	case known && g.ran:
		o = Outcome{Run: squnit.RunDone, Answer: &Answer{Status: 200}}
	case known:
		o = Outcome{Run: squnit.RunNot}
	}
	w.dedupTable.Finish(w.now, g.key, g.token, o)
}

func (w *simulation) step(t *rapid.T) {
	keys := []Key{{"grower", "a"}, {"grower", "b"}, {"other", "a"}}
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0, 1:
		w.claim(rapid.SampledFrom(keys).Draw(t, "key"))
	case 2:
		if len(w.grants) > 0 {
			w.run(rapid.SampledFrom(w.grants).Draw(t, "grant"))
		}
	case 3:
		if len(w.grants) > 0 {
			w.finish(rapid.SampledFrom(w.grants).Draw(t, "grant"), rapid.Bool().Draw(t, "known"))
		}
	case 4:
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond)
	case 5:
		w.dedupTable.Tick(w.now)
	}
}

func newBook() *DedupTable {
	return &DedupTable{DedupWindow: testHorizon, MaxRecords: 100, MaxBytes: 1 << 20}
}

// TestAtMostOnce drives the table with random sequences of claims, runs, lost outcomes
// and expiries.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(newBook())
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.step(t)
			if w.ranTwice {
				t.Fatalf("an operation ran twice")
			}
		}
	})
}

// TestNaiveRunsTwice checks that the naive table allows two runs, after an unknown
// outcome and after a claim has passed its deadline, and that the table does not.
func TestNaiveRunsTwice(t *testing.T) {
	for name, afterDeadline := range map[string]bool{"unknown outcome": false, "late outcome": true} {
		for tableName, table := range map[string]dedupTable{
			"naive": &naiveTable{running: map[Key]time.Time{}, answers: map[Key]*Answer{}},
			"book":  newBook(),
		} {
			w := newSimulation(table)
			k := Key{"grower", "a"}
			w.claim(k)
			w.run(w.grants[0])
			if afterDeadline {
				w.now = w.now.Add(testTimeout)
			} else {
				w.finish(w.grants[0], false)
			}
			second := w.claim(k)
			if second.Verdict == Granted {
				w.run(w.grants[1])
			}
			qt.Check(t, w.ranTwice, qt.Equals, tableName == "naive", qt.Commentf("%s: %s", tableName, name))
		}
	}
}

func TestReplayMismatchAndRelease(t *testing.T) {
	w := newSimulation(newBook())
	k := Key{"grower", "a"}
	w.claim(k)
	qt.Assert(t, w.claim(k).Verdict, qt.Equals, Running)
	w.finish(w.grants[0], true)
	qt.Assert(t, w.claim(k).Verdict, qt.Equals, Granted, qt.Commentf("a run that did not happen frees the key"))
	w.run(w.grants[1])
	w.finish(w.grants[1], true)
	again := w.claim(k)
	qt.Assert(t, again.Verdict, qt.Equals, Replay)
	qt.Assert(t, again.Answer.Status, qt.Equals, 200)
	other := w.dedupTable.Claim(w.now, Claim{Key: k, Fingerprint: 2, Deadline: w.now.Add(testTimeout)})
	qt.Assert(t, other.Verdict, qt.Equals, Mismatch)
}

// TestIncompleteBookRefuses has a keeper take over a shard without its predecessor's
// records: a key that it does not know may have run.
func TestIncompleteBookRefuses(t *testing.T) {
	b := newBook()
	w := newSimulation(b)
	b.CompleteSince = w.now
	qt.Assert(t, w.claim(Key{"grower", "a"}).Verdict, qt.Equals, Uncertain)
	w.now = w.now.Add(testHorizon + time.Second)
	qt.Assert(t, w.claim(Key{"grower", "a"}).Verdict, qt.Equals, Granted)
}

// TestMintedKeyOfCompleteEpoch checks that a keeper without its predecessor's records
// grants a claim for a key that was minted after it had taken over.
func TestMintedKeyOfCompleteEpoch(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := newBook()
	b.CompleteSince, b.CompleteEpoch = now, 5
	claim := func(epoch sqid.Epoch, text string) Verdict {
		return b.Claim(now, Claim{Key: Key{"grower", text}, Minted: epoch, Deadline: now.Add(testTimeout)}).Verdict
	}
	qt.Assert(t, claim(4, "a"), qt.Equals, Uncertain)
	qt.Assert(t, claim(5, "b"), qt.Equals, Granted)
}

// TestClaimSentAgain checks that an entry that lost the answer to its claim gets the
// same decision when it sends the claim again.
func TestClaimSentAgain(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := newBook()
	c := Claim{Key: Key{"grower", "a"}, Token: 7, Deadline: now.Add(testTimeout)}
	qt.Assert(t, b.Claim(now, c).Verdict, qt.Equals, Granted)
	qt.Assert(t, b.Claim(now, c).Verdict, qt.Equals, Granted)
	c.Token = 8
	qt.Assert(t, b.Claim(now, c).Verdict, qt.Equals, Running)
}

func TestBookIsBounded(t *testing.T) {
	b := newBook()
	b.MaxRecords = 2
	w := newSimulation(b)
	w.claim(Key{"grower", "a"})
	w.claim(Key{"grower", "b"})
	qt.Assert(t, w.claim(Key{"grower", "c"}).Verdict, qt.Equals, Full)
	w.now = w.now.Add(testTimeout + testHorizon + time.Second)
	b.Tick(w.now)
	qt.Assert(t, b.Len(), qt.Equals, 0)
	qt.Assert(t, b.bytes, qt.Equals, squnit.Bytes(0))
}

func TestHomeOfMintedAndOwnKeys(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	h := Home{DataCentre: "jabar-1", Shard: 7, Epoch: 3}
	got, err := HomeOf(Key{"grower", Mint(h, now)}, nil)
	qt.Assert(t, err, qt.IsNil)
	h.Minted = now
	qt.Assert(t, got, qt.Equals, h)
	dataCentres := []sqid.DataCentreID{"jabar-1", "jabar-2", "jatim-1"}
	own, err := HomeOf(Key{"grower", "fee-1"}, dataCentres)
	qt.Assert(t, err, qt.IsNil)
	again, _ := HomeOf(Key{"grower", "fee-1"}, dataCentres)
	qt.Assert(t, own, qt.Equals, again)
	for _, bad := range []string{"sqop.", "sqop.a.64.1.1.x", "sqop.a.1.0.1.x", "sqop.a.1.1.x.x", "sqop.a.1.1"} {
		_, err := HomeOf(Key{"grower", bad}, dataCentres)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", bad))
	}
}
