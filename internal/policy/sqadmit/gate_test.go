package sqadmit

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

var epoch = time.Unix(1_000_000, 0)

// machine is a state machine test: it drives a gate at random and keeps its own
// record of every call.
type machine struct {
	gate    Gate
	now     time.Time
	running []sqid.CallID
	waiting map[sqid.CallID]Call
	offered int
}

func (m *machine) start(t *rapid.T, id sqid.CallID) {
	if limit := m.gate.Load(m.now, "w").Limit; len(m.running) >= limit {
		t.Fatalf("call %s started beyond the limit %d", id, limit)
	}
	m.running = append(m.running, id)
}

// apply records an effect. No call may start while a more important one waits.
// This is checked for the last started call only: before that, m.waiting still
// has calls that the same effect starts, and offer puts the offered call last
// even if it started first.
func (m *machine) apply(t *rapid.T, e Effect) {
	for _, d := range e.Dropped {
		if _, ok := m.waiting[d.ID]; !ok || d.Reason == "" {
			t.Fatalf("dropped %s, which is not queued, with reason %q", d.ID, d.Reason)
		}
		delete(m.waiting, d.ID)
	}
	for i, id := range e.Run {
		c, ok := m.waiting[id]
		if !ok {
			t.Fatalf("started %s, which is not queued", id)
		}
		delete(m.waiting, id)
		for _, w := range m.waiting {
			if w.Importance > c.Importance && i == len(e.Run)-1 {
				t.Fatalf("started a call of importance %v while one of importance %v waits", c.Importance, w.Importance)
			}
		}
		m.start(t, id)
	}
}

func (m *machine) offer(t *rapid.T) {
	m.offered++
	// The importances drawn are all within the named level low.
	c := Call{
		ID: sqid.CallID(fmt.Sprint(m.offered)), Workspace: sqid.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "w")),
		Weight:     squnit.Weight(rapid.Float64Range(0, 4).Draw(t, "weight")),
		Importance: squnit.Importance(rapid.IntRange(0, 3).Draw(t, "importance")),
		Depth:      squnit.Depth(rapid.IntRange(0, 2).Draw(t, "depth")),
		Deadline:   m.now.Add(time.Duration(rapid.IntRange(-5, 500).Draw(t, "deadline")) * time.Millisecond),
		Share:      squnit.Share(rapid.Float64Range(0, 1).Draw(t, "share")),
	}
	d := m.gate.Offer(m.now, c)
	if d.Verdict != Refused {
		m.waiting[c.ID] = c
	} else if d.Reason == "" {
		t.Fatal("refused without a reason")
	}
	if d.Verdict == Run {
		d.Effect.Run = append(d.Effect.Run, c.ID)
	}
	m.apply(t, d.Effect)
}

func (m *machine) done(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
	id := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	latency := time.Duration(rapid.IntRange(0, 300).Draw(t, "latency")) * time.Millisecond
	r := Result{Outcome: Outcome(rapid.IntRange(int(OK), int(Unreachable)).Draw(t, "outcome")), Latency: latency, Nested: latency / 3}
	m.apply(t, m.gate.Done(m.now, id, r))
	m.apply(t, m.gate.Done(m.now, id, r))
}

func (m *machine) cancel(t *rapid.T) {
	id := sqid.CallID(fmt.Sprint(rapid.IntRange(1, max(1, m.offered)).Draw(t, "id")))
	_, waits := m.waiting[id]
	ok, e := m.gate.Cancel(m.now, id)
	if ok != waits {
		t.Fatalf("cancel of %s: %v, queued: %v", id, ok, waits)
	}
	delete(m.waiting, id)
	m.apply(t, e)
}

func (m *machine) check(t *rapid.T) {
	l := m.gate.Load(m.now, "a")
	if l.InFlight != len(m.running) || l.Queued != len(m.waiting) {
		t.Fatalf("gate has %d running and %d waiting, test %d and %d", l.InFlight, l.Queued, len(m.running), len(m.waiting))
	}
	if l.Limit < 1 || l.Share < 0 || l.Share > 1 || l.OverallShare < 0 || l.OverallShare > 1 || math.IsNaN(float64(l.OverallShare)) {
		t.Fatalf("load out of range: %+v", l)
	}
	// The gate keeps to this bound when it queues a call. It does not shorten the
	// queue when the limit falls, so a long queue could then exceed it.
	if bound := nestedQueueFactor * max(minQueue, l.Limit); l.Queued > bound {
		t.Fatalf("queue has %d calls, bound %d", l.Queued, bound)
	}
}

func TestGateLeaksNoSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: epoch, waiting: make(map[sqid.CallID]Call)}
		m.gate.Announce(m.now, squnit.Slots(rapid.IntRange(0, 12).Draw(t, "slots")))
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"offer2": m.offer,
			"done":   m.done,
			"cancel": m.cancel,
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
				m.apply(t, m.gate.Tick(m.now))
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "drain") == 0 {
					m.apply(t, m.gate.Drain(m.now))
					m.apply(t, m.gate.Announce(m.now, 5))
				}
			},
			"": m.check,
		})
		for len(m.running) > 0 {
			m.done(t)
		}
		m.now = m.now.Add(time.Minute)
		m.apply(t, m.gate.Tick(m.now))
		if left := len(m.waiting) + m.gate.Load(m.now, "a").InFlight; left != 0 {
			t.Fatalf("%d calls are still queued or running", left)
		}
	})
}

// TestDivide checks that a capacity is divided by importance first, and then
// max-min fair by weight. The importances drawn are all within the named level
// low; divide compares their values only.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d demand
		n := rapid.IntRange(1, 40).Draw(t, "calls")
		for range n {
			d.add(epoch, time.Second, &Call{
				Workspace:  sqid.WorkspaceID(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "w"))),
				Importance: squnit.Importance(rapid.IntRange(0, 3).Draw(t, "i")),
				Weight:     squnit.Weight(rapid.IntRange(1, 3).Draw(t, "weight")),
			})
		}
		capacity := rapid.Float64Range(0, 50).Draw(t, "capacity")
		d.divide(epoch, time.Second, capacity)
		var allocated float64
		for _, a := range d.classes {
			allocated += a.share * a.rate
			for _, b := range d.classes {
				better := a.key.importance > b.key.importance
				if better && a.share < 1-1e-6 && b.share > 1e-6 {
					t.Fatalf("class %v has share %v while the less important %v has share %v", a.key, a.share, b.key, b.share)
				}
				same := a.key.importance == b.key.importance
				if same && a.share < 1-1e-6 && b.share*b.rate/b.weight > a.share*a.rate/a.weight+1e-6 {
					t.Fatalf("class %v is not fully admitted and gets less per weight than %v", a.key, b.key)
				}
			}
		}
		want := min(capacity, float64(n))
		if math.Abs(allocated-want) > 1e-6 {
			t.Fatalf("allocated %v of capacity %v to %d calls", allocated, capacity, n)
		}
	})
}

// TestGateRecoversFromSlowCalls checks that a target whose calls all ran into
// their deadline gets calls again once they could meet it.
func TestGateRecoversFromSlowCalls(t *testing.T) {
	var g Gate
	now := epoch
	g.Announce(now, 4)
	offer := func(id int) Verdict {
		return g.Offer(now, Call{ID: sqid.CallID(fmt.Sprint(id)), Deadline: now.Add(time.Second)}).Verdict
	}
	// The first call makes the average latency 1 s, so that no later call could meet
	// its deadline. Since now no longer advances, the other 199 are refused and
	// only count as demand.
	for id := range 200 {
		if offer(id) == Run {
			now = now.Add(time.Second)
			g.Done(now, sqid.CallID(fmt.Sprint(id)), Result{Outcome: Cancelled, Latency: time.Second})
		}
	}
	slow := g.averageLatency
	qt.Assert(t, slow > 0.9, qt.IsTrue)
	refused, until := 0, now.Add(time.Second)
	for id := 1000; now.Before(until); id++ {
		now = now.Add(5 * time.Millisecond)
		if offer(id) == Refused {
			refused++
			continue
		}
		now = now.Add(5 * time.Millisecond)
		g.Done(now, sqid.CallID(fmt.Sprint(id)), Result{Latency: 5 * time.Millisecond})
	}
	qt.Assert(t, refused > 0, qt.IsTrue)
	qt.Assert(t, g.averageLatency < 0.5, qt.IsTrue, qt.Commentf("average latency %.3f s", g.averageLatency))
	qt.Assert(t, offer(2000), qt.Equals, Run)
}
