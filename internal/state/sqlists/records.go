package sqlists

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
)

// maxBodyAttempts bounds the attempts to read or write bodies while other
// daemons change the lists.
const maxBodyAttempts = 5

// headRecord is the head with the version of its record in the platform.
type headRecord struct {
	head    Head
	version sqkv.Version
}

// records reads and writes the lists in the platform.
type records struct {
	store sqkv.Store
}

// head reads the head; its version is 0 if there is none yet.
func (r records) head(ctx context.Context) (headRecord, error) {
	record, err := r.store.Get(ctx, headKey)
	if err != nil {
		return headRecord{}, errors.Wrap(err, "read head")
	}
	h, err := parseHead(record.Value)
	return headRecord{head: h, version: record.Version}, err
}

// loadBodies reads the bodies of a head, except those that held has, and checks
// and parses the lists. If a body is gone since the head has changed meanwhile,
// the error is errHeadMoved.
func (r records) loadBodies(ctx context.Context, h Head, held *Accepted) (*Accepted, error) {
	if h.Revision == 0 {
		return emptyAccepted(), nil
	}
	var err error
	workspaces, plans := held.Workspaces, held.Plans
	if h.Workspaces != held.Head.Workspaces {
		if workspaces, err = r.readBody(ctx, h.Workspaces); err != nil {
			return nil, err
		}
	}
	if h.Plans != held.Head.Plans {
		if plans, err = r.readBody(ctx, h.Plans); err != nil {
			return nil, err
		}
	}
	return parseAccepted(h, workspaces, plans)
}

// errHeadMoved means that a body is gone because the head has changed.
var errHeadMoved = errors.New("list body does not exist")

func (r records) readBody(ctx context.Context, d Digest) ([]byte, error) {
	record, err := r.store.Get(ctx, d.key())
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if record.Version == 0 {
		return nil, errors.Wrap(errHeadMoved, d.key())
	}
	return record.Value, nil
}

// newest reads the head and its bodies, and starts again if the head changes
// meanwhile. Bodies that held already has are not read.
func (r records) newest(ctx context.Context, held *Accepted) (*Accepted, sqkv.Version, error) {
	var err error
	for range maxBodyAttempts {
		var stored headRecord
		if stored, err = r.head(ctx); err != nil {
			return nil, 0, err
		}
		if stored.head.Revision == held.Head.Revision && stored.head.sameBodies(held.Head) {
			same := *held
			same.Head = stored.head
			return &same, stored.version, nil
		}
		var a *Accepted
		if a, err = r.loadBodies(ctx, stored.head, held); err == nil {
			return a, stored.version, nil
		}
		if !errors.Is(err, errHeadMoved) {
			return nil, 0, err
		}
	}
	return nil, 0, err
}

// writeBody writes a body even if it exists already. A body whose version is
// lower than that of the head may be deleted as unreferenced; one that was
// written after the head was read may not.
func (r records) writeBody(ctx context.Context, body []byte) error {
	key := digestOf(body).key()
	var version sqkv.Version
	var err error
	for range maxBodyAttempts {
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

// deleteUnreferenced deletes the bodies that no change can reference any more:
// those that the head does not reference and that were written before it.
func (r records) deleteUnreferenced(ctx context.Context, stored headRecord) error {
	bodies, _, err := r.store.List(ctx, bodyPrefix)
	if err != nil {
		return errors.Wrap(err, "list bodies")
	}
	for _, b := range bodies {
		referenced := b.Key == stored.head.Workspaces.key() || b.Key == stored.head.Plans.key()
		if referenced || b.Version > stored.version {
			continue
		}
		if err := r.store.Delete(ctx, b.Key, b.Version); err != nil && !errors.Is(err, sqkv.ErrConflict) {
			return errors.Wrap(err, "remove body")
		}
	}
	return nil
}
