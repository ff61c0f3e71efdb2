package sqlists

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
)

const (
	// DefaultPollInterval is the default of Follower.PollInterval.
	DefaultPollInterval = 10 * time.Second

	// roleCheckInterval is how often a daemon checks whether it is a watcher.
	// It is also the delay after a failed read.
	roleCheckInterval = time.Second
	// evidenceInterval is the shortest time between two facts FactEvidence.
	evidenceInterval = 30 * time.Second
)

// Follower keeps the lists in force up to date with the platform's. It does so
// on the few daemons that are watchers; on the others, which get the lists by
// gossip, it makes no call to the platform.
type Follower struct {
	Store  sqkv.Store
	Holder *Holder
	Logger logr.Logger
	// Watching reports whether this daemon is a watcher now.
	Watching func() bool
	// Publish gossips a fact to the other daemons.
	Publish func(name string, version uint64, body []byte)
	// Repair is called if the platform was restored to older lists; it is
	// Acceptor.Repair, or nil.
	Repair func(context.Context) error
	// PollInterval is how often the head is read in addition to the watch, in case
	// the watch misses a change. The default is DefaultPollInterval.
	PollInterval time.Duration
	// Rand is the source of jitter, which spreads the polls of daemons that
	// started together. If it is nil, the global source is used.
	Rand *rand.Rand

	// failing is whether the last read failed.
	failing bool
}

// Run follows the head until ctx ends and returns nil. While the platform is
// unavailable, it retries about every second.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.Watching() {
			_ = sleep(ctx, f.jitter(roleCheckInterval))
			continue
		}
		version, err := f.read(ctx)
		if err != nil {
			_ = sleep(ctx, f.jitter(roleCheckInterval))
			continue
		}
		f.follow(ctx, version)
	}
	return nil
}

// follow watches the head from the version after version on, until the watch
// ends, a read fails, or the daemon is no longer a watcher.
func (f *Follower) follow(ctx context.Context, version sqkv.Version) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan sqkv.Event)
	ended := make(chan error, 1)
	go func() {
		ended <- f.Store.Watch(ctx, headKey, version, func(e sqkv.Event) error {
			select {
			case events <- e:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	f.handleEvents(ctx, events, ended)
	cancel()
	// Wait for the watch to end, and discard what it still sends.
	for {
		select {
		case <-events:
		case <-ended:
			return
		}
	}
}

// handleEvents handles the events of the watch, polls the head and checks
// whether the daemon is still a watcher. It returns when the watch should end or
// has ended.
func (f *Follower) handleEvents(ctx context.Context, events <-chan sqkv.Event, ended chan error) {
	began := time.Now()
	roleCheck := time.NewTicker(roleCheckInterval)
	defer roleCheck.Stop()
	poll := time.NewTimer(f.jitter(f.pollEvery()))
	defer poll.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case err = <-ended:
			ended <- err
			f.Logger.V(1).Info("watch of the lists ended", "error", err.Error())
			_ = sleep(ctx, f.jitter(rewatchDelay(time.Since(began))))
			return
		case e := <-events:
			err = f.handleEvent(ctx, e)
		case <-poll.C:
			_, err = f.read(ctx)
			poll.Reset(f.jitter(f.pollEvery()))
		case <-roleCheck.C:
			if !f.Watching() {
				return
			}
		}
		if err != nil {
			_ = sleep(ctx, f.jitter(roleCheckInterval))
			return
		}
	}
}

// rewatchDelay returns how long to wait before a new watch, given that the last
// one lasted for d: longer if it failed at once.
func rewatchDelay(d time.Duration) time.Duration {
	if d < roleCheckInterval {
		return roleCheckInterval
	}
	return retryDelay
}

// handleEvent reads the lists if an event has a newer head than the lists in
// force. Events may be late, so older ones are ignored.
func (f *Follower) handleEvent(ctx context.Context, e sqkv.Event) error {
	h, err := parseHead(e.Record.Value)
	if err != nil || e.Deleted || h.Revision <= f.Holder.Revision() {
		return err
	}
	_, err = f.read(ctx)
	return err
}

// read reads the head and the bodies that have changed, applies them, and
// returns the head's version.
func (f *Follower) read(ctx context.Context) (sqkv.Version, error) {
	held := f.Holder.Accepted()
	began := time.Now()
	a, version, err := records{f.Store}.newest(ctx, held)
	f.logTransition(ctx, err)
	if err != nil {
		return 0, err
	}
	switch {
	case a.Head.Revision > held.Head.Revision:
		if f.Holder.Revision() < a.Head.Revision && f.Holder.apply(a) {
			f.Publish(FactLists, uint64(a.Head.Revision), encodeFact(a))
		}
	case a.Head.Revision < held.Head.Revision:
		f.repairPlatform(ctx, a)
	case !a.Head.sameBodies(held.Head):
		f.Holder.ignore(IgnoredDiverged, a.Head.Revision, nil)
	}
	f.Holder.Confirm(a.Head.Revision, began)
	f.spreadEvidence()
	return version, nil
}

// logTransition logs when reading starts to fail and when it works again.
func (f *Follower) logTransition(ctx context.Context, err error) {
	switch {
	case err != nil && !f.failing && ctx.Err() == nil:
		f.failing = true
		f.Logger.Error(err, "reading the platform's lists failed")
	case err == nil && f.failing:
		f.failing = false
		f.Logger.Info("reading the platform's lists works again")
	}
}

// repairPlatform reports that the platform was restored to the older lists a,
// and repairs it. A conflict means that another daemon changed them first.
func (f *Follower) repairPlatform(ctx context.Context, a *Accepted) {
	f.Holder.ignore(IgnoredOlder, a.Head.Revision, nil)
	if f.Repair == nil {
		return
	}
	err := f.Repair(ctx)
	if _, lost := errors.Into[*ConflictError](err); err != nil && !lost {
		f.Logger.Error(err, "repairing the platform's lists failed")
	}
}

// spreadEvidence publishes when the head was last confirmed, unless a watcher
// did so less than evidenceInterval ago.
func (f *Follower) spreadEvidence() {
	if version, body, due := f.Holder.evidenceFact(); due {
		f.Publish(FactEvidence, version, body)
	}
}

func (f *Follower) pollEvery() time.Duration {
	return cmp.Or(f.PollInterval, DefaultPollInterval)
}

// jitter returns d, randomly shortened or lengthened by up to a quarter.
func (f *Follower) jitter(d time.Duration) time.Duration {
	random := rand.Float64
	if f.Rand != nil {
		random = f.Rand.Float64
	}
	return time.Duration(float64(d) * (0.75 + random()/2))
}
