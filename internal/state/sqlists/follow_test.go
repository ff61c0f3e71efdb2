package sqlists_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqstore"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// daemon is the part of a daemon that handles the lists.
type daemon struct {
	holder   *sqlists.Holder
	acceptor *sqlists.Acceptor
	facts    sync.Map // number of publications by name of the fact
	watching atomic.Bool
}

func (d *daemon) published(name string) int {
	n, _ := d.facts.Load(name)
	count, _ := n.(int)
	return count
}

// startDaemon runs a daemon's follower until the test ends.
func startDaemon(t *testing.T, store *sqstore.Store, watching bool) *daemon {
	d := &daemon{
		holder: &sqlists.Holder{Metrics: sqmetric.New()},
	}
	d.watching.Store(watching)
	d.acceptor = &sqlists.Acceptor{Store: store.Platform(), Holder: d.holder}
	f := &sqlists.Follower{
		Store: store.Platform(), Holder: d.holder, Repair: d.acceptor.Repair,
		Watching: func() bool { return d.watching.Load() },
		Publish: func(name string, _ uint64, _ []byte) {
			d.facts.Store(name, d.published(name)+1)
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	synctest.Wait()
	return d
}

// TestFollower checks that a watcher applies changes at once, that other daemons
// make no call to the platform, that a watcher has the accepted lists after an
// outage, and that evidence is published, but not too often.
func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &sqstore.Store{}
		idle := startDaemon(t, store, false)
		time.Sleep(time.Hour)
		qt.Assert(t, store.Counts().Total(), qt.Equals, 0)
		qt.Assert(t, idle.holder.Confirmed().IsZero(), qt.IsTrue)

		watcher := startDaemon(t, store, true)
		_, err := idle.acceptor.Put(t.Context(), sqlists.KindPlans, 0, []byte(onePlan))
		qt.Assert(t, err, qt.IsNil)
		synctest.Wait()
		qt.Assert(t, watcher.holder.Revision(), qt.Equals, idle.holder.Revision())
		qt.Assert(t, watcher.published(sqlists.FactLists), qt.Equals, 1)
		version, body := watcher.holder.Fact()
		joined := &sqlists.Holder{}
		joined.ApplyFact(version, body)
		qt.Assert(t, joined.Accepted(), qt.DeepEquals, watcher.holder.Accepted())

		time.Sleep(10 * time.Minute)
		synctest.Wait()
		age := time.Since(watcher.holder.Confirmed())
		qt.Assert(t, age < 15*time.Second, qt.IsTrue, qt.Commentf("age %v", age))
		qt.Assert(t, watcher.published(sqlists.FactEvidence) <= 21, qt.IsTrue)
		store.SetFaults(sqstore.Faults{Down: true})
		time.Sleep(10 * time.Minute)
		qt.Assert(t, time.Since(watcher.holder.Confirmed()) >= 10*time.Minute, qt.IsTrue)
		qt.Assert(t, watcher.holder.Revision(), qt.Equals, joined.Revision())

		store.SetFaults(sqstore.Faults{Delay: sqsettings.Span(50 * time.Millisecond)})
		revision, err := idle.acceptor.Put(t.Context(), sqlists.KindWorkspaces, 1, []byte(`[{"name":"w","plan":"p"}]`))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(2 * time.Second)
		qt.Assert(t, watcher.holder.Revision(), qt.Equals, revision)

		watcher.watching.Store(false)
		time.Sleep(2 * time.Second)
		calls := store.Counts()
		time.Sleep(time.Hour)
		qt.Assert(t, store.Counts(), qt.Equals, calls)
		qt.Assert(t, calls.Watching, qt.Equals, 0)
	})
}

// TestPlatformOlder restores an older state of the platform. Daemons must keep
// the newer lists, count the older ones as ignored and repair the platform, and
// further changes must continue from the newest revision.
func TestPlatformOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &sqstore.Store{}
		d := startDaemon(t, store, true)
		put := func(ifMatch int, body string) {
			_, err := d.acceptor.Put(t.Context(), sqlists.KindPlans, d.holder.Revision(), []byte(body))
			qt.Assert(t, err, qt.IsNil, qt.Commentf("%d", ifMatch))
		}
		put(0, onePlan)
		store.Save()
		put(1, `[]`)
		put(2, `[{"name":"p","rate":7,"burst":1}]`)
		held := d.holder.Accepted()

		store.Restore()
		before, _ := readAsNewDaemon(store.Platform())()
		qt.Assert(t, before, qt.Equals, held.Head.Revision-2, qt.Commentf("the restored state is not older"))
		time.Sleep(time.Minute)
		qt.Assert(t, d.holder.Accepted(), qt.Equals, held)
		qt.Assert(t, ignored(t, d.holder.Metrics, sqlists.IgnoredOlder) > 0, qt.IsTrue)
		repaired, _ := readAsNewDaemon(store.Platform())()
		qt.Assert(t, repaired, qt.Equals, held.Head.Revision)

		// Without a watcher, the next change repairs the platform.
		d.watching.Store(false)
		time.Sleep(2 * time.Second)
		store.Restore()
		put(3, onePlan)
		qt.Assert(t, d.holder.Revision(), qt.Equals, held.Head.Revision+1)
		after, _ := readAsNewDaemon(store.Platform())()
		qt.Assert(t, after, qt.Equals, held.Head.Revision+1)
	})
}

// TestBodiesAreRemoved checks that bodies are deleted from the platform once the
// head no longer references them.
func TestBodiesAreRemoved(t *testing.T) {
	store := &sqstore.Store{}
	a := &sqlists.Acceptor{Store: store.Platform(), Holder: &sqlists.Holder{}}
	for i, body := range []string{`[]`, onePlan, `[]`, `[]`} {
		revision, err := a.Put(t.Context(), sqlists.KindPlans, a.Holder.Revision(), []byte(body))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, int(revision), qt.Equals, i+1)
		bodies, _, err := store.Platform().List(t.Context(), "sequoiatack/lists/body/")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(bodies) <= 2, qt.IsTrue, qt.Commentf("%d bodies", len(bodies)))
	}
}
