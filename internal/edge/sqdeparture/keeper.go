// Package sqdeparture keeps the departures of a daemon's targets, which it has
// acknowledged, where they outlive the daemon: with some peers, and in the platform's store
// under a lease. A daemon that has just started asks both, before it uses any target, so
// that a late announcement brings none back.
package sqdeparture

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtimer"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
)

const (
	// KeyPrefix is the prefix of the keys of the records in the store; the daemon's name
	// follows it.
	KeyPrefix = "sequoiatack/departures/"
	// TickPeriod is the interval at which Tick must be called.
	TickPeriod = time.Second
	// Retention is how long a departure is kept: longer than announcements are late.
	Retention = 2 * time.Minute
	// recordTimeout bounds the recording of a departure. Who reports it waits a second for
	// the acknowledgement.
	recordTimeout = 600 * time.Millisecond
	// attemptTimeout bounds one call to the store or a peer.
	attemptTimeout = 500 * time.Millisecond
	// holders is the number of peers that hold a departure, and asked the number that a
	// daemon asks after its start: their order may have changed.
	holders = 3
	asked   = 7
	// restoreTimeout bounds the wait for the store and the peers, peersTimeout that for the
	// peers once the store has answered. Both count from when the daemon could serve.
	restoreTimeout = 2 * time.Second
	peersTimeout   = time.Second
	// discoveryTime is how long after its start a daemon may learn of peers that it has not
	// asked.
	discoveryTime = 10 * time.Second
	// retryPeriod is the time between two attempts to reach the store and peers during
	// restoreTimeout after the start, and outagePeriod that between two later ones.
	retryPeriod  = 50 * time.Millisecond
	outagePeriod = time.Second
	// pollPeriod is the time between two looks at whether the departures are restored.
	pollPeriod = 10 * time.Millisecond
	// maxDepartures bounds the departures of one daemon, maxDaemons the daemons of which a
	// peer holds some.
	maxDepartures = 16
	maxDaemons    = 8192
)

// Departure is a target's leaving: its incarnation and all earlier ones get no calls.
type Departure struct {
	Target      sqid.TargetID    `json:"target"`
	Incarnation sqid.Incarnation `json:"incarnation"`
}

// covers reports whether a target that has left as d says has left as o says.
func (d Departure) covers(o Departure) bool {
	return d.Target == o.Target && d.Incarnation >= o.Incarnation
}

// Store is the part of the platform's store that a Keeper uses.
type Store interface {
	Get(ctx context.Context, key string) (sqkv.Record, error)
	Swap(ctx context.Context, key string, expected sqkv.Version, value []byte, lease sqkv.LeaseID) (sqkv.Version, error)
	Grant(ctx context.Context, ttl time.Duration) (sqkv.LeaseID, error)
}

