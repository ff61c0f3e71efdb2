package sqadmit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// refusing plays a target of 12 slots that refuses 55 of 100 calls at random for
// some seconds, with free slots, and returns the part of the demand that it ran
// in the second after that.
func refusing(g *Gate) float64 {
	const (
		slots  = 12
		work   = 22 * time.Millisecond
		demand = 300
		fault  = 4 * time.Second
		lasts  = 5500 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_000_000, 0)
	began := now
	g.Announce(now, slots)
	type running struct {
		id  sqid.CallID
		end time.Time
	}
	var run []running
	wanted, ran := 0, 0
	start := func(id sqid.CallID) {
		if now.Sub(began) < fault && rng.Float64() < 0.55 {
			g.Done(now, id, Result{Outcome: Shed})
			return
		}
		run = append(run, running{id, now.Add(work)})
	}
	for n := 0; now.Sub(began) < lasts; now = now.Add(time.Millisecond) {
		kept := run[:0]
		var ended []sqid.CallID
		for _, r := range run {
			if now.Before(r.end) {
				kept = append(kept, r)
				continue
			}
			ended = append(ended, r.id)
		}
		run = kept
		late := now.Sub(began) >= fault+200*time.Millisecond && now.Sub(began) < fault+1200*time.Millisecond
		for _, id := range ended {
			if late {
				ran++
			}
			for _, next := range g.Done(now, id, Result{Outcome: OK, Latency: work}).Run {
				start(next)
			}
		}
		if rng.Float64() < float64(demand)/1000 {
			n++
			if late {
				wanted++
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
	return float64(ran) / float64(wanted)
}

// TestRefusalsOfATargetWithSlots has a target refuse at random although it has
// free slots (its limit is what it announced): once it stops, all its slots are
// in use again at once. A limit that is learned takes the refusals for overload
// and comes back slowly.
func TestRefusalsOfATargetWithSlots(t *testing.T) {
	exact := refusing(&Gate{Exact: true})
	learned := refusing(&Gate{})
	t.Logf("exact %.3f, learned %.3f of the demand in the second after the fault", exact, learned)
	qt.Check(t, exact >= 0.95, qt.IsTrue, qt.Commentf("exact %.3f", exact))
	qt.Check(t, learned < exact, qt.IsTrue, qt.Commentf("learned %.3f", learned))
}
