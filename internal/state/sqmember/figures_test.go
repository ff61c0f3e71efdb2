package sqmember

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

var figures = flag.String("figures", "", "measure at a size such as 12x25 data centres and daemons in each")

// centres returns n data centres of some size.
func centres(n, size int) map[string]int {
	sizes := make(map[string]int, n)
	for i := range n {
		sizes[string(rune('a'+i))] = size
	}
	return sizes
}

// convergedNetwork returns a network in which all daemons know each other and
// each has announced a target.
func convergedNetwork(c *qt.C, seed uint64, sizes map[string]int) *network {
	n := newNetwork(seed)
	n.suffix = "-orders.host"
	n.fleet(sizes)
	_, ok := n.runWithStep(time.Second, 2*time.Minute, n.converged)
	c.Assert(ok, qt.IsTrue)
	for _, v := range n.nodes {
		id := sqtarget.ID{Daemon: v.Local.ID, Target: "target-1"}
		c.Assert(v.SetTarget(sqtarget.Row{ID: id, Service: "order-tracking", Slots: 75}), qt.IsNil)
	}
	_, ok = n.runWithStep(time.Second, 2*time.Minute, n.converged)
	c.Assert(ok, qt.IsTrue)
	n.run(12*time.Second, nil)
	return n
}

// traffic is the bytes sent and received: the means of ordinary members and of
// relays, and the most of any daemon.
type traffic struct{ ordinary, relay, peak float64 }

// measureTraffic runs f and returns the traffic of the time d that follows.
func (n *network) measureTraffic(d time.Duration, f func()) traffic {
	for _, v := range n.nodes {
		v.bytes = 0
	}
	f()
	n.run(d, nil)
	var t traffic
	var ordinary, relays float64
	for _, v := range n.nodes {
		b := float64(v.bytes)
		t.peak = math.Max(t.peak, b)
		if v.IsRelay() {
			t.relay += b
			relays++
			continue
		}
		t.ordinary += b
		ordinary++
	}
	t.ordinary /= math.Max(1, ordinary)
	t.relay /= math.Max(1, relays)
	return t
}

// figuresSize returns the size that -figures asks for.
func figuresSize(c *qt.C) (size [2]int) {
	_, err := fmt.Sscanf(*figures, "%dx%d", &size[0], &size[1])
	c.Assert(err, qt.IsNil)
	return size
}

// TestFigures prints the bytes of control traffic that docs/CAPACITY.md is
// based on, in simulated time and without loss. It runs only with a size:
//
//	go test ./internal/state/sqmember -run TestFigures -v -figures 1x300
func TestFigures(t *testing.T) {
	if *figures == "" {
		t.Skip("measures only with -figures")
	}
	c := qt.New(t)
	size := figuresSize(c)
	n := convergedNetwork(c, 1, centres(size[0], size[1]))
	rest := n.measureTraffic(measurePeriod, func() {})
	t.Logf("rest %s: plain %4.0f B/s, relay %4.0f B/s, most %4.0f B/s", *figures,
		rest.ordinary/measurePeriod.Seconds(), rest.relay/measurePeriod.Seconds(), rest.peak/measurePeriod.Seconds())
	n.logChange(t, "fact of 100 B from one daemon", rest, func() { publish(n.nodes[0], 1) })
	n.logChange(t, "the same from all watchers", rest, func() {
		for _, v := range n.nodes {
			if v.IsWatcher() {
				publish(v, 2)
			}
		}
	})
	n.logChange(t, "drain of one target", rest, func() { n.nodes[1].DrainTarget("target-1") })
	n.logChange(t, "restart of one daemon", rest, func() {
		v := n.nodes[2]
		v.dead = true
		n.add(v.name, string(v.Local.DataCentre), n.nodes[0])
	})
}

// measurePeriod is the time for which bytes are measured, a multiple of the
// relays' probe period.
const measurePeriod = 20 * time.Second

func publish(v *node, version uint64) {
	_, _ = v.Publish("lists", version, make([]byte, 100))
}

