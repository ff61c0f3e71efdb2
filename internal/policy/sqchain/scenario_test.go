package sqchain

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pelletier/go-toml/v2"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqretry"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqroute"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqshed"
)

const (
	// scenarioDuration is the simulated time of a run. Nothing is sent in its last
	// quietTail, so that the last requests can end.
	scenarioDuration = 26 * time.Second
	quietTail        = 5 * time.Second
)

// scenario is a mix of kinds of requests that call several services, one of which is
// the bottleneck, with the incidents of a run. It is read from testdata/days.
type scenario struct {
	Services []scenarioService `toml:"services"`
	Kinds    []requestKind     `toml:"kinds"`
	Surge    incident          `toml:"surge"`
	Refusing incident          `toml:"refusing"`
}

// scenarioService is a service and its targets.
type scenarioService struct {
	Name    sqid.ServiceID `toml:"name"`
	Targets int            `toml:"targets"`
	Slots   squnit.Slots   `toml:"slots"`
	// Slowdowns are the factors on the work times, target by target; 1 for those
	// not listed.
	Slowdowns []float64 `toml:"speeds"`
}

// requestKind is a kind of request: its priority, its value to the callers, its rate and
// the calls that it causes.
type requestKind struct {
	Name       string            `toml:"name"`
	Importance squnit.Importance `toml:"importance"`
	// Worth is the value of an answer that takes no longer than Latency.
	Worth         float64 `toml:"worth"`
	NonIdempotent bool    `toml:"nonIdempotent"`
	// LateWorth is the value of a later answer.
	LateWorth float64 `toml:"late"`
	// Rate is in requests a second. Latency, the goal for answers, and Patience, after
	// which the caller gives up, are in seconds.
	Rate     float64  `toml:"rate"`
	Latency  float64  `toml:"latency"`
	Patience float64  `toml:"patience"`
	Calls    callPlan `toml:"calls"`
}

func (k *requestKind) class() sqshed.Class {
	return sqshed.Class{Service: k.Calls.Service, Route: k.Name, Workspace: "w"}
}

func (k *requestKind) latency() time.Duration { return time.Duration(k.Latency * float64(time.Second)) }

func (k *requestKind) patience() time.Duration {
	return time.Duration(k.Patience * float64(time.Second))
}

// callPlan is a call of a service, and the nested calls that its target makes one after
// the other.
type callPlan struct {
	Service sqid.ServiceID `toml:"service"`
	// Work is the mean work of the target itself, in milliseconds.
	Work float64 `toml:"work"`
	// Times is how often the call is made in sequence; 0 stands for 1.
	Times  int        `toml:"times"`
	Nested []callPlan `toml:"then"`
}

// incident is a disturbance between two times, in seconds: a surge multiplies the rate
// of requests by Factor, and targets of Service may refuse Fraction of their calls.
type incident struct {
	From     float64        `toml:"from"`
	To       float64        `toml:"to"`
	Factor   float64        `toml:"factor"`
	Service  sqid.ServiceID `toml:"service"`
	Fraction float64        `toml:"part"`
}

func (s *incident) covers(at time.Duration) bool {
	return at.Seconds() >= s.From && at.Seconds() < s.To
}

func (s *incident) affects(at time.Duration, service sqid.ServiceID) bool {
	return service == s.Service && s.covers(at)
}

func (s *incident) factor(at time.Duration) float64 {
	if s.covers(at) {
		return s.Factor
	}
	return 1
}

// slotTime returns for how long, in seconds, the call and its nested calls hold slots of
// a service in all.
func (c *callPlan) slotTime(service sqid.ServiceID) float64 {
	t := 0.0
	if c.Service == service {
		t = c.Work / 1000
	}
	for i := range c.Nested {
		t += c.Nested[i].slotTime(service)
	}
	return t * float64(max(1, c.Times))
}

