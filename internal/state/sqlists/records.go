package sqlists

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
)

// bodyTries bounds how often a body is written or read again while others
// change the lists.
const bodyTries = 5

// headRecord is the head with the platform's version of it.
type headRecord struct {
	head    Head
	version sqkv.Version
}

// records reads and writes the lists in the platform.
type records struct {
	store sqkv.Store
}

func (r records) head(ctx context.Context) (headRecord, error) {
	record, err := r.store.Get(ctx, headKey)
	if err != nil {
		return headRecord{}, errors.Wrap(err, "read head")
	}
	h, err := parseHead(record.Value)
	return headRecord{head: h, version: record.Version}, err
}

// load reads the bodies of a head that held does not have, and checks them.
// If the head moved on meanwhile, the bodies may be gone: errMoved.
func (r records) load(ctx context.Context, h Head, held *Accepted) (*Accepted, error) {
	if h.Revision == 0 {
		return emptyAccepted(), nil
	}
	var err error
	workspaces, plans := held.Workspaces, held.Plans
	if h.Workspaces != held.Head.Workspaces {
		if workspaces, err = r.body(ctx, h.Workspaces); err != nil {
			return nil, err
		}
	}
	if h.Plans != held.Head.Plans {
		if plans, err = r.body(ctx, h.Plans); err != nil {
			return nil, err
		}
	}
	return parseAccepted(h, workspaces, plans)
}

// errMoved says that a body is gone because the head has moved on.
var errMoved = errors.New("body is not there")

func (r records) body(ctx context.Context, d Digest) ([]byte, error) {
	record, err := r.store.Get(ctx, d.key())
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if record.Version == 0 {
		return nil, errors.Wrap(errMoved, d.key())
	}
	return record.Value, nil
}

// newest reads the head and its bodies, again while the head moves on.
// Bodies that held already has are not read.
func (r records) newest(ctx context.Context, held *Accepted) (*Accepted, sqkv.Version, error) {
	var err error
	for range bodyTries {
		var at headRecord
		if at, err = r.head(ctx); err != nil {
			return nil, 0, err
		}
		if at.head.Revision == held.Head.Revision && at.head.sameBodies(held.Head) {
			same := *held
			same.Head = at.head
			return &same, at.version, nil
		}
		var a *Accepted
		if a, err = r.load(ctx, at.head, held); err == nil {
			return a, at.version, nil
		}
		if !errors.Is(err, errMoved) {
			return nil, 0, err
		}
	}
	return nil, 0, err
}

// writeBody writes a body anew, even if it is there already: a body that is
// older than the head may be swept, one that was written after the head was
// read may not.
func (r records) writeBody(ctx context.Context, body []byte) error {
	key := digestOf(body).key()
	var version sqkv.Version
	var err error
	for range bodyTries {
		_, err = r.store.Swap(ctx, key, version, body, 0)
		if err == nil {
			return nil
		}
		if !errors.Is(err, sqkv.ErrConflict) && !errors.Is(err, sqkv.ErrUncertain) {
			break
		}
		record, err := r.store.Get(ctx, key)
		if err != nil {
			return errors.Wrap(err, "read body")
		}
		version = record.Version
	}
	return errors.Wrap(err, "write body")
}

// sweep removes the bodies that no change can refer to any more: those that
// the head does not name and that were written before it was.
func (r records) sweep(ctx context.Context, at headRecord) error {
	bodies, _, err := r.store.List(ctx, bodyPrefix)
	if err != nil {
		return errors.Wrap(err, "list bodies")
	}
	for _, b := range bodies {
		named := b.Key == at.head.Workspaces.key() || b.Key == at.head.Plans.key()
		if named || b.Version > at.version {
			continue
		}
		if err := r.store.Delete(ctx, b.Key, b.Version); err != nil && !errors.Is(err, sqkv.ErrConflict) {
			return errors.Wrap(err, "remove body")
		}
	}
	return nil
}
