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

// TestPlanSeeds runs the cases of testdata/seeds.txtar: the addresses in a record, the
// live daemons, and the addresses that the record should hold.
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

// newMember returns the member of a daemon that knows no other.
func newMember(name, address string) *sqmember.Member {
	return &sqmember.Member{
		Fleet: "test", Rand: rand.New(rand.NewPCG(1, 1)),
		Local: sqmember.Row{ID: sqid.DaemonID(name), DataCentre: "a", PeerAddress: address, Incarnation: 1},
	}
}

// addMembers makes n daemons of its data centre known to member.
func addMembers(c *qt.C, member *sqmember.Member, n int) {
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

// TestSeedRecord checks that a watcher makes few requests to the platform: no writes
// while nothing changes, and no burst of retries in an outage.
func TestSeedRecord(t *testing.T) {
	c := qt.New(t)
	var store sqstore.Store
	ctx := context.Background()
	m := newMember("self13", "127.0.0.1:6999")
	s := &SeedRecords{Member: m, Store: store.Platform(), Logger: logr.Discard()}
	now := time.Unix(100, 0)
	check := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(checkPeriod) {
			s.check(ctx, now)
		}
	}
	record := func() []string {
		r, err := store.Platform().Get(ctx, SeedPrefix+"a")
		c.Assert(err, qt.IsNil)
		return parseSeeds(r.Value).Peers
	}

	check(10 * time.Second)
	c.Assert(record(), qt.DeepEquals, []string{"127.0.0.1:6999"})
	addMembers(c, m, 40)
	c.Assert(m.IsWatcher(), qt.IsTrue)
	// The answer to the write is lost, so the record is read again.
	store.SetFaults(sqstore.Faults{LoseAnswers: 1})
	check(30 * time.Second)
	c.Assert(record(), qt.HasLen, maxSeedPeers)

	before := store.Counts()
	check(10 * time.Minute)
	after := store.Counts()
	c.Check(after.Swap, qt.Equals, before.Swap)
	c.Check(after.Total()-before.Total() <= 11, qt.IsTrue, qt.Commentf("calls %d", after.Total()-before.Total()))

	store.SetFaults(sqstore.Faults{Down: true})
	before = store.Counts()
	check(10 * time.Minute)
	after = store.Counts()
	c.Check(after.Total()-before.Total() <= 61, qt.IsTrue, qt.Commentf("calls %d", after.Total()-before.Total()))
}

// TestPlatformSeeds starts daemons without seed addresses while the platform is
// unavailable. They find each other once it is available again.
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
	eventually(c, "all daemons know each other", func() bool {
		for _, p := range peers {
			if len(p.Member.Alive("a")) != 3 || len(p.Member.Alive("b")) != 1 {
				return false
			}
		}
		return true
	})
}

// TestFleetSizeSpreadsByGossip has one daemon read the seed records while the platform
// refuses another's requests. The second learns the fleet's size from the first.
func TestFleetSizeSpreadsByGossip(t *testing.T) {
	c := qt.New(t)
	var store, unavailable sqstore.Store
	unavailable.SetFaults(sqstore.Faults{Down: true})
	ctx := t.Context()
	_, err := store.Platform().Swap(ctx, SeedPrefix+"b", 0, []byte(`{"peers":["127.0.0.1:1"],"members":40}`), 0)
	c.Assert(err, qt.IsNil)
	reader := startWith(c, "a1", "a", store.Platform())
	refused := startWith(c, "a2", "a", unavailable.Platform(), reader.Address)
	eventually(c, "the fleet size is known", func() bool { return refused.seedRecords.FleetSize() >= 40 })
}

// TestSettledOnceRecordListsDaemons starts two daemons of one data centre at once. Each
// counts its record as settled only when it lists both, which takes less than the time of
// one check after the other.
func TestSettledOnceRecordListsDaemons(t *testing.T) {
	c := qt.New(t)
	var store sqstore.Store
	peers := []*peer{startWith(c, "a1", "a", store.Platform()), startWith(c, "a2", "a", store.Platform())}
	began := time.Now()
	for _, p := range peers {
		eventually(c, "the other daemon is known", func() bool { return len(p.Member.Alive("a")) == len(peers) })
		eventually(c, "the record is settled", p.seedRecords.Settled)
		r, err := store.Platform().Get(t.Context(), SeedPrefix+"a")
		c.Assert(err, qt.IsNil)
		c.Assert(parseSeeds(r.Value).Peers, qt.HasLen, len(peers))
	}
	c.Assert(time.Since(began) <= 2*time.Second, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
}

// TestOddSeedRecords parses what another writer may have left in a data centre's record. A
// record counts only with what can be used of it.
func TestOddSeedRecords(t *testing.T) {
	for name, c := range map[string]struct {
		value   string
		peers   []string
		members int
	}{
		"whole":                 {`{"peers":["10.0.0.1:7000"],"members":3}`, []string{"10.0.0.1:7000"}, 3},
		"a port out of range":   {`{"peers":["10.0.0.1:70000","10.0.0.2:7000"],"members":2}`, []string{"10.0.0.2:7000"}, 2},
		"a number too large":    {`{"peers":["10.0.0.1:7000"],"members":1e400}`, nil, 0},
		"too many members":      {`{"peers":["10.0.0.1:7000"],"members":9000000000000000000}`, []string{"10.0.0.1:7000"}, 1},
		"a negative number":     {`{"peers":["10.0.0.1:7000"],"members":-9}`, []string{"10.0.0.1:7000"}, 1},
		"very deeply nested":    {strings.Repeat("[", 1<<20) + strings.Repeat("]", 1<<20), nil, 0},
		"nested in a field":     {`{"peers":` + strings.Repeat(`{"a":`, 1<<16) + "1" + strings.Repeat("}", 1<<16) + "}", nil, 0},
		"another type":          {`{"peers":{"a":1},"members":"3"}`, nil, 0},
		"null":                  {`null`, nil, 0},
		"null for each field":   {`{"peers":null,"members":null}`, nil, 0},
		"not UTF-8":             {"{\"peers\":[\"\xff\xfe\"],\"members\":1}", nil, 1},
		"a field twice":         {`{"peers":["10.0.0.1:7000"],"peers":["10.0.0.2:7000"],"members":1}`, []string{"10.0.0.2:7000"}, 1},
		"a string of megabytes": {`{"peers":["` + strings.Repeat("9", 4<<20) + `"]}`, nil, 0},
		"empty":                 {``, nil, 0},
	} {
		r := parseSeeds([]byte(c.value))
		qt.Check(t, len(r.Peers), qt.Equals, len(c.peers), qt.Commentf("%s: %.60q", name, r.Peers))
		for i := range min(len(c.peers), len(r.Peers)) {
			qt.Check(t, r.Peers[i], qt.Equals, c.peers[i], qt.Commentf("%s", name))
		}
		qt.Check(t, r.Members, qt.Equals, c.members, qt.Commentf("%s", name))
	}
}
