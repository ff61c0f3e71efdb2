package sqmember

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

// network is a fleet in one goroutine with simulated time. Its datagrams are
// lost, delayed, duplicated and cut as its fields say.
type network struct {
	// loss and duplicate are probabilities per datagram.
	loss, duplicate float64
	// near and far are the delays within and between data centres; a message
	// takes between one and two times the delay.
	near, far time.Duration
	// skew is added to the clock that a started daemon takes its incarnation
	// from.
	skew time.Duration
	// suffix lengthens the daemons' ids.
	suffix string
	// disabled are the mechanisms that daemons started from now on lack.
	disabled mechanisms

	now    time.Time
	rand   *rand.Rand
	events events
	nodes  []*node
	// byAddress are the daemons by peer address.
	byAddress map[string]*node
	// cuts report whether messages between two daemons are lost.
	cuts []func(from, to *node) bool
	// seq orders events that are due at the same time.
	seq int
}

type node struct {
	*Member
	name   string
	dead   bool
	paused bool
	// heldBack are the messages that arrived during a pause.
	heldBack []func()
	// bytes counts those sent and received, with 28 per datagram for its headers.
	bytes int
	// factVersions are the versions of the fact "lists" in the order of OnFact.
	factVersions []uint64
	// replacements counts the calls of OnReplaced.
	replacements int
}

type event struct {
	at  time.Time
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func newNetwork(seed uint64) *network {
	return &network{
		near: 500 * time.Microsecond, far: 20 * time.Millisecond,
		now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)), byAddress: make(map[string]*node),
	}
}

// add starts a daemon, in place of an earlier one with its name. It joins
// through join.
func (n *network) add(name, dc string, join ...*node) *node {
	return n.addAt("10.100.addr-"+name, name, dc, join...)
}

func (n *network) addAt(addr, name, dc string, join ...*node) *node {
	v := &node{name: name}
	v.Member = &Member{
		Fleet: "test", Rand: rand.New(rand.NewPCG(n.rand.Uint64(), 2)),
		Local: Row{
			ID: sqid.DaemonID(name + n.suffix), DataCentre: sqid.DataCentreID(dc), Region: "r", PeerAddress: addr,
			CallerAddress: "10.0.0.1:8000", Incarnation: sqid.Incarnation(n.now.Add(n.skew).UnixMilli()),
		},
	}
	v.OnReplaced = func(Row) { v.replacements++ }
	v.Wake = func() { n.schedule(0, func() { n.send(v, v.Flush(n.now)) }) }
	v.disabled = n.disabled
	v.OnFact("lists", func(version uint64, _ []byte) { v.factVersions = append(v.factVersions, version) })
	if old := n.byAddress[addr]; old != nil {
		n.nodes = slices.DeleteFunc(n.nodes, func(o *node) bool { return o == old })
	}
	n.nodes = append(n.nodes, v)
	n.byAddress[addr] = v
	var addresses []string
	for _, j := range join {
		addresses = append(addresses, j.Local.PeerAddress)
	}
	n.schedule(0, func() { n.send(v, v.Join(n.now, addresses)) })
	n.schedule(time.Duration(n.rand.Int64N(int64(TickPeriod))), func() { n.tick(v) })
	return v
}

// fleet starts data centres of some sizes, joined through the first daemon.
func (n *network) fleet(sizes map[string]int) {
	dcs := make([]string, 0, len(sizes))
	for dc := range sizes {
		dcs = append(dcs, dc)
	}
	slices.Sort(dcs)
	for _, dc := range dcs {
		for i := range sizes[dc] {
			name := fmt.Sprintf("%s%d", dc, i+1)
			if len(n.nodes) == 0 {
				n.add(name, dc)
				continue
			}
			n.add(name, dc, n.nodes[0])
		}
	}
}

func (n *network) node(name string) *node {
	return n.byAddress["10.100.addr-"+name]
}

func (n *network) schedule(d time.Duration, f func()) {
	n.seq++
	heap.Push(&n.events, event{at: n.now.Add(d), seq: n.seq, f: f})
}

// run advances the time until done returns true or d is over, and returns how
// long it took; done may be nil.
func (n *network) run(d time.Duration, done func() bool) (time.Duration, bool) {
	return n.runWithStep(10*time.Millisecond, d, done)
}

// runWithStep is run with the interval at which done is called.
func (n *network) runWithStep(by, d time.Duration, done func() bool) (time.Duration, bool) {
	start, end := n.now, n.now.Add(d)
	for {
		if done != nil && done() {
			return n.now.Sub(start), true
		}
		step := n.now.Add(by)
		for len(n.events) > 0 && n.events[0].at.Before(step) {
			e := heap.Pop(&n.events).(event)
			n.now = e.at
			e.f()
		}
		n.now = step
		if !n.now.Before(end) {
			return d, done != nil && done()
		}
	}
}

func (n *network) tick(v *node) {
	if v.dead || n.byAddress[v.Local.PeerAddress] != v {
		return
	}
	n.schedule(TickPeriod, func() { n.tick(v) })
	if !v.paused {
		n.send(v, v.Tick(n.now))
	}
}

