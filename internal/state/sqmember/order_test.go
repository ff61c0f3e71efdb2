package sqmember

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

// naive is one map that holds what came last, without incarnations or
// versions.
type naive struct {
	rows  map[string]*sqmemberwire.Row
	facts map[string]uint64
}

func (v *naive) receive(d *sqmemberwire.Datagram) {
	for _, r := range d.GetRows() {
		v.rows[r.GetDaemon()] = r
	}
	for _, f := range d.GetFacts() {
		v.facts[f.GetName()] = f.GetVersion()
	}
}

// history draws what a daemon says and what others say of it in the course of
// its lives, in order, each row superseding the one before.
func history(t *rapid.T) []*sqmemberwire.Row {
	row := Row{ID: "b", DataCentre: "dc", PeerAddress: "addr", Incarnation: 1, Version: 1}
	rows := []*sqmemberwire.Row{row.wire()}
	for range rapid.IntRange(1, 12).Draw(t, "events") {
		switch rapid.SampledFrom([]string{"announce", "suspect", "die", "leave", "restart"}).Draw(t, "event") {
		case "announce":
			if row.State == Left {
				continue
			}
			row.Version, row.State = row.Version+1, Alive
			row.Targets = []Target{{ID: "t", Service: "s", Slots: 1}}
		case "suspect":
			row.State = max(row.State, Suspect)
		case "die":
			row.State = max(row.State, Dead)
		case "leave":
			row.Version, row.State = row.Version+1, Left
		case "restart":
			row.Incarnation, row.Version, row.State, row.Targets = row.Incarnation+1, 1, Alive, nil
		}
		rows = append(rows, row.wire())
	}
	return rows
}

// TestOrder delivers the rows of a history and the versions of a fact in any
// order, some of them twice, some not at all but the last. The member must
// hold the last one; the naive version often does not.
func TestOrder(t *testing.T) {
	var resurrected, turnedBack int
	rapid.Check(t, func(t *rapid.T) {
		var all []*sqmemberwire.Datagram
		rows := history(t)
		for _, r := range rows {
			all = append(all, &sqmemberwire.Datagram{Rows: []*sqmemberwire.Row{r}})
		}
		versions := rapid.IntRange(1, 5).Draw(t, "versions")
		for i := range versions {
			body := []byte{byte(i)}
			f := &sqmemberwire.Fact{Name: "lists", Version: uint64(i + 1), Digest: xxhash.Sum64(body), Size: 1, Body: body, Inline: true}
			all = append(all, &sqmemberwire.Datagram{Facts: []*sqmemberwire.Fact{f}})
		}
		lastRow, lastFact := len(rows)-1, len(all)-1
		order := rapid.SliceOfN(rapid.IntRange(0, len(all)-1), 0, 30).Draw(t, "order")
		order = rapid.Permutation(append(order, lastRow, lastFact)).Draw(t, "permuted")

		simple := naive{rows: make(map[string]*sqmemberwire.Row), facts: make(map[string]uint64)}
		m := &Member{Fleet: "test", Rand: rand.New(rand.NewPCG(1, 1)), Local: Row{ID: "a", DataCentre: "dc", PeerAddress: "a", Incarnation: 1}}
		var seen uint64
		m.OnFact("lists", func(version uint64, _ []byte) {
			if version <= seen {
				t.Fatalf("fact went from %d to %d", seen, version)
			}
			seen = version
		})
		for _, i := range order {
			d := all[i]
			d.Fleet, d.From = uint32(xxhash.Sum64String("test\x00"+protocolVersion)), "c"
			simple.receive(d)
			m.Receive(time.Unix(1, 0), "c", d)
		}

		last := rows[lastRow]
		got, _ := m.Row("b")
		if got.Incarnation != sqid.Incarnation(last.GetIncarnation()) || got.Version != Version(last.GetVersion()) || got.State != State(last.GetState()) {
			t.Fatalf("held %+v, last %v", got, last)
		}
		if (m.Targets.Len() > 0) != (len(last.GetTargets()) > 0) {
			t.Fatalf("targets %d, last %v", m.Targets.Len(), last)
		}
		if version, _ := m.Fact("lists"); version != uint64(versions) {
			t.Fatalf("fact %d, last %d", version, versions)
		}
		if simple.rows["b"].GetIncarnation() < last.GetIncarnation() {
			resurrected++
		}
		if simple.facts["lists"] < uint64(versions) {
			turnedBack++
		}
	})
	t.Logf("naive: an old incarnation came back in %d runs, a fact went back in %d", resurrected, turnedBack)
	qt.Assert(t, resurrected > 0 && turnedBack > 0, qt.IsTrue)
}

// TestMechanisms shows what the fleet loses without each mechanism.
func TestMechanisms(t *testing.T) {
	c := qt.New(t)
	// A fact under heavy loss: rumours alone miss some daemon for good.
	late := func(off switches) int {
		missed := 0
		for seed := range uint64(10) {
			n := newNetwork(seed)
			n.off = off
			n.fleet(centres(2, 12))
			n.run(20*time.Second, n.agree)
			n.loss = 0.4
			_, err := n.nodes[3].Publish("lists", 1, []byte("body"))
			c.Assert(err, qt.IsNil)
			n.run(10*time.Second, func() bool { return n.know("lists", 1) == 24 })
			missed += 24 - n.know("lists", 1)
		}
		return missed
	}
	without, with := late(switches{repair: true}), late(switches{})
	c.Logf("daemons of 240 without the fact after 10 s at 40%% loss: %d without digests, %d with", without, with)
	c.Check(without > 0, qt.IsTrue)
	c.Check(with, qt.Equals, 0)

	// A cut that heals, as found through a seed: halves that take each
	// other's word bury the living.
	buried := func(off switches) int {
		count := 0
		for seed := range uint64(5) {
			n := newNetwork(seed)
			n.off = off
			n.fleet(map[string]int{"a": 16})
			other := n.node("a16").Local.PeerAddress
			n.run(30*time.Second, n.agree)
			left := func(v *node) bool { return len(v.name) == 2 }
			n.cuts = append(n.cuts, func(a, b *node) bool { return left(a) && !left(b) })
			n.run(time.Minute, nil)
			n.cuts = nil
			n.send(n.nodes[0], n.nodes[0].Join(n.now, []string{other}))
			n.run(time.Minute, func() bool {
				for _, v := range n.nodes {
					for _, o := range n.nodes {
						if r, ok := v.Row(o.Local.ID); left(v) == left(o) && (!ok || !r.live()) {
							count++
						}
					}
				}
				return false
			})
			c.Check(n.agree(), qt.IsTrue)
		}
		return count
	}
	without, with = buried(switches{hearsay: true}), buried(switches{})
	c.Logf("times 10 ms that a daemon held one of its own half for dead after the cut: %d without the time to refute, %d with", without, with)
	c.Check(without > 0, qt.IsTrue)
	c.Check(with, qt.Equals, 0)
}
