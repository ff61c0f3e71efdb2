package sqcatalog

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/sequoiatack/sequoiatack/internal/base/sqtimer"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
)

// FactName is the name of the gossiped fact whose value is the catalog's record.
const FactName = "catalog"

// Parse decodes the record of a catalog. previous is the catalog in force, nil
// if there is none.
type Parse func(record []byte, previous *Catalog) (*Catalog, error)

// Holder holds the catalog in force; only one of a higher version replaces it.
// Its methods may be called concurrently.
type Holder struct {
	Parse  Parse
	Logger logr.Logger
	// Publish sends a record that has come into force to the other daemons; it
	// may be nil.
	Publish func(v Version, record []byte)

	mu      sync.Mutex // serializes replacements of current
	current atomic.Pointer[Catalog]
}

// Catalog returns the catalog in force, nil if there is none yet.
func (h *Holder) Catalog() *Catalog { return h.current.Load() }

// Apply puts the catalog of a record in force if its version is higher than the
// current one, and reports whether it did. source names the record's origin in
// the log. An invalid record changes nothing.
func (h *Holder) Apply(record []byte, source string) bool {
	c := h.replace(record, source)
	if c == nil {
		return false
	}
	// Publish may call Apply with the same record, so h.mu must not be held.
	if h.Publish != nil {
		h.Publish(c.Version, record)
	}
	return true
}

// replace puts the catalog of a record in force and returns it, or returns nil
// if the record is invalid or not newer.
func (h *Holder) replace(record []byte, source string) *Catalog {
	h.mu.Lock()
	defer h.mu.Unlock()
	previous := h.Catalog()
	c, err := h.Parse(record, previous)
	if err != nil {
		h.Logger.Error(err, "invalid catalog record", "source", source, "bytes", len(record))
		return nil
	}
	if previous != nil && c.Version <= previous.Version {
		return nil
	}
	h.current.Store(c)
	h.Logger.Info("catalog in force", "version", c.Version, "source", source, "bytes", len(record))
	return c
}

const (
	// retryDelay is the mean delay after a failed call. It is about a tenth of
	// the time within which a change must be in force.
	retryDelay = 250 * time.Millisecond
	// maxRetryDelay bounds the delay, which doubles while the store is
	// unavailable.
	maxRetryDelay = time.Second
	// pollPeriod is the mean time between two reads of a daemon that polls, if
	// there is one in its region or two. It is half of the time within which a
	// change must be in force; gossip needs the rest.
	pollPeriod = time.Second
	// gossipWait is how long a daemon that starts waits for the catalog from its
	// peers before it reads it itself.
	gossipWait = 1500 * time.Millisecond
	// checkPeriod is the time between two checks whether this daemon is to watch.
	checkPeriod = 100 * time.Millisecond
	// readTimeout bounds one read of the record.
	readTimeout = 2 * time.Second
)

// Follower keeps a Holder up to date with the record in the store.
type Follower struct {
	Store  sqkv.Store
	Key    string
	Holder *Holder
	Logger logr.Logger
	// Watching reports whether this daemon watches the record in the store; the
	// others get it by gossip.
	Watching func() bool
	// Polling reports whether this daemon also polls the record. A watch may
	// deliver nothing for seconds while the store compacts its history, so one
	// daemon of each data centre polls and the others get a change by gossip.
	// A nil Polling means never.
	Polling func() bool
	// Pollers is the number of daemons of the region that poll. Each polls the
	// less often the more there are.
	Pollers int

	// failing is whether the last attempt to follow the record failed.
	failing bool
}

// Run follows the record until ctx ends; it always returns nil.
func (f *Follower) Run(ctx context.Context) error {
	var polls sync.WaitGroup
	defer polls.Wait()
	polls.Go(func() { f.poll(ctx) })
	wait, started := retryDelay, time.Now()
	for ctx.Err() == nil {
		if !f.Watching() && (f.Holder.Catalog() != nil || time.Since(started) < gossipWait) {
			_ = sqtimer.Sleep(ctx, checkPeriod)
			continue
		}
		began := time.Now()
		err := f.follow(ctx)
		f.Logger.Info("catalog watch ended", "lasted", time.Since(began).String(), "error", err.Error())
		f.logTransition(ctx, err)
		if time.Since(began) > maxRetryDelay {
			wait = retryDelay
		}
		_ = sqtimer.Sleep(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, maxRetryDelay)
	}
	return nil
}

// errNotWatcher ends the watch of a daemon that is no longer to watch.
var errNotWatcher = errors.New("others watch")

// whileWatching returns a context that ends once this daemon is not to watch for two
// checks in a row.
func (f *Follower) whileWatching(ctx context.Context) (context.Context, context.CancelFunc) {
	watching, cancel := context.WithCancelCause(ctx)
	go func() {
		for idle := 0; idle < 2; {
			if sqtimer.Sleep(watching, maxRetryDelay) != nil {
				return
			}
			if idle++; f.Watching() {
				idle = 0
			}
		}
		cancel(errNotWatcher)
	}()
	return watching, func() { cancel(context.Canceled) }
}

// poll reads the record every pollPeriod on average while Polling is true, and less often
// if several daemons of the region do.
func (f *Follower) poll(ctx context.Context) {
	period := pollPeriod * time.Duration(max(1, f.Pollers-1))
	for sqtimer.Sleep(ctx, period/2+rand.N(period)) == nil {
		if f.Polling == nil || !f.Polling() {
			continue
		}
		reading, cancel := context.WithTimeout(ctx, readTimeout)
		r, err := f.Store.Get(reading, f.Key)
		cancel()
		if err != nil {
			f.Logger.V(1).Info("catalog poll failed", "error", err.Error())
			continue
		}
		f.apply(r)
	}
}

// follow reads the record, then watches it until the watch fails or ctx ends;
// its error is never nil.
func (f *Follower) follow(ctx context.Context) error {
	reading, cancel := context.WithTimeout(ctx, readTimeout)
	records, version, err := f.Store.List(reading, f.Key)
	cancel()
	if err != nil {
		return errors.Wrap(err, "read catalog")
	}
	for _, r := range records {
		f.apply(r)
	}
	f.logTransition(ctx, nil)
	watching, stop := f.whileWatching(ctx)
	defer stop()
	err = f.Store.Watch(watching, f.Key, version, func(e sqkv.Event) error {
		f.apply(e.Record)
		return nil
	})
	if cause := context.Cause(watching); errors.Is(cause, errNotWatcher) {
		err = cause
	}
	return errors.Wrap(err, "watch catalog")
}

func (f *Follower) apply(r sqkv.Record) {
	if r.Key == f.Key && len(r.Value) > 0 {
		f.Holder.Apply(r.Value, "store")
	}
}

// logTransition logs when following the record starts to fail and when it works
// again. A compacted version is no failure: the record is read anew.
func (f *Follower) logTransition(ctx context.Context, err error) {
	switch {
	case err == nil && f.failing:
		f.failing = false
		f.Logger.Info("catalog is followed again")
	case err != nil && !f.failing && ctx.Err() == nil && !errors.Is(err, sqkv.ErrCompacted) && !errors.Is(err, errNotWatcher):
		f.failing = true
		f.Logger.Info("catalog can't be followed", "error", err.Error())
	}
}