// Conns provides the connections to peers.
type Conns interface {
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Keeper keeps the departures of its own daemon's targets, and holds those of peers.
type Keeper struct {
	Self  sqid.DaemonID
	Store Store
	Conns Conns
	// Peers returns the addresses of live peers, in an order that changes little. The first
	// ones hold this daemon's departures.
	Peers func() []string
	// Serving reports whether this daemon could serve requests; nil if it always could.
	// Until then, a wait for the store and the peers delays nobody.
	Serving func() bool
	// Restore is called once, soon after the start, with the departures that were kept for
	// this daemon. Departed is called with those that are found later.
	Restore, Departed func([]Departure)
	Logger            logr.Logger

	mu sync.Mutex
	// own are the departures of this daemon's targets, the latest last.
	own []entry
	// held are the departures of other daemons' targets.
	held map[sqid.DaemonID][]entry
	// storeAnswered is set once the record in the store has been read, and answered has the
	// addresses of the peers that have said what they hold.
	storeAnswered bool
	answered      map[string]bool

	// saving is held while the record in the store is read or written. It guards version,
	// the record's version as far as known, and known.
	saving  sync.Mutex
	version sqkv.Version
	known   bool
}

// entry is a departure that is kept.
type entry struct {
	Departure
	at time.Time
	// saved is set once the store has it, handed once a peer has.
	saved, handed bool
}

// add adds a departure to a list, or returns the list as it is if that covers it.
func add(list []entry, d Departure, at time.Time) []entry {
	for i := range list {
		if list[i].covers(d) {
			return list
		}
	}
	list = slices.DeleteFunc(list, func(e entry) bool { return d.covers(e.Departure) })
	list = append(list, entry{Departure: d, at: at})
	return list[max(0, len(list)-maxDepartures):]
}

// learn adds departures that the store or a peer has kept for this daemon, and returns
// those that were not known. Later ones stay if there are too many.
func (k *Keeper) learn(list []Departure, mark func(e *entry)) []Departure {
	var unknown []Departure
	k.mu.Lock()
	for _, d := range list {
		if !slices.ContainsFunc(k.own, func(e entry) bool { return e.covers(d) }) {
			unknown = append(unknown, d)
			k.own = slices.DeleteFunc(k.own, func(e entry) bool { return d.covers(e.Departure) })
			k.own = slices.Insert(k.own, 0, entry{Departure: d, at: time.Now()})
		}
	}
	k.own = k.own[max(0, len(k.own)-maxDepartures):]
	k.mu.Unlock()
	k.mark(list, mark)
	return unknown
}

func markSaved(e *entry)  { e.saved = true }
func markHanded(e *entry) { e.handed = true }

// departures returns the departures of a list.
func departures(list []entry) []Departure {
	out := make([]Departure, len(list))
	for i := range list {
		out[i] = list[i].Departure
	}
	return out
}

// Record keeps a departure. It returns once the store and the peers that hold it have
// answered, or after recordTimeout, and reports whether any of them has it. A daemon that
// reaches none still knows it itself, and goes on trying.
func (k *Keeper) Record(ctx context.Context, d Departure) bool {
	k.mu.Lock()
	k.own = add(k.own, d, time.Now())
	i := slices.IndexFunc(k.own, func(e entry) bool { return e.covers(d) })
	kept := k.own[i].saved || k.own[i].handed
	k.mu.Unlock()
	if kept {
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	done := make(chan struct{}, 2)
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){k.save, k.hand} {
		wg.Go(func() {
			f(ctx)
			done <- struct{}{}
		})
	}
	go func() {
		wg.Wait()
		cancel()
	}()
	for range 2 {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.own {
		if e.covers(d) {
			k.Logger.Info("departure recorded", "target", d.Target, "incarnation", d.Incarnation, "inStore", e.saved, "withPeers", e.handed)
			kept = kept || e.saved || e.handed
		}
	}
	return kept
}

// mark sets flags of the departures of a list that own still has.
func (k *Keeper) mark(list []Departure, f func(e *entry)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.own {
		if slices.Contains(list, k.own[i].Departure) {
			f(&k.own[i])
		}
	}
}

// record is the value of a record in the store.
type record struct {
	Departures []Departure `json:"departures"`
}

// save writes all departures of this daemon to the store.
func (k *Keeper) save(ctx context.Context) {
	k.saving.Lock()
	defer k.saving.Unlock()
	if err := k.trySave(ctx); err != nil && ctx.Err() == nil {
		// The record may have been written or removed meanwhile.
		k.known = false
		if err = k.trySave(ctx); err != nil {
			k.known = false
			k.Logger.Info("saving departures failed", "error", err.Error())
		}
	}
}

func (k *Keeper) trySave(ctx context.Context) error {
	if !k.known {
		found, err := k.load(ctx)
		if err != nil {
			return err
		}
		k.reportLate(found)
	}
	k.mu.Lock()
	list := departures(k.own)
	k.mu.Unlock()
	value, err := json.Marshal(record{Departures: list})
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	lease, err := k.Store.Grant(ctx, Retention)
	if err != nil {
		return errors.Wrap(err, "lease")
	}
	version, err := k.Store.Swap(ctx, KeyPrefix+string(k.Self), k.version, value, lease)
	if err != nil {
		return errors.Wrap(err, "write")
	}
	k.version = version
	k.mark(list, markSaved)
	return nil
}

// reportLate reports departures that were found after the start.
func (k *Keeper) reportLate(list []Departure) {
	if len(list) > 0 {
		k.Departed(list)
	}
}

// load reads the record from the store and returns what was not known. k.saving must be
// held.
func (k *Keeper) load(ctx context.Context) ([]Departure, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	r, err := k.Store.Get(ctx, KeyPrefix+string(k.Self))
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	k.version, k.known = r.Version, true
	k.mu.Lock()
	k.storeAnswered = true
	k.mu.Unlock()
	var value record
	if len(r.Value) > 0 {
		if err := json.Unmarshal(r.Value, &value); err != nil {
			k.Logger.Info("record of departures can't be read", "error", err.Error())
			return nil, nil
		}
	}
	return k.learn(usable(value.Departures), markSaved), nil
}

// usable returns the departures of a list that name a target and an incarnation, at most
// maxDepartures.
func usable(list []Departure) []Departure {
	list = slices.DeleteFunc(slices.Clone(list), func(d Departure) bool { return d.Target == "" || d.Incarnation == 0 })
	return list[:min(len(list), maxDepartures)]
}

// Run restores the departures, and then saves those that the store could not be given and
// looks for more where it could not look before, until ctx ends. It always returns nil.
func (k *Keeper) Run(ctx context.Context) error {
	start := time.Now()
	k.Restore(k.restore(ctx))
	for sqtimer.Sleep(ctx, outagePeriod) == nil {
		if time.Since(start) < discoveryTime {
			k.reportLate(k.askPeers(ctx))
		}
		if !k.hasStoreAnswered() {
			k.reportLate(k.askStore(ctx))
		}
		if k.hasUnsaved() {
			saveCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
			k.save(saveCtx)
			cancel()
		}
	}
	return nil
}

func (k *Keeper) hasUnsaved() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.ContainsFunc(k.own, func(e entry) bool { return !e.saved && time.Since(e.at) > recordTimeout })
}

// Tick drops what has been kept for Retention.
func (k *Keeper) Tick(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := func(e entry) bool { return now.Sub(e.at) > Retention }
	k.own = slices.DeleteFunc(k.own, old)
	for daemon, list := range k.held {
		if list = slices.DeleteFunc(list, old); len(list) == 0 {
			delete(k.held, daemon)
			continue
		}
		k.held[daemon] = list
	}
}
