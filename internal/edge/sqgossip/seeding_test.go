package sqgossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"golang.org/x/tools/txtar"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqstore"
	"github.com/sequoiatack/sequoiatack/internal/state/sqmember"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

// TestPlanSeeds runs the cases of testdata/seeds.txtar: what a record holds
// and who is alive, and what it should hold then.
func TestPlanSeeds(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "seeds.txtar"))
	qt.Assert(t, err, qt.IsNil)
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			c := qt.New(t)
			fields := make(map[string][]string)
			for line := range strings.Lines(string(f.Data)) {
				words := strings.Fields(line)
				fields[words[0]] = words[1:]
			}
			plan, change := planSeeds(fields["held"], fields["alive"])
			if self := fields["alone"]; self != nil {
				plan, change = planAlone(fields["held"], self[0])
			}
			c.Assert(strings.Join(plan, " "), qt.Equals, strings.Join(fields["plan"], " "))
			c.Assert(change, qt.Equals, strings.Join(fields["plan"], " ") != strings.Join(fields["held"], " "))
		})
	}
}

func lone(name, address string) *sqmember.Member {
	return &sqmember.Member{
		Fleet: "test", Rand: rand.New(rand.NewPCG(1, 1)),
		Local: sqmember.Row{ID: sqid.DaemonID(name), DataCentre: "a", PeerAddress: address, Incarnation: 1},
	}
}

// introduce has member know n daemons of its data centre.
func introduce(c *qt.C, member *sqmember.Member, n int) {
	now := time.Unix(1, 0)
	req := member.Join(now, []string{"127.0.0.1:1"})[0].Exchange
	for i := range n {
		address := fmt.Sprintf("127.0.0.1:%d", 7000+i)
		req.Rows = append(req.Rows, &sqmemberwire.Row{
			Daemon: fmt.Sprintf("d%d", i), DataCentre: "a", PeerAddress: address, Incarnation: 1, Version: 1,
		})
	}
	member.HandleExchange(now, req)
	c.Assert(len(member.Alive("a")), qt.Equals, n+1)
}

// TestSeedRecord shows what watchers ask of the platform: little, and nothing
// more while nothing changes, in an outage as well.
func TestSeedRecord(t *testing.T) {
	c := qt.New(t)
	var store sqstore.Store
	ctx := context.Background()
	m := lone("self13", "127.0.0.1:6999")
	s := &Seeding{Member: m, Store: store.Platform(), Logger: logr.Discard()}
	now := time.Unix(100, 0)
	look := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(lookPeriod) {
			s.look(ctx, now)
		}
	}
	record := func() []string {
		r, err := store.Platform().Get(ctx, SeedPrefix+"a")
		c.Assert(err, qt.IsNil)
		return parseSeeds(r.Value).Peers
	}

	look(10 * time.Second)
	c.Assert(record(), qt.DeepEquals, []string{"127.0.0.1:6999"})
	introduce(c, m, 40)
	c.Assert(m.IsWatcher(), qt.IsTrue)
	// The answer of the write is lost; the record is read back.
	store.SetFaults(sqstore.Faults{LoseAnswers: 1})
	look(30 * time.Second)
	c.Assert(record(), qt.HasLen, seedsMost)

	before := store.Counts()
	look(10 * time.Minute)
	after := store.Counts()
	c.Check(after.Swap, qt.Equals, before.Swap)
	c.Check(after.Total()-before.Total() <= 11, qt.IsTrue, qt.Commentf("calls %d", after.Total()-before.Total()))

	store.SetFaults(sqstore.Faults{Down: true})
	before = store.Counts()
	look(10 * time.Minute)
	after = store.Counts()
	c.Check(after.Total()-before.Total() <= 61, qt.IsTrue, qt.Commentf("calls %d", after.Total()-before.Total()))
}

// TestPlatformSeeds starts daemons that know no other while the platform is
// out; they find each other once it is back.
func TestPlatformSeeds(t *testing.T) {
	c := qt.New(t)
	var store sqstore.Store
	store.SetFaults(sqstore.Faults{Down: true})
	var peers []*peer
	for _, name := range []string{"a1", "a2", "a3", "b1"} {
		peers = append(peers, startWith(c, name, name[:1], store.Platform()))
	}
	time.Sleep(500 * time.Millisecond)
	store.SetFaults(sqstore.Faults{})
	eventually(c, "all know all", func() bool {
		for _, p := range peers {
			if len(p.Member.Alive("a")) != 3 || len(p.Member.Alive("b")) != 1 {
				return false
			}
		}
		return true
	})
}

// TestFleetSizeReachesThoseTurnedAway has one daemon read the records and another be
// turned away by the platform: it hears of the fleet's size from the first.
func TestFleetSizeReachesThoseTurnedAway(t *testing.T) {
	c := qt.New(t)
	var store, away sqstore.Store
	away.SetFaults(sqstore.Faults{Down: true})
	ctx := t.Context()
	_, err := store.Platform().Swap(ctx, SeedPrefix+"b", 0, []byte(`{"peers":["127.0.0.1:1"],"members":40}`), 0)
	c.Assert(err, qt.IsNil)
	reader := startWith(c, "a1", "a", store.Platform())
	turned := startWith(c, "a2", "a", away.Platform(), reader.Address)
	eventually(c, "the size is known", func() bool { return turned.seeding.Fleet() >= 40 })
}