// logChange logs the bytes of a change beyond those of an idle fleet.
func (n *network) logChange(t *testing.T, what string, rest traffic, f func()) {
	got := n.measureTraffic(measurePeriod, f)
	t.Logf("  %s: plain %5.0f B, relay %5.0f B", what, got.ordinary-rest.ordinary, got.relay-rest.relay)
}

// TestSpread measures the times in which facts and drains reach all daemons,
// and in which a killed daemon is out of use everywhere.
func TestSpread(t *testing.T) {
	c := qt.New(t)
	sizes := [][2]int{{1, 40}, {4, 12}}
	if *figures != "" {
		sizes = [][2]int{figuresSize(c)}
	}
	const rounds = 5
	for _, size := range sizes {
		n := convergedNetwork(c, 2, centres(size[0], size[1]))
		for _, loss := range []float64{0, 0.05} {
			n.loss = loss
			name := fmt.Sprintf("%2d x %3d, loss %.0f%%:", size[0], size[1], 100*loss)
			facts := n.factTimes(rounds)
			t.Logf("%s fact %s", name, quantiles(facts))
			c.Check(slices.Max(facts) <= 6*time.Second, qt.IsTrue)
			c.Check(slices.Sorted(slices.Values(facts))[len(facts)*99/100] <= time.Second, qt.IsTrue)
			near, far := n.drainTimes(rounds)
			t.Logf("%s drain within the data centre %s", name, quantiles(near))
			c.Check(slices.Max(near) <= 2*time.Second, qt.IsTrue)
			if len(far) > 0 {
				t.Logf("%s drain in the others %s", name, quantiles(far))
				c.Check(slices.Max(far) <= 6*time.Second, qt.IsTrue)
			}
			t.Logf("%s killed %s", name, quantiles(n.killTimes(rounds)))
		}
	}
}

// factTimes publishes facts and returns how long each took to reach each
// daemon, in steps of 10 ms.
func (n *network) factTimes(rounds int) []time.Duration {
	var times []time.Duration
	for range rounds {
		start := n.now
		v := n.nodes[n.rand.IntN(len(n.nodes))]
		version, _ := v.Fact("lists")
		publish(v, version+1)
		known := 0
		n.run(20*time.Second, func() bool {
			for now := n.countWithFact("lists", version+1); known < now; known++ {
				times = append(times, n.now.Sub(start))
			}
			return known == len(n.nodes)
		})
		n.run(3*time.Second, nil)
	}
	return times
}

// drainTimes drains targets and returns how long each drain took to reach each
// daemon of the data centre and of the others.
func (n *network) drainTimes(rounds int) (near, far []time.Duration) {
	for i := range rounds {
		start := n.now
		v := n.nodes[n.rand.IntN(len(n.nodes))]
		id := sqid.TargetID(fmt.Sprintf("drained-%d", i))
		row := sqtarget.Row{ID: sqtarget.ID{Daemon: v.Local.ID, Target: id}, Service: "s", Draining: true}
		if err := v.SetTarget(row); err != nil {
			panic(err)
		}
		waiting := slices.Clone(n.nodes)
		n.run(20*time.Second, func() bool {
			waiting = slices.DeleteFunc(waiting, func(o *node) bool {
				got, _ := o.Targets.Get(row.ID)
				switch {
				case !got.Draining:
					return false
				case o.Local.DataCentre == v.Local.DataCentre:
					near = append(near, n.now.Sub(start))
				default:
					far = append(far, n.now.Sub(start))
				}
				return true
			})
			return len(waiting) == 0
		})
		v.RemoveTarget(id)
		n.run(3*time.Second, nil)
	}
	return near, far
}

// killTimes kills daemons and returns how long each stayed in use anywhere.
func (n *network) killTimes(rounds int) []time.Duration {
	var times []time.Duration
	for range rounds {
		v := n.nodes[n.rand.IntN(len(n.nodes))]
		v.dead = true
		took, _ := n.runWithStep(100*time.Millisecond, time.Minute, func() bool { return n.removed(v.Local.ID) })
		times = append(times, took)
		n.add(v.name, string(v.Local.DataCentre), n.running()[0])
		n.run(10*time.Second, nil)
	}
	return times
}

