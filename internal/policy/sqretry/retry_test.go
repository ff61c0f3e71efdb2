package sqretry

import (
	"encoding/json"
	"flag"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"

	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// TestMain fixes rapid's seed, so that failures are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// callTree makes the calls of one request at random: with any depth and fan-out,
// nested calls in sequence or concurrent, and lost answers.
type callTree struct {
	t             *rapid.T
	extraAttempts int
	// retriesPerCall, if not 0, replaces the credit by this number of retries of each
	// call.
	retriesPerCall int
	calls          int
}

// call makes a call with its retries, spending from its credit.
func (r *callTree) call(credit *Credit, depth int) {
	for tries := 0; ; tries++ {
		r.calls++
		if depth > 0 {
			r.nestedCalls(credit, depth)
		}
		failed := rapid.IntRange(0, 2).Draw(r.t, "failed") > 0
		if !failed || r.calls > 2000 {
			return
		}
		if r.retriesPerCall > 0 {
			if tries >= r.retriesPerCall {
				return
			}
		} else if !credit.Take() {
			return
		}
		r.extraAttempts++
	}
}

func (r *callTree) nestedCalls(credit *Credit, depth int) {
	type nestedCall struct {
		grant        squnit.Credit
		nestedCredit Credit
	}
	var concurrent []nestedCall
	for range rapid.IntRange(0, 3).Draw(r.t, "fan-out") {
		grant := credit.Grant(GrantFor(credit.Remaining()))
		nestedCredit := NewCredit(grant)
		r.call(&nestedCredit, depth-1)
		concurrent = append(concurrent, nestedCall{grant, nestedCredit})
		if rapid.Bool().Draw(r.t, "waits") {
			r.returnGrant(credit, concurrent[len(concurrent)-1].grant, concurrent[len(concurrent)-1].nestedCredit.Remaining())
			concurrent = concurrent[:len(concurrent)-1]
		}
	}
	for _, o := range concurrent {
		r.returnGrant(credit, o.grant, o.nestedCredit.Remaining())
	}
}

// returnGrant returns the unused part of a grant, unless the answer is lost.
func (r *callTree) returnGrant(credit *Credit, grant, unused squnit.Credit) {
	if rapid.IntRange(0, 3).Draw(r.t, "lost") == 0 {
		unused = 0
	}
	credit.Return(grant, unused)
}

// TestCreditBoundsCallTree checks on random call trees that the credit bounds the
// extra attempts of the whole request, which a number of retries for each call does
// not.
func TestCreditBoundsCallTree(t *testing.T) {
	retriesPerCallExceeded := false
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 6).Draw(t, "credit")
		depth := rapid.IntRange(0, 4).Draw(t, "depth")
		root := NewCredit(squnit.Credit(n))
		r := &callTree{t: t}
		r.call(&root, depth)
		if r.extraAttempts > n || root.Remaining() < 0 || root.Granted() != 0 {
			t.Fatalf("%d extra attempts on a credit of %d, left %d, granted %d", r.extraAttempts, n, root.Remaining(), root.Granted())
		}
		naive := &callTree{t: t, retriesPerCall: 2}
		naive.call(&Credit{}, depth)
		retriesPerCallExceeded = retriesPerCallExceeded || naive.extraAttempts > 6
	})
	qt.Assert(t, retriesPerCallExceeded, qt.IsTrue, qt.Commentf("retries of each call stayed within 6 extra attempts"))
}

func TestCreditNeverGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := squnit.Credit(rapid.IntRange(0, 9).Draw(t, "credit"))
		c := NewCredit(n)
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			amount := squnit.Credit(rapid.IntRange(-3, 12).Draw(t, "amount"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				c.Take()
			case 1:
				c.Grant(amount)
			default:
				c.Return(amount, squnit.Credit(rapid.IntRange(-3, 12).Draw(t, "rest")))
			}
			if c.Remaining() < 0 || c.Granted() < 0 || c.Remaining()+c.Granted() > n {
				t.Fatalf("credit %d became left %d and granted %d", n, c.Remaining(), c.Granted())
			}
		}
	})
}

// TestBudgetFollowsSuccesses checks that retries are limited to a fraction of the
// successes and a small constant rate.
func TestBudgetFollowsSuccesses(t *testing.T) {
	var b Budget
	now := time.Unix(0, 0)
	retries, successes := 0, 0
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		if i%4 == 0 {
			b.Succeeded(now)
			successes++
		}
		if b.Allows(now) && b.Take(now) {
			retries++
		}
	}
	bound := initialTokens + tokensPerSuccess*float64(successes) + tokensPerSecond*10
	qt.Assert(t, float64(retries) <= bound, qt.IsTrue)
	qt.Assert(t, float64(retries) >= bound-2, qt.IsTrue)
}

// decideCase is one case of testdata/decide.txtar.
type decideCase struct {
	Attempt struct {
		NonIdempotent, ServiceSheds, OtherTarget, BodySpent, FailedBelow, Budget bool
		Run, Reason                                                              string
		Tries, Sheds, LeftMs, UsualMs, Credit                                    int
	}
	Retry     bool
	Reason    sqreason.Retry
	Elsewhere bool
	AtOnce    bool
}

var runStates = map[string]squnit.RunState{"not-run": squnit.RunNot, "run": squnit.RunDone, "unknown": squnit.RunUnknown}

func TestDecide(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/decide.txtar")
	qt.Assert(t, err, qt.IsNil)
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			var d decideCase
			a := &d.Attempt
			a.Run, a.Tries, a.LeftMs, a.UsualMs, a.Credit, a.Budget, a.OtherTarget = "unknown", 1, 500, 50, 3, true, true
			dec := json.NewDecoder(strings.NewReader(string(f.Data)))
			dec.DisallowUnknownFields()
			qt.Assert(t, dec.Decode(&d), qt.IsNil)
			v := Decide(rand.New(rand.NewPCG(1, 1)), Attempt{
				NonIdempotent: a.NonIdempotent, Run: runStates[a.Run], Reason: sqreason.Refusal(a.Reason), AttemptsMade: a.Tries, ShedAttempts: a.Sheds,
				TimeLeft: time.Duration(a.LeftMs) * time.Millisecond, MeanLatency: time.Duration(a.UsualMs) * time.Millisecond,
				Credit: squnit.Credit(a.Credit), BudgetAllows: a.Budget, ServiceShedding: a.ServiceSheds, OtherTarget: a.OtherTarget,
				NestedCallFailed: a.FailedBelow, BodySpent: a.BodySpent,
			})
			qt.Check(t, v.Retry, qt.Equals, d.Retry)
			qt.Check(t, v.Reason, qt.Equals, d.Reason)
			qt.Check(t, v.OtherTargetOnly, qt.Equals, d.Elsewhere)
			qt.Check(t, v.Retry && v.Backoff == 0, qt.Equals, d.AtOnce)
		})
	}
}