// bestInSurge returns the fraction of the worth offered in the surge that an ideal policy
// could earn: it gives the slots of the bottleneck service to the kinds with the most
// worth per slot and second.
func (d *scenario) bestInSurge(service sqid.ServiceID) float64 {
	i := slices.IndexFunc(d.Services, func(s scenarioService) bool { return s.Name == service })
	slots := float64(d.Services[i].Targets) * float64(d.Services[i].Slots)
	kinds := slices.Clone(d.Kinds)
	slices.SortFunc(kinds, func(a, b requestKind) int {
		if a.Worth/a.Calls.slotTime(service) > b.Worth/b.Calls.slotTime(service) {
			return -1
		}
		return 1
	})
	offered, earned := 0.0, 0.0
	for i := range kinds {
		k := &kinds[i]
		rate, hold := k.Rate*d.Surge.Factor, k.Calls.slotTime(service)
		fraction := min(1, slots/(rate*hold))
		slots = max(0, slots-rate*hold)
		offered += k.Worth * rate
		earned += k.Worth * rate * fraction
	}
	return earned / offered
}

// scenarioPolicy is a set of policies that a scenario runs under.
type scenarioPolicy struct {
	name    string
	newGate func() gate
	pick    func(*scenarioSim, *serviceCall) *host
	admit   func(*scenarioSim, *submission) bool
	retry   func(*scenarioSim, *serviceCall, sqreason.Refusal, squnit.RunState) (time.Duration, bool)
	// retryImportance is the importance under which retries count against the retry bound.
	retryImportance func(*serviceCall) squnit.Importance
	// resubmitAfter is how long a caller waits before it sends a failed request again.
	resubmitAfter func(s *scenarioSim, v *submission, left time.Duration) time.Duration
}

// scenarioPolicies are the full policy ("built"), an earlier version of it without
// preference for resubmitted requests or for retries of important ones ("before"), and a
// naive one.
var scenarioPolicies = []scenarioPolicy{
	{
		name: "built", newGate: func() gate { return &sqadmit.Gate{ExactSlots: true} },
		pick: scenarioPick, admit: admitReturningFirst, retry: scenarioRetry, resubmitAfter: spreadResubmit,
		retryImportance: func(l *serviceCall) squnit.Importance { return l.kind.Importance },
	},
	{
		name: "before", newGate: func() gate { return &sqadmit.Gate{ExactSlots: true} },
		pick: scenarioPick, retry: scenarioRetry, resubmitAfter: spreadResubmit,
		admit:           func(s *scenarioSim, v *submission) bool { return s.admitted(v, v.entry.shed.Admit) },
		retryImportance: func(*serviceCall) squnit.Importance { return squnit.ImportanceNormal },
	},
	{
		name: "naive", newGate: func() gate { return &naiveGate{bounded: true} },
		pick: func(s *scenarioSim, l *serviceCall) *host {
			rows := s.rows[l.plan.Service]
			return s.hostOf(rows[s.rng.IntN(len(rows))].ID.Daemon)
		},
		admit: func(*scenarioSim, *submission) bool { return true },
		retry: func(_ *scenarioSim, l *serviceCall, _ sqreason.Refusal, run squnit.RunState) (time.Duration, bool) {
			return 0, l.tries < maxAttempts && (run == squnit.RunNot || !l.kind.NonIdempotent)
		},
		retryImportance: func(*serviceCall) squnit.Importance { return squnit.ImportanceNormal },
		resubmitAfter:   func(*scenarioSim, *submission, time.Duration) time.Duration { return naiveResubmitAfter },
	},
}

func (s *scenarioSim) hostOf(id sqid.DaemonID) *host {
	return s.hosts[slices.IndexFunc(s.hosts, func(h *host) bool { return h.row.ID.Daemon == id })]
}

// scenarioPick picks a target with the daemon's router.
func scenarioPick(s *scenarioSim, l *serviceCall) *host {
	c := l.caller.router.Pick(s.now(), s.rng, s.rows[l.plan.Service], sqroute.Request{
		Service: l.plan.Service, Importance: l.kind.Importance, Exclude: l.tried,
	})
	if c.Reason != sqreason.NoReason {
		return nil
	}
	return s.hostOf(c.Row.ID.Daemon)
}

