package sqetcd_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	dto "github.com/prometheus/client_model/go"

	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqetcd"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqstore"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
)

const (
	// shortTimeout is the timeout of a caller that does not wait for a slow platform.
	shortTimeout = 300 * time.Millisecond
	// failoverTimeout is spent in part on waiting for an address that does not answer.
	failoverTimeout = 2 * time.Second
	// callTimeout is longer than any call takes while the platform answers.
	callTimeout = 30 * time.Second
)

// startServer runs a stand-in of the platform on loopback until the test ends.
func startServer(t *testing.T) *sqstore.Server {
	t.Helper()
	server := &sqstore.Server{Address: "127.0.0.1:0"}
	qt.Assert(t, server.Listen(), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return server
}

func newClient(t *testing.T, timeout time.Duration, addresses ...string) *sqetcd.Client {
	t.Helper()
	c := &sqetcd.Client{Addresses: addresses, Metrics: sqmetric.New(), CallTimeout: timeout}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestStore checks that the client over loopback and the in-process store fulfil the
// same contract, also with each fault.
func TestStore(t *testing.T) {
	t.Run("loopback", func(t *testing.T) {
		server := startServer(t)
		testStore(t, newClient(t, callTimeout, server.Address), server.Store)
	})
	t.Run("inProcess", func(t *testing.T) {
		store := &sqstore.Store{}
		testStore(t, store.Platform(), store)
	})
}

func testStore(t *testing.T, p sqkv.Store, store *sqstore.Store) {
	ctx := t.Context()
	absent, err := p.Get(ctx, "a/1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, absent, qt.DeepEquals, sqkv.Record{Key: "a/1"})

	first, err := p.Swap(ctx, "a/1", 0, []byte("x"), 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = p.Swap(ctx, "a/1", 0, []byte("y"), 0)
	qt.Assert(t, err, qt.ErrorIs, sqkv.ErrConflict)
	second, err := p.Swap(ctx, "a/1", first, []byte("z"), 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = p.Swap(ctx, "a/2", 0, []byte("w"), 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = p.Swap(ctx, "b", 0, nil, 0)
	qt.Assert(t, err, qt.IsNil)
	records, version, err := p.List(ctx, "a/")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, version, qt.Equals, second+2)
	qt.Assert(t, records, qt.DeepEquals, []sqkv.Record{
		{Key: "a/1", Value: []byte("z"), Version: second},
		{Key: "a/2", Value: []byte("w"), Version: second + 1},
	})

	testWrites(t, p, store, second)
	testWatches(t, p, store)
	testLeases(t, p)
	testDown(t, p, store)
}

// testWrites checks the errors of writes that are lost before or after they take
// effect, are delayed, or expect an old version.
func testWrites(t *testing.T, p sqkv.Store, store *sqstore.Store, version sqkv.Version) {
	ctx := t.Context()
	for _, f := range []struct {
		name   string
		faults sqstore.Faults
		after  string
	}{
		{"answer lost", sqstore.Faults{LoseAnswers: 1}, "answer lost"},
		{"write lost", sqstore.Faults{LoseWrites: 1}, "answer lost"},
		{"late", sqstore.Faults{Delay: sqsettings.Span(2 * shortTimeout)}, "late"},
	} {
		store.SetFaults(f.faults)
		calls := store.Counts().Swap
		shortCtx, cancel := context.WithTimeout(ctx, shortTimeout)
		_, err := p.Swap(shortCtx, "a/1", version, []byte(f.name), 0)
		cancel()
		qt.Assert(t, err, qt.ErrorIs, sqkv.ErrUncertain, qt.Commentf(f.name))
		qt.Assert(t, store.Counts().Swap, qt.Equals, calls+1, qt.Commentf("%s: write was repeated", f.name))
		store.SetFaults(sqstore.Faults{})
		got := waitForValue(t, p, "a/1", f.after)
		version = got.Version
	}
	qt.Assert(t, p.Delete(ctx, "a/1", version-1), qt.ErrorIs, sqkv.ErrConflict)
	qt.Assert(t, p.Delete(ctx, "a/1", version), qt.IsNil)
}

// waitForValue waits until a key has the given value, and returns its record.
func waitForValue(t *testing.T, p sqkv.Store, key, value string) sqkv.Record {
	t.Helper()
	for range 200 {
		r, err := p.Get(t.Context(), key)
		qt.Assert(t, err, qt.IsNil)
		if string(r.Value) == value {
			return r
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s is not %q", key, value)
	return sqkv.Record{}
}

// testWatches checks the order of events and the events of deletions.
func testWatches(t *testing.T, p sqkv.Store, store *sqstore.Store) {
	ctx := t.Context()
	_, start, err := p.List(ctx, "w/")
	qt.Assert(t, err, qt.IsNil)
	done := errors.New("done")
	var seen []string
	write := func() {
		v, err := p.Swap(ctx, "w/1", 0, []byte("1"), 0)
		qt.Check(t, err, qt.IsNil)
		_, err = p.Swap(ctx, "other", 0, []byte("1"), 0)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, p.Delete(ctx, "w/1", v), qt.IsNil)
		v, err = p.Swap(ctx, "w/2", 0, []byte("2"), 0)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, p.Delete(ctx, "w/2", v), qt.IsNil)
	}
	go write()
	err = p.Watch(ctx, "w/", start, func(e sqkv.Event) error {
		change := e.Record.Key + "=" + string(e.Record.Value)
		if e.Deleted {
			qt.Check(t, e.Record.Value, qt.IsNil)
			change = "-" + e.Record.Key
		}
		if seen = append(seen, change); len(seen) == 4 {
			return done
		}
		return nil
	})
	qt.Assert(t, err, qt.ErrorIs, done)
	qt.Assert(t, strings.Join(seen, " "), qt.Equals, "w/1=1 -w/1 w/2=2 -w/2")
	testWatchEnds(t, p, store, start)
}

// testWatchEnds checks how a watch ends after a compaction, after the store was restored
// to an older state, and when its context is cancelled.
func testWatchEnds(t *testing.T, p sqkv.Store, store *sqstore.Store, start sqkv.Version) {
	ctx := t.Context()
	store.Compact()
	unexpected := func(sqkv.Event) error { return errors.New("unexpected event") }
	qt.Assert(t, p.Watch(ctx, "w/", start, unexpected), qt.ErrorIs, sqkv.ErrCompacted)

	store.Save()
	v, err := p.Swap(ctx, "w/3", 0, []byte("3"), 0)
	qt.Assert(t, err, qt.IsNil)
	ended := make(chan error)
	go func() { ended <- p.Watch(ctx, "w/", v, unexpected) }()
	waitForWatches(t, store, 1)
	store.Restore()
	qt.Assert(t, <-ended, qt.ErrorIs, sqkv.ErrUnavailable)
	r, err := p.Get(ctx, "w/3")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Version, qt.Equals, sqkv.Version(0))

	shortCtx, cancel := context.WithCancel(ctx)
	go func() { ended <- p.Watch(shortCtx, "w/", v, unexpected) }()
	waitForWatches(t, store, 1)
	cancel()
	qt.Assert(t, <-ended, qt.ErrorIs, context.Canceled)
	waitForWatches(t, store, 0)
}

func waitForWatches(t *testing.T, store *sqstore.Store, n int) {
	t.Helper()
	for store.Counts().Watching != n {
		time.Sleep(time.Millisecond)
		qt.Assert(t, t.Context().Err(), qt.IsNil)
	}
}

func testLeases(t *testing.T, p sqkv.Store) {
	ctx := t.Context()
	lease, err := p.Grant(ctx, 100*time.Second)
	qt.Assert(t, err, qt.IsNil)
	_, err = p.Swap(ctx, "leased", 0, []byte("1"), lease)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.Renew(ctx, lease), qt.IsNil)
	qt.Assert(t, p.Renew(ctx, lease+1000), qt.ErrorIs, sqkv.ErrLeaseEnded)
	_, err = p.Swap(ctx, "leased2", 0, []byte("1"), lease+1000)
	qt.Assert(t, err, qt.ErrorIs, sqkv.ErrLeaseEnded)
}

// testDown checks that calls fail as unavailable while the platform is down, and that
// the client recovers with it.
func testDown(t *testing.T, p sqkv.Store, store *sqstore.Store) {
	ctx := t.Context()
	ended := make(chan error)
	go func() { ended <- p.Watch(ctx, "w/", 0, func(sqkv.Event) error { return nil }) }()
	store.SetFaults(sqstore.Faults{Down: true})
	err := <-ended
	qt.Assert(t, errors.Is(err, sqkv.ErrUnavailable) || errors.Is(err, sqkv.ErrCompacted), qt.IsTrue, qt.Commentf("%v", err))
	_, err = p.Get(ctx, "a/2")
	qt.Assert(t, err, qt.ErrorIs, sqkv.ErrUnavailable)
	_, err = p.Swap(ctx, "a/9", 0, nil, 0)
	qt.Assert(t, err, qt.ErrorIs, sqkv.ErrUnavailable)
	_, err = p.Grant(ctx, time.Second)
	qt.Assert(t, err, qt.ErrorIs, sqkv.ErrUnavailable)
	store.SetFaults(sqstore.Faults{})
	for range 500 {
		if _, err = p.Get(ctx, "a/2"); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, err, qt.IsNil)
}

// TestFailover checks that the client passes over an address that refuses connections
// and one that accepts them but never answers.
func TestFailover(t *testing.T) {
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, refusing.Close(), qt.IsNil)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer silent.Close()
	server := startServer(t)

	c := newClient(t, failoverTimeout, refusing.Addr().String(), silent.Addr().String(), server.Address)
	_, err = c.Swap(t.Context(), "k", 0, []byte("v"), 0)
	qt.Assert(t, err, qt.IsNil)
	r, err := c.Get(t.Context(), "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(r.Value), qt.Equals, "v")
	qt.Assert(t, callCount(t, c, "get"), qt.Equals, 1.0)
	qt.Assert(t, callCount(t, c, "swap"), qt.Equals, 1.0)

	c = newClient(t, failoverTimeout, refusing.Addr().String(), silent.Addr().String())
	_, err = c.Swap(t.Context(), "k", 0, []byte("v"), 0)
	qt.Assert(t, err, qt.ErrorIs, sqkv.ErrUnavailable)
}

func callCount(t *testing.T, c *sqetcd.Client, kind string) float64 {
	t.Helper()
	var m dto.Metric
	qt.Assert(t, c.Metrics.PlatformCalls.WithLabelValues(kind).Write(&m), qt.IsNil)
	return m.GetCounter().GetValue()
}
