package sqmember

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSmoke(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1)
	n.fleet(map[string]int{"a": 4, "b": 3})
	took, ok := n.run(30*time.Second, n.agree)
	t.Log("join", took, ok)
	c.Assert(ok, qt.IsTrue)
	n.run(10*time.Second, nil)
	c.Assert(n.agree(), qt.IsTrue)
	n.node("a2").dead = true
	took, ok = n.run(30*time.Second, func() bool { return n.unused("a2") })
	t.Log("dead", took, ok)
	n.node("b1").Publish("lists", 3, make([]byte, 5000))
	took, ok = n.run(30*time.Second, func() bool { return n.know("lists", 3) == 6 })
	t.Log("fact", took, ok)
	n.node("a3").paused = true
	n.run(15*time.Second, nil)
	c.Assert(n.unused("a3"), qt.IsTrue)
	n.resume(n.node("a3"))
	took, ok = n.run(30*time.Second, n.agree)
	t.Log("resumed", took, ok)
	for _, v := range n.nodes {
		v.bytes = 0
	}
	n.run(60*time.Second, nil)
	for _, v := range n.nodes {
		t.Log(v.name, v.Relay(), v.bytes/60)
	}
}
