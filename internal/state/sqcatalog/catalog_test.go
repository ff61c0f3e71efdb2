package sqcatalog

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
)

// TestPartsKeepToTheirWeights checks that any hundred requests in a row are
// divided by the weights exactly, even across a catalog change that adds another
// route.
func TestPartsKeepToTheirWeights(t *testing.T) {
	parts := []Part{{"a", 75}, {"b", 20}, {"c", 5}}
	b := Builder{Version: 1, Routes: []Route{{Host: "h", Prefix: "/", Timeout: time.Second, Parts: parts}}}
	c := b.Build(nil)
	var got []sqid.ServiceID
	for n := range 1000 {
		if n == 500 {
			b.Version = 2
			b.Routes = append([]Route{{Host: "h", Prefix: "/new/", Timeout: time.Second, Parts: parts[:1]}}, Route{Host: "h", Prefix: "/", Timeout: time.Second, Parts: parts})
			c = b.Build(c)
		}
		r, ok := c.Match("h", "/x")
		qt.Assert(t, ok, qt.IsTrue)
		got = append(got, r.PickService())
	}
	for from := 0; from+100 <= len(got); from++ {
		count := make(map[sqid.ServiceID]int)
		for _, s := range got[from : from+100] {
			count[s]++
		}
		qt.Assert(t, count, qt.DeepEquals, map[sqid.ServiceID]int{"a": 75, "b": 20, "c": 5}, qt.Commentf("from %d", from))
	}
}

// parseVersion parses a record that consists only of its version.
func parseVersion(record []byte, _ *Catalog) (*Catalog, error) {
	if len(record) != 1 || record[0] < '1' || record[0] > '9' {
		return nil, errors.New("no version")
	}
	return Builder{Version: Version(record[0] - '0')}.Build(nil), nil
}

// TestHolderNeverGoesBack checks that a lower version never replaces a higher
// one when records arrive late, twice, invalid or concurrently.
func TestHolderNeverGoesBack(t *testing.T) {
	var published []Version
	h := &Holder{Parse: parseVersion, Logger: logr.Discard(), Publish: func(v Version, _ []byte) { published = append(published, v) }}
	qt.Assert(t, h.Catalog(), qt.IsNil)
	for _, record := range []string{"3", "2", "3", "", "x", "5", "4"} {
		h.Apply([]byte(record), "test")
	}
	qt.Assert(t, h.Catalog().Version, qt.Equals, Version(5))
	qt.Assert(t, published, qt.DeepEquals, []Version{3, 5})

	h = &Holder{Parse: parseVersion, Logger: logr.Discard()}
	var wg sync.WaitGroup
	var newest atomic.Int64
	for _, record := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9"} {
		wg.Go(func() {
			h.Apply([]byte(record), "test")
			v := int64(h.Catalog().Version)
			for last := newest.Load(); v > last && !newest.CompareAndSwap(last, v); last = newest.Load() {
			}
		})
	}
	wg.Wait()
	qt.Assert(t, h.Catalog().Version, qt.Equals, Version(9))
}

// TestHolderPublishesOutsideItsLock guards against a deadlock: Publish may call
// Apply at once, as the membership does with a fact of this daemon.
func TestHolderPublishesOutsideItsLock(t *testing.T) {
	h := &Holder{Parse: parseVersion, Logger: logr.Discard()}
	h.Publish = func(_ Version, record []byte) { h.Apply(record, "peer") }
	done := make(chan struct{})
	go func() {
		h.Apply([]byte("1"), "store")
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the holder deadlocked on its own lock")
	}
}

// silentStore is a store whose watches never deliver an event.
type silentStore struct {
	sqkv.Store
	record atomic.Value
	gets   atomic.Int64
	// watches is the number of watches that wait.
	watches atomic.Int64
}

func (s *silentStore) Get(_ context.Context, key string) (sqkv.Record, error) {
	s.gets.Add(1)
	return sqkv.Record{Key: key, Value: []byte(s.record.Load().(string))}, nil
}

func (s *silentStore) List(ctx context.Context, key string) ([]sqkv.Record, sqkv.Version, error) {
	r, err := s.Get(ctx, key)
	return []sqkv.Record{r}, 1, err
}

func (s *silentStore) Watch(ctx context.Context, _ string, _ sqkv.Version, _ func(sqkv.Event) error) error {
	s.watches.Add(1)
	defer s.watches.Add(-1)
	<-ctx.Done()
	return ctx.Err()
}

// TestPollsWhileWatchesAreSilent covers a store whose watches deliver nothing, as
// while it compacts its history. The daemon that polls must still have each
// change within two seconds, at no more than two calls a second.
func TestPollsWhileWatchesAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(silentStore)
		store.record.Store("1")
		h := &Holder{Parse: parseVersion, Logger: logr.Discard()}
		f := &Follower{
			Store: store, Key: "k", Holder: h, Logger: logr.Discard(),
			Watching: func() bool { return true }, Polling: func() bool { return true },
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- f.Run(ctx) }()
		for v := Version(2); v <= 6; v++ {
			time.Sleep(3 * time.Second)
			store.record.Store(string([]byte{'0' + byte(v)}))
			changed := time.Now()
			for h.Catalog().Version < v {
				time.Sleep(10 * time.Millisecond)
				qt.Assert(t, time.Since(changed) < 2*time.Second, qt.IsTrue, qt.Commentf("version %d", v))
			}
		}
		qt.Assert(t, store.gets.Load() <= 40, qt.IsTrue, qt.Commentf("%d calls", store.gets.Load()))
		cancel()
		qt.Assert(t, <-done, qt.IsNil)
	})
}

// TestWatchEndsWithTheRole ends the watch of a daemon that is no longer to watch, so that
// in a large fleet the daemons that all watched at its start don't go on.
func TestWatchEndsWithTheRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(silentStore)
		store.record.Store("1")
		var watching atomic.Bool
		f := &Follower{
			Store: store, Key: "k", Holder: &Holder{Parse: parseVersion, Logger: logr.Discard()}, Logger: logr.Discard(),
			Watching: watching.Load,
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- f.Run(ctx) }()
		// A daemon that isn't to watch leaves the catalog to its peers for a while, and
		// then reads it itself.
		time.Sleep(gossipWait / 2)
		qt.Assert(t, store.gets.Load(), qt.Equals, int64(0))
		time.Sleep(gossipWait)
		qt.Assert(t, f.Holder.Catalog(), qt.Not(qt.IsNil))
		time.Sleep(10 * time.Second)
		qt.Assert(t, store.watches.Load(), qt.Equals, int64(0))
		watching.Store(true)
		time.Sleep(time.Second)
		qt.Assert(t, store.watches.Load(), qt.Equals, int64(1))
		cancel()
		qt.Assert(t, <-done, qt.IsNil)
	})
}