func quantiles(times []time.Duration) string {
	times = slices.Sorted(slices.Values(times))
	at := func(q float64) time.Duration { return times[min(int(q*float64(len(times))), len(times)-1)] }
	return fmt.Sprintf("p50 %v p99 %v max %v of %d", at(0.5), at(0.99), times[len(times)-1], len(times))
}

// memberOfLargeFleet returns a member that knows a fleet of the size that is
// designed for, 3,600 daemons in 12 data centres, with names as long as real
// ones.
func memberOfLargeFleet() *Member {
	row := func(i int) Row {
		return Row{
			ID: sqid.DaemonID(fmt.Sprintf("host-%04d.orders", i)), DataCentre: sqid.DataCentreID(fmt.Sprintf("centre-%02d", i%12)),
			Region: sqid.RegionID(fmt.Sprintf("region-%d", i%4)), Incarnation: 1_700_000_000_000, Version: 3,
			CallerAddress: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250), PeerAddress: fmt.Sprintf("10.1.%d.%d:8081", i/250, i%250),
			Targets: []Target{{ID: "target-1", Service: sqid.ServiceID(fmt.Sprintf("service-%03d", i%110)), Slots: 75}},
		}
	}
	m := &Member{Fleet: "test", Rand: rand.New(rand.NewPCG(1, 1)), Local: row(0)}
	now := time.Unix(1_700_000_000, 0)
	m.Tick(now)
	reply := &sqmemberwire.ExchangeReply{From: "peer"}
	for i := 1; i < 3600; i++ {
		reply.Rows = append(reply.Rows, row(i).wire())
	}
	m.HandleExchangeReply(now, "addr", reply, nil)
	return m
}

// BenchmarkSecond runs the work of one second in a fleet of the size that is
// designed for: ten ticks, a ping and an acknowledgement each way, and the
// updates of 0.1 changes. It also reports the memory of the tables.
func BenchmarkSecond(b *testing.B) {
	before := heapInUse()
	m := memberOfLargeFleet()
	perRow := float64(heapInUse()-before) / 3600
	now := time.Unix(1_700_000_000, 0)
	other, _ := m.Row("host-0012.orders")
	for i := 0; b.Loop(); i++ {
		for range 10 {
			now = now.Add(TickPeriod)
			answerPings(m, now, m.Tick(now))
		}
		ping := m.datagram(sqmemberwire.Kind_KIND_PING)
		ping.From, ping.TargetHash, ping.Seq = string(other.ID), shortHash(m.self.ID), 1
		if i%10 == 0 {
			other.Version++
			ping.Rows = append(ping.Rows, other.wire())
		}
		m.Receive(now, other.PeerAddress, ping)
	}
	b.ReportMetric(perRow, "B/row")
}

// answerPings acknowledges the pings among a member's messages.
func answerPings(m *Member, now time.Time, sends []Message) {
	for _, s := range sends {
		if s.Datagram.GetKind() != sqmemberwire.Kind_KIND_PING {
			continue
		}
		ack := m.withDigests(m.datagram(sqmemberwire.Kind_KIND_ACK))
		ack.From, ack.Seq = "peer", s.Datagram.GetSeq()
		m.Receive(now, s.Address, ack)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestLargestDatagram checks that a ping with long names and the most that can
// be added to it stays within the bound of a datagram.
func TestLargestDatagram(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1)
	long := strings.Repeat("x", 60)
	first := n.add(long+"1", "a")
	second := n.add(long+"2", "a", first)
	for i := range 10 {
		id := sqtarget.ID{Target: sqid.TargetID(fmt.Sprintf("%s%d", long, i))}
		if err := second.SetTarget(sqtarget.Row{ID: id, Service: "s"}); err != nil {
			break
		}
	}
	n.run(5*time.Second, nil)
	c.Assert(n.converged(), qt.IsTrue)
	// The network panics if a datagram is too large.
	second.paused = true
	n.run(20*time.Second, nil)
	n.resume(second)
	_, ok := n.run(20*time.Second, n.converged)
	c.Assert(ok, qt.IsTrue)
}
