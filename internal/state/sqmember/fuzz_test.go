package sqmember

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

// FuzzMessages passes a member what the bytes decode to as each kind of
// message. It must stay alive under its own name, keep no update that it can't
// send, and send no datagram above the bound.
func FuzzMessages(f *testing.F) {
	n := newNetwork(1)
	first := n.add("a", "dc")
	n.add("b", "dc", first)
	n.schedule(0, func() { publish(first, 3) })
	n.run(3*time.Second, nil)
	for _, kind := range []sqmemberwire.Kind{sqmemberwire.Kind_KIND_PING, sqmemberwire.Kind_KIND_PING_REQUEST, sqmemberwire.Kind_KIND_HINT} {
		d := first.datagram(kind)
		d.TargetHash, d.Target = shortHash("b"), "b"
		d.Rows = append(d.Rows, first.Self().wire())
		d.Facts = first.facts.newer(nil)
		b, err := proto.Marshal(first.withDigests(d))
		qt.Assert(f, err, qt.IsNil)
		f.Add(b)
	}
	b, err := proto.Marshal(first.exchangeRequest(true, true))
	qt.Assert(f, err, qt.IsNil)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		c := qt.New(t)
		now := time.Unix(1_700_000_000, 0)
		m := &Member{
			Fleet: "test", Rand: rand.New(rand.NewPCG(1, 1)),
			Local: Row{ID: "b", DataCentre: "dc", PeerAddress: "b", Incarnation: 1},
		}
		sends := m.Tick(now)
		var d sqmemberwire.Datagram
		if proto.Unmarshal(b, &d) == nil {
			d.Fleet = m.fleetHash
			sends = append(sends, m.Receive(now, "x", &d)...)
		}
		var req sqmemberwire.ExchangeRequest
		if proto.Unmarshal(b, &req) == nil {
			req.Fleet = m.fleetHash
			_, more := m.HandleExchange(now, &req)
			sends = append(sends, more...)
		}
		var reply sqmemberwire.ExchangeReply
		if proto.Unmarshal(b, &reply) == nil {
			sends = append(sends, m.HandleExchangeReply(now, "x", &reply, nil)...)
		}
		for range 100 {
			now = now.Add(TickPeriod)
			sends = append(sends, m.Tick(now)...)
		}
		for _, s := range sends {
			c.Assert(proto.Size(s.Datagram) <= maxDatagramBytes, qt.IsTrue)
		}
		self := m.Self()
		c.Assert(self.State, qt.Equals, Alive)
		c.Assert(self.PeerAddress, qt.Equals, "b")
		c.Assert(m.HasPendingUpdates(), qt.IsFalse)
	})
}