// admitted applies one of the admission functions of the entry's table to a submission.
func (s *scenarioSim) admitted(v *submission, admit func(time.Time, *rand.Rand, sqshed.Class, squnit.Importance) sqshed.Admission) bool {
	a := admit(s.now(), s.rng, v.kind.class(), v.kind.Importance)
	v.share = a.Share
	return a.OK
}

// admitReturningFirst prefers resubmitted requests to new ones of the same importance.
func admitReturningFirst(s *scenarioSim, v *submission) bool {
	if v.resubmissions > 0 {
		return s.admitted(v, v.entry.shed.AdmitRetry)
	}
	return s.admitted(v, v.entry.shed.Admit)
}

// scenarioRetry decides with sqretry, within the daemon's part of the retry bound.
func scenarioRetry(s *scenarioSim, l *serviceCall, reason sqreason.Refusal, run squnit.RunState) (time.Duration, bool) {
	w, level := s.window(l), s.retryImportance(l)
	v := sqretry.Decide(s.rng, sqretry.Attempt{
		NonIdempotent: l.kind.NonIdempotent, Run: run, Reason: reason, AttemptsMade: l.tries, ShedAttempts: l.sheds, MaxAttempts: maxAttempts,
		TimeLeft: l.deadline - s.elapsed, MeanLatency: l.caller.router.MeanLatency(l.plan.Service), Credit: initialCredit,
		BudgetAllows:    w.Allows(s.now(), daemonBound, len(s.hosts), level),
		ServiceShedding: l.caller.router.IsShedding(s.now(), l.plan.Service),
		OtherTarget:     len(l.tried) < len(s.rows[l.plan.Service]), NestedCallFailed: l.failedBelow,
	})
	if v.Reason == sqreason.NoRetryBudget {
		w.AddDenied(s.now(), daemonBound, level)
	}
	if !v.Retry || !w.Take(s.now(), daemonBound, len(s.hosts), level) {
		return 0, false
	}
	if !v.OtherTargetOnly {
		l.tried = nil
	}
	return v.Backoff, true
}

// spreadResubmit returns the retry-after time that the entry gives to the caller.
func spreadResubmit(s *scenarioSim, v *submission, left time.Duration) time.Duration {
	return sqshed.RetryAfter(s.rng, left, v.kind.latency(), v.entry.router.MeanLatency(v.kind.Calls.Service))
}

// scenarioResult is what callers sent and got. The worth is by the second of the first
// submission.
type scenarioResult struct {
	offeredWorth, earnedWorth   [int(scenarioDuration/time.Second) + 1]float64
	kinds                       map[string]*kindTally
	resubmissions, refusedAgain int
}

// kindTally counts the requests of one kind.
type kindTally struct{ sent, served, inTime int }

func (r *scenarioResult) tallyOf(k *requestKind) *kindTally {
	if r.kinds == nil {
		r.kinds = make(map[string]*kindTally)
	}
	t := r.kinds[k.Name]
	if t == nil {
		t = new(kindTally)
		r.kinds[k.Name] = t
	}
	return t
}

func (r *scenarioResult) countSent(k *requestKind, at time.Duration) {
	r.offeredWorth[int(at.Seconds())] += k.Worth
	r.tallyOf(k).sent++
}

// countServed counts a request that was answered, in time or late.
func (r *scenarioResult) countServed(k *requestKind, first, took time.Duration) {
	t, worth := r.tallyOf(k), k.LateWorth
	t.served++
	if took <= k.latency() {
		t.inTime++
		worth = k.Worth
	}
	r.earnedWorth[int(first.Seconds())] += worth
}

// earnedFraction returns the fraction of the worth offered between from and to, in
// seconds, that was earned.
func (r *scenarioResult) earnedFraction(from, to float64) float64 {
	offered, earned := 0.0, 0.0
	for i := int(from); i < int(to); i++ {
		offered += r.offeredWorth[i]
		earned += r.earnedWorth[i]
	}
	return earned / offered
}

