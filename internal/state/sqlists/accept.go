package sqlists

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
)

const (
	// DefaultAcceptTimeout bounds a change where the acceptor sets no bound.
	DefaultAcceptTimeout = 8 * time.Second

	retryDelay = 100 * time.Millisecond
)

// ErrOutcomeUnknown says that a change may or may not have been accepted.
var ErrOutcomeUnknown = errors.New("outcome of the change is unknown")

// ErrNotAccepted says that a change was certainly not accepted, since the
// platform was out of reach.
var ErrNotAccepted = errors.New("change was not accepted")

// ConflictError says that a change was not accepted because it was not based
// on the newest lists.
type ConflictError struct {
	// Current is the newest revision.
	Current sqid.Revision
}

// Error returns the conflict with the newest revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("lists have changed: revision is %d", e.Current)
}

// Acceptor accepts operators' changes of the lists by one compare-and-swap of
// the head record in the platform. Of racing changes exactly one is accepted.
type Acceptor struct {
	Store  sqkv.Store
	Holder *Holder
	Logger logr.Logger
	// Publish spreads accepted lists to the other daemons; it may be nil.
	Publish func(version uint64, body []byte)
	// Timeout bounds a change, by default DefaultAcceptTimeout.
	Timeout time.Duration
	// NewChangeID makes the id of a change, by default NewChangeID.
	NewChangeID func() ChangeID
}

// Put replaces the list k by body if ifMatch is the newest revision, and
// returns the revision of the change. Its errors are Faults, a
// *ConflictError, ErrNotAccepted and ErrOutcomeUnknown; only with the last
// may the change have been accepted. A change that has begun goes on when ctx
// ends, so that its outcome is known.
func (a *Acceptor) Put(ctx context.Context, k Kind, ifMatch sqid.Revision, body []byte) (sqid.Revision, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cmp.Or(a.Timeout, DefaultAcceptTimeout))
	defer cancel()
	base, at, err := a.newest(ctx)
	if err != nil {
		return 0, notAccepted(err)
	}
	if base.Head.Revision != ifMatch {
		return 0, &ConflictError{Current: base.Head.Revision}
	}
	next, err := a.change(base, k, body)
	if err != nil {
		return 0, err
	}
	if err := a.write(ctx, next, at); err != nil {
		return 0, err
	}
	return next.Head.Revision, nil
}

// Repair writes the lists in force to a platform that has come back with
// older ones. It does nothing to a platform that has not.
func (a *Acceptor) Repair(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(a.Timeout, DefaultAcceptTimeout))
	defer cancel()
	at, err := records{a.Store}.head(ctx)
	if err != nil {
		return err
	}
	held := a.Holder.Accepted()
	if at.head.Revision >= held.Head.Revision {
		return nil
	}
	a.Logger.Info("repairing the platform's lists", "platform", at.head.Revision, "inForce", held.Head.Revision)
	return a.write(ctx, held, at)
}

// newest returns the newest accepted lists and the platform's head. If the
// platform came back older, the lists are those in force.
func (a *Acceptor) newest(ctx context.Context) (*Accepted, headRecord, error) {
	held := a.Holder.Accepted()
	newest, version, err := records{a.Store}.newest(ctx, held)
	if err != nil {
		return nil, headRecord{}, err
	}
	at := headRecord{head: newest.Head, version: version}
	if newest.Head.Revision < held.Head.Revision {
		a.Holder.ignore(IgnoredOlder, newest.Head.Revision, nil)
		return held, at, nil
	}
	return newest, at, nil
}

// change returns base with the list k replaced, checked whole.
func (a *Acceptor) change(base *Accepted, k Kind, body []byte) (*Accepted, error) {
	workspaces, plans := body, base.Plans
	if k == KindPlans {
		workspaces, plans = base.Workspaces, body
	}
	l, err := Parse(workspaces, plans)
	if err != nil {
		return nil, err
	}
	l.Revision = base.Head.Revision + 1
	newID := a.NewChangeID
	if newID == nil {
		newID = NewChangeID
	}
	next, err := encodeLists(l, base.Head, newID())
	if err != nil {
		return nil, err
	}
	var faults Faults
	if n := len(next.Body(k)); n > MaxListBytes {
		faults.add(string(k), "has %d bytes once encoded, more than %d", n, MaxListBytes)
	}
	return next, faults.err()
}

