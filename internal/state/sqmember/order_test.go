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

// lastArrival keeps what arrived last, without regard to incarnations and
// versions.
type lastArrival struct {
	rows  map[string]*sqmemberwire.Row
	facts map[string]uint64
}

func (v *lastArrival) receive(d *sqmemberwire.Datagram) {
	for _, r := range d.GetRows() {
		v.rows[r.GetDaemon()] = r
	}
	for _, f := range d.GetFacts() {
		v.facts[f.GetName()] = f.GetVersion()
	}
}

// drawHistory draws the rows that a daemon sends of itself and others send of
// it over several runs, in order, each superseding the one before.
func drawHistory(t *rapid.T) []*sqmemberwire.Row {
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
// order, some twice and some not at all, but always the last of each. The
// member must hold the last one, where lastArrival often does not.
func TestOrder(t *testing.T) {
	var resurrected, factReversions int
	rapid.Check(t, func(t *rapid.T) {
		var all []*sqmemberwire.Datagram
		rows := drawHistory(t)
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

		unversioned := lastArrival{rows: make(map[string]*sqmemberwire.Row), facts: make(map[string]uint64)}
		m := &Member{Fleet: "test", Rand: rand.New(rand.NewPCG(1, 1)), Local: Row{ID: "a", DataCentre: "dc", PeerAddress: "a", Incarnation: 1}}
		var seen uint64
		m.OnFact("lists", func(version uint64, _ []byte) {
			if version <= seen {
				t.Fatalf("fact reverted from %d to %d", seen, version)
			}
			seen = version
		})
		for _, i := range order {
			d := all[i]
			d.Fleet, d.From = uint32(xxhash.Sum64String("test\x00"+protocolVersion)), "c"
			unversioned.receive(d)
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
		if unversioned.rows["b"].GetIncarnation() < last.GetIncarnation() {
			resurrected++
		}
		if unversioned.facts["lists"] < uint64(versions) {
			factReversions++
		}
	})
	t.Logf("last arrival kept: an old incarnation came back in %d runs, a fact reverted in %d", resurrected, factReversions)
	qt.Assert(t, resurrected > 0 && factReversions > 0, qt.IsTrue)
}

// TestMechanisms shows what goes wrong in a fleet without each mechanism.
func TestMechanisms(t *testing.T) {
	c := qt.New(t)
	// A fact under heavy loss: with gossip alone some daemon misses it for good.
	missingFacts := func(disabled mechanisms) int {
		missed := 0
		for seed := range uint64(10) {
			n := newNetwork(seed)
			n.disabled = disabled
			n.fleet(centres(2, 12))
			n.run(20*time.Second, n.converged)
			n.loss = 0.4
			_, err := n.nodes[3].Publish("lists", 1, []byte("body"))
			c.Assert(err, qt.IsNil)
			n.run(10*time.Second, func() bool { return n.countWithFact("lists", 1) == 24 })
			missed += 24 - n.countWithFact("lists", 1)
		}
		return missed
	}
	without, with := missingFacts(mechanisms{antiEntropy: true}), missingFacts(mechanisms{})
	c.Logf("daemons of 240 that lack the fact after 10 s at 40%% loss: %d without digests, %d with", without, with)
	c.Check(without > 0, qt.IsTrue)
	c.Check(with, qt.Equals, 0)

	// A cut that heals, as found through a seed: without the time to refute, each
	// half takes over the other's deaths and marks live daemons dead.
	wronglyDead := func(disabled mechanisms) int {
		count := 0
		for seed := range uint64(5) {
			n := newNetwork(seed)
			n.disabled = disabled
			n.fleet(map[string]int{"a": 16})
			other := n.node("a16").Local.PeerAddress
			n.run(30*time.Second, n.converged)
			firstHalf := func(v *node) bool { return len(v.name) == 2 }
			n.cuts = append(n.cuts, func(a, b *node) bool { return firstHalf(a) && !firstHalf(b) })
			n.run(time.Minute, nil)
			n.cuts = nil
			n.send(n.nodes[0], n.nodes[0].Join(n.now, []string{other}))
			n.run(time.Minute, func() bool {
				for _, v := range n.nodes {
					for _, o := range n.nodes {
						if r, ok := v.Row(o.Local.ID); firstHalf(v) == firstHalf(o) && (!ok || !r.live()) {
							count++
						}
					}
				}
				return false
			})
			c.Check(n.converged(), qt.IsTrue)
		}
		return count
	}
	without, with = wronglyDead(mechanisms{refutableDeath: true}), wronglyDead(mechanisms{})
	c.Logf("10 ms steps in which a daemon considered one of its own half dead after the cut: %d without the time to refute, %d with", without, with)
	c.Check(without > 0, qt.IsTrue)
	c.Check(with, qt.Equals, 0)
}