// retryExcess returns by how much the retries of a service exceeded retryBound in any
// window, 0 if they never did. The rule that the bound stands for takes the ratio to the
// requests of that window, of the one before it or of the one half a window before,
// whichever has the most.
func (s *scenarioSim) retryExcess() float64 {
	worst := 0.0
	for service, retried := range s.retries {
		firsts := s.firstAttempts[service]
		for i, end := range retried {
			requests := 0
			for _, back := range []time.Duration{0, retryBound.Window / 2, retryBound.Window} {
				requests = max(requests, countInWindow(firsts, end-back))
			}
			worst = max(worst, float64(countInWindow(retried[:i+1], end))-retryBound.Ratio*float64(requests)-retryBound.Slack)
		}
	}
	return worst
}

// countInWindow counts the times in the window of the bound that ends at end. The times
// are sorted.
func countInWindow(times []time.Duration, end time.Duration) int {
	from, _ := slices.BinarySearch(times, end-retryBound.Window+1)
	to, _ := slices.BinarySearch(times, end+1)
	return to - from
}

// readScenario reads a scenario from a TOML file.
func readScenario(c *qt.C, file string) *scenario {
	b, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	var d scenario
	c.Assert(toml.Unmarshal(b, &d), qt.IsNil)
	return &d
}

// Goals for what callers get.
const (
	// surgeGoal is the fraction of bestInSurge that must be earned. recoveredGoal is
	// the fraction that must be earned once the surge has been over for settleTime.
	surgeGoal     = 0.9
	recoveredGoal = 0.99
	settleTime    = time.Second
)

// figures returns the measurements of a run.
func (s *scenarioSim) figures() figures {
	o, d := &s.result, s.scenario
	f := figures{
		"surge": o.earnedFraction(d.Surge.From, d.Surge.To), "over bound": s.retryExcess(),
		"after":   o.earnedFraction(d.Surge.To+settleTime.Seconds(), (scenarioDuration - quietTail).Seconds()),
		"returns": float64(o.resubmissions), "refused again": float64(o.refusedAgain),
	}
	if d.Refusing.Fraction > 0 {
		f["refusing"] = o.earnedFraction(d.Refusing.From, d.Refusing.To)
	}
	for name, t := range o.kinds {
		f[name] = float64(t.served) / float64(t.sent)
	}
	return f
}

// TestScenarios runs the scenarios of testdata/days under each policy and checks what
// callers get. The naive policy must miss what the full one achieves, which shows that the
// scenario is hard enough.
func TestScenarios(t *testing.T) {
	for file, check := range map[string]func(c *qt.C, d *scenario, built, before, naive figures){
		"short-of-slots.toml": func(c *qt.C, d *scenario, built, before, naive figures) {
			best := d.bestInSurge("patterns")
			c.Check(built["surge"] >= surgeGoal*best, qt.IsTrue, qt.Commentf("best %.3f", best))
			c.Check(naive["surge"] < surgeGoal*best, qt.IsTrue)
			c.Check(built["order"] >= recoveredGoal && built["view"] >= recoveredGoal, qt.IsTrue)
			again := func(f figures) float64 { return f["refused again"] / f["returns"] }
			c.Check(again(built) < again(before), qt.IsTrue, qt.Commentf("%.2f, before %.2f", again(built), again(before)))
		},
		"refusing-deepest.toml": func(c *qt.C, _ *scenario, built, before, naive figures) {
			c.Check(built["over bound"] <= 0, qt.IsTrue)
			c.Check(naive["over bound"] > 0, qt.IsTrue)
			c.Check(built["order"] > before["order"], qt.IsTrue, qt.Commentf("important requests must have their retries first"))
		},
	} {
		t.Run(file, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := readScenario(c, filepath.Join("testdata", "days", file))
			for _, seed := range seeds {
				runs := make([]figures, len(scenarioPolicies))
				for i, p := range scenarioPolicies {
					s := newScenarioSim(d, p, seed)
					s.runUntil(scenarioDuration)
					runs[i] = s.figures()
					t.Logf("seed %d %-6s%s", seed, p.name, formatFigures(runs[i:i+1]))
				}
				c.Check(runs[0]["after"] >= recoveredGoal, qt.IsTrue)
				check(c, d, runs[0], runs[1], runs[2])
			}
		})
	}
}
