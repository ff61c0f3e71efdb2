package sqretry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWindowHoldsTheFleetsBound has 16 daemons take every attempt that they may,
// at demand that comes and goes: in no span of the window are there more over the
// fleet than the bound allows. The budget of before, a floor of one a second for
// each daemon, breaks it.
func TestWindowHoldsTheFleetsBound(t *testing.T) {
	const daemons = 16
	whole := Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 48}
	part := Bound{Ratio: 0.85 * whole.Ratio, Window: whole.Window, Slack: 0.85 * whole.Slack}
	type event struct {
		at       time.Duration
		requests int
		extras   int
	}
	play := func(take func(d int, now time.Time) bool, asked func(d int, now time.Time)) float64 {
		rng := rand.New(rand.NewPCG(1, 1))
		epoch := time.Unix(1_000_000, 0)
		var events []event
		for ms := 0; ms < 60_000; ms += 10 {
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			e := event{at: now.Sub(epoch)}
			for d := range daemons {
				// Demand stops for ten seconds out of twenty.
				if ms/10_000%2 == 0 && rng.Float64() < 0.02 {
					asked(d, now)
					e.requests++
				}
				if take(d, now) {
					e.extras++
				}
			}
			events = append(events, e)
		}
		worst := -1e9
		for i := range events {
			requests, before, half, extras := 0, 0, 0, 0
			for _, e := range events {
				from := events[i].at
				switch in := e.at - from; {
				case in >= 0 && in < whole.Window:
					requests += e.requests
					extras += e.extras
				case in >= -whole.Window && in < 0:
					before += e.requests
				}
				if in := e.at - from + whole.Window/2; in >= 0 && in < whole.Window {
					half += e.requests
				}
			}
			allowed := whole.Ratio*float64(max(requests, before, half)) + whole.Slack
			worst = max(worst, float64(extras)-allowed)
		}
		return worst
	}
	windows := make([]Window, daemons)
	worst := play(
		func(d int, now time.Time) bool { return windows[d].Take(now, part, daemons) },
		func(d int, now time.Time) { windows[d].Asked(now, part) })
	qt.Check(t, worst <= 0, qt.IsTrue, qt.Commentf("window: %.1f over the bound", worst))

	budgets := make([]Budget, daemons)
	worst = play(
		func(d int, now time.Time) bool { return budgets[d].Take(now) },
		func(d int, now time.Time) { budgets[d].Succeeded(now) })
	qt.Check(t, worst > 0, qt.IsTrue, qt.Commentf("budget of each edge: %.1f over the bound", worst))
}

// TestWindowCountsWhatRepeatsMake has the calls of repeated runs use up what other
// attempts could have had.
func TestWindowCountsWhatRepeatsMake(t *testing.T) {
	b := Bound{Window: 10 * time.Second, Slack: 4}
	now := time.Unix(1_000_000, 0)
	var w Window
	for range 4 {
		w.Made(now, b)
	}
	qt.Assert(t, w.Left(now, b, 1), qt.IsFalse)
	qt.Assert(t, w.Take(now, b, 1), qt.IsFalse)
	qt.Assert(t, w.Take(now.Add(11*time.Second), b, 1), qt.IsTrue)
}
