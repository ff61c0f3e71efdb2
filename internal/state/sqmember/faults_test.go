package sqmember

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
)

const (
	// unusedWithin is the time until a killed daemon is out of use, at up to
	// 5% loss and without cuts.
	unusedWithin = 15 * time.Second
	// agreeWithin is the time from the end of all faults until all agree.
	agreeWithin = 90 * time.Second
	// emptyWithin is the same where no daemon of a data centre runs, and
	// unusedAlone the time for the last daemon of a data centre.
	emptyWithin = 15 * time.Minute
	unusedAlone = 40 * time.Second
)

// faulty is a fleet to which a drawn series of faults happens.
type faulty struct {
	*rapid.T
	n       *network
	version uint64
	past    []*node
}

// TestFaults draws kills, restarts, pauses, cuts, losses, drains and facts,
// several at once. At every moment facts only rise; once the faults end all
// agree, no running daemon is held for dead, and all have the newest fact.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &faulty{T: t, n: newNetwork(rapid.Uint64().Draw(t, "seed"))}
		f.n.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
		f.n.double = f.n.loss / 2
		f.n.fleet(map[string]int{"a": 6, "b": 3, "c": 1})
		f.n.run(5*time.Second, nil)
		f.past = slices.Clone(f.n.nodes)
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			f.fault()
			f.n.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms"))*time.Millisecond, nil)
			f.rising()
		}
		f.settle()
	})
}

func (f *faulty) any() *node {
	return rapid.SampledFrom(f.n.nodes).Draw(f.T, "daemon")
}

func (f *faulty) fault() {
	v := f.any()
	switch rapid.SampledFrom([]string{"kill", "restart", "pause", "resume", "cut", "heal", "drain", "target", "publish", "leave"}).Draw(f.T, "fault") {
	case "kill":
		v.dead = true
	case "restart":
		v.dead = true
		f.restart(v)
	case "pause":
		v.paused = !v.dead
	case "resume":
		f.n.resume(v)
	case "cut":
		other := f.any()
		whole := rapid.Bool().Draw(f.T, "whole")
		f.n.cuts = append(f.n.cuts, func(a, b *node) bool {
			if whole {
				return a.Local.DataCentre == v.Local.DataCentre && b.Local.DataCentre != v.Local.DataCentre
			}
			return a.name == v.name && b.name != v.name && other != v
		})
	case "heal":
		f.n.cuts = nil
	case "drain":
		v.Drain("t")
	case "target":
		_ = v.SetTarget(sqtarget.Row{ID: sqtarget.ID{Target: "t"}, Service: "s", Slots: 1})
	case "publish":
		f.version++
		body := make([]byte, rapid.SampledFrom([]int{10, 5000}).Draw(f.T, "bytes"))
		_, _ = v.Publish("lists", f.version, body)
	case "leave":
		v.Leave()
		f.n.run(time.Second, nil)
		v.dead = true
	}
}

// restart starts a daemon anew; its first peers are all others.
func (f *faulty) restart(v *node) {
	others := slices.DeleteFunc(slices.Clone(f.n.nodes), func(o *node) bool { return o == v })
	f.past = append(f.past, f.n.add(v.name, string(v.Local.DataCentre), others...))
}

// rising fails if a daemon was ever given a fact that was not newer.
func (f *faulty) rising() {
	for _, v := range f.past {
		for i := 1; i < len(v.seen); i++ {
			if v.seen[i] <= v.seen[i-1] {
				f.Fatalf("%s was given %v", v.name, v.seen)
			}
		}
	}
}

// settle ends all faults and checks what must then come about.
func (f *faulty) settle() {
	f.n.cuts = nil
	f.n.loss = min(f.n.loss, 0.05)
	for _, v := range slices.Clone(f.n.nodes) {
		if v.paused && !v.dead {
			f.n.resume(v)
		}
	}
	running := f.n.running()
	if len(running) == 0 {
		return
	}
	// What the transport does for daemons that know no other, or not all seeds.
	for _, v := range running {
		var seeds []string
		for _, o := range running {
			seeds = append(seeds, o.Local.PeerAddress)
		}
		f.n.send(v, v.Join(f.n.now, v.Strangers(seeds)))
	}
	newest := uint64(0)
	for _, v := range running {
		held, _ := v.Fact("lists")
		newest = max(newest, held)
	}
	all := func() bool { return f.n.agree() && f.n.know("lists", newest) == len(running) }
	within := agreeWithin
	if len(centresOf(running)) < len(centresOf(f.n.nodes)) {
		within = emptyWithin
	}
	if _, ok := f.n.run(within, all); !ok {
		f.describe()
		f.Fatalf("the fleet does not agree %v after the faults", within)
	}
	f.rising()
	f.killOne(running)
}

// killOne checks how long a killed daemon stays in use.
func (f *faulty) killOne(running []*node) {
	v := rapid.SampledFrom(running).Draw(f.T, "killed")
	v.dead = true
	within := unusedWithin
	if len(centresOf(f.n.running())) < len(centresOf(running)) {
		within = unusedAlone
	}
	if _, ok := f.n.run(within, func() bool { return f.n.unused(v.Local.ID) }); !ok {
		f.Fatalf("%s is still in use %v after its end", v.name, within)
	}
}

func centresOf(nodes []*node) map[sqid.DataCentreID]bool {
	in := make(map[sqid.DataCentreID]bool)
	for _, v := range nodes {
		in[v.Local.DataCentre] = true
	}
	return in
}

func (f *faulty) describe() {
	for _, v := range f.n.running() {
		v.Each(func(r Row) bool {
			f.Logf("%s (%d/%d) holds %s %s %d/%d", v.name, v.Self().Incarnation, v.Self().Version, r.ID, r.State, r.Incarnation, r.Version)
			return true
		})
	}
}
