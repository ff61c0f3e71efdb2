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
	// DefaultAcceptTimeout is the default of Acceptor.Timeout.
	DefaultAcceptTimeout = 8 * time.Second

	// retryDelay is the delay before a failed call to the platform is retried.
	retryDelay = 100 * time.Millisecond
)

// ErrOutcomeUnknown means that a change may or may not have been accepted.
var ErrOutcomeUnknown = errors.New("outcome of the change is unknown")

// ErrNotAccepted means that a change was certainly not accepted, because the
// platform could not be reached.
var ErrNotAccepted = errors.New("change was not accepted")

// ConflictError means that a change was not accepted because it was not based
// on the newest lists.
type ConflictError struct {
	// Current is the newest revision.
	Current sqid.Revision
}

// Error returns a message with the newest revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("lists have changed: revision is %d", e.Current)
}

// Acceptor accepts operators' changes to the lists. A change is accepted by one
// compare-and-swap of the head record in the platform, so of several concurrent
// changes to a revision only one can be accepted.
type Acceptor struct {
	Store  sqkv.Store
	Holder *Holder
	Logger logr.Logger
	// Publish spreads accepted lists to the other daemons; it may be nil.
	Publish func(version uint64, body []byte)
	// Timeout bounds the time that a change takes; the default is
	// DefaultAcceptTimeout.
	Timeout time.Duration
	// NewChangeID returns the id of a change; the default is the function
	// NewChangeID.
	NewChangeID func() ChangeID
}

// Put replaces the list k by body if ifMatch is the newest revision, and
// returns the revision of the change. Its errors are Faults, a *ConflictError,
// ErrNotAccepted and ErrOutcomeUnknown; only after the last may the change have
// been accepted. The end of ctx does not stop a change, so that its outcome
// becomes known.
func (a *Acceptor) Put(ctx context.Context, k Kind, ifMatch sqid.Revision, body []byte) (sqid.Revision, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cmp.Or(a.Timeout, DefaultAcceptTimeout))
	defer cancel()
	base, stored, err := a.newest(ctx)
	if err != nil {
		return 0, notAcceptedError(err)
	}
	if base.Head.Revision != ifMatch {
		return 0, &ConflictError{Current: base.Head.Revision}
	}
	next, err := a.buildChange(base, k, body)
	if err != nil {
		return 0, err
	}
	if err := a.write(ctx, next, stored); err != nil {
		return 0, err
	}
	return next.Head.Revision, nil
}

// Repair writes the lists in force to a platform that was restored to older
// ones. It does nothing if the platform's lists are as new or newer.
func (a *Acceptor) Repair(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(a.Timeout, DefaultAcceptTimeout))
	defer cancel()
	stored, err := records{a.Store}.head(ctx)
	if err != nil {
		return err
	}
	held := a.Holder.Accepted()
	if stored.head.Revision >= held.Head.Revision {
		return nil
	}
	a.Logger.Info("repairing the platform's lists", "platform", stored.head.Revision, "inForce", held.Head.Revision)
	return a.write(ctx, held, stored)
}

// newest returns the newest accepted lists and the platform's head. If the
// platform was restored to older lists, it returns those in force.
func (a *Acceptor) newest(ctx context.Context) (*Accepted, headRecord, error) {
	held := a.Holder.Accepted()
	newest, version, err := records{a.Store}.newest(ctx, held)
	if err != nil {
		return nil, headRecord{}, err
	}
	stored := headRecord{head: newest.Head, version: version}
	if newest.Head.Revision < held.Head.Revision {
		a.Holder.ignore(IgnoredOlder, newest.Head.Revision, nil)
		return held, stored, nil
	}
	return newest, stored, nil
}

