package sqmember

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
)

var figures = flag.Bool("figures", false, "measure at all sizes and print the figures")

// centres returns n data centres of some size.
func centres(n, size int) map[string]int {
	sizes := make(map[string]int, n)
	for i := range n {
		sizes[string(rune('a'+i))] = size
	}
	return sizes
}

// joined returns a network of which all daemons know each other.
func joined(c *qt.C, seed uint64, sizes map[string]int) *network {
	n := newNetwork(seed)
	n.fleet(sizes)
	_, ok := n.run(2*time.Minute, n.agree)
	c.Assert(ok, qt.IsTrue)
	for _, v := range n.nodes {
		id := sqtarget.ID{Daemon: v.Local.ID, Target: "target-1"}
		c.Assert(v.SetTarget(sqtarget.Row{ID: id, Service: "order-tracking", Slots: 75}), qt.IsNil)
	}
	_, ok = n.run(2*time.Minute, n.agree)
	c.Assert(ok, qt.IsTrue)
	n.run(20*time.Second, nil)
	return n
}

// rate runs f and returns the bytes a second, sent and received, of plain
// members and of relays: the mean and the highest of each.
func (n *network) rate(d time.Duration, f func()) (plain, relay [2]float64) {
	for _, v := range n.nodes {
		v.bytes = 0
	}
	f()
	n.run(d, nil)
	var count [2]int
	for _, v := range n.nodes {
		to, i := &plain, 0
		if v.Relay() {
			to, i = &relay, 1
		}
		perSecond := float64(v.bytes) / d.Seconds()
		to[0] += perSecond
		to[1] = math.Max(to[1], perSecond)
		count[i]++
	}
	plain[0] /= math.Max(1, float64(count[0]))
	relay[0] /= math.Max(1, float64(count[1]))
	return plain, relay
}

// TestFigures prints the bytes of control and the times of spreading that
// docs/CAPACITY.md works with: go test -run TestFigures -v -figures.
func TestFigures(t *testing.T) {
	if !*figures {
		t.Skip("measures only with -figures")
	}
	c := qt.New(t)
	for _, size := range []struct{ centres, each int }{
		{1, 8}, {1, 50}, {1, 150}, {1, 300}, {2, 25}, {4, 25}, {8, 25}, {12, 25},
	} {
		n := joined(c, 1, centres(size.centres, size.each))
		plain, relay := n.rate(60*time.Second, func() {})
		t.Logf("rest: %2d x %3d: plain mean %4.0f most %4.0f B/s, relay mean %4.0f most %4.0f B/s",
			size.centres, size.each, plain[0], plain[1], relay[0], relay[1])
		// One fact and one announcement, in 30 s: the bytes of a change.
		fact, factRelay := n.rate(30*time.Second, func() { _, _ = n.nodes[0].Publish("lists", 1, make([]byte, 100)) })
		row, rowRelay := n.rate(30*time.Second, func() { n.nodes[1].Drain("target-1") })
		t.Logf("change: fact of 100 B: plain %5.0f B relay %5.0f B; row: plain %5.0f B relay %5.0f B",
			30*(fact[0]-plain[0]), 30*(factRelay[0]-relay[0]), 30*(row[0]-plain[0]), 30*(rowRelay[0]-relay[0]))
	}
	for _, size := range []struct {
		centres, each int
		loss          float64
	}{{1, 300, 0}, {1, 300, 0.05}, {12, 25, 0}, {12, 25, 0.05}} {
		n := joined(c, 2, centres(size.centres, size.each))
		n.loss = size.loss
		times := n.spreadTimes(20)
		t.Logf("fact: %2d x %3d loss %.0f%%: %s", size.centres, size.each, 100*size.loss, quantiles(times))
	}
}

// spreadTimes publishes a number of facts and returns how long each took to
// reach each daemon, in steps of 10 ms.
func (n *network) spreadTimes(facts int) []time.Duration {
	var times []time.Duration
	for i := range facts {
		start := n.now
		v := n.nodes[n.rand.IntN(len(n.nodes))]
		_, _ = v.Publish("lists", uint64(i+1), fmt.Appendf(nil, "body %d", i))
		known := 0
		n.run(20*time.Second, func() bool {
			for now := n.know("lists", uint64(i+1)); known < now; known++ {
				times = append(times, n.now.Sub(start))
			}
			return known == len(n.nodes)
		})
		n.run(3*time.Second, nil)
	}
	return times
}

func quantiles(times []time.Duration) string {
	slices.Sort(times)
	at := func(q float64) time.Duration { return times[min(int(q*float64(len(times))), len(times)-1)] }
	return fmt.Sprintf("p50 %v p99 %v max %v of %d", at(0.5), at(0.99), times[len(times)-1], len(times))
}
