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
	// removedWithin is the time until a killed daemon is out of use, at up to 5%
	// loss and without cuts.
	removedWithin = 15 * time.Second
	// convergedWithin is the time from the end of all faults until all views
	// agree.
	convergedWithin = 90 * time.Second
	// silentConvergedWithin is the same where no daemon of a data centre runs.
	// singleRemovedWithin is removedWithin for the last daemon of a data centre.
	silentConvergedWithin = 15 * time.Minute
	singleRemovedWithin   = 40 * time.Second
)

// faultRun is a fleet with a drawn sequence of faults.
type faultRun struct {
	*rapid.T
	n       *network
	version uint64
	started []*node
}

// TestFaults draws kills, restarts, pauses, cuts, losses, drains and facts,
// several at once. The versions of a fact must rise at every daemon throughout.
// Once the faults end all views must agree, no running daemon may be considered
// dead, and all must have the newest fact.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &faultRun{T: t, n: newNetwork(rapid.Uint64().Draw(t, "seed"))}
		f.n.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
		f.n.duplicate = f.n.loss / 2
		f.n.fleet(map[string]int{"a": 6, "b": 3, "c": 1})
		f.n.run(5*time.Second, nil)
		f.started = slices.Clone(f.n.nodes)
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			f.injectFault()
			f.n.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms"))*time.Millisecond, nil)
			f.checkFactOrder()
		}
		f.checkConvergence()
	})
}

func (f *faultRun) drawNode() *node {
	return rapid.SampledFrom(f.n.nodes).Draw(f.T, "daemon")
}

func (f *faultRun) injectFault() {
	v := f.drawNode()
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
		other := f.drawNode()
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
		v.DrainTarget("t")
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

// restart starts a daemon again; it joins through all others.
func (f *faultRun) restart(v *node) {
	others := slices.DeleteFunc(slices.Clone(f.n.nodes), func(o *node) bool { return o == v })
	f.started = append(f.started, f.n.add(v.name, string(v.Local.DataCentre), others...))
}

// checkFactOrder fails if OnFact was ever called with a version that was not
// newer.
func (f *faultRun) checkFactOrder() {
	for _, v := range f.started {
		for i := 1; i < len(v.factVersions); i++ {
			if v.factVersions[i] <= v.factVersions[i-1] {
				f.Fatalf("%s got the versions %v, which do not rise", v.name, v.factVersions)
			}
		}
	}
}

// checkConvergence ends all faults and checks that the fleet converges.
func (f *faultRun) checkConvergence() {
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
	// The transport does this for daemons that know no other daemon, or not all
	// seeds.
	for _, v := range running {
		var seeds []string
		for _, o := range running {
			seeds = append(seeds, o.Local.PeerAddress)
		}
		f.n.send(v, v.Join(f.n.now, v.UnknownAddresses(seeds)))
	}
	newest := uint64(0)
	for _, v := range running {
		held, _ := v.Fact("lists")
		newest = max(newest, held)
	}
	settled := func() bool { return f.n.converged() && f.n.countWithFact("lists", newest) == len(running) }
	within := convergedWithin
	if len(centresOf(running)) < len(centresOf(f.n.nodes)) {
		within = silentConvergedWithin
	}
	if _, ok := f.n.run(within, settled); !ok {
		f.logRows()
		f.Fatalf("the views still differ %v after the end of the faults", within)
	}
	f.checkFactOrder()
	f.checkKill(running)
}

// checkKill checks how long a killed daemon stays in use.
func (f *faultRun) checkKill(running []*node) {
	v := rapid.SampledFrom(running).Draw(f.T, "killed")
	v.dead = true
	within := removedWithin
	if len(centresOf(f.n.running())) < len(centresOf(running)) {
		within = singleRemovedWithin
	}
	if _, ok := f.n.run(within, func() bool { return f.n.removed(v.Local.ID) }); !ok {
		f.Fatalf("%s is still in use %v after it was killed", v.name, within)
	}
}

func centresOf(nodes []*node) map[sqid.DataCentreID]bool {
	in := make(map[sqid.DataCentreID]bool)
	for _, v := range nodes {
		in[v.Local.DataCentre] = true
	}
	return in
}

func (f *faultRun) logRows() {
	for _, v := range f.n.running() {
		v.Each(func(r Row) bool {
			f.Logf("%s (%d/%d) holds %s %s %d/%d", v.name, v.Self().Incarnation, v.Self().Version, r.ID, r.State, r.Incarnation, r.Version)
			return true
		})
	}
}
