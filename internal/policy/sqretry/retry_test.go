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

// TestMain fixes rapid's seed, so that a failure repeats.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// tree makes the calls of one request at random: any depth and fan-out, nested
// calls one after another or side by side, answers lost.
type tree struct {
	t     *rapid.T
	extra int
	// naive has each call make its own number of retries.
	naive int
	calls int
}

// visit makes a call with its attempts, and returns the credit that its answer
// brings back.
func (r *tree) visit(credit *Credit, depth int) {
	for tries := 0; ; tries++ {
		r.calls++
		if depth > 0 {
			r.nested(credit, depth)
		}
		failed := rapid.IntRange(0, 2).Draw(r.t, "failed") > 0
		if !failed || r.calls > 2000 {
			return
		}
		if r.naive > 0 {
			if tries >= r.naive {
				return
			}
		} else if !credit.Take() {
			return
		}
		r.extra++
	}
}

func (r *tree) nested(credit *Credit, depth int) {
	type open struct {
		grant squnit.Credit
		row   Credit
	}
	var side []open
	for range rapid.IntRange(0, 3).Draw(r.t, "fan-out") {
		grant := credit.Grant(GrantFor(credit.Left()))
		row := NewCredit(grant)
		r.visit(&row, depth-1)
		side = append(side, open{grant, row})
		if rapid.Bool().Draw(r.t, "waits") {
			r.back(credit, side[len(side)-1].grant, side[len(side)-1].row.Left())
			side = side[:len(side)-1]
		}
	}
	for _, o := range side {
		r.back(credit, o.grant, o.row.Left())
	}
}

// back returns what is left of a grant, unless the answer is lost.
func (r *tree) back(credit *Credit, grant, rest squnit.Credit) {
	if rapid.IntRange(0, 3).Draw(r.t, "lost") == 0 {
		rest = 0
	}
	credit.Return(grant, rest)
}

func TestCreditBoundsTheTree(t *testing.T) {
	naiveBroke := false
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 6).Draw(t, "credit")
		depth := rapid.IntRange(0, 4).Draw(t, "depth")
		root := NewCredit(squnit.Credit(n))
		r := &tree{t: t}
		r.visit(&root, depth)
		if r.extra > n || root.Left() < 0 || root.Granted() != 0 {
			t.Fatalf("%d extra attempts on a credit of %d, left %d, granted %d", r.extra, n, root.Left(), root.Granted())
		}
		naive := &tree{t: t, naive: 2}
		naive.visit(&Credit{}, depth)
		naiveBroke = naiveBroke || naive.extra > 6
	})
	qt.Assert(t, naiveBroke, qt.IsTrue, qt.Commentf("retries at each hop stayed within 6 extra attempts"))
}

func TestCreditBelievesNoMoreThanItGave(t *testing.T) {
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
			if c.Left() < 0 || c.Granted() < 0 || c.Left()+c.Granted() > n {
				t.Fatalf("credit %d became left %d and granted %d", n, c.Left(), c.Granted())
			}
		}
	})
}

// TestBudgetFollowsSuccesses checks that retries are at most a part of the
// successes and a small floor.
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
		if b.Left(now) && b.Take(now) {
			retries++
		}
	}
	bound := budgetStart + budgetPart*float64(successes) + budgetFloor*10
	qt.Assert(t, float64(retries) <= bound, qt.IsTrue)
	qt.Assert(t, float64(retries) >= bound-2, qt.IsTrue)
}

// decision is one case of testdata/decide.txtar.
type decision struct {
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
			var d decision
			a := &d.Attempt
			a.Run, a.Tries, a.LeftMs, a.UsualMs, a.Credit, a.Budget, a.OtherTarget = "unknown", 1, 500, 50, 3, true, true
			dec := json.NewDecoder(strings.NewReader(string(f.Data)))
			dec.DisallowUnknownFields()
			qt.Assert(t, dec.Decode(&d), qt.IsNil)
			v := Decide(rand.New(rand.NewPCG(1, 1)), Attempt{
				NonIdempotent: a.NonIdempotent, Run: runStates[a.Run], Reason: sqreason.Refusal(a.Reason), Tries: a.Tries, Sheds: a.Sheds,
				Left: time.Duration(a.LeftMs) * time.Millisecond, Usual: time.Duration(a.UsualMs) * time.Millisecond,
				Credit: squnit.Credit(a.Credit), Budget: a.Budget, ServiceSheds: a.ServiceSheds, OtherTarget: a.OtherTarget,
				FailedBelow: a.FailedBelow, BodySpent: a.BodySpent,
			})
			qt.Check(t, v.Retry, qt.Equals, d.Retry)
			qt.Check(t, v.Reason, qt.Equals, d.Reason)
			qt.Check(t, v.ElsewhereOnly, qt.Equals, d.Elsewhere)
			qt.Check(t, v.Retry && v.Backoff == 0, qt.Equals, d.AtOnce)
		})
	}
}