// buildChange returns base with the list k replaced by body. Both lists are
// checked, since workspaces refer to plans.
func (a *Acceptor) buildChange(base *Accepted, k Kind, body []byte) (*Accepted, error) {
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

// write writes the bodies that the platform's head, stored, does not reference,
// swaps the head and puts the lists in force. The other bodies need no write:
// nobody deletes them while stored is the head.
func (a *Acceptor) write(ctx context.Context, next *Accepted, stored headRecord) error {
	r := records{a.Store}
	for _, body := range [][]byte{next.Workspaces, next.Plans} {
		if d := digestOf(body); stored.version > 0 && (d == stored.head.Workspaces || d == stored.head.Plans) {
			continue
		}
		if err := r.writeBody(ctx, body); err != nil {
			return notAcceptedError(err)
		}
	}
	headVersion, err := a.swapHead(ctx, next.Head, stored.version)
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
	if headVersion == 0 {
		return nil
	}
	if err := r.deleteUnreferenced(ctx, headRecord{head: next.Head, version: headVersion}); err != nil {
		a.Logger.V(1).Info("unreferenced list bodies were not deleted", "error", err.Error())
	}
	return nil
}

// swapHead replaces the head by next and returns its new version, or 0 if later
// changes have been accepted already. After a lost answer it reads the head back
// to learn the outcome. It retries the swap only while the head's version is
// still the expected one, so the swap takes effect at most once.
func (a *Acceptor) swapHead(ctx context.Context, next Head, expected sqkv.Version) (sqkv.Version, error) {
	uncertain := false
	for {
		version, err := a.Store.Swap(ctx, headKey, expected, next.encode(), 0)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, sqkv.ErrConflict) && !uncertain:
			return 0, a.conflictError(ctx, next)
		case errors.Is(err, sqkv.ErrConflict), errors.Is(err, sqkv.ErrUncertain):
			uncertain = true
		case !uncertain:
			return 0, notAcceptedError(err)
		}
		stored, err := a.readBack(ctx)
		if err != nil {
			return 0, unknownError(err)
		}
		if stored.version != expected {
			return resolveOutcome(next, stored)
		}
		if err := sleep(ctx, retryDelay); err != nil {
			return 0, unknownError(err)
		}
	}
}

// readBack reads the head until the platform answers or ctx ends.
func (a *Acceptor) readBack(ctx context.Context) (headRecord, error) {
	for {
		stored, err := records{a.Store}.head(ctx)
		if err == nil {
			return stored, nil
		}
		if sleep(ctx, retryDelay) != nil {
			return headRecord{}, err
		}
	}
}

// sleep waits for d and returns nil, or returns ctx's error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// resolveOutcome determines from the head read back, stored, whether the change
// next was accepted. If it was, it returns the version of the head, or 0 if the
// head is that of a later change.
func resolveOutcome(next Head, stored headRecord) (sqkv.Version, error) {
	if stored.head.Change == next.Change {
		return stored.version, nil
	}
	id, known := stored.head.changeAt(next.Revision)
	switch {
	case !known:
		return 0, unknownError(errors.Errorf("head of revision %d no longer lists the change of revision %d", stored.head.Revision, next.Revision))
	case id == next.Change:
		return 0, nil
	}
	return 0, &ConflictError{Current: stored.head.Revision}
}

// conflictError returns a ConflictError with the platform's revision, or with
// that of next if the head can't be read.
func (a *Acceptor) conflictError(ctx context.Context, next Head) error {
	stored, err := records{a.Store}.head(ctx)
	if err != nil {
		return &ConflictError{Current: next.Revision}
	}
	return &ConflictError{Current: stored.head.Revision}
}

func notAcceptedError(err error) error {
	return &sqerror.Error{
		Step: sqerror.StepLists, Run: squnit.RunNot,
		Err: errors.Wrap(ErrNotAccepted, err.Error()),
	}
}

func unknownError(err error) error {
	return &sqerror.Error{
		Step: sqerror.StepLists, Run: squnit.RunUnknown,
		Err: errors.Wrap(ErrOutcomeUnknown, err.Error()),
	}
}
