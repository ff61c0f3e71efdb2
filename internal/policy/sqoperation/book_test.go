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

// guard is what an at-most-once table offers its callers.
type guard interface {
	Claim(now time.Time, c Claim) Decision
	Finish(now time.Time, k Key, t Token, o Outcome) bool
	Tick(now time.Time)
}

// naive is one map of the running operations: a key is free again as soon as
// its run has ended, however it ended.
type naive struct {
	running map[Key]time.Time
	answers map[Key]*Answer
}

func (n *naive) Claim(now time.Time, c Claim) Decision {
	if a, ok := n.answers[c.Key]; ok {
		return Decision{Verdict: Replay, Answer: a}
	}
	if until, ok := n.running[c.Key]; ok && now.Before(until) {
		return Decision{Verdict: Running}
	}
	n.running[c.Key] = c.Deadline
	return Decision{Verdict: Granted}
}

func (n *naive) Finish(_ time.Time, k Key, _ Token, o Outcome) bool {
	delete(n.running, k)
	if o.Answer != nil {
		n.answers[k] = o.Answer
	}
	return true
}

func (n *naive) Tick(time.Time) {}

const (
	testHorizon = time.Minute
	testTimeout = 5 * time.Second
)

// grant is an entry that was allowed to run an operation.
type grant struct {
	key   Key
	token Token
	until time.Time
	ran   bool
	ended bool
}

// world drives a guard as entries do that are slow, lose answers and words,
// and counts what targets run.
type world struct {
	guard  guard
	now    time.Time
	tokens Token
	grants []*grant
	runs   map[Key][]time.Time
	twice  bool
}

func newWorld(g guard) *world {
	return &world{guard: g, now: time.Unix(1_000_000, 0), runs: map[Key][]time.Time{}}
}

func (w *world) claim(k Key) Decision {
	w.tokens++
	d := w.guard.Claim(w.now, Claim{Key: k, Fingerprint: 1, Token: w.tokens, Deadline: w.now.Add(testTimeout)})
	if d.Verdict == Granted {
		w.grants = append(w.grants, &grant{key: k, token: w.tokens, until: w.now.Add(testTimeout)})
	}
	return d
}

// run has the target of a grant run it, if the deadline allows.
func (w *world) run(g *grant) {
	if g.ran || g.ended || !w.now.Before(g.until) {
		return
	}
	g.ran = true
	for _, at := range w.runs[g.key] {
		if w.now.Sub(at) < testHorizon {
			w.twice = true
		}
	}
	w.runs[g.key] = append(w.runs[g.key], w.now)
}

// finish tells the guard the truth about a grant, or that it is unknown.
func (w *world) finish(g *grant, known bool) {
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
	w.guard.Finish(w.now, g.key, g.token, o)
}

func (w *world) step(t *rapid.T) {
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
		w.guard.Tick(w.now)
	}
}

func newBook() *Book {
	return &Book{Horizon: testHorizon, MaxEntries: 100, MaxBytes: 1 << 20}
}

// TestAtMostOnce drives the book with every order of claims, runs, lost words
// and expiries.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(newBook())
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.step(t)
			if w.twice {
				t.Fatalf("an operation ran twice")
			}
		}
	})
}

// TestNaiveRunsTwice shows the two runs that the naive table allows: after an
// unknown outcome, and after a claim has passed its deadline.
func TestNaiveRunsTwice(t *testing.T) {
	for name, late := range map[string]bool{"unknown outcome": false, "late word": true} {
		for guardName, g := range map[string]guard{
			"naive": &naive{running: map[Key]time.Time{}, answers: map[Key]*Answer{}},
			"book":  newBook(),
		} {
			w := newWorld(g)
			k := Key{"grower", "a"}
			w.claim(k)
			w.run(w.grants[0])
			if late {
				w.now = w.now.Add(testTimeout)
			} else {
				w.finish(w.grants[0], false)
			}
			second := w.claim(k)
			if second.Verdict == Granted {
				w.run(w.grants[1])
			}
			qt.Check(t, w.twice, qt.Equals, guardName == "naive", qt.Commentf("%s: %s", guardName, name))
		}
	}
}

func TestReplayMismatchAndRelease(t *testing.T) {
	w := newWorld(newBook())
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
	other := w.guard.Claim(w.now, Claim{Key: k, Fingerprint: 2, Deadline: w.now.Add(testTimeout)})
	qt.Assert(t, other.Verdict, qt.Equals, Mismatch)
}

// TestIncompleteBookRefuses has a successor that did not get its predecessor's
// claims: a key it does not know may have run.
func TestIncompleteBookRefuses(t *testing.T) {
	b := newBook()
	w := newWorld(b)
	b.CompleteSince = w.now
	qt.Assert(t, w.claim(Key{"grower", "a"}).Verdict, qt.Equals, Uncertain)
	w.now = w.now.Add(testHorizon + time.Second)
	qt.Assert(t, w.claim(Key{"grower", "a"}).Verdict, qt.Equals, Granted)
}

// TestMintedKeyOfCompleteEpoch has the same successor asked for a key that was
// minted after it had taken over.
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

// TestClaimSentAgain has an entry whose claim's answer was lost.
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
	b.MaxEntries = 2
	w := newWorld(b)
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
	centres := []sqid.DataCentreID{"jabar-1", "jabar-2", "jatim-1"}
	own, err := HomeOf(Key{"grower", "fee-1"}, centres)
	qt.Assert(t, err, qt.IsNil)
	again, _ := HomeOf(Key{"grower", "fee-1"}, centres)
	qt.Assert(t, own, qt.Equals, again)
	for _, bad := range []string{"sqop.", "sqop.a.64.1.1.x", "sqop.a.1.0.1.x", "sqop.a.1.1.x.x", "sqop.a.1.1"} {
		_, err := HomeOf(Key{"grower", bad}, centres)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", bad))
	}
}
