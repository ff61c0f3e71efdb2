package sqplatform_test

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
	"github.com/sequoiatack/sequoiatack/internal/edge/sqplatform"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqstore"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
)

const (
	// shortTimeout is that of a caller who gives up on a slow platform.
	shortTimeout = 300 * time.Millisecond
	// failoverTimeout has to be waited for in part at a silent address.
	failoverTimeout = 2 * time.Second
	// callTimeout is never reached by a platform that answers.
	callTimeout = 30 * time.Second
)

// serve starts a stand-in on loopback until the test ends.
func serve(t *testing.T) *sqstore.Server {
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

func dial(t *testing.T, timeout time.Duration, addresses ...string) *sqplatform.Client {
	t.Helper()
	c := &sqplatform.Client{Addresses: addresses, Metrics: sqmetric.New(), CallTimeout: timeout}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestStore holds the client over loopback and the store in process to the
// same contract, with each fault.
func TestStore(t *testing.T) {
	t.Run("loopback", func(t *testing.T) {
		server := serve(t)
		testStore(t, dial(t, callTimeout, server.Address), server.Store)
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

// testWrites checks what is said of writes that are lost before and after
// they take effect, late, or overtaken.
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
		short, cancel := context.WithTimeout(ctx, shortTimeout)
		_, err := p.Swap(short, "a/1", version, []byte(f.name), 0)
		cancel()
		qt.Assert(t, err, qt.ErrorIs, sqkv.ErrUncertain, qt.Commentf(f.name))
		qt.Assert(t, store.Counts().Swap, qt.Equals, calls+1, qt.Commentf("%s: repeated blindly", f.name))
		store.SetFaults(sqstore.Faults{})
		got := eventually(t, p, "a/1", f.after)
		version = got.Version
	}
	qt.Assert(t, p.Delete(ctx, "a/1", version-1), qt.ErrorIs, sqkv.ErrConflict)
	qt.Assert(t, p.Delete(ctx, "a/1", version), qt.IsNil)
}

// eventually returns a key's record once it has a value.
func eventually(t *testing.T, p sqkv.Store, key, value string) sqkv.Record {
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

// testWatches checks order and deletions.
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
		word := e.Record.Key + "=" + string(e.Record.Value)
		if e.Deleted {
			qt.Check(t, e.Record.Value, qt.IsNil)
			word = "-" + e.Record.Key
		}
		if seen = append(seen, word); len(seen) == 4 {
			return done
		}
		return nil
	})
	qt.Assert(t, err, qt.ErrorIs, done)
	qt.Assert(t, strings.Join(seen, " "), qt.Equals, "w/1=1 -w/1 w/2=2 -w/2")
	testWatchEnds(t, p, store, start)
}

// testWatchEnds checks compaction, restored older state and a watch given up.
func testWatchEnds(t *testing.T, p sqkv.Store, store *sqstore.Store, start sqkv.Version) {
	ctx := t.Context()
	store.Compact()
	never := func(sqkv.Event) error { return errors.New("no event was due") }
	qt.Assert(t, p.Watch(ctx, "w/", start, never), qt.ErrorIs, sqkv.ErrCompacted)

	store.Save()
	v, err := p.Swap(ctx, "w/3", 0, []byte("3"), 0)
	qt.Assert(t, err, qt.IsNil)
	ended := make(chan error)
	go func() { ended <- p.Watch(ctx, "w/", v, never) }()
	awaitWatching(t, store, 1)
	store.Restore()
	qt.Assert(t, <-ended, qt.ErrorIs, sqkv.ErrUnavailable)
	r, err := p.Get(ctx, "w/3")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Version, qt.Equals, sqkv.Version(0))

	short, cancel := context.WithCancel(ctx)
	go func() { ended <- p.Watch(short, "w/", v, never) }()
	awaitWatching(t, store, 1)
	cancel()
	qt.Assert(t, <-ended, qt.ErrorIs, context.Canceled)
	awaitWatching(t, store, 0)
}

func awaitWatching(t *testing.T, store *sqstore.Store, n int) {
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

// testDown checks that nothing is claimed of a platform that does not answer,
// and that the client comes back with it.
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

// TestFailover has one address that refuses connections and one that takes
// them and never answers before the good one.
func TestFailover(t *testing.T) {
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, refusing.Close(), qt.IsNil)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer silent.Close()
	server := serve(t)

	c := dial(t, failoverTimeout, refusing.Addr().String(), silent.Addr().String(), server.Address)
	_, err = c.Swap(t.Context(), "k", 0, []byte("v"), 0)
	qt.Assert(t, err, qt.IsNil)
	r, err := c.Get(t.Context(), "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(r.Value), qt.Equals, "v")
	qt.Assert(t, counted(t, c, "get"), qt.Equals, 1.0)
	qt.Assert(t, counted(t, c, "swap"), qt.Equals, 1.0)

	c = dial(t, failoverTimeout, refusing.Addr().String(), silent.Addr().String())
	_, err = c.Swap(t.Context(), "k", 0, []byte("v"), 0)
	qt.Assert(t, err, qt.ErrorIs, sqkv.ErrUnavailable)
}

func counted(t *testing.T, c *sqplatform.Client, kind string) float64 {
	t.Helper()
	var m dto.Metric
	qt.Assert(t, c.Metrics.PlatformCalls.WithLabelValues(kind).Write(&m), qt.IsNil)
	return m.GetCounter().GetValue()
}
