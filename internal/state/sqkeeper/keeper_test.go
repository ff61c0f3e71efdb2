package sqkeeper

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "5000")
	flag.Parse()
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

func member(i, incarnation int) Member {
	return Member{Daemon: sqid.DaemonID(fmt.Sprintf("d%d", i)), Incarnation: sqid.Incarnation(incarnation)}
}

// model simulates the daemons of one data centre, with one machine for each
// incarnation. Messages between daemons and answers of the platform arrive
// late, twice or never.
type model struct {
	now          time.Time
	machines     []*Machine // the newest incarnation of each daemon
	platform     *Record
	messages     []func()
	incarnations int
}

func newModel(n int) *model {
	m := &model{now: start}
	for i := range n {
		m.machines = append(m.machines, &Machine{Self: member(i, 1), Timing: DefaultTiming()})
	}
	m.incarnations = 1
	m.platform = FirstRecord("dc", m.machines[0].Self, SharesSet{}, SharesSet{Epoch: 1, DataCentres: []sqid.DataCentreID{"dc"}})
	m.machines[0].Adopt(m.platform, m.now)
	m.machines[0].NotePlatformRead(1, m.now, m.now)
	return m
}

// send queues a message; f is called each time it is delivered.
func (m *model) send(f func()) {
	m.messages = append(m.messages, f)
}

// read reads the platform's record now; the answer arrives later.
func (m *model) read(k *Machine) {
	sent, r := m.now, m.platform
	m.send(func() {
		k.Adopt(r, m.now)
		k.NotePlatformRead(r.Epoch, sent, m.now)
	})
}

// ask asks the newest incarnation of a daemon for its epoch.
func (m *model) ask(k *Machine, of int) {
	sent, attached := m.now, k.Record()
	m.send(func() {
		w := m.machines[of]
		if attached != nil {
			w.Adopt(attached, m.now)
		}
		epoch, known := w.Epoch(), w.Record()
		m.send(func() {
			if known != nil {
				k.Adopt(known, m.now)
			}
			k.NoteAnswer(w.Self, epoch, sent, m.now)
		})
	})
}

// change writes the next record, unless the platform has a newer one than k. If
// lost is set, k does not learn that its write succeeded.
func (m *model) change(k *Machine, alive []Member, lost bool) {
	if k.Epoch() != m.platform.Epoch {
		return
	}
	next, ok := m.platform.Next(Changes{Alive: alive, Closed: func(e EarlierRoster) bool { return k.Closed(e, m.now) }})
	if ok {
		m.write(k, next, lost)
	}
}

// write stores the next record; k adopts it unless the answer is lost.
func (m *model) write(k *Machine, next *Record, lost bool) {
	m.platform = next
	if !lost {
		k.Adopt(next, m.now)
		k.NotePlatformRead(next.Epoch, m.now, m.now)
	}
}

// give hands shard 0 over to another daemon.
func (m *model) give(k *Machine, to Member, leave, stateLost bool) {
	if k.Epoch() != m.platform.Epoch || !k.MaySpend(0, m.now) {
		return
	}
	k.Release(0)
	for _, o := range m.machines {
		if o.Self.Is(to) && !stateLost {
			o.NoteHandover(0, k.Since(0))
		}
	}
	if next, ok := m.platform.HandOver(k.Self, map[sqid.ShardID]Member{0: to}, leave, func(e EarlierRoster) bool { return k.Closed(e, m.now) }); ok {
		m.write(k, next, false)
	}
}

func (m *model) restart(i int) {
	m.incarnations++
	m.machines[i] = &Machine{Self: member(i, m.incarnations), Timing: DefaultTiming()}
}

// keepers returns how many daemons keep shard 0, and how many would if keeping
// needed no fresh evidence.
func (m *model) keepers() (fenced, unfenced int) {
	for _, k := range m.machines {
		if k.MaySpend(0, m.now) {
			fenced++
		}
		if from, ok := k.SpendFrom(0); ok && !m.now.Before(from) {
			unfenced++
		}
	}
	return fenced, unfenced
}

func (m *model) step(t *rapid.T) {
	i := rapid.IntRange(0, len(m.machines)-1).Draw(t, "daemon")
	o := rapid.IntRange(0, len(m.machines)-1).Draw(t, "other")
	k := m.machines[i]
	switch rapid.SampledFrom([]string{"wait", "wait", "read", "ask", "ask", "ask", "deliver", "deliver", "deliver", "deliver", "change", "change", "give", "restart", "tick"}).Draw(t, "action") {
	case "wait":
		m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 300, 900, 2100, 4200, 700000}).Draw(t, "ms")) * time.Millisecond)
	case "read":
		m.read(k)
	case "ask":
		m.ask(k, o)
	case "deliver":
		if len(m.messages) > 0 {
			j := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
			f := m.messages[j]
			if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
				m.messages = slices.Delete(m.messages, j, j+1)
			}
			f()
		}
	case "change":
		var alive []Member
		for j, a := range m.machines {
			if j == i || rapid.Bool().Draw(t, "alive") {
				alive = append(alive, a.Self)
			}
		}
		m.change(k, alive, rapid.IntRange(0, 3).Draw(t, "lost") == 0)
	case "give":
		if o != i {
			m.give(k, m.machines[o].Self, rapid.Bool().Draw(t, "leave"), rapid.Bool().Draw(t, "stateLost"))
		}
	case "restart":
		m.restart(i)
	case "tick":
		k.Tick(m.now)
	}
}