// cut reports whether messages from one node to another are lost.
func (n *network) cut(from, to *node) bool {
	return slices.ContainsFunc(n.cuts, func(c func(from, to *node) bool) bool { return c(from, to) })
}

func (n *network) delay(a, b *node) time.Duration {
	d := n.near
	if a.Local.DataCentre != b.Local.DataCentre {
		d = n.far
	}
	return d + time.Duration(n.rand.Int64N(int64(d)))
}

// deliver runs f at b after the delay, or once b resumes; never if b is dead.
func (n *network) deliver(a, b *node, f func()) {
	n.schedule(n.delay(a, b), func() {
		switch {
		case b.dead:
		case b.paused:
			b.heldBack = append(b.heldBack, f)
		default:
			f()
		}
	})
}

func (n *network) resume(v *node) {
	v.paused = false
	n.send(v, v.Tick(n.now))
	for _, f := range v.heldBack {
		f()
	}
	v.heldBack = nil
}

func (n *network) send(from *node, sends []Message) {
	for _, s := range sends {
		to := n.byAddress[s.Address]
		switch {
		case s.Datagram != nil:
			n.datagram(from, to, s.Datagram)
		default:
			n.call(from, to, s)
		}
	}
}

func (n *network) datagram(from, to *node, d *sqmemberwire.Datagram) {
	size := proto.Size(d)
	if size > maxDatagramBytes {
		panic(fmt.Sprintf("datagram of %d bytes is too large", size))
	}
	from.bytes += size + 28
	copies := 1
	if n.rand.Float64() < n.duplicate {
		copies = 2
	}
	if to == nil || n.cut(from, to) || n.rand.Float64() < n.loss {
		return
	}
	for range copies {
		c := proto.Clone(d).(*sqmemberwire.Datagram)
		n.deliver(from, to, func() {
			to.bytes += size + 28
			n.send(to, to.Receive(n.now, from.Local.PeerAddress, c))
		})
	}
}

var errCut = errors.New("cut")

// call simulates a gRPC call, which succeeds or fails after its timeout.
func (n *network) call(from, to *node, s Message) {
	answered := false
	n.schedule(3*time.Second, func() {
		if !answered && !from.dead {
			n.answer(from, s, nil, nil, errCut)
		}
	})
	if to == nil || n.cut(from, to) {
		return
	}
	n.deliver(from, to, func() {
		reply, body, err := n.serve(to, s)
		size := proto.Size(s.Exchange) + proto.Size(s.Fetch) + proto.Size(reply) + len(body) + 4*28
		from.bytes += size
		to.bytes += size
		if n.cut(to, from) {
			return
		}
		n.deliver(to, from, func() {
			answered = true
			n.answer(from, s, reply, body, err)
		})
	})
}

func (n *network) serve(to *node, s Message) (*sqmemberwire.ExchangeReply, []byte, error) {
	if s.Exchange != nil {
		reply, sends := to.HandleExchange(n.now, proto.Clone(s.Exchange).(*sqmemberwire.ExchangeRequest))
		n.send(to, sends)
		return reply, nil, nil
	}
	body, ok := to.FactBody(s.Fetch)
	if !ok {
		return nil, nil, errCut
	}
	return nil, body, nil
}

func (n *network) answer(from *node, s Message, reply *sqmemberwire.ExchangeReply, body []byte, err error) {
	if s.Exchange != nil {
		n.send(from, from.HandleExchangeReply(n.now, s.Address, proto.Clone(reply).(*sqmemberwire.ExchangeReply), err))
		return
	}
	n.send(from, from.HandleFetchReply(n.now, s.Address, s.Fetch, body, err))
}

// running returns the daemons that are neither dead nor paused.
func (n *network) running() []*node {
	return slices.DeleteFunc(slices.Clone(n.nodes), func(v *node) bool { return v.dead || v.paused })
}

// converged reports whether the running daemons hold each other, and no other,
// as alive, at the newest incarnation and version.
func (n *network) converged() bool {
	running := n.running()
	for _, v := range running {
		if v.view.digest != running[0].view.digest {
			return false
		}
	}
	for _, v := range running {
		live := 0
		for _, o := range running {
			r, ok := v.Row(o.Local.ID)
			self := o.Self()
			if !ok || r.State != Alive || r.Incarnation != self.Incarnation || r.Version != self.Version {
				return false
			}
		}
		v.Each(func(r Row) bool {
			if r.live() {
				live++
			}
			return true
		})
		if live != len(running) {
			return false
		}
	}
	return true
}

// removed reports whether no running daemon considers id live.
func (n *network) removed(id sqid.DaemonID) bool {
	return !slices.ContainsFunc(n.running(), func(v *node) bool {
		r, ok := v.Row(id)
		return ok && r.live() && v.Local.ID != id
	})
}

// countWithFact counts the running daemons that hold a version of a fact or a
// newer one.
func (n *network) countWithFact(name string, version uint64) int {
	count := 0
	for _, v := range n.running() {
		if held, _ := v.Fact(name); held >= version {
			count++
		}
	}
	return count
}
