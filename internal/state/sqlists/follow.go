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
	// DefaultPollEvery is how often a watcher reads the head as repair.
	DefaultPollEvery = 10 * time.Second

	dutyEvery     = time.Second
	evidenceEvery = 30 * time.Second
)

// Follower keeps the lists in force up to date with the platform's on a
// daemon that is a watcher; on others it makes no platform call.
type Follower struct {
	Store  sqkv.Store
	Holder *Holder
	Logger logr.Logger
	// Watching reports whether the daemon is a watcher now.
	Watching func() bool
	// Publish spreads a fact to the other daemons.
	Publish func(name string, version uint64, body []byte)
	// Repair is called if the platform came back with older lists; it is the
	// acceptor's. It may be nil.
	Repair func(context.Context) error
	// PollEvery is how often the head is read beside the watch, by default
	// DefaultPollEvery.
	PollEvery time.Duration
	// Rand spreads the polls of daemons that began together; nil is random.
	Rand *rand.Rand

	// out is whether the last read failed.
	out bool
}

// Run follows the head until ctx ends; its error is nil. A platform that is
// out is tried again about every second.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.Watching() {
			_ = pause(ctx, f.jitter(dutyEvery))
			continue
		}
		version, err := f.read(ctx)
		if err != nil {
			_ = pause(ctx, f.jitter(dutyEvery))
			continue
		}
		f.follow(ctx, version)
	}
	return nil
}

// follow watches the head after version until the watch is lost, a poll
// fails, or the daemon is no watcher any more.
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
	f.attend(ctx, events, ended)
	cancel()
	// The watch ends with ctx; nothing it still sends is wanted.
	for {
		select {
		case <-events:
		case <-ended:
			return
		}
	}
}

// attend handles events, polls and duty until one of them ends the watch.
func (f *Follower) attend(ctx context.Context, events <-chan sqkv.Event, ended chan error) {
	began := time.Now()
	duty := time.NewTicker(dutyEvery)
	defer duty.Stop()
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
			_ = pause(ctx, f.jitter(afterWatch(time.Since(began))))
			return
		case e := <-events:
			err = f.event(ctx, e)
		case <-poll.C:
			_, err = f.read(ctx)
			poll.Reset(f.jitter(f.pollEvery()))
		case <-duty.C:
			if !f.Watching() {
				return
			}
		}
		if err != nil {
			_ = pause(ctx, f.jitter(dutyEvery))
			return
		}
	}
}

// afterWatch returns how long to wait before a new watch after one that lasted
// for d.
func afterWatch(d time.Duration) time.Duration {
	if d < dutyEvery {
		return dutyEvery
	}
	return retryDelay
}

// event applies the head of a watch's event. An event may be late: one that
// is older than the lists in force says nothing.
func (f *Follower) event(ctx context.Context, e sqkv.Event) error {
	h, err := parseHead(e.Record.Value)
	if err != nil || e.Deleted || h.Revision <= f.Holder.Revision() {
		return err
	}
	_, err = f.read(ctx)
	return err
}

// read reads the head and what is new of the bodies, and applies them.
func (f *Follower) read(ctx context.Context) (sqkv.Version, error) {
	held := f.Holder.Accepted()
	began := time.Now()
	a, version, err := records{f.Store}.newest(ctx, held)
	f.tell(ctx, err)
	if err != nil {
		return 0, err
	}
	switch {
	case a.Head.Revision > held.Head.Revision:
		if f.Holder.Revision() < a.Head.Revision && f.Holder.apply(a) {
			f.Publish(FactLists, uint64(a.Head.Revision), encodeFact(a))
		}
	case a.Head.Revision < held.Head.Revision:
		f.older(ctx, a)
	case !a.Head.sameBodies(held.Head):
		f.Holder.ignore(IgnoredDiverged, a.Head.Revision, nil)
	}
	f.Holder.Confirm(a.Head.Revision, began)
	f.spreadEvidence()
	return version, nil
}

// tell logs when reading begins to fail, and when it works again.
func (f *Follower) tell(ctx context.Context, err error) {
	switch {
	case err != nil && !f.out && ctx.Err() == nil:
		f.out = true
		f.Logger.Error(err, "platform's lists can't be read")
	case err == nil && f.out:
		f.out = false
		f.Logger.Info("platform's lists are read again")
	}
}

// older tells of a platform that came back older, and has it repaired.
func (f *Follower) older(ctx context.Context, a *Accepted) {
	f.Holder.ignore(IgnoredOlder, a.Head.Revision, nil)
	if f.Repair == nil {
		return
	}
	err := f.Repair(ctx)
	if _, lost := errors.Into[*ConflictError](err); err != nil && !lost {
		f.Logger.Error(err, "platform's lists are not repaired")
	}
}

// spreadEvidence spreads when the head was last confirmed, unless another
// watcher did so a short while ago.
func (f *Follower) spreadEvidence() {
	if version, body, due := f.Holder.evidenceFact(); due {
		f.Publish(FactEvidence, version, body)
	}
}

func (f *Follower) pollEvery() time.Duration {
	return cmp.Or(f.PollEvery, DefaultPollEvery)
}

// jitter returns d, shorter or longer by up to a quarter.
func (f *Follower) jitter(d time.Duration) time.Duration {
	random := rand.Float64
	if f.Rand != nil {
		random = f.Rand.Float64
	}
	return time.Duration(float64(d) * (0.75 + random()/2))
}