// TestOneKeeperAtATime runs random steps and checks that two daemons never keep
// a shard at once. It also checks that the steps reach states in which two
// would do so without the need for fresh evidence.
func TestOneKeeperAtATime(t *testing.T) {
	broken, moved := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(1, 5).Draw(t, "daemons"))
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.step(t)
			fenced, unfenced := m.keepers()
			if fenced > 1 {
				t.Fatalf("%d keepers", fenced)
			}
			if unfenced > 1 {
				broken++
			}
			if fenced == 1 && m.platform.Assignments[0].Since > 1 {
				moved++
			}
		}
	})
	t.Logf("two keepers without evidence at %d steps, one keeper after a move at %d", broken, moved)
	qt.Check(t, broken > 0 && moved > 1000, qt.IsTrue)
}

// newFullRoster returns a model whose record has all daemons in the roster and
// the first as keeper of shard 0.
func newFullRoster(n int) *model {
	m := newModel(n)
	if n > 1 {
		var all []Member
		for _, k := range m.machines {
			all = append(all, k.Self)
		}
		m.change(m.machines[0], all, false)
	}
	for _, k := range m.machines {
		k.Adopt(m.platform, m.now)
	}
	m.now = m.now.Add(time.Minute)
	m.machines[0].NotePlatformRead(m.platform.Epoch, m.now, m.now)
	return m
}

// TestRosters checks, for each size of roster and without reads of the
// platform, how many witnesses a keeper needs to go on. It also checks how many
// members must know of a newer epoch to close the roster.
func TestRosters(t *testing.T) {
	for _, tc := range []struct{ size, witnesses, blocking int }{{2, 1, 1}, {3, 1, 2}, {4, 2, 2}, {5, 2, 3}} {
		c := qt.New(t)
		m := newFullRoster(tc.size)
		k := m.machines[0]
		c.Check(k.Record().Roster.Blocking(), qt.Equals, tc.blocking)
		for answers := range tc.witnesses + 1 {
			m.now = m.now.Add(time.Minute)
			c.Check(k.MaySpend(0, m.now), qt.IsFalse)
			for _, w := range m.machines[1 : answers+1] {
				k.NoteAnswer(w.Self, w.Epoch(), m.now, m.now)
			}
			c.Check(k.MaySpend(0, m.now), qt.Equals, answers == tc.witnesses, qt.Commentf("%d of %d", answers, tc.size))
		}
		m.now = m.now.Add(k.Timing.EvidenceLifetime)
		c.Check(k.MaySpend(0, m.now), qt.IsFalse)
	}
}

// TestRosterOfOne checks that the keeper in a roster of one goes on for
// SoloLifetime without the platform. Another daemon must wait for SoloLifetime
// before it takes over; the next incarnation of the same daemon need not.
func TestRosterOfOne(t *testing.T) {
	c := qt.New(t)
	m := newFullRoster(1)
	k := m.machines[0]
	c.Check(k.MaySpend(0, m.now.Add(k.Timing.SoloLifetime-time.Second)), qt.IsTrue)
	c.Check(k.MaySpend(0, m.now.Add(k.Timing.SoloLifetime)), qt.IsFalse)
	for _, next := range []Member{member(0, 2), member(1, 1)} {
		s := &Machine{Self: next, Timing: DefaultTiming()}
		r, ok := m.platform.Next(Changes{Alive: []Member{next}, Closed: func(EarlierRoster) bool { return false }})
		c.Assert(ok, qt.IsTrue)
		s.Adopt(r, m.now)
		wait := s.Timing.takeoverDelay()
		if next.Daemon != k.Self.Daemon {
			wait += s.Timing.SoloLifetime + s.Timing.MaxDrift
			s.Tick(m.now.Add(s.Timing.SoloLifetime + s.Timing.MaxDrift))
		}
		at := m.now.Add(wait)
		s.NotePlatformRead(r.Epoch, at, at)
		c.Check(s.MaySpend(0, at.Add(-1)), qt.IsFalse)
		c.Check(s.MaySpend(0, at), qt.IsTrue)
	}
}

// TestPause checks that a daemon drops its evidence, however recent, when it
// finds that its process was paused.
func TestPause(t *testing.T) {
	c := qt.New(t)
	m := newFullRoster(3)
	k := m.machines[0]
	k.Tick(m.now)
	c.Check(k.MaySpend(0, m.now.Add(k.Timing.MaxTickGap)), qt.IsTrue)
	k.Tick(m.now.Add(k.Timing.MaxTickGap + time.Millisecond))
	c.Check(k.MaySpend(0, m.now.Add(k.Timing.MaxTickGap+time.Millisecond)), qt.IsFalse)
}

// TestDecodeRejectsUnusableRecords decodes records that another writer may have left. One
// that is accepted can be used and changed without a panic.
func TestDecodeRejectsUnusableRecords(t *testing.T) {
	set := SharesSet{Epoch: 1, DataCentres: []sqid.DataCentreID{"dc"}}
	whole := FirstRecord("dc", member(1, 1), SharesSet{}, set)
	for name, spoil := range map[string]func(r *Record){
		"no shares":                 func(r *Record) { r.Shares = nil },
		"no roster":                 func(r *Record) { r.Roster = nil },
		"keeper outside the roster": func(r *Record) { r.Assignments[3].Keeper = 7 },
		"negative keeper":           func(r *Record) { r.Assignments[3].Keeper = -1 },
		"backup outside the roster": func(r *Record) { r.Assignments[3].Backup = 9 },
		"epoch 0":                   func(r *Record) { r.Epoch = 0 },
	} {
		r := *whole
		spoil(&r)
		_, err := Decode(r.Encode())
		qt.Check(t, err, qt.Not(qt.IsNil), qt.Commentf("%s", name))
	}
	r, err := Decode(whole.Encode())
	qt.Assert(t, err, qt.IsNil)
	r.Next(Changes{Alive: Roster{member(1, 1)}, Closed: func(EarlierRoster) bool { return true }, Shares: set})
}
