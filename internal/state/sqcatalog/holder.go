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

// FactName is the fact by which daemons spread the record of the catalog.
const FactName = "catalog"

// Parse reads a record of a catalog. before is the one in force, nil if none.
type Parse func(record []byte, before *Catalog) (*Catalog, error)

// Holder has the catalog in force. Only a higher version replaces it.
type Holder struct {
	Parse  Parse
	Logger logr.Logger
	// Publish spreads a record that is newer than the one in force; nil spreads
	// nothing.
	Publish func(v Version, record []byte)

	mu      sync.Mutex
	current atomic.Pointer[Catalog]
}

// Catalog returns the catalog in force, nil before one is known.
func (h *Holder) Catalog() *Catalog { return h.current.Load() }

// Apply takes in a record that came from source; it reports whether its
// catalog is now in force. A record that can't be read changes nothing.
func (h *Holder) Apply(record []byte, source string) bool {
	c := h.replace(record, source)
	if c == nil {
		return false
	}
	// Publishing may come back here with the same record.
	if h.Publish != nil {
		h.Publish(c.Version, record)
	}
	return true
}

// replace puts a record's catalog into force; it returns nil if it is not to
// be.
func (h *Holder) replace(record []byte, source string) *Catalog {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.Catalog()
	c, err := h.Parse(record, before)
	if err != nil {
		h.Logger.Error(err, "catalog can't be read", "source", source, "bytes", len(record))
		return nil
	}
	if before != nil && c.Version <= before.Version {
		return nil
	}
	h.current.Store(c)
	h.Logger.Info("catalog in force", "version", c.Version, "source", source, "bytes", len(record))
	return c
}

const (
	// followRetry is the mean pause after a failed call, a tenth of the bound
	// within which a change has to be in force.
	followRetry = 250 * time.Millisecond
	// followRetryMost bounds the pause, which doubles while the store is out.
	followRetryMost = time.Second
	// pollPeriod is the mean time between two reads of a daemon that polls: half
	// of the bound within which a change has to be in force, the rest of which
	// the gossip takes.
	pollPeriod = time.Second
	// readTimeout bounds one read of the record.
	readTimeout = 2 * time.Second
)

// Follower keeps a Holder up to date with the record in the store.
type Follower struct {
	Store  sqkv.Store
	Key    string
	Holder *Holder
	Logger logr.Logger
	// Watching reports whether this daemon follows the record itself; the
	// others hear of it by gossip.
	Watching func() bool
	// Polling reports whether this daemon also reads the record at a short
	// period. A watch may hear nothing for seconds while the store drops its
	// history; one daemon of each data centre reads for the others, which hear of
	// a change by gossip. Nil is never.
	Polling func() bool

	out bool
}

// Run follows the record until ctx ends. Its error is nil.
func (f *Follower) Run(ctx context.Context) error {
	var polls sync.WaitGroup
	defer polls.Wait()
	polls.Go(func() { f.poll(ctx) })
	wait := followRetry
	for ctx.Err() == nil {
		if f.Holder.Catalog() != nil && !f.Watching() {
			_ = sqtimer.Sleep(ctx, followRetryMost)
			continue
		}
		began := time.Now()
		err := f.follow(ctx)
		f.Logger.Info("catalog watch ended", "lasted", time.Since(began).String(), "error", err.Error())
		f.tell(ctx, err)
		if time.Since(began) > followRetryMost {
			wait = followRetry
		}
		_ = sqtimer.Sleep(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, followRetryMost)
	}
	return nil
}

// poll reads the record at a short period while that is this daemon's duty.
func (f *Follower) poll(ctx context.Context) {
	for sqtimer.Sleep(ctx, pollPeriod/2+rand.N(pollPeriod)) == nil {
		if f.Polling == nil || !f.Polling() {
			continue
		}
		reading, cancel := context.WithTimeout(ctx, readTimeout)
		r, err := f.Store.Get(reading, f.Key)
		cancel()
		if err != nil {
			f.Logger.V(1).Info("catalog can't be read", "error", err.Error())
			continue
		}
		f.apply(r)
	}
}

// follow reads the record, then watches it.
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
	f.tell(ctx, nil)
	err = f.Store.Watch(ctx, f.Key, version, func(e sqkv.Event) error {
		f.apply(e.Record)
		return nil
	})
	return errors.Wrap(err, "watch catalog")
}

func (f *Follower) apply(r sqkv.Record) {
	if r.Key == f.Key && len(r.Value) > 0 {
		f.Holder.Apply(r.Value, "store")
	}
}

// tell logs when following begins to fail, and when it works again.
func (f *Follower) tell(ctx context.Context, err error) {
	switch {
	case err == nil && f.out:
		f.out = false
		f.Logger.Info("catalog is followed again")
	case err != nil && !f.out && ctx.Err() == nil && !errors.Is(err, sqkv.ErrCompacted):
		f.out = true
		f.Logger.Info("catalog can't be followed", "error", err.Error())
	}
}