// write writes the bodies that the head from does not name, swaps the head and
// puts the lists in force. While from stands, nobody sweeps what it names.
func (a *Acceptor) write(ctx context.Context, next *Accepted, from headRecord) error {
	r := records{a.Store}
	for _, body := range [][]byte{next.Workspaces, next.Plans} {
		if d := digestOf(body); from.version > 0 && (d == from.head.Workspaces || d == from.head.Plans) {
			continue
		}
		if err := r.writeBody(ctx, body); err != nil {
			return notAccepted(err)
		}
	}
	at, err := a.swapHead(ctx, next.Head, from.version)
	if err != nil {
		return err
	}
	if a.Holder.Revision() < next.Head.Revision {
		a.Holder.apply(next)
	}
	a.Holder.Confirm(next.Head.Revision, time.Now())
	if a.Publish != nil {
		a.Publish(a.Holder.Fact())
	}
	if at == 0 {
		return nil
	}
	if err := r.sweep(ctx, headRecord{head: next.Head, version: at}); err != nil {
		a.Logger.V(1).Info("old bodies are left", "error", err.Error())
	}
	return nil
}

// swapHead swaps the head. A lost answer is resolved by reading the head
// back; the same swap is tried again only while its version is still the
// expected one, so that it takes effect at most once. The version it returns
// is 0 if later changes have been accepted already.
func (a *Acceptor) swapHead(ctx context.Context, next Head, expected sqkv.Version) (sqkv.Version, error) {
	uncertain := false
	for {
		version, err := a.Store.Swap(ctx, headKey, expected, next.encode(), 0)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, sqkv.ErrConflict) && !uncertain:
			return 0, a.conflict(ctx, next)
		case errors.Is(err, sqkv.ErrConflict), errors.Is(err, sqkv.ErrUncertain):
			uncertain = true
		case !uncertain:
			return 0, notAccepted(err)
		}
		at, err := a.readBack(ctx)
		if err != nil {
			return 0, unknown(err)
		}
		if at.version != expected {
			return outcome(next, at)
		}
		if err := pause(ctx, retryDelay); err != nil {
			return 0, unknown(err)
		}
	}
}

// readBack reads the head until the platform answers or ctx ends.
func (a *Acceptor) readBack(ctx context.Context) (headRecord, error) {
	for {
		at, err := records{a.Store}.head(ctx)
		if err == nil {
			return at, nil
		}
		if pause(ctx, retryDelay) != nil {
			return headRecord{}, err
		}
	}
}

// pause waits for d, or until ctx ends and returns its error.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// outcome decides from a later head whether the change next was accepted.
func outcome(next Head, at headRecord) (sqkv.Version, error) {
	if at.head.Change == next.Change {
		return at.version, nil
	}
	id, known := at.head.find(next.Revision)
	switch {
	case !known:
		return 0, unknown(errors.Errorf("head has revision %d and does not remember %d", at.head.Revision, next.Revision))
	case id == next.Change:
		return 0, nil
	}
	return 0, &ConflictError{Current: at.head.Revision}
}

// conflict returns the conflict with the newest revision that can be read.
func (a *Acceptor) conflict(ctx context.Context, next Head) error {
	at, err := records{a.Store}.head(ctx)
	if err != nil {
		return &ConflictError{Current: next.Revision}
	}
	return &ConflictError{Current: at.head.Revision}
}

func notAccepted(err error) error {
	return &sqerror.Error{
		Step: sqerror.StepLists, Run: squnit.RunNot,
		Err: errors.Wrap(ErrNotAccepted, err.Error()),
	}
}

func unknown(err error) error {
	return &sqerror.Error{
		Step: sqerror.StepLists, Run: squnit.RunUnknown,
		Err: errors.Wrap(ErrOutcomeUnknown, err.Error()),
	}
}
