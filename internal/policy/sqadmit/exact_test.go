package sqadmit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// runRefusingTarget simulates a target of 12 slots that refuses 55% of its
// calls at random for 4 seconds although it has free slots. It returns the
// fraction of the offered calls that the target ran in one second, which begins
// 200 ms after the refusals end.
func runRefusingTarget(g *Gate) float64 {
	const (
		slots          = 12
		serviceTime    = 22 * time.Millisecond
		callsPerSecond = 300
		refusalTime    = 4 * time.Second
		duration       = 5500 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_000_000, 0)
	startTime := now
	g.Announce(now, slots)
	type running struct {
		id  sqid.CallID
		end time.Time
	}
	var inFlight []running
	offered, ran := 0, 0
	start := func(id sqid.CallID) {
		if now.Sub(startTime) < refusalTime && rng.Float64() < 0.55 {
			// The Effect is discarded: queued calls that it starts are never
			// run, so they hold their slots in the gate to the end.
			g.Done(now, id, Result{Outcome: Shed})
			return
		}
		inFlight = append(inFlight, running{id, now.Add(serviceTime)})
	}
	for n := 0; now.Sub(startTime) < duration; now = now.Add(time.Millisecond) {
		kept := inFlight[:0]
		var ended []sqid.CallID
		for _, r := range inFlight {
			if now.Before(r.end) {
				kept = append(kept, r)
				continue
			}
			ended = append(ended, r.id)
		}
		inFlight = kept
		measuring := now.Sub(startTime) >= refusalTime+200*time.Millisecond && now.Sub(startTime) < refusalTime+1200*time.Millisecond
		for _, id := range ended {
			if measuring {
				ran++
			}
			for _, next := range g.Done(now, id, Result{Outcome: OK, Latency: serviceTime}).Run {
				start(next)
			}
		}
		if rng.Float64() < float64(callsPerSecond)/1000 {
			n++
			if measuring {
				offered++
			}
			id := sqid.CallID(fmt.Sprint(n))
			d := g.Offer(now, Call{ID: id, Deadline: now.Add(500 * time.Millisecond)})
			if d.Verdict == Run {
				start(id)
			}
			for _, next := range d.Effect.Run {
				start(next)
			}
		}
	}
	return float64(ran) / float64(offered)
}

// TestRefusalsOfExactTarget checks that a target with an exact limit, which
// refuses at random although it has free slots, runs at least 95% of the
// offered calls once it has stopped refusing. An adaptive limit takes the
// refusals for overload and recovers slowly, so the target runs fewer.
func TestRefusalsOfExactTarget(t *testing.T) {
	exact := runRefusingTarget(&Gate{ExactSlots: true})
	adaptive := runRefusingTarget(&Gate{})
	t.Logf("exact limit: ran %.3f, adaptive limit: ran %.3f of the offered calls after the refusals", exact, adaptive)
	qt.Check(t, exact >= 0.95, qt.IsTrue, qt.Commentf("exact limit: ran %.3f", exact))
	qt.Check(t, adaptive < exact, qt.IsTrue, qt.Commentf("adaptive limit: ran %.3f", adaptive))
}
