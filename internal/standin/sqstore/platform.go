package sqstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqetcd"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
)

// Platform returns the store as a sqkv.Store that works without a network. Its
// calls are counted and subject to the faults.
func (s *Store) Platform() sqkv.Store {
	return platform{s}
}

// platform implements sqkv.Store on a Store.
type platform struct {
	store *Store
}

func (p platform) Get(ctx context.Context, key string) (sqkv.Record, error) {
	records, _, err := p.read(ctx, sqetcd.CallGet, keyRange{start: key})
	if err != nil || len(records) == 0 {
		return sqkv.Record{Key: key}, err
	}
	return records[0], nil
}

func (p platform) List(ctx context.Context, prefix string) ([]sqkv.Record, sqkv.Version, error) {
	return p.read(ctx, sqetcd.CallList, prefixRange(prefix))
}

func (p platform) read(ctx context.Context, kind sqetcd.CallKind, keys keyRange) ([]sqkv.Record, sqkv.Version, error) {
	if err := p.store.beginCall(ctx, kind); err != nil {
		return nil, 0, unavailable(err)
	}
	results, revision, err := p.store.apply([]operation{{read: &keys}})
	if err != nil {
		return nil, 0, err
	}
	records := make([]sqkv.Record, len(results[0].records))
	for i, r := range results[0].records {
		records[i] = r.platform()
	}
	return records, sqkv.Version(revision), nil
}

func (p platform) Swap(ctx context.Context, key string, expected sqkv.Version, value []byte, lease sqkv.LeaseID) (sqkv.Version, error) {
	put := &record{key: key, value: value, lease: int64(lease)}
	return p.swap(ctx, sqetcd.CallSwap, key, expected, operation{put: put})
}

func (p platform) Delete(ctx context.Context, key string, expected sqkv.Version) error {
	_, err := p.swap(ctx, sqetcd.CallDelete, key, expected, operation{remove: &keyRange{start: key}})
	return err
}

// swap runs op if key is at the expected version. If ctx ends first, the outcome
// is uncertain: the write goes on in the background.
func (p platform) swap(ctx context.Context, kind sqetcd.CallKind, key string, expected sqkv.Version, op operation) (sqkv.Version, error) {
	type outcome struct {
		version sqkv.Version
		err     error
	}
	done := make(chan outcome, 1)
	go func() {
		var o outcome
		o.err = p.store.write(ctx, kind, func() error {
			conditions := map[string]condition{key: modifiedAt(int64(expected))}
			succeeded, _, revision, err := p.store.compareAndApply(conditions, []operation{op}, nil)
			if err == nil && !succeeded {
				err = sqkv.ErrConflict
			}
			o.version = sqkv.Version(revision)
			return err
		})
		done <- o
	}()
	select {
	case <-ctx.Done():
		return 0, errors.Wrap(sqkv.ErrUncertain, ctx.Err().Error())
	case o := <-done:
		if o.err != nil {
			return 0, writeError(o.err)
		}
		return o.version, nil
	}
}

func (p platform) Grant(ctx context.Context, ttl time.Duration) (sqkv.LeaseID, error) {
	if err := p.store.beginCall(ctx, sqetcd.CallGrant); err != nil {
		return 0, unavailable(err)
	}
	return sqkv.LeaseID(p.store.grant(0, ttl)), nil
}

func (p platform) Renew(ctx context.Context, lease sqkv.LeaseID) error {
	if err := p.store.beginCall(ctx, sqetcd.CallRenew); err != nil {
		return unavailable(err)
	}
	if p.store.renew(int64(lease)) <= 0 {
		return sqkv.ErrLeaseEnded
	}
	return nil
}

func (p platform) Watch(ctx context.Context, prefix string, after sqkv.Version, f func(sqkv.Event) error) error {
	cancelled, from, done := p.store.beginWatch(int64(after) + 1)
	defer done()
	if err := p.store.beginCall(ctx, sqetcd.CallWatch); err != nil {
		return unavailable(err)
	}
	for {
		changes, next, err := p.store.wait(ctx, prefixRange(prefix), from, cancelled)
		if err != nil {
			return watchError(err)
		}
		for _, c := range changes {
			if err := f(c.event()); err != nil {
				return err
			}
		}
		from = next
	}
}

func (c change) event() sqkv.Event {
	return sqkv.Event{Record: c.record.platform(), Deleted: c.deleted}
}

func modifiedAt(revision int64) condition {
	return func(r record) bool { return r.modified == revision }
}

// prefixRange returns the range of the keys that begin with prefix.
func prefixRange(prefix string) keyRange {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return keyRange{start: prefix, end: string(end[:i+1])}
		}
	}
	return keyRange{start: prefix, end: "\x00"}
}

func unavailable(err error) error {
	return errors.Wrap(sqkv.ErrUnavailable, err.Error())
}

// writeError maps an error of a write to those of sqkv.
func writeError(err error) error {
	switch {
	case errors.Is(err, errDown):
		return unavailable(err)
	case errors.Is(err, errAnswerLost):
		return errors.Wrap(sqkv.ErrUncertain, err.Error())
	case errors.Is(err, errLeaseUnknown):
		return sqkv.ErrLeaseEnded
	}
	return err
}

func watchError(err error) error {
	switch {
	case errors.Is(err, errCompacted):
		return sqkv.ErrCompacted
	case errors.Is(err, errWatchCancelled):
		return unavailable(err)
	}
	return err
}
